package crashguard

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/poison"
)

// Guards against nodes that all begin a request under which three replicas have ended, and against a request that
// breaks off because its node has begun it and must wait for a turn.
func TestRequestIsBegunAtTheTurnOfItsNode(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time {
		now = now.Add(20 * time.Millisecond)
		return now
	}
	g := New(Config{Prober: newNetwork(), Metrics: noMetrics{}, Log: hclog.NewNullLogger(), Now: clock})
	serve(t, g, "shared")
	contents := Contents{Own: []string{"bad"}}
	end := func(id int, part poison.Part) {
		now = now.Add(time.Second)
		g.crashed(poison.Crash{Process: poison.Process{Replica: fmt.Sprint("i-", id), Incarnation: 1}, Exposed: []poison.Exposure{{Part: part, SentAge: 100 * time.Millisecond}}})
	}
	begun := g.Request("begun", service, contents)
	if err := begun.Begin(t.Context()); err != nil {
		t.Fatal(err)
	}
	begun.Sent(Replica{ID: "i-1"})
	begun.End()
	end(0, poison.Part{Service: service, ID: "shared"})
	for id := range 3 {
		end(1+id, poison.OwnPart(service, "bad"))
	}
	if err := begun.Begin(t.Context()); err != nil {
		t.Errorf("a request that has begun does not go on: %v", err)
	}
	begun.End()
	var refusal *Refusal
	if err := g.Request("new", service, contents).Begin(t.Context()); !errors.As(err, &refusal) || refusal.Verdict != poison.Suspect || refusal.RetryAfter < suspectRetryAfter {
		t.Fatalf("another one begins before the node's turn: %+v", err)
	}
	now = now.Add(refusal.RetryAfter)
	if err := g.Request("later", service, contents).Begin(t.Context()); err != nil {
		t.Errorf("none begins at the node's turn: %v", err)
	}
}
