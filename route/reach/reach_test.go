package reach

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

func (d *dialer) Reachable(_ context.Context, address string, _ time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	return !slices.Contains(d.dead, address)
}

// All requests through a dead replica ask at once: it is tried twice, not twice for
// each of them, and a little later again.
func TestProbesAreShared(t *testing.T) {
	d := &dialer{dead: []string{"b"}}
	now := time.Unix(0, 0)
	p := New(d, func() time.Time { return now })
	for range 50 {
		if lost := p.Lost(context.Background(), []string{"a", "b", "c"}); len(lost) != 1 || lost[0] != "b" {
			t.Fatalf("lost %v", lost)
		}
	}
	if d.calls != 4 {
		t.Errorf("%d connections for 50 questions, want 4", d.calls)
	}
	d.dead = nil
	now = now.Add(validFor)
	if !p.Reachable(context.Background(), "b") {
		t.Error("the old answer outlives its time")
	}
}
