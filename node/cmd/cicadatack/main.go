// Command cicadatack is the node: the same program on every entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/node/server"
	"github.com/cicadatack/cicadatack/node/settings"
)

type arguments struct {
	Settings string `arg:"--settings" help:"file with this node's settings in JSON; without it the node runs on the users' platform, with the settings that the platform gives"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
	Metrics  uint16 `arg:"--metrics-port" help:"on the users' platform: also serve /metrics at this port of the VM's address"`
}

func (arguments) Description() string {
	return "Routes callers' requests to model pipelines and plain services. SIGTERM drains the node."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	if args.Settings == "" {
		return runOnPlatform(args)
	}
	cfg, err := settings.Read(args.Settings)
	if err != nil {
		return err
	}
	if args.Check {
		fmt.Printf("%s: valid; node %s of environment %s, slot %s\n", args.Settings, cfg.Name, cfg.Environment, cfg.Slot)
		return nil
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "cicadatack",
		Level:      hclog.LevelFromString(cfg.Log.Level),
		Output:     os.Stdout,
		JSONFormat: cfg.Log.Format != "text",
	}).With("node", cfg.Name)
	node, err := server.New(cfg, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return node.Run(ctx)
}
