// Command demo runs the whole path on loopback as separate processes and prints
// what happened: a store, three nodes, two chains of two engines, two instances
// of a plain service, the operators' command and a caller.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// wholeTimeout ends a demo that hangs.
	wholeTimeout = 90 * time.Second
	drainTimeout = 60 * time.Second
	// shortAnswer and longAnswer are in tokens; the long one outlasts the start
	// of a drain.
	shortAnswer = 12
	longAnswer  = 300
	prompt      = "How much butter does Braga need tomorrow?"
)

type arguments struct {
	Bin string `arg:"--bin" default:"bin" help:"folder with the binaries"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args.Bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("\ndemo passed")
}

func run(bin string) error {
	dir, err := os.MkdirTemp("", "cicadatack-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), wholeTimeout)
	defer cancel()
	site, err := harness.StartSite(harness.Config{
		Bin: bin, Dir: dir, Nodes: 3, Replicas: 2, Plains: 2, StepMicros: 15000, EntryValidSeconds: 1,
	})
	if err != nil {
		return err
	}
	defer site.Close()
	d := &demo{ctx: ctx, site: site, dir: dir, caller: &harness.Caller{Key: harness.TeamKey, Client: &http.Client{}}}
	for _, step := range []func() error{d.promote, d.entry, d.stranger, d.chat, d.order, d.killStage, d.drain} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// demo holds what one step leaves for the next.
type demo struct {
	ctx    context.Context
	site   *harness.Site
	dir    string
	caller *harness.Caller
	// node serves the caller.
	node *harness.Process
}

func title(text string) { fmt.Printf("\n== %s\n", text) }

func (d *demo) promote() error {
	title("operators: check, trial, promote")
	text, err := d.site.Document(1)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, "java.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	for _, args := range [][]string{{"check", path}, {"trial", path}} {
		if err := d.ctl(args...); err != nil {
			return err
		}
	}
	digest, err := d.digestOf(path)
	if err != nil {
		return err
	}
	if err := d.ctl("promote", "--digest", digest); err != nil {
		return err
	}
	started := time.Now()
	for _, node := range d.site.Nodes {
		_, err := harness.WaitStatus(d.ctx, node, func(s operators.Status) bool {
			return s.Revision == 1 && s.Ready && live(s) == len(d.site.Nodes)
		})
		if err != nil {
			return err
		}
	}
	fmt.Printf("revision 1 in force on %d nodes, %d ms after the promotion; all see each other live\n", len(d.site.Nodes), time.Since(started).Milliseconds())
	return nil
}

func live(s operators.Status) int {
	n := 0
	for _, m := range s.Members {
		if m.State == "live" {
			n++
		}
	}
	return n
}

func (d *demo) digestOf(path string) (string, error) {
	out, err := d.site.Ctl("check", path)
	if err != nil {
		return "", err
	}
	fields := strings.Fields(out)
	return fields[len(fields)-1], nil
}

func (d *demo) ctl(args ...string) error {
	fmt.Println("$ cicadactl", strings.Join(args, " "))
	out, err := d.site.Ctl(args...)
	fmt.Print(out)
	return err
}

func (d *demo) entry() error {
	title("caller: which address to use")
	first := d.site.Nodes[0]
	answer, err := d.caller.Entry(d.ctx, first.Addresses.Callers, "bekasi")
	if err != nil {
		return err
	}
	if len(answer.Addresses) == 0 {
		return errors.New("the entry answer names no address")
	}
	for _, a := range answer.Addresses {
		fmt.Printf("%s in %s, weight %.2f\n", a.Address, a.FailureDomain, a.Weight)
	}
	for _, node := range d.site.Nodes {
		if node.Addresses.Callers == answer.Addresses[0].Address {
			d.node = node
		}
	}
	if d.node == nil {
		return fmt.Errorf("the answer names %s, which is no node", answer.Addresses[0].Address)
	}
	fmt.Printf("valid for %d ms; the caller connects to %s\n", answer.ValidForMillis, d.node.Name)
	return nil
}

func (d *demo) stranger() error {
	title("caller with an unknown key")
	stranger := &harness.Caller{Key: "guess", Client: d.caller.Client}
	answer, err := stranger.Chat(d.ctx, d.node.Addresses.Callers, prompt, shortAnswer, nil)
	if err != nil {
		return err
	}
	fmt.Printf("status %d, outcome %s, %s\n", answer.Status, answer.Outcome, answer.Error)
	if answer.Status != http.StatusUnauthorized {
		return errors.New("the stranger was not refused")
	}
	return nil
}

// undisturbed is the answer that the model gives when nothing fails.
func undisturbed(tokens int) string {
	messages := []engineapi.Message{{Role: "user", Content: prompt}}
	return strings.Join(engine.Answer(harness.Layers, messages, tokens), "")
}

func (d *demo) chat() error {
	title("caller: a streamed answer through a chain of two engines")
	started := time.Now()
	answer, err := d.caller.Chat(d.ctx, d.node.Addresses.Callers, prompt, shortAnswer, func(n int, token string) {
		fmt.Printf("%4d ms  token %2d  %q\n", time.Since(started).Milliseconds(), n, token)
	})
	if err != nil {
		return err
	}
	fmt.Printf("outcome %s, %d tokens, request %s\n", answer.Outcome, answer.Tokens, answer.Request)
	if answer.Text != undisturbed(shortAnswer) {
		return errors.New("the answer is not the model's")
	}
	fmt.Println("byte for byte the model's answer: every layer ran once for every token")
	return d.explain(answer.Request)
}

func (d *demo) explain(request string) error {
	return d.ctl("explain", "--node", d.node.Addresses.Operators, request)
}

func (d *demo) order() error {
	title("caller: an order, asked for twice under one key")
	for range 2 {
		reply, err := d.caller.Order(d.ctx, d.node.Addresses.Callers, "order-0417", `{"item":"butter","kg":40}`)
		if err != nil {
			return err
		}
		fmt.Printf("status %d, outcome %s, replayed %t: %s\n", reply.Status, reply.Outcome, reply.Replayed, reply.Body)
		if err := d.explain(reply.Request); err != nil {
			return err
		}
	}
	return d.placedOnce()
}

func (d *demo) placedOnce() error {
	total := 0
	for _, p := range d.site.Plains {
		response, err := http.Get("http://" + p.Address + "/standin/orders")
		if err != nil {
			return err
		}
		var orders []plain.Order
		err = json.NewDecoder(response.Body).Decode(&orders)
		response.Body.Close()
		if err != nil {
			return err
		}
		total += len(orders)
		fmt.Printf("%s was given %d orders\n", p.Name, len(orders))
	}
	if total != 1 {
		return fmt.Errorf("the order arrived %d times", total)
	}
	return nil
}

func (d *demo) killStage() error {
	title("a stage is killed partway through a stream")
	var killed string
	answer, err := d.caller.Chat(d.ctx, d.node.Addresses.Callers, prompt, 40, func(n int, _ string) {
		if n == 10 {
			killed = d.killUsed()
		}
	})
	if err != nil {
		return err
	}
	fmt.Printf("killed %s after token 10; outcome %s, %d tokens\n", killed, answer.Outcome, answer.Tokens)
	if answer.Text != undisturbed(40) {
		return errors.New("the answer is not the undisturbed one")
	}
	fmt.Println("byte for byte the undisturbed answer")
	return d.explain(answer.Request)
}

// killUsed kills the second stage of the chain that the last route decision
// chose.
func (d *demo) killUsed() string {
	chosen := ""
	for _, line := range d.node.Lines() {
		var l struct {
			Kind   string `json:"kind"`
			Chosen string `json:"chosen"`
		}
		if json.Unmarshal([]byte(line), &l) == nil && l.Kind == "route" && strings.HasPrefix(l.Chosen, "replica-") {
			chosen = l.Chosen
		}
	}
	for i, pair := range d.site.Engines {
		if fmt.Sprintf("replica-%d", i+1) == chosen {
			pair[1].Kill()
			return pair[1].Name
		}
	}
	return "none"
}

func (d *demo) drain() error {
	title("SIGTERM drains the node while a long answer streams")
	signalled := make(chan error, 1)
	answer, err := d.caller.Chat(d.ctx, d.node.Addresses.Callers, prompt, longAnswer, func(n int, _ string) {
		if n == 5 {
			signalled <- d.node.Signal(syscall.SIGTERM)
		}
	})
	if err := errors.Join(err, <-signalled); err != nil {
		return err
	}
	fmt.Printf("answer begun before the drain: outcome %s, %d tokens, whole %t\n", answer.Outcome, answer.Tokens, answer.Whole)
	if answer.Text != undisturbed(longAnswer) {
		return errors.New("the drain cut the stream")
	}
	if err := d.node.Wait(drainTimeout); err != nil {
		return err
	}
	fmt.Printf("%s ended with status 0\n", d.node.Name)
	return d.leftOut()
}

func (d *demo) leftOut() error {
	for _, other := range d.site.Nodes {
		if other == d.node {
			continue
		}
		answer, err := d.caller.Entry(d.ctx, other.Addresses.Callers, "bekasi")
		if err != nil {
			return err
		}
		for _, a := range answer.Addresses {
			if a.Address == d.node.Addresses.Callers {
				return fmt.Errorf("%s still names the node that left", other.Name)
			}
		}
		fmt.Printf("%s names %d addresses, none of them the node that left\n", other.Name, len(answer.Addresses))
	}
	return nil
}
