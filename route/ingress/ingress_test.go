package ingress

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/ruleset"
)

// late is a node whose first configuration comes a while after its first caller.
type late struct {
	Rules
	rules *ruleset.Ruleset
	first chan struct{}
	// asked is told when a request asks for the first one; it keeps one word, as the
	// listener may come later.
	asked chan struct{}
}

func (l *late) First() <-chan struct{} {
	select {
	case l.asked <- struct{}{}:
	default: // that is known already
	}
	return l.first
}

func (l *late) Current() *ruleset.Ruleset {
	select {
	case <-l.first:
		return l.rules
	default:
		return nil
	}
}

// All nodes of a fleet start at once, before all callers. Those who come in the
// milliseconds before the configuration has been read are not sent away: with nobody else
// to go to they would all come back late.
func TestFirstConfigurationIsWaitedFor(t *testing.T) {
	l := &late{rules: &ruleset.Ruleset{}, first: make(chan struct{}), asked: make(chan struct{}, 1)}
	e := &entry{Door: &Door{Rules: l}, r: httptest.NewRequest("GET", "/", nil)}
	got := make(chan *ruleset.Ruleset)
	go func() { got <- e.current(20 * time.Second) }()
	<-l.asked // it has looked once, and found none
	select {
	case <-got:
		t.Fatal("a caller with time to wait was sent away")
	case <-time.After(2 * firstRulesLeast):
	}
	close(l.first)
	if <-got != l.rules {
		t.Error("a request was let in by no configuration")
	}
	if e.current(0) != l.rules {
		t.Error("the one in force is not used")
	}
}

// The store is away while a node starts. Its callers are told so soon, however much time
// they have, and not held.
func TestNoConfigurationIsToldSoon(t *testing.T) {
	l := &late{first: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	e := &entry{Door: &Door{Rules: l}, r: httptest.NewRequestWithContext(ctx, "GET", "/", nil)}
	for _, patience := range []time.Duration{0, time.Second, 10 * time.Minute} {
		if e.current(patience) != nil {
			t.Error("a configuration out of nowhere")
		}
	}
	if ctx.Err() != nil {
		t.Error("the caller was held")
	}
}
