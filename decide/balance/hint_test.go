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
	eventLag        = 500 * time.Millisecond
	eventLossPeriod = 20 // one event in this many is lost
	// eventPollInterval is how often a node polls an endpoint for its events: 8
	// polls a second over 12 endpoints.
	eventPollInterval = 1500 * time.Millisecond
)

// cacheEvents are the cache events that an endpoint publishes.
type cacheEvents struct {
	instance  int
	sequence  uint64
	published []timedEvent
}

type timedEvent struct {
	at time.Time
	cacheindex.Event
}

func (c *cacheEvents) publish(now time.Time, prefix uint64, stored bool) {
	c.sequence++
	if c.sequence%eventLossPeriod != 0 {
		c.published = append(c.published, timedEvent{now, cacheindex.Event{Sequence: c.sequence, Prefix: prefix, Stored: stored}})
	}
}

func (c *cacheEvents) page(now time.Time, after uint64) cacheindex.Page {
	p := cacheindex.Page{Instance: fmt.Sprint(c.instance), Last: after}
	for _, e := range c.published {
		if e.Sequence > after && now.Sub(e.at) >= eventLag {
			p.Events = append(p.Events, e.Event)
			p.Last = e.Sequence
		}
	}
	return p
}

// restart clears an endpoint's cache and starts a new sequence of events.
func (e *engine) restart() {
	e.cache = nil
	e.events = cacheEvents{instance: e.events.instance + 1}
}

// policyWithHints returns nodes that poll cache events.
func policyWithHints(cfg Config) func(int) *policy {
	return func(node int) *policy {
		p := balancerPolicy(cfg)(node)
		p.hints = cacheindex.New(cacheindex.Config{})
		return p
	}
}

func (s *simulation) pollEvents() {
	for _, p := range s.policies {
		if p.hints == nil {
			continue
		}
		for _, e := range s.engines {
			p.hints.Apply(s.now, e.ID, e.events.page(s.now, p.hints.After(e.ID)))
		}
	}
	s.schedule(eventPollInterval, s.pollEvents)
}

func (s *simulation) hitRate() float64 { return float64(s.cacheHits) / float64(s.cacheLookups) }

// A third of the calls has one prompt prefix, the others have one of sixty. The
// load of the hot prefix exceeds the capacity of its home. With hashing alone, the
// surplus is placed by load on endpoints that must compute the prefix although
// others have it cached. Cache events tell which ones do, late and with gaps.
// Endpoints that lose their caches twice during the run make the hints wrong, and
// wrong hints must not cost more than right ones save.
func TestCacheHintsBeatHashing(t *testing.T) {
	prefix := func(r *rand.Rand) uint64 {
		if r.Float64() < 0.33 {
			return 1000
		}
		return 1 + r.Uint64N(60)
	}
	patterns := map[string]func(s *simulation){
		"hot key": func(*simulation) {},
		"hot key, cache loss": func(s *simulation) {
			for i := range s.engines[:8] {
				s.schedule(time.Duration(20+20*(i%2))*time.Second, s.engines[i].restart)
			}
		},
	}
	for name, disturb := range patterns {
		Convey(name, t, func() {
			pattern := func(s *simulation) {
				s.prefill, s.cachedPrefill = 600*time.Millisecond, 60*time.Millisecond
				disturb(s)
				s.schedule(eventPollInterval, s.pollEvents)
				s.run(constantRate(70), prefix)
			}
			for _, nodes := range []int{2, 9} {
				hashOnlyRun := runPattern(t, fmt.Sprint("hash alone, nodes ", nodes), balancerPolicy(Config{}), nodes, pattern)
				hintsRun := runPattern(t, fmt.Sprint("hints, nodes ", nodes), policyWithHints(Config{}), nodes, pattern)
				t.Logf("hit rate %.3f by hash alone, %.3f by hints", hashOnlyRun.hitRate(), hintsRun.hitRate())
				So(hintsRun.hitRate(), ShouldBeGreaterThan, hashOnlyRun.hitRate())
				So(hintsRun.percentile(.95), ShouldBeLessThanOrEqualTo, hashOnlyRun.percentile(.95))
				if nodes == 2 {
					So(hintsRun.hitRate(), ShouldBeGreaterThan, hashOnlyRun.hitRate()+.03)
				} else {
					So(hintsRun.percentile(.95), ShouldBeLessThan, hashOnlyRun.percentile(.95)*95/100)
				}
			}
		})
	}
}
