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
	// probesPerTimeout is the number of probes sent within minUnresponsiveTimeout. With
	// 2.5, a chain is abandoned only after at least two probes without a reply. One late
	// reply from an engine short of CPU time does not make the chain unresponsive.
	probesPerTimeout = 2.5
	// checksPerTimeout is how often within minUnresponsiveTimeout a stream checks when
	// the chain was last active. A check makes no call. An unresponsive chain is detected
	// at most one check interval late.
	checksPerTimeout = 10
	// probeTimeoutFactor times minUnresponsiveTimeout is the timeout of one probe. This
	// timeout is longer than minUnresponsiveTimeout, because a late reply still shows that
	// the chain works.
	probeTimeoutFactor = 4
	// maxTimeoutFactor times minUnresponsiveTimeout bounds the time after which a chain
	// with slow probe replies counts as unresponsive. The doublings of that time within an
	// answer are applied after this bound.
	maxTimeoutFactor = 4
	// maxTimeoutDoublings bounds how often one answer doubles the time after which a chain
	// counts as unresponsive.
	maxTimeoutDoublings = 4
	// directProbeDuration is how long the node calls each stage directly if the first
	// stage does not support probes along the chain. After that time such a probe is
	// sent again, because the engine may have been replaced by one that supports it.
	directProbeDuration = time.Minute
	// maxProbedChains bounds the number of chains whose probeState is kept.
	maxProbedChains = 4096
)

// chainProber detects unresponsive chains while streams wait for their first token.
//
// # Failure without probes
//
// Without probes along the chain, a caller waits for the whole first-token timeout if a
// link between two stages fails without a reset before the first token. Each stage still
// answers when the node calls it directly, so the failure looks like a long prefill. A
// probe therefore takes the path of the activations: to the first stage, and from each
// stage to the next over the link between them. Neither a running prefill nor a queue
// delays the reply, so a missing reply means that a stage or a link has failed.
//
// Probes use other connections than the streams, so they do not detect the loss of a
// stream's own connection.
//
// # Load pattern
//
// With a first-token time of one second, 50 streams a second over 35 chains made 330
// probe calls a second, with some 200 KB a second. All streams of a chain therefore share
// its probes. No probe is sent while any of the streams receives tokens, because tokens
// show that the same path works.
type chainProber struct {
	client                 *engineclient.Client
	reports                *reportChecker
	minUnresponsiveTimeout time.Duration

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
	probedAt time.Time // when the last probe was sent
	activeAt time.Time // when the last probe reply or token arrived
	// responseTime estimates the time from a probe to its reply. A chain with slow
	// replies gets a longer timeout.
	responseTime gapEstimate
	// directUntil is set when the first stage does not support probes along the chain.
	// Until that time the node calls each stage directly, which does not detect a
	// failed link between stages.
	directUntil time.Time
}

func newChainProber(client *engineclient.Client, reports *reportChecker, minUnresponsiveTimeout time.Duration) *chainProber {
	return &chainProber{client: client, reports: reports, minUnresponsiveTimeout: minUnresponsiveTimeout, chains: map[chainKey]*probeState{}}
}

// checkInterval is the time between two calls of unresponsive by one stream.
func (c *chainProber) checkInterval() time.Duration {
	return c.minUnresponsiveTimeout / checksPerTimeout
}

// probeInterval is the minimum time between two probes of a chain.
func (c *chainProber) probeInterval() time.Duration {
	return time.Duration(float64(c.minUnresponsiveTimeout) / probesPerTimeout)
}

// unresponsive reports whether the chain has sent neither a probe reply nor a token for
// the chain's timeout. This time starts at the chain's last probe reply or token, or at
// silentSince if that is later. silentSince is when the stream began to wait for its first
// token, or, if the stream's timer fired late, when the timer last fired late.
//
// unresponsive also starts a probe if a probe interval has passed since the latest of
// silentSince, the last probe, and the last probe reply or token.
//
// doublings is the number of chains that the answer has already abandoned as
// unresponsive. Each of them doubles the timeout, because changing chains adds load and
// does not help if all chains reply slowly.
func (c *chainProber) unresponsive(model string, chain Chain, silentSince time.Time, doublings int) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(chain)
	if now.Sub(laterOf(silentSince, laterOf(s.probedAt, s.activeAt))) >= c.probeInterval() {
		s.probedAt = now
		go c.probe(model, chain, s, now, now.Before(s.directUntil))
	}
	return now.Sub(laterOf(silentSince, s.activeAt)) >= s.timeout(c.minUnresponsiveTimeout)<<min(doublings, maxTimeoutDoublings)
}

// measure starts a probe if the chain's response time is not known and the chain was not active
// within the last probe interval. A stream calls it at each check, so the first probe of such a
// chain goes out one check interval into the wait. The first probe that unresponsive starts goes
// out one probe interval into the wait: its reply has only the rest of the timeout, and a healthy
// chain that replies in more than that would be abandoned.
func (c *chainProber) measure(model string, chain Chain) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(chain)
	if s.responseTime.known || now.Sub(laterOf(s.probedAt, s.activeAt)) < c.probeInterval() {
		return
	}
	s.probedAt = now
	go c.probe(model, chain, s, now, now.Before(s.directUntil))
}

// recordActivity records that a token arrived from a chain. If a stage or link fails
// after the token, no more tokens arrive and probes start one probe interval later. Two
// probes still fit into minUnresponsiveTimeout.
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

// timeout returns how long a chain may send neither a probe reply nor a token before it
// counts as unresponsive.
func (s *probeState) timeout(minUnresponsiveTimeout time.Duration) time.Duration {
	if !s.responseTime.known {
		return minUnresponsiveTimeout
	}
	return s.responseTime.timeout(minUnresponsiveTimeout, maxTimeoutFactor*minUnresponsiveTimeout)
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

// probe probes a chain and records the reply. If direct is set, or the first stage does
// not support probes along the chain, the node calls each stage directly. The probe has
// its own timeout, because the stream that started it may end while other streams wait
// for the result.
func (c *chainProber) probe(model string, chain Chain, s *probeState, start time.Time, direct bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeoutFactor*c.minUnresponsiveTimeout)
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

// probeChain sends a probe along the chain. probeChain returns the engine reports of the stages,
// or nil if the probe failed, and whether the first stage supports such probes.
func (c *chainProber) probeChain(ctx context.Context, chain Chain) (reports []engineapi.Report, supported bool) {
	reports, err := c.client.ProbeChain(ctx, chain.Stages)
	if err != nil {
		status := engineclient.HTTPStatus(err)
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
