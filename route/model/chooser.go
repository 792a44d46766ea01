package model

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/platform/engineapi"
	"github.com/cicadatack/cicadatack/route/decision"
	"github.com/cicadatack/cicadatack/route/send"
	"github.com/cicadatack/cicadatack/route/service"
	"github.com/cicadatack/cicadatack/route/stream"
)

var errNoReplica = errors.New("no replica may be used now")

// chooser chooses the chain of each epoch of one answer. It is used by one
// goroutine at a time.
type chooser struct {
	answer *answer
	// runs are the chains chosen, one for each epoch in order; ended counts
	// those given up.
	runs  []run
	ended int
	last  stream.AttemptResult
}

// run is one chain's part of the answer.
type run struct {
	replica string
	first   string // the chain's first endpoint, which tells the load
	since   time.Time
	// started is set with the first token; reported and tokens are the time and
	// the number of tokens since the balancer was last told of the pace.
	started  bool
	reported time.Time
	tokens   int
}

// progressInterval is how often the balancer hears of a long answer's pace. An
// answer of seconds on a replica that turned slow would otherwise tell of it
// only at its end.
const progressInterval = time.Second

// token tells the balancer how a chain gets on.
func (c *chooser) token(trace engineapi.TokenTrace) {
	if int(trace.Epoch) > len(c.runs) || trace.Epoch == 0 {
		return
	}
	r := &c.runs[trace.Epoch-1]
	if trace.Load != nil {
		c.answer.At.ReportLoad(r.first, *trace.Load)
	}
	now := c.answer.server.Now()
	if !r.started {
		r.started = true
		r.reported = now
		c.answer.At.Picker.Started(r.replica, now.Sub(r.since))
		return
	}
	r.tokens++
	if elapsed := now.Sub(r.reported); elapsed >= progressInterval {
		c.answer.At.Picker.Progress(r.replica, elapsed/time.Duration(r.tokens))
		r.reported = now
		r.tokens = 0
	}
}

// Choose picks a replica that is none of exclude. From the second epoch on the
// retry budget must allow it.
func (c *chooser) Choose(ctx context.Context, exclude []string) (stream.Chain, error) {
	if len(c.runs) > 0 {
		if err := c.mayRetry(ctx); err != nil {
			return stream.Chain{}, err
		}
	}
	for {
		choice, chain, err := c.pick(exclude)
		if errors.Is(err, errNoReplica) && len(exclude) > 1 && c.partway() {
			// Every chain has failed this answer once. The one that failed last is
			// the only one known to be bad now.
			exclude = exclude[len(exclude)-1:]
			choice, chain, err = c.pick(exclude)
		}
		if err == nil {
			c.runs = append(c.runs, run{replica: choice.Replica, first: chain.Stages[0].Endpoint, since: c.answer.server.Now()})
			c.recordChoice(choice)
			return chain, nil
		}
		if choice.Replica == "" {
			return stream.Chain{}, err
		}
		exclude = append(slices.Clone(exclude), choice.Replica)
	}
}

// pick asks the balancer for a replica and resolves its chain. A replica whose
// layers have no plan yet is passed over: that says nothing of its health.
func (c *chooser) pick(exclude []string) (balance.Choice, stream.Chain, error) {
	a := c.answer
	choice, ok := a.At.Picker.Pick(balance.Query{
		Prefix:  prefixHash(a.chat.Messages),
		Cost:    a.cost,
		Exclude: exclude,
	})
	if !ok {
		return balance.Choice{}, stream.Chain{}, errNoReplica
	}
	chain, err := a.server.Chains.Chain(a.Call, choice.Replica)
	if err != nil {
		a.At.Picker.Finished(choice.Replica, balance.Result{Cost: a.cost, Failure: health.Canceled})
	}
	return choice, chain, err
}

// mayRetry asks the budget and waits out the back-off. A model call may always
// run twice: the stream's positions keep its tokens from reaching the caller
// twice.
func (c *chooser) mayRetry(ctx context.Context) error {
	d := c.answer.At.Retry.Allow(retry.Attempt{
		Made:         c.attemptsThatCount(),
		Failure:      c.whyNext(),
		Repeatable:   true,
		NotRun:       c.last.NotRun,
		Deadline:     c.answer.Deadline,
		Alternatives: 1, // Choose finds out whether there is one
	})
	if !d.Retry {
		return fmt.Errorf("not tried again: %s", d.Reason)
	}
	if !c.partway() {
		return service.Pause(ctx, d.After)
	}
	return service.Pause(ctx, c.partwayPause())
}

const (
	// maxPartwayTries bounds the chains tried in a row, with no token from any,
	// for an answer that the caller has a part of.
	maxPartwayTries = 6
	// partwayPauseFloor and partwayPauseCeiling bound the pause before such a
	// try; it doubles. All together they outlast a pause of every chain of some
	// seconds.
	partwayPauseFloor   = 100 * time.Millisecond
	partwayPauseCeiling = time.Second
)

// partway says whether the caller has a part of the answer already.
func (c *chooser) partway() bool {
	return slices.ContainsFunc(c.runs, func(r run) bool { return r.started })
}

// barren is how many of the last chains brought no token.
func (c *chooser) barren() int {
	n := 0
	for i := len(c.runs) - 1; i >= 0 && !c.runs[i].started; i-- {
		n++
	}
	return n
}

// attemptsThatCount is the number that the budget's bound on attempts is held
// against. Before the first token it is all. Partway, an answer given up is lost
// to the caller with what it has: a failover that brought tokens is a success,
// and when all chains stand still for a moment, three tries of 0.3 s are over
// before the first of them is back. So only tries in a row without a token
// count there, up to a bound of their own; the budget's share of retries stays
// in force, which is what keeps a service that is down from a storm.
func (c *chooser) attemptsThatCount() int {
	if !c.partway() {
		return len(c.runs)
	}
	if c.barren() >= maxPartwayTries {
		return math.MaxInt
	}
	return 1
}

// partwayPause is nothing for the first failover: the caller sees the gap. After
// that every other chain may be standing still too.
func (c *chooser) partwayPause() time.Duration {
	barren := c.barren()
	if barren == 0 {
		return 0
	}
	return min(partwayPauseFloor<<(barren-1), partwayPauseCeiling)
}

// whyNext is the failure that calls for another chain. While one is still
// underway the stream asks for a chain to leave it for, because it has turned
// slow.
func (c *chooser) whyNext() health.Failure {
	if c.ended < len(c.runs) {
		return health.Timeout
	}
	return failureOf(c.last)
}

// Ended tells the balancer how the epoch went.
func (c *chooser) Ended(chain stream.Chain, r stream.AttemptResult) {
	c.last = r
	c.ended++
	mine := c.runs[r.Epoch-1]
	c.answer.At.Picker.Finished(chain.Replica, balance.Result{
		Cost:       c.answer.cost,
		FirstToken: r.FirstToken,
		Total:      c.answer.server.Now().Sub(mine.since),
		Started:    mine.started,
		Failure:    failureOf(r),
	})
	if r.End == stream.EndMismatch {
		c.answer.server.Plans.Suspect(c.answer.Service.Name, chain.Replica)
	}
	if len(r.Hops) > 0 {
		c.answer.server.Plans.Observe(c.answer.Service.Name, chain.Replica, r.Hops)
	}
	if r.Load != nil {
		c.answer.At.ReportLoad(chain.Stages[0].Endpoint, *r.Load)
	}
}

func (c *chooser) recordChoice(choice balance.Choice) {
	kind := decision.Route
	if len(c.runs) > 1 {
		kind = decision.Resume
	}
	c.answer.Chose(kind, choice, map[string]float64{"epoch": float64(len(c.runs))})
}

// failureOf maps the end of an epoch to what it says of the replica's health.
func failureOf(r stream.AttemptResult) health.Failure {
	switch r.End {
	case stream.EndDone:
		return health.None
	case stream.EndCallerGone, stream.EndDeadline:
		return health.Canceled
	case stream.EndRefused:
		return send.RefusalFailure(r.Status)
	case stream.EndUnreachable:
		return health.Unreachable
	case stream.EndNoFirstToken, stream.EndStalled, stream.EndSlow:
		return health.Timeout
	case stream.EndMismatch:
		return health.Internal
	default:
		return health.Broken
	}
}

// prefixBytes is how much of the first message names a prompt's prefix: the
// system prompts and templates that callers share are longer than this.
const prefixBytes = 256

// prefixHash names the part of a prompt that engines are likely to have cached;
// zero means none.
func prefixHash(messages []engineapi.Message) uint64 {
	if len(messages) == 0 {
		return 0
	}
	text := messages[0].Content
	h := fnv.New64a()
	h.Write([]byte(text[:min(len(text), prefixBytes)]))
	return h.Sum64()
}
