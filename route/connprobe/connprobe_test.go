package connprobe

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"
)

type dialer struct {
	mu    sync.Mutex
	dead  []string
	calls int
}

func (d *dialer) Reachable(_ context.Context, address string, _ time.Duration) (accepts, answers bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	return !slices.Contains(d.dead, address), true
}

// All requests through a dead replica ask at once: it is tried twice, not twice for
// each of them, and a little later again.
func TestProbesAreShared(t *testing.T) {
	d := &dialer{dead: []string{"b"}}
	now := time.Unix(0, 0)
	p := New(d, func() time.Time { return now })
	for range 50 {
		if lost := p.FindUnreachable(context.Background(), ReasonStalledStream, []string{"a", "b", "c"}); len(lost) != 1 || lost[0] != (UnreachableEndpoint{Address: "b"}) {
			t.Fatalf("lost %v", lost)
		}
	}
	if d.calls != 4 {
		t.Errorf("%d connections for 50 questions, want 4", d.calls)
	}
	now = now.Add(aliveFor)
	p.FindUnreachable(context.Background(), ReasonStalledStream, []string{"a", "b"})
	if d.calls != 5 {
		t.Errorf("%d connections, want one more to the one that lived", d.calls)
	}
	d.dead = nil
	now = now.Add(validFor)
	if !p.Reachable(context.Background(), ReasonRecheck, "b") {
		t.Error("the old answer outlives its time")
	}
}

// silent is an address that neither accepts nor refuses; the first try to reach lossy is
// lost on the way.
type silent struct {
	mu    sync.Mutex
	tried map[string]int
}

func (s *silent) Reachable(ctx context.Context, address string, within time.Duration) (accepts, answers bool) {
	s.mu.Lock()
	s.tried[address]++
	first := s.tried[address] == 1
	s.mu.Unlock()
	if address == "lossy" && !first {
		return true, true
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	<-ctx.Done()
	return false, false
}

// A replica's machine loses power, and connections to it hang. The second try does not
// wait for the end of the first: streams that could still be on time would be late. One
// packet that was lost is no loss of the replica.
func TestTriesOverlap(t *testing.T) {
	p := New(&silent{tried: map[string]int{}}, time.Now)
	begun := time.Now()
	lost := p.FindUnreachable(context.Background(), ReasonStalledStream, []string{"dark", "lossy"})
	took := time.Since(begun)
	if len(lost) != 1 || lost[0] != (UnreachableEndpoint{Address: "dark", HostUnreachable: true}) {
		t.Errorf("lost %v", lost)
	}
	if took < within {
		t.Errorf("given up after %v", took)
	}
}

// patient holds its first try up until a second one has begun.
type patient struct{ second chan struct{} }

func (p *patient) Reachable(ctx context.Context, _ string, _ time.Duration) (accepts, answers bool) {
	select {
	case p.second <- struct{}{}: // the first try is there to take it
	case <-p.second:
	case <-ctx.Done():
	}
	return false, false
}

// Neither of two tries ends before both are underway: one after the other would never end.
func TestSecondTryDoesNotWaitForTheFirst(t *testing.T) {
	p := New(&patient{second: make(chan struct{})}, time.Now)
	if lost := p.FindUnreachable(context.Background(), ReasonStalledStream, []string{"dark"}); len(lost) != 1 {
		t.Errorf("lost %v", lost)
	}
}
