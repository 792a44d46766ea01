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
	// probesPerTimeout and ticksIn are how many times in the least wait a chain is
	// asked and looked at. Two and a half: when it is given up at least two
	// questions are without an answer, so that one answer that comes late from
	// an engine short of processor time costs nothing. Looks cost no call, and
	// are what detection is late by.
	probesPerTimeout = 2.5
	checksPerTimeout = 10
	// probeTimeoutFactor, in least waits, bounds one question. It is longer than the wait
	// for silence: an answer that comes late is a sign of life all the same.
	probeTimeoutFactor = 4
	// maxTimeoutFactor, in least waits, bounds what slow answers may make of the wait.
	maxTimeoutFactor = 4
	// maxTimeoutDoublings bounds the doublings of one answer.
	maxTimeoutDoublings = 4
	// directProbeDuration is how long an engine that does not know the question is not
	// asked it: it may be replaced by one that does.
	directProbeDuration = time.Minute
	// maxProbedChains bounds the chains kept.
	maxProbedChains = 4096
)

// chainProber tells a chain that works on a prompt, or queues, from one that is
// lost, while streams wait for their first token.
//
// The failure that it answers: a link between two stages is lost without a
// reset before the first token. Each stage answers when the node asks it
// directly, so the caller waits for the whole time that a long prompt may take.
// The question therefore goes the way of the activations: to the first stage,
// and from each stage to the next over the link between them. Prompt and queue
// do not delay the answer, so silence means that a stage or a link is gone. It
// goes over other connections than the stream's own; a link that loses a single
// connection is not found.
//
// All streams of a chain share the questions, and none is asked while tokens of
// any of them come: these took the same way. With first tokens of a second, 50
// streams a second over 35 chains had 330 questions a second asked, some 200 KB.
type chainProber struct {
	client     *engineclient.Client
	reports    *reportChecker
	minTimeout time.Duration

	mu     sync.Mutex
	chains map[chainKey]*probeState
}

type chainKey struct {
	replica      string
	version      int64
	firstAddress string // address of the first stage
}

// probeState is what is known of one chain. wayCheck.mu guards it.
type probeState struct {
	probedAt time.Time
	activeAt time.Time
	// responseTime follows the time of an answer, so that an engine which is slow to
	// answer is given longer.
	responseTime gapEstimate
	// directUntil is until when the first stage is taken not to know the question.
	// Then each stage is asked by itself, which does not find a lost link
	// between them.
	directUntil time.Time
}

func newChainProber(client *engineclient.Client, reports *reportChecker, minTimeout time.Duration) *chainProber {
	return &chainProber{client: client, reports: reports, minTimeout: minTimeout, chains: map[chainKey]*probeState{}}
}

// checkInterval is the time between two calls of silent.
func (c *chainProber) checkInterval() time.Duration { return c.minTimeout / checksPerTimeout }

// probeInterval is the time between two questions.
func (c *chainProber) probeInterval() time.Duration {
	return time.Duration(float64(c.minTimeout) / probesPerTimeout)
}

// unresponsive asks along a chain, unless somebody just has, and reports whether it
// has not been heard of for too long since the given time. Each chain that an
// answer gave up for silence doubles the wait: if all are slow to answer, to
// move on makes it worse.
func (c *chainProber) unresponsive(model string, chain Chain, since time.Time, doublings int) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.state(chain)
	if now.Sub(laterOf(since, laterOf(w.probedAt, w.activeAt))) >= c.probeInterval() {
		w.probedAt = now
		go c.probe(model, chain, w, now, now.Before(w.directUntil))
	}
	return now.Sub(laterOf(since, w.activeAt)) >= w.timeout(c.minTimeout)<<min(doublings, maxTimeoutDoublings)
}

// recordActivity notes that a token came along a chain. If a stage or a link is then lost,
// the tokens stop with it, and the questions begin an interval later: two of them
// still fit into the least wait.
func (c *chainProber) recordActivity(chain Chain, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.state(chain)
	w.activeAt = laterOf(w.activeAt, at)
}

func laterOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// timeout is how long the chain may be silent.
func (w *probeState) timeout(minTimeout time.Duration) time.Duration {
	if !w.responseTime.known {
		return minTimeout
	}
	return w.responseTime.timeout(minTimeout, maxTimeoutFactor*minTimeout)
}

// state returns what is known of a chain. The caller holds mu.
func (c *chainProber) state(chain Chain) *probeState {
	key := chainKey{chain.Replica, chain.PlacementVersion, chain.Stages[0].Address}
	w := c.chains[key]
	if w == nil {
		if len(c.chains) >= maxProbedChains {
			clear(c.chains)
		}
		w = &probeState{}
		c.chains[key] = w
	}
	return w
}

// probe asks along a chain. The call has a bound of its own, because the stream
// that started it may end while others wait.
func (c *chainProber) probe(model string, chain Chain, w *probeState, start time.Time, direct bool) {
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
		w.directUntil = start.Add(directProbeDuration)
	}
	if !alive {
		return
	}
	now := time.Now()
	w.activeAt = laterOf(w.activeAt, now)
	w.responseTime.sample(now.Sub(start))
}

// probeChain returns what the stages say of themselves, nothing if the way is not open,
// and whether the first stage knows the question.
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

// layerCount is how many layers a chain's stages are to hold.
func layerCount(chain Chain) int {
	return chain.Stages[len(chain.Stages)-1].Last + 1
}
