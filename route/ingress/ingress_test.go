package ingress

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/ruleset"
)

// delayedRules has no configuration until loaded is closed.
type delayedRules struct {
	Rules
	rules  *ruleset.Ruleset
	loaded chan struct{}
	// checked receives a value when a request looks for the first configuration. The
	// buffer of one value allows for a receiver that comes later.
	checked chan struct{}
}

func (l *delayedRules) Loaded() <-chan struct{} {
	select {
	case l.checked <- struct{}{}:
	default: // the buffer already has a value
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

// When all nodes of a fleet start at once, callers may send requests in the milliseconds
// before the configuration is read. If the nodes refused these requests, the callers would
// find no other node, and all would retry late.
func TestRequestsWaitForFirstRules(t *testing.T) {
	l := &delayedRules{rules: &ruleset.Ruleset{}, loaded: make(chan struct{}), checked: make(chan struct{}, 1)}
	in := &incomingRequest{Server: &Server{Rules: l}, httpRequest: httptest.NewRequest("GET", "/", nil)}
	got := make(chan *ruleset.Ruleset)
	go func() { got <- in.waitForRules(20 * time.Second) }()
	<-l.checked // the request has found no configuration
	select {
	case <-got:
		t.Fatal("a request was not held although its caller had time to wait")
	case <-time.After(2 * minRulesWait):
	}
	close(l.loaded)
	if <-got != l.rules {
		t.Error("waitForRules did not return the loaded configuration")
	}
	if in.waitForRules(0) != l.rules {
		t.Error("waitForRules did not return the current configuration")
	}
}

// If the store can't be reached while a node starts, callers with long timeouts would
// be held for nothing. They are refused after a short wait.
func TestWaitForFirstRulesIsBounded(t *testing.T) {
	l := &delayedRules{loaded: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	in := &incomingRequest{Server: &Server{Rules: l}, httpRequest: httptest.NewRequestWithContext(ctx, "GET", "/", nil)}
	for _, callerTimeout := range []time.Duration{0, time.Second, 10 * time.Minute} {
		if in.waitForRules(callerTimeout) != nil {
			t.Error("got a configuration although none was loaded")
		}
	}
	if ctx.Err() != nil {
		t.Error("the requests were held for a minute")
	}
}
