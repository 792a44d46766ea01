package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/cacheindex"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	eventLag  = 500 * time.Millisecond
	eventLoss = 20 // each so-manieth event is lost
	// pollEvery is how often a node asks an endpoint for its events: 8 polls a
	// second over 12 endpoints.
	pollEvery = 1500 * time.Millisecond
)

// cacheEvents are what an endpoint publishes of its cache.
type cacheEvents struct {
	instance int
	sequence uint64
	kept     []timedEvent
}

type timedEvent struct {
	at time.Time
	cacheindex.Event
}

func (c *cacheEvents) publish(now time.Time, prefix uint64, stored bool) {
	c.sequence++
	if c.sequence%eventLoss != 0 {
		c.kept = append(c.kept, timedEvent{now, cacheindex.Event{Sequence: c.sequence, Prefix: prefix, Stored: stored}})
	}
}

func (c *cacheEvents) page(now time.Time, after uint64) cacheindex.Page {
	p := cacheindex.Page{Instance: fmt.Sprint(c.instance), Last: after}
	for _, e := range c.kept {
		if e.Sequence > after && now.Sub(e.at) >= eventLag {
			p.Events = append(p.Events, e.Event)
			p.Last = e.Sequence
		}
	}
	return p
}

// restart empties an endpoint's cache and begins its events anew.
func (e *engine) restart() {
	e.cache = nil
	e.events = cacheEvents{instance: e.events.instance + 1}
}

// hinted nodes poll events.
func hinted(cfg Config) func(int) *policy {
	return func(node int) *policy {
		p := balanced(cfg)(node)
		p.hints = cacheindex.New(cacheindex.Config{})
		return p
	}
}

func (w *world) pollEvents() {
	for _, p := range w.policies {
		if p.hints == nil {
			continue
		}
		for _, e := range w.engines {
			p.hints.Apply(w.now, e.ID, e.events.page(w.now, p.hints.LastSequence(e.ID)))
		}
	}
	w.after(pollEvery, w.pollEvents)
}

func (w *world) hitRate() float64 { return float64(w.hits) / float64(w.asked) }

// A third of the calls has one prompt prefix, the others one of sixty. The hot one
// outgrows its home: by hash alone the surplus goes by load to endpoints that have
// to compute it, though others have it cached. Events tell which, late and with
// gaps; endpoints that lose their caches twice in the run make them wrong, and the
// hints must not cost more than they win.
func TestHintsAgainstHashAlone(t *testing.T) {
	prefix := func(r *rand.Rand) uint64 {
		if r.Float64() < 0.33 {
			return 1000
		}
		return 1 + r.Uint64N(60)
	}
	patterns := map[string]func(w *world){
		"hot key": func(*world) {},
		"hot key, cache loss": func(w *world) {
			for i := range w.engines[:8] {
				w.after(time.Duration(20+20*(i%2))*time.Second, w.engines[i].restart)
			}
		},
	}
	for name, disturb := range patterns {
		Convey(name, t, func() {
			pattern := func(w *world) {
				w.prefill, w.cachedPrefill = 600*time.Millisecond, 60*time.Millisecond
				disturb(w)
				w.after(pollEvery, w.pollEvents)
				w.run(steady(70), prefix)
			}
			for _, nodes := range []int{2, 9} {
				hash := play(t, fmt.Sprint("hash alone, nodes ", nodes), balanced(Config{}), nodes, pattern)
				held := play(t, fmt.Sprint("hints, nodes ", nodes), hinted(Config{}), nodes, pattern)
				t.Logf("hit rate %.3f by hash alone, %.3f by hints", hash.hitRate(), held.hitRate())
				So(held.hitRate(), ShouldBeGreaterThan, hash.hitRate())
				So(held.percentile(.95), ShouldBeLessThanOrEqualTo, hash.percentile(.95))
				if nodes == 2 {
					So(held.hitRate(), ShouldBeGreaterThan, hash.hitRate()+.03)
				} else {
					So(held.percentile(.95), ShouldBeLessThan, hash.percentile(.95)*95/100)
				}
			}
		})
	}
}
