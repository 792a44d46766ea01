package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/promotion"
)

const testTimeout = 30 * time.Second

// desk is an operator's desk: a store and the command.
type desk struct {
	t     *testing.T
	store *storefake.Server
	args  arguments
	text  string
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	text, err := os.ReadFile("../../../examples/java.json")
	if err != nil {
		t.Fatal(err)
	}
	fake := storefake.New()
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	t.Cleanup(fake.Close)
	return &desk{t: t, store: fake, text: string(text), args: arguments{
		Store: strings.TrimPrefix(server.URL, "http://"), Environment: "java", Operator: "siti",
	}}
}

// do runs a command and returns its output.
func (d *desk) do(c command) (string, error) {
	ctx, cancel := context.WithTimeout(d.t.Context(), testTimeout)
	defer cancel()
	var out bytes.Buffer
	err := c.run(ctx, &d.args, &out)
	return out.String(), err
}

func (d *desk) must(c command) string {
	d.t.Helper()
	out, err := d.do(c)
	if err != nil {
		d.t.Fatalf("%T: %v", c, err)
	}
	return out
}

// fails runs a command that must fail and say each of the parts.
func (d *desk) fails(c command, parts ...string) error {
	d.t.Helper()
	out, err := d.do(c)
	if err == nil {
		d.t.Fatalf("%T succeeded: %s", c, out)
	}
	for _, part := range parts {
		if !strings.Contains(err.Error(), part) {
			d.t.Errorf("%T: the error does not say %q:\n%v", c, part, err)
		}
	}
	return err
}

// trial puts the example with another weight on trial and returns its digest.
func (d *desk) trial(weight int) string {
	d.t.Helper()
	text := strings.Replace(d.text, `"weight": 1`, fmt.Sprintf(`"weight": %d`, weight), 1)
	path := filepath.Join(d.t.TempDir(), "java.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	digest := document.Digest([]byte(text))
	if out := d.must(&trialCommand{File: path}); !strings.Contains(out, "cicadactl promote --digest "+digest+" --base ") {
		d.t.Errorf("trial does not say what to run next: %s", out)
	}
	return digest
}

// The first thing that a new operator does wrong is to leave out a step. Each
// message names the step, not the key of the store that was not there.
func TestStepsLeftOut(t *testing.T) {
	d := newDesk(t)
	d.fails(&promoteCommand{Digest: "abc", Base: -1}, "nothing is on trial", "cicadactl trial FILE")
	d.fails(&promoteCommand{Digest: "abc"}, "nothing is on trial", "cicadactl trial FILE")
	d.fails(&diffCommand{File: "../../../examples/java.json"}, "nothing has been promoted", `"java"`)
	d.fails(&rollbackCommand{Revision: 7, Base: -1}, "no revision 7", "cicadactl history")
	if out := d.must(&historyCommand{}); !strings.Contains(out, "nothing has been promoted") {
		t.Errorf("an empty history says %q", out)
	}
	digest := d.trial(1)
	d.fails(&promoteCommand{Digest: digest[:12], Base: -1}, "not the one on trial", "whole digest")
	d.must(&promoteCommand{Digest: digest, Base: -1})
}

// A tries a document; B, who tried and promoted another one in between, is in
// force. A's promotion without --base would put A's text over B's unseen. It is
// a conflict instead, and the base that is named then works.
func TestPromotionReplacesWhatTheTrialSaw(t *testing.T) {
	d := newDesk(t)
	d.must(&promoteCommand{Digest: d.trial(1), Base: -1})
	first := d.trial(2)
	d.must(&rollbackCommand{Revision: 1, Base: -1}) // B's, as revision 2
	d.fails(&promoteCommand{Digest: first, Base: -1}, "nothing was changed", "--base 2")
	out := d.must(&promoteCommand{Digest: first, Base: 2})
	if !strings.Contains(out, "revision 3") {
		t.Error(out)
	}
}

// The store takes A's promotion and every reply is lost, so that A can't know.
// Meanwhile B promotes on top of it. A runs the command again as told. It must
// find A's promotion and leave B's in force: a run that looked for the base
// anew would find B's revision and replace it with A's text.
func TestSecondRunFindsTheFirst(t *testing.T) {
	d := newDesk(t)
	d.must(&promoteCommand{Digest: d.trial(1), Base: -1})
	digest := d.trial(2)
	base, id := d.promoteUnknown(digest)
	d.must(&promoteCommand{Digest: d.trial(3), Base: -1})

	d.fails(&promoteCommand{Digest: digest, Base: -1, ID: id}, "--base")
	if out := d.must(&promoteCommand{Digest: digest, Base: base, ID: id}); !strings.Contains(out, "revision 2") {
		t.Errorf("the second run says %q", out)
	}
	if out := d.must(&historyCommand{Limit: 1}); !strings.Contains(out, "revision 3") {
		t.Errorf("in force is %q, want B's revision 3", out)
	}
}

// promoteUnknown promotes, reports that the outcome is unknown, as when every
// reply was lost, and returns the base and the id that the operator is told.
func (d *desk) promoteUnknown(digest string) (base int64, id string) {
	d.t.Helper()
	a := attempt{base: 1, id: promotion.NewID()}
	p, err := d.args.promoter()
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := p.Promote(d.t.Context(), d.args.Environment, digest, a.base, a.id, d.args.Operator); err != nil {
		d.t.Fatal(err)
	}
	told := a.report(&bytes.Buffer{}, document.Index{}, promotion.ErrUnknown)
	_, advice, _ := strings.Cut(told.Error(), "command again with ")
	if _, err := fmt.Sscanf(advice, "--base %d --id %s", &base, &id); err != nil {
		d.t.Fatalf("%v: %v", told, err)
	}
	return base, strings.TrimSuffix(id, ":")
}

// While the store is down nothing is changed, and the operator is told what
// goes on and what to do.
func TestStoreDown(t *testing.T) {
	d := newDesk(t)
	digest := d.trial(1)
	d.store.SetFaults(storefake.Faults{Outage: true})
	err := d.fails(&promoteCommand{Digest: digest, Base: 0}, "the nodes go on", "--store")
	if !errors.Is(err, promotion.ErrNotDone) {
		t.Errorf("the error is no longer told apart: %v", err)
	}
	d.fails(&historyCommand{}, "the nodes go on")
	d.store.SetFaults(storefake.Faults{})
	d.must(&promoteCommand{Digest: digest, Base: 0})
}

// An operator sees what would go before it goes, and runs a prune that an outage
// ended once more.
func TestPrune(t *testing.T) {
	d := newDesk(t)
	for weight := 1; weight <= 5; weight++ {
		d.must(&promoteCommand{Digest: d.trial(weight), Base: -1})
	}
	dry := d.must(&pruneCommand{Keep: 2, DryRun: true})
	if !strings.Contains(dry, "would remove 2 revisions") {
		t.Errorf("dry run: %s", dry)
	}
	d.store.SetFaults(storefake.Faults{Outage: true})
	d.fails(&pruneCommand{Keep: 2}, "run it again to go on")
	d.store.SetFaults(storefake.Faults{})
	if got := d.must(&pruneCommand{Keep: 2}); strings.TrimPrefix(got, "removed") != strings.TrimPrefix(dry, "would remove") {
		t.Errorf("said before: %sdone: %s", dry, got)
	}
	if listed := d.must(&historyCommand{Limit: 20}); strings.Count(listed, "\n") != 3 {
		t.Errorf("history: %s", listed)
	}
	d.must(&rollbackCommand{Revision: 4, Base: -1})
	d.fails(&rollbackCommand{Revision: 1, Base: -1}, "had no revision 1")
	d.fails(&pruneCommand{}, "--keep must be at least 1")
}
