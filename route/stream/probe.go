package stream

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// probesPerTimeout is the number of probes sent within minTimeout. With 2.5, at
	// least two probes are unanswered when a chain is abandoned, so one late reply
	// from an engine short of CPU time does no harm.
	probesPerTimeout = 2.5
	// checksPerTimeout is how often within minTimeout the last activity is checked. A
	// check makes no call. Detection is late by at most one check interval.
	checksPerTimeout = 10
	// probeTimeoutFactor times minTimeout bounds one probe. It is longer than the time
	// after which a chain counts as unresponsive, because a late reply still shows
	// that the chain works.
	probeTimeoutFactor = 4
	// maxTimeoutFactor times minTimeout bounds the timeout of a chain whose replies
	// are slow.
	maxTimeoutFactor = 4
	// maxTimeoutDoublings bounds how often one answer doubles the timeout.
	maxTimeoutDoublings = 4
	// directProbeDuration is how long the stages are probed directly after the first
	// stage did not know the probe call. Then the call is tried again, because the
	// engine may have been replaced by one that knows it.
	directProbeDuration = time.Minute
	// maxProbedChains bounds the chains whose state is kept.
	maxProbedChains = 4096
)

// chainProber detects unresponsive chains while streams wait for their first token.
//
// # Failure without it
//
// Before the first token a link between two stages fails without a reset. Each stage
// still answers when the node calls it directly, so the failure looks like a long
// prompt and the caller waits for the whole first-token timeout. A probe therefore
// takes the path of the activations: to the first stage, and from each stage to the
// next over the link between them. Neither a running prompt nor a queue delays the
// reply, so a missing reply means that a stage or a link has failed.
//
// Probes use other connections than the streams, so the loss of a single connection
// is not detected.
//
// # Load pattern
//
// With a first-token time of one second, 50 streams a second over 35 chains made 330
// probe calls a second, some 200 KB. All streams of a chain therefore share its
// probes, and no probe is sent while any of them receives tokens, which take the same
// path.
type chainProber struct {
	client     *engineclient.Client
	reports    *reportChecker
	minTimeout time.Duration

	mu     sync.Mutex
	chains map[chainKey]*probeState
}

type chainKey struct {
	replica          string
	placementVersion int64
	firstAddress     string // address of the first stage
}

// probeState is the state of one chain. chainProber.mu guards it.
type probeState struct {
	probedAt time.Time // last probe sent
	activeAt time.Time // last probe reply or token
	// responseTime is the time of a probe reply. An engine with slow replies gets a
	// longer timeout.
	responseTime gapEstimate
	// directUntil is set when the first stage does not know the probe call. Until
	// then the node calls each stage directly, which does not detect a failed link
	// between stages.
	directUntil time.Time
}

func newChainProber(client *engineclient.Client, reports *reportChecker, minTimeout time.Duration) *chainProber {
	return &chainProber{client: client, reports: reports, minTimeout: minTimeout, chains: map[chainKey]*probeState{}}
}

// checkInterval is the time between two calls of unresponsive.
func (c *chainProber) checkInterval() time.Duration { return c.minTimeout / checksPerTimeout }

// probeInterval is the time between two probes of a chain.
func (c *chainProber) probeInterval() time.Duration {
	return time.Duration(float64(c.minTimeout) / probesPerTimeout)
}

// unresponsive starts a probe if the last one or the last activity is at least a probe
// interval ago. It reports whether the chain has shown no activity for its timeout,
// counted from since at the earliest. doublings is the number of chains that the
// answer has abandoned as unresponsive. Each doubles the timeout: if all chains are
// slow to reply, changing chains adds load.
func (c *chainProber) unresponsive(model string, chain Chain, silentSince time.Time, doublings int) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(chain)
	if now.Sub(laterOf(silentSince, laterOf(s.probedAt, s.activeAt))) >= c.probeInterval() {
		s.probedAt = now
		go c.probe(model, chain, s, now, now.Before(s.directUntil))
	}
	return now.Sub(laterOf(silentSince, s.activeAt)) >= s.timeout(c.minTimeout)<<min(doublings, maxTimeoutDoublings)
}

// recordActivity records that a token arrived from a chain. If a stage or link then
// fails, tokens stop and probes start one interval later, which leaves time for two
// probes within minTimeout.
func (c *chainProber) recordActivity(chain Chain, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(chain)
	s.activeAt = laterOf(s.activeAt, at)
}

func laterOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// timeout returns how long the chain may show no activity.
func (s *probeState) timeout(minTimeout time.Duration) time.Duration {
	if !s.responseTime.known {
		return minTimeout
	}
	return s.responseTime.timeout(minTimeout, maxTimeoutFactor*minTimeout)
}

// state returns the state of a chain, and creates it if needed. The caller holds mu.
func (c *chainProber) state(chain Chain) *probeState {
	key := chainKey{chain.Replica, chain.PlacementVersion, chain.Stages[0].Address}
	s := c.chains[key]
	if s == nil {
		if len(c.chains) >= maxProbedChains {
			clear(c.chains)
		}
		s = &probeState{}
		c.chains[key] = s
	}
	return s
}

// probe probes a chain and records the reply. With direct set it calls each stage
// itself. The call has its own timeout, because the stream that started it may end
// while others wait for the result.
func (c *chainProber) probe(model string, chain Chain, s *probeState, start time.Time, direct bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeoutFactor*c.minTimeout)
	defer cancel()
	requestedAt := c.reports.now()
	alive, supported := false, false
	if !direct {
		var reports []engineapi.Report
		reports, supported = c.probeChain(ctx, chain)
		if alive = reportsMatchPlan(reports, model, chain); alive {
			c.reports.recordReports(model, chain, requestedAt, reports)
		}
	}
	if !supported {
		alive = c.reports.verify(ctx, model, layerCount(chain), chain, start) == nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !direct && !supported {
		s.directUntil = start.Add(directProbeDuration)
	}
	if !alive {
		return
	}
	now := time.Now()
	s.activeAt = laterOf(s.activeAt, now)
	s.responseTime.sample(now.Sub(start))
}

// probeChain sends a probe along the chain. It returns the reports of the stages, or
// nil if the probe failed, and whether the first stage supports the probe call.
func (c *chainProber) probeChain(ctx context.Context, chain Chain) (reports []engineapi.Report, supported bool) {
	reports, err := c.client.Way(ctx, chain.Stages)
	if err != nil {
		status := engineclient.Status(err)
		return nil, status != http.StatusNotFound && status != http.StatusMethodNotAllowed
	}
	return reports, true
}

func reportsMatchPlan(reports []engineapi.Report, model string, chain Chain) bool {
	if len(reports) != len(chain.Stages) {
		return false
	}
	for i, stage := range chain.Stages {
		if !expectedFrom(model, stage, chain).matches(reports[i]) {
			return false
		}
	}
	return true
}

// layerCount returns the number of layers that a chain's stages cover.
func layerCount(chain Chain) int {
	return chain.Stages[len(chain.Stages)-1].Last + 1
}
