package faultmatrix

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/e2e/rig"
	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/state/document"
)

// onKey arms a trap on the writes of one of the environment's keys.
func onKey(name string, trap rig.Trap) func(*cell, func()) {
	return func(c *cell, spring func()) {
		trap := trap
		trap.Path = txn
		trap.Body = rig.Key("/cicadatack/" + harness.Environment + "/" + name)
		trap.Spring = spring
		c.Store.Set(&trap)
	}
}

var promotionSteps = []step{
	{"trial asked", onKey("trial", rig.Trap{When: rig.Before})},
	{"trial written", onKey("trial", rig.Trap{When: rig.After})},
	{"history asked", onKey("history/", rig.Trap{When: rig.Before})},
	{"history written", onKey("history/", rig.Trap{When: rig.After})},
	{"production asked", onKey("production", rig.Trap{When: rig.Before})},
	{"production written", onKey("production", rig.Trap{When: rig.After})},
}

// patience is how long the operator's command tries while the store is down:
// longer than the store's client waits for one call. The command's default of
// 30 s took most of the matrix's time and showed nothing else.
const patience = "3s"

// base is the revision that the operator replaces: the rig's first.
const base = 1

// pastPatience is longer than that.
const pastPatience = 3500 * time.Millisecond

var operatorFaults = []fault{
	{"another operator promotes", (*cell).promoteOther},
}

// commandFaults freeze the operators' command, as a closed laptop does.
var commandFaults = []fault{
	{"command frozen while another promotes", func(c *cell) {
		c.must(c.command.Load().Freeze())
		c.promoteOther()
		c.must(c.command.Load().Thaw())
	}},
	{"command frozen past its time", func(c *cell) {
		command := c.command.Load()
		c.must(command.Freeze())
		c.promoteOther()
		time.AfterFunc(pastPatience, func() { c.must(command.Thaw()) })
	}},
}

var promotionPath = path{
	name:  "promotion",
	steps: promotionSteps,
	body:  judgePromotion,
	kinds: []kind{nodeKind, storeKind, without(peerFaults, "second SIGTERM"), joined(operatorFaults, documentKind), commandFaults},
	faults: joined(nodeFaults, pairs, without(peerFaults, "second SIGTERM"), operatorFaults, commandFaults, []fault{
		both(one(operatorFaults, "another operator promotes"), one(nodeFaults, "store reply lost")),
	}),
	omitted: []omission{
		{ownerFaults, "a promotion claims no order"},
		{joined(engineFaults, allPaused, slowEngine, wrongEngine, plainFaults), "a promotion touches no endpoint"},
		{named(peerFaults, "second SIGTERM"), "of the drain path only"},
	},
}

// An operator tries and promotes a document while a fault strikes at a step.
// Whatever the command reports is true: in force means that the record with its
// digest was accepted once, an error means that it was not, and an unknown
// outcome is settled by running the command again with the same promotion id.
// Every node that runs comes to the highest revision and none goes back. A
// command that is frozen while another operator promotes, and goes on, does not
// put its document over the newer one.
func TestPromotion(t *testing.T) {
	promotionPath.each(t)
}

func judgePromotion(c *cell) {
	path := filepath.Join(c.t.TempDir(), "java.json")
	text, err := c.Document(3)
	c.must(err)
	c.must(os.WriteFile(path, text, 0o600))
	c.operator(path, document.Digest(text))
	c.sprang()
	c.Heal()
	final, err := c.Promoter.InForce(c.ctx, harness.Environment)
	c.must(err)
	c.must(c.WaitAll(c.ctx, func(s operators.Status) bool {
		return s.Draining || (s.Revision == final.Revision && s.Digest == final.Digest)
	}))
	c.nodesSane()
}

// operator does what the operators' page says, until the outcome is known.
func (c *cell) operator(path, digest string) {
	for range asksAfter {
		if _, err := c.ctl("trial", path); err == nil {
			break
		}
		c.Heal()
	}
	out, err := c.ctl("promote", "--digest", digest, "--base", strconv.Itoa(base))
	for range asksAfter {
		id := regexp.MustCompile(`--id (\S+):`).FindStringSubmatch(out)
		if err == nil || id == nil {
			break
		}
		c.Heal()
		out, err = c.ctl("promote", "--digest", digest, "--base", strconv.Itoa(base), "--id", id[1])
	}
	c.truthful(out, err, digest)
}

func (c *cell) ctl(args ...string) (string, error) {
	command, err := harness.StartCtl(bin, c.Store.Address(), append(args, "--timeout", patience)...)
	if err != nil {
		return "", err
	}
	c.command.Store(command)
	return command.Wait()
}

// truthful compares what the operator was told with the store's history.
func (c *cell) truthful(out string, err error, digest string) {
	c.healStore()
	records, herr := c.Promoter.History(c.ctx, harness.Environment, asksAfter)
	c.must(herr)
	accepted := map[string]int{}
	for _, r := range records {
		accepted[r.Digest]++
		if r.Digest == digest && r.Revision != base+1 {
			c.t.Errorf("the document replaced revision %d, which is newer than the one it was for", r.Revision-1)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.inForce {
		if accepted[other] != 1 {
			c.t.Errorf("another operator was told in force, but its document was accepted %d times", accepted[other])
		}
	}
	times := accepted[digest]
	switch {
	case err == nil && times != 1:
		c.t.Errorf("told in force, but accepted %d times: %s", times, out)
	case err != nil && times != 0:
		c.t.Errorf("told that it failed, but accepted %d times: %s", times, out)
	case strings.TrimSpace(out) == "":
		c.t.Error("the command said nothing")
	}
}
