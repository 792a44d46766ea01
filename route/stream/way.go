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
	// questionsIn and ticksIn are how many times in the least wait a chain is
	// asked and looked at. Two and a half: when it is given up at least two
	// questions are without an answer, so that one answer that comes late from
	// an engine short of processor time costs nothing. Looks cost no call, and
	// are what detection is late by.
	questionsIn = 2.5
	ticksIn     = 10
	// wayTimeout, in least waits, bounds one question. It is longer than the wait
	// for silence: an answer that comes late is a sign of life all the same.
	wayTimeout = 4
	// maxSilence, in least waits, bounds what slow answers may make of the wait.
	maxSilence = 4
	// maxSilenceDoublings bounds the doublings of one answer.
	maxSilenceDoublings = 4
	// directFor is how long an engine that does not know the question is not
	// asked it: it may be replaced by one that does.
	directFor = time.Minute
	// maxWays bounds the chains kept.
	maxWays = 4096
)

// wayCheck tells a chain that works on a prompt, or queues, from one that is
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
type wayCheck struct {
	client   *engineclient.Client
	holdings *holdingCheck
	floor    time.Duration

	mu   sync.Mutex
	ways map[wayKey]*way
}

type wayKey struct {
	replica string
	version int64
	first   string // address of the first stage
}

// way is what is known of one chain. wayCheck.mu guards it.
type way struct {
	asked time.Time
	heard time.Time
	// took follows the time of an answer, so that an engine which is slow to
	// answer is given longer.
	took gapEstimate
	// direct is until when the first stage is taken not to know the question.
	// Then each stage is asked by itself, which does not find a lost link
	// between them.
	direct time.Time
}

func newWayCheck(client *engineclient.Client, holdings *holdingCheck, floor time.Duration) *wayCheck {
	return &wayCheck{client: client, holdings: holdings, floor: floor, ways: map[wayKey]*way{}}
}

// tick is the time between two calls of silent.
func (c *wayCheck) tick() time.Duration { return c.floor / ticksIn }

// interval is the time between two questions.
func (c *wayCheck) interval() time.Duration {
	return time.Duration(float64(c.floor) / questionsIn)
}

// silent asks along a chain, unless somebody just has, and reports whether it
// has not been heard of for too long since the given time. Each chain that an
// answer gave up for silence doubles the wait: if all are slow to answer, to
// move on makes it worse.
func (c *wayCheck) silent(model string, chain Chain, since time.Time, doublings int) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.way(chain)
	if now.Sub(later(since, later(w.asked, w.heard))) >= c.interval() {
		w.asked = now
		go c.ask(model, chain, w, now, now.Before(w.direct))
	}
	return now.Sub(later(since, w.heard)) >= w.bound(c.floor)<<min(doublings, maxSilenceDoublings)
}

// heard notes that a token came along a chain. If a stage or a link is then lost,
// the tokens stop with it, and the questions begin an interval later: two of them
// still fit into the least wait.
func (c *wayCheck) heard(chain Chain, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.way(chain)
	w.heard = later(w.heard, at)
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// bound is how long the chain may be silent.
func (w *way) bound(floor time.Duration) time.Duration {
	if !w.took.known {
		return floor
	}
	return w.took.bound(floor, maxSilence*floor)
}

// way returns what is known of a chain. The caller holds mu.
func (c *wayCheck) way(chain Chain) *way {
	key := wayKey{chain.Replica, chain.PlacementVersion, chain.Stages[0].Address}
	w := c.ways[key]
	if w == nil {
		if len(c.ways) >= maxWays {
			clear(c.ways)
		}
		w = &way{}
		c.ways[key] = w
	}
	return w
}

// ask asks along a chain. The call has a bound of its own, because the stream
// that started it may end while others wait.
func (c *wayCheck) ask(model string, chain Chain, w *way, start time.Time, direct bool) {
	ctx, cancel := context.WithTimeout(context.Background(), wayTimeout*c.floor)
	defer cancel()
	asked := c.holdings.now()
	open, known := false, false
	if !direct {
		var reports []engineapi.Report
		reports, known = c.along(ctx, chain)
		if open = holdsPlan(reports, model, chain); open {
			c.holdings.told(model, chain, asked, reports)
		}
	}
	if !known {
		open = c.holdings.verify(ctx, model, layersOf(chain), chain, start) == nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !direct && !known {
		w.direct = start.Add(directFor)
	}
	if !open {
		return
	}
	now := time.Now()
	w.heard = later(w.heard, now)
	w.took.sample(now.Sub(start))
}

// along returns what the stages say of themselves, nothing if the way is not open,
// and whether the first stage knows the question.
func (c *wayCheck) along(ctx context.Context, chain Chain) (reports []engineapi.Report, known bool) {
	reports, err := c.client.Way(ctx, chain.Stages)
	if err != nil {
		status := engineclient.Status(err)
		return nil, status != http.StatusNotFound && status != http.StatusMethodNotAllowed
	}
	return reports, true
}

func holdsPlan(holdings []engineapi.Report, model string, chain Chain) bool {
	if len(holdings) != len(chain.Stages) {
		return false
	}
	for i, stage := range chain.Stages {
		if !wanted(model, stage, chain).met(holdings[i]) {
			return false
		}
	}
	return true
}

// layersOf is how many layers a chain's stages are to hold.
func layersOf(chain Chain) int {
	return chain.Stages[len(chain.Stages)-1].Last + 1
}
