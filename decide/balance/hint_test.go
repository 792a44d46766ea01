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
	eventLag        = 500 * time.Millisecond // time from an event to its arrival at the nodes
	eventLossPeriod = 20                     // every 20th event is lost
	// eventPollInterval is the time between two polls of the same endpoint for its
	// cache events: a node sends 8 polls a second in total to 12 endpoints.
	eventPollInterval = 1500 * time.Millisecond
)

// cacheEvents holds the cache events that an endpoint has published.
type cacheEvents struct {
	instance     int // number of restarts of the endpoint so far
	lastSequence uint64
	published    []publishedEvent
}

type publishedEvent struct {
	publishedAt time.Time
	cacheindex.Event
}

func (c *cacheEvents) publish(now time.Time, prefix uint64, stored bool) {
	c.lastSequence++
	if c.lastSequence%eventLossPeriod != 0 {
		c.published = append(c.published, publishedEvent{now, cacheindex.Event{Sequence: c.lastSequence, Prefix: prefix, Stored: stored}})
	}
}

// pageAfter returns the events after lastSequence that are at least eventLag old and
// have therefore arrived at the node.
func (c *cacheEvents) pageAfter(now time.Time, lastSequence uint64) cacheindex.Page {
	page := cacheindex.Page{Instance: fmt.Sprint(c.instance), Last: lastSequence}
	for _, event := range c.published {
		if event.Sequence > lastSequence && now.Sub(event.publishedAt) >= eventLag {
			page.Events = append(page.Events, event.Event)
			page.Last = event.Sequence
		}
	}
	return page
}

// restart clears an endpoint's cache and begins a new sequence of events.
func (e *engine) restart() {
	e.cachedPrefixes = nil
	e.cacheEvents = cacheEvents{instance: e.cacheEvents.instance + 1}
}

// policyWithHints returns a constructor of policies that poll cache events.
func policyWithHints(cfg Config) func(int) *policy {
	return func(node int) *policy {
		p := balancerPolicy(cfg)(node)
		p.cacheIndex = cacheindex.New(cacheindex.Config{})
		return p
	}
}

func (s *simulation) pollEvents() {
	for _, p := range s.policies {
		if p.cacheIndex == nil {
			continue
		}
		for _, e := range s.engines {
			p.cacheIndex.Apply(s.now, e.ID, e.cacheEvents.pageAfter(s.now, p.cacheIndex.LastSequence(e.ID)))
		}
	}
	s.schedule(eventPollInterval, s.pollEvents)
}

// cacheHitRatio considers the prompts that have a prefix. It returns the share of
// these prompts whose prefix was cached.
func (s *simulation) cacheHitRatio() float64 { return float64(s.cacheHits) / float64(s.cacheLookups) }

// If requests are assigned to endpoints by the hash of their prefix alone, the
// owner of a hot prefix cannot serve all requests with that prefix. The surplus
// requests go to endpoints that are chosen by load. Such an endpoint must compute
// the prefix, although other endpoints have the prefix cached. Here a third of the
// calls have the same prompt prefix, the other calls have one of sixty. The load
// of the hot prefix exceeds the capacity of the prefix's owner.
//
// Cache events tell which endpoints have a prefix cached, but they arrive late and
// some are lost. In the second pattern, four endpoints lose their caches at 20 s
// and four at 40 s, which makes the hints wrong. Wrong hints must not cost more
// than right hints save.
func TestCacheHintsBeatHashing(t *testing.T) {
	randomPrefix := func(r *rand.Rand) uint64 {
		if r.Float64() < 0.33 {
			return 1000
		}
		return 1 + r.Uint64N(60)
	}
	disturbances := map[string]func(s *simulation){
		"hot key": func(*simulation) {},
		"hot key, cache loss": func(s *simulation) {
			for i := range s.engines[:8] {
				s.schedule(time.Duration(20+20*(i%2))*time.Second, s.engines[i].restart)
			}
		},
	}
	for name, disturb := range disturbances {
		Convey(name, t, func() {
			loadPattern := func(s *simulation) {
				s.prefillTime, s.cachedPrefillTime = 600*time.Millisecond, 60*time.Millisecond
				disturb(s)
				s.schedule(eventPollInterval, s.pollEvents)
				s.runCalls(constantRate(70), randomPrefix)
			}
			for _, nodes := range []int{2, 9} {
				hashOnlyRun := runOn12Endpoints(t, fmt.Sprint("hash alone, nodes ", nodes), balancerPolicy(Config{}), nodes, loadPattern)
				hintsRun := runOn12Endpoints(t, fmt.Sprint("hints, nodes ", nodes), policyWithHints(Config{}), nodes, loadPattern)
				t.Logf("cache hit ratio %.3f by hash alone, %.3f by hints", hashOnlyRun.cacheHitRatio(), hintsRun.cacheHitRatio())
				So(hintsRun.cacheHitRatio(), ShouldBeGreaterThan, hashOnlyRun.cacheHitRatio())
				So(hintsRun.delayPercentile(.95), ShouldBeLessThanOrEqualTo, hashOnlyRun.delayPercentile(.95))
				if nodes == 2 {
					So(hintsRun.cacheHitRatio(), ShouldBeGreaterThan, hashOnlyRun.cacheHitRatio()+.03)
				} else {
					So(hintsRun.delayPercentile(.95), ShouldBeLessThan, hashOnlyRun.delayPercentile(.95)*95/100)
				}
			}
		})
	}
}
