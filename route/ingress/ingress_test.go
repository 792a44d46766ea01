package ingress

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/ruleset"
)

// delayedRules is a node whose first configuration comes a while after its first caller.
type delayedRules struct {
	Rules
	rules *ruleset.Ruleset
	loaded chan struct{}
	// checked is told when a request asks for the first one; it keeps one word, as the
	// listener may come later.
	checked chan struct{}
}

func (l *delayedRules) Loaded() <-chan struct{} {
	select {
	case l.checked <- struct{}{}:
	default: // that is known already
	}
	return l.loaded
}

func (l *delayedRules) Current() *ruleset.Ruleset {
	select {
	case <-l.loaded:
		return l.rules
	default:
		return nil
	}
}

// All nodes of a fleet start at once, before all callers. Those who come in the
// milliseconds before the configuration has been read are not sent away: with nobody else
// to go to they would all come back late.
func TestRequestsWaitForFirstRules(t *testing.T) {
	l := &delayedRules{rules: &ruleset.Ruleset{}, loaded: make(chan struct{}), checked: make(chan struct{}, 1)}
	e := &incomingRequest{Server: &Server{Rules: l}, httpRequest: httptest.NewRequest("GET", "/", nil)}
	got := make(chan *ruleset.Ruleset)
	go func() { got <- e.waitForRules(20 * time.Second) }()
	<-l.checked // it has looked once, and found none
	select {
	case <-got:
		t.Fatal("a caller with time to wait was sent away")
	case <-time.After(2 * minRulesWait):
	}
	close(l.loaded)
	if <-got != l.rules {
		t.Error("a request was let in by no configuration")
	}
	if e.waitForRules(0) != l.rules {
		t.Error("the one in force is not used")
	}
}

// The store is away while a node starts. Its callers are told so soon, however much time
// they have, and not held.
func TestWaitForFirstRulesIsBounded(t *testing.T) {
	l := &delayedRules{loaded: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	e := &incomingRequest{Server: &Server{Rules: l}, httpRequest: httptest.NewRequestWithContext(ctx, "GET", "/", nil)}
	for _, callerTimeout := range []time.Duration{0, time.Second, 10 * time.Minute} {
		if e.waitForRules(callerTimeout) != nil {
			t.Error("a configuration out of nowhere")
		}
	}
	if ctx.Err() != nil {
		t.Error("the caller was held")
	}
}
