package faultmatrix

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// beat is between two looks of the stall meter; one that comes later by
	// stallBound shows that this process, in which all engines of all cells live,
	// did not get a processor. Nodes wait 250 ms for a token and 300 ms for an
	// engine's word on its layers, which takes several turns of the scheduler.
	beat       = 10 * time.Millisecond
	stallBound = 50 * time.Millisecond
)

// stallMeter notes when the machine last kept the test process waiting.
type stallMeter struct{ last atomic.Int64 }

// machine is the meter of the whole run.
var machine = newStallMeter()

func newStallMeter() *stallMeter {
	m := &stallMeter{}
	go func() {
		for {
			begun := time.Now()
			time.Sleep(beat)
			if time.Since(begun) > beat+stallBound {
				m.last.Store(time.Now().UnixNano())
			}
		}
	}()
	return m
}

// stalledSince says whether a stall ended after the time.
func (m *stallMeter) stalledSince(t time.Time) bool {
	return m.last.Load() > t.UnixNano()
}

// askModel plays a caller of a model. On a machine that stalls, every engine may be
// late at once, and the caller is told before the first token that there is no
// chain: this caller comes back as told. Without a stall a refusal is judged as
// it stands, so a node that refuses without cause is found.
func (c *cell) askModel(node, length int) (answered, error) {
	for range asksAfter {
		begun := time.Now()
		a, err := c.Caller.Chat(c.ctx, c.node(node), prompt, length, nil)
		refused := err == nil && a.Status == http.StatusServiceUnavailable && a.Tokens == 0
		if !refused || !machine.stalledSince(begun) {
			return a, err
		}
		c.t.Logf("the machine stalled; the caller was told %q and comes back", a.Error)
		time.Sleep(comeBack)
	}
	return c.Caller.Chat(c.ctx, c.node(node), prompt, length, nil)
}
