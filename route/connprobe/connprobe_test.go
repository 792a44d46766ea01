package connprobe

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"
)

// fakeDialer refuses connections to the addresses in unreachable.
type fakeDialer struct {
	mu          sync.Mutex
	unreachable []string
	calls       int
}

func (d *fakeDialer) Reachable(_ context.Context, address string, _ time.Duration) (accepts, hostAnswers bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	return !slices.Contains(d.unreachable, address), true
}

// Without shared probes, each request would open two connections to a replica that dies,
// because all requests that use the replica probe the replica at once.
func TestProbesAreShared(t *testing.T) {
	d := &fakeDialer{unreachable: []string{"b"}}
	now := time.Unix(0, 0)
	p := New(d, func() time.Time { return now })
	for range 50 {
		if unreachable := p.FindUnreachable(context.Background(), ReasonStalledStream, []string{"a", "b", "c"}); len(unreachable) != 1 || unreachable[0] != (UnreachableEndpoint{Address: "b"}) {
			t.Fatalf("unreachable endpoints: %v", unreachable)
		}
	}
	if d.calls != 4 {
		t.Errorf("%d connection attempts for 50 calls, want 4", d.calls)
	}
	now = now.Add(reachableTTL)
	p.FindUnreachable(context.Background(), ReasonStalledStream, []string{"a", "b"})
	if d.calls != 5 {
		t.Errorf("%d connection attempts, want 5: one more to the reachable endpoint", d.calls)
	}
	d.unreachable = nil
	now = now.Add(unreachableTTL)
	if !p.Reachable(context.Background(), ReasonRecheck, "b") {
		t.Error("an unreachable result was used after unreachableTTL")
	}
}

// Guards against a crash that is not noticed because the replica was reached just before it, and
// against a probe by each of the answers that a crash breaks off.
func TestBrokenOffAnswersAreProbedAnew(t *testing.T) {
	d, now := &fakeDialer{}, time.Unix(0, 0)
	p := New(d, func() time.Time { return now })
	p.Reachable(t.Context(), ReasonHedge, "a")
	now = now.Add(brokenOffTTL)
	d.unreachable = []string{"a"}
	for range 50 {
		if p.Reachable(t.Context(), ReasonBrokenOff, "a") {
			t.Fatal("a probe before the end of the answer counts")
		}
	}
	if d.calls != 3 {
		t.Errorf("%d connection attempts, want 3", d.calls)
	}
}

// hangingDialer lets connections hang until the timeout. Only the second attempt to the
// address "lossy" succeeds, as after the loss of one packet.
type hangingDialer struct {
	mu       sync.Mutex
	attempts map[string]int
}

func (d *hangingDialer) Reachable(ctx context.Context, address string, timeout time.Duration) (accepts, hostAnswers bool) {
	d.mu.Lock()
	d.attempts[address]++
	firstAttempt := d.attempts[address] == 1
	d.mu.Unlock()
	if address == "lossy" && !firstAttempt {
		return true, true
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
	return false, false
}

// If a replica's host loses power, connections to the host hang. The host then counts as
// unreachable, but not before the dial timeout. A replica to which only one packet of the
// first attempt was lost counts as reachable.
func TestHangingConnections(t *testing.T) {
	p := New(&hangingDialer{attempts: map[string]int{}}, time.Now)
	startedAt := time.Now()
	unreachable := p.FindUnreachable(context.Background(), ReasonStalledStream, []string{"hanging", "lossy"})
	elapsed := time.Since(startedAt)
	if len(unreachable) != 1 || unreachable[0] != (UnreachableEndpoint{Address: "hanging", HostUnreachable: true}) {
		t.Errorf("unreachable endpoints: %v", unreachable)
	}
	if elapsed < dialTimeout {
		t.Errorf("probe ended after %v, before the dial timeout", elapsed)
	}
}

// concurrentAttemptsDialer blocks each attempt until a second attempt is running too.
type concurrentAttemptsDialer struct{ otherAttempt chan struct{} }

func (d *concurrentAttemptsDialer) Reachable(ctx context.Context, _ string, _ time.Duration) (accepts, hostAnswers bool) {
	select {
	case d.otherAttempt <- struct{}{}: // received by the other attempt
	case <-d.otherAttempt:
	case <-ctx.Done():
	}
	return false, false
}

// If the second attempt waited for the end of the first attempt, a probe of a hanging
// endpoint would take two timeouts. Streams that could still be on time would be late. In
// this test an attempt ends only while both attempts run. Sequential attempts would
// therefore block forever.
func TestSecondAttemptDoesNotWaitForTheFirst(t *testing.T) {
	p := New(&concurrentAttemptsDialer{otherAttempt: make(chan struct{})}, time.Now)
	if unreachable := p.FindUnreachable(context.Background(), ReasonStalledStream, []string{"hanging"}); len(unreachable) != 1 {
		t.Errorf("unreachable endpoints: %v", unreachable)
	}
}
