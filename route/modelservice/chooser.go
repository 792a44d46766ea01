package modelservice

import (
	"context"
	"errors"
	"slices"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/stream"
	"github.com/cicadatack/cicadatack/state/engineapi"
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
	// prefixes are the names of the prompt's prefixes; nil until they are needed.
	prefixes []uint64
}

// maxPrefixes bounds the prefixes of a prompt that are looked for: 512 words tell
// system prompts and templates apart.
const maxPrefixes = 32

func (c *chooser) hashes() []uint64 {
	if c.prefixes == nil {
		c.prefixes = engineapi.PrefixHashes(c.answer.chat.Messages, maxPrefixes)
	}
	return c.prefixes
}

// Choose picks a replica that is none of exclude. From the second epoch on the
// retry budget must allow it.
func (c *chooser) Choose(ctx context.Context, exclude []string) (stream.Chain, error) {
	if len(c.runs) > 0 {
		if err := c.mayRetry(ctx); err != nil {
			return stream.Chain{}, err
		}
	}
	chain, err := c.firstWithPlan(ctx, exclude)
	if errors.Is(err, errNoReplica) && len(exclude) > 1 && c.patient() {
		// Every chain has failed this answer once. The one that failed last is the
		// only one known to be bad now.
		chain, err = c.firstWithPlan(ctx, exclude[len(exclude)-1:])
	}
	if errors.Is(err, errNoReplica) && len(c.runs) == c.ended && c.silent() {
		// There is one chain only, and it was silent for a fraction of a second.
		return c.firstWithPlan(ctx, nil)
	}
	return chain, err
}

// firstWithPlan picks until a replica's chain is known. Each replica is looked
// at once.
func (c *chooser) firstWithPlan(ctx context.Context, exclude []string) (stream.Chain, error) {
	exclude = slices.Concat(exclude, c.answer.without)
	for {
		choice, chain, err := c.pick(ctx, exclude)
		if err == nil {
			c.runs = append(c.runs, run{
				replica: choice.ReplicaID, first: chain.Stages[0].Endpoint, since: c.answer.Now(), artifact: chain.Artifact,
			})
			c.recordChoice(choice)
			return chain, nil
		}
		if choice.ReplicaID == "" {
			return stream.Chain{}, err
		}
		exclude = append(slices.Clone(exclude), choice.ReplicaID)
	}
}

// pick asks the balancer for a replica and resolves its chain. A replica whose
// layers have no plan yet, or that cannot go on with this answer, is passed over:
// that says nothing of its health.
func (c *chooser) pick(ctx context.Context, exclude []string) (balance.Choice, stream.Chain, error) {
	a := c.answer
	choice, ok := a.At.Picker.Pick(balance.Query{
		Prefix:  prefixHash(a.chat.Messages),
		Holders: a.At.PrefixIndex.Holders(c.hashes()),
		Cost:    a.cost,
		Exclude: exclude,
	})
	if !ok {
		return balance.Choice{}, stream.Chain{}, errNoReplica
	}
	chain, err := c.resolve(ctx, choice.ReplicaID)
	if err != nil {
		a.At.Picker.Finished(choice.ReplicaID, balance.Result{Cost: a.cost, Failure: health.Canceled})
	}
	return choice, chain, err
}

var (
	errOtherArtifact = errors.New("the replica has other weights or another adapter than the answer so far")
	errDiffers       = errors.New("the replica's engines differ from its plan")
)

// resolve returns a replica's chain if it can go on with this answer.
func (c *chooser) resolve(ctx context.Context, replica string) (stream.Chain, error) {
	a := c.answer
	chain, err := a.server.Chains.Chain(a.Call, replica)
	if err != nil {
		return chain, err
	}
	if begun, ok := c.artifact(); ok && chain.Artifact != begun {
		return chain, errOtherArtifact
	}
	if a.server.Streams.MismatchesPlan(ctx, a.chat.Model, a.Service.Model.Layers, chain) {
		a.server.Plans.ReportPlanMismatch(a.Service.Name, replica)
		return chain, errDiffers
	}
	return chain, nil
}

// artifact is what made the tokens that the caller has, if it has any. The stream
// itself refuses to go on with another; here it is a matter of not trying in vain.
func (c *chooser) artifact() (engineapi.Artifact, bool) {
	for _, r := range c.runs {
		if r.started {
			return r.artifact, true
		}
	}
	return engineapi.Artifact{}, false
}

// Ended tells the balancer how the epoch went.
func (c *chooser) Ended(chain stream.Chain, r stream.AttemptResult) {
	c.last = r
	c.ended++
	c.runs[r.Epoch-1].silent = r.Unresponsive
	mine := c.runs[r.Epoch-1]
	c.answer.At.Picker.Finished(chain.Replica, balance.Result{
		Cost:             c.answer.cost,
		TimeToFirstToken: r.FirstToken,
		TotalTime:        c.answer.Now().Sub(mine.since),
		Started:          mine.started,
		Failure:          failureOf(r),
	})
	if r.End == stream.EndMismatch || r.Reason == stream.WrongArtifact {
		c.answer.server.Plans.ReportPlanMismatch(c.answer.Service.Name, chain.Replica)
	}
	for i := range r.Hops {
		// Without it a slow link looks like slow layers, and the plan leaves the
		// engine out in place of the link.
		r.Hops[i].StepMicros = float64(c.answer.At.TokenTime(r.Hops[i].Endpoint).Microseconds())
	}
	if len(r.Hops) > 0 {
		c.answer.server.Plans.Observe(c.answer.Service.Name, chain.Replica, r.Hops)
	}
	if r.Load != nil {
		c.answer.At.RecordLoad(chain.Stages[0].Endpoint, *r.Load)
	}
}

func (c *chooser) recordChoice(choice balance.Choice) {
	kind := decisionlog.Route
	if len(c.runs) > 1 {
		kind = decisionlog.Resume
	}
	c.answer.Chose(kind, choice, map[string]float64{"epoch": float64(len(c.runs))})
}
