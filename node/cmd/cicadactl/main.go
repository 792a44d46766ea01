// Command cicadactl is the operators' command: it checks, tries and promotes
// environment documents, and asks nodes what they do and why.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/zeebo/errs"
)

// Error is the class of this command's errors.
var Error = errs.Class("cicadactl")

type arguments struct {
	Check    *checkCommand    `arg:"subcommand:check" help:"check a document and report every fault with its JSON path"`
	Trial    *trialCommand    `arg:"subcommand:trial" help:"put a document in force in the trial slot"`
	Promote  *promoteCommand  `arg:"subcommand:promote" help:"put the tried bytes in force in production"`
	Rollback *rollbackCommand `arg:"subcommand:rollback" help:"put the text of an earlier revision in force as a new revision"`
	Diff     *diffCommand     `arg:"subcommand:diff" help:"show how a document differs from the one in force"`
	History  *historyCommand  `arg:"subcommand:history" help:"list the documents in force so far, the latest first"`
	Prune    *pruneCommand    `arg:"subcommand:prune" help:"remove old revisions, and parts of documents that nothing needs"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show a node's state and the fleet as it sees it"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"show why a request was sent where it was, or refused"`
	Isolated *isolatedCommand `arg:"subcommand:isolated" help:"list the parts of prompts on which replicas have crashed, with the evidence"`
	Lift     *liftCommand     `arg:"subcommand:lift" help:"send requests with an isolated part to replicas again"`
	Losses   *lossesCommand   `arg:"subcommand:losses" help:"read nodes' logs and tell which requests were late, refused or failed, and by what"`
	Drain    *drainCommand    `arg:"subcommand:drain" help:"take a node out of service without cutting off a request"`
	Entry    *entryCommand    `arg:"subcommand:entry" help:"ask a node which entry VMs a team should use"`

	Store       string        `arg:"--store,env:CICADATACK_STORE" help:"IP number and port of the platform's store"`
	Environment string        `arg:"--environment,env:CICADATACK_ENVIRONMENT" help:"name of the environment"`
	Operator    string        `arg:"--operator,env:USER" help:"who puts a document in force" default:"operator"`
	OperatorKey string        `arg:"--operator-key,env:CICADATACK_OPERATOR_KEY" help:"key of the nodes' operators' calls"`
	Authorities string        `arg:"--authorities" help:"PEM file of the authorities of the nodes' certificates; nodes are then called over TLS"`
	Timeout     time.Duration `arg:"--timeout" help:"longest time for the calls of a command" default:"30s"`
}

func (arguments) Description() string {
	return "Operates cicadatack: documents through the platform's store, nodes through their operators' listener."
}

// command is one of the subcommands.
type command interface {
	run(ctx context.Context, args *arguments, out io.Writer) error
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("a command is needed: check, trial, promote, rollback, diff, history, prune, status, explain, isolated, lift, losses, drain or entry")
	}
	ctx, cancel := context.WithTimeout(context.Background(), args.Timeout)
	defer cancel()
	if err := chosen.run(ctx, &args, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
