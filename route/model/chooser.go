package model

import (
	"context"
	"errors"
	"slices"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/platform/engineapi"
	"github.com/cicadatack/cicadatack/route/decision"
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
	chain, err := c.firstWithPlan(exclude)
	if errors.Is(err, errNoReplica) && len(exclude) > 1 && c.partway() {
		// Every chain has failed this answer once. The one that failed last is the
		// only one known to be bad now.
		return c.firstWithPlan(exclude[len(exclude)-1:])
	}
	return chain, err
}

// firstWithPlan picks until a replica's chain is known. Each replica is looked
// at once.
func (c *chooser) firstWithPlan(exclude []string) (stream.Chain, error) {
	for {
		choice, chain, err := c.pick(exclude)
		if err == nil {
			c.runs = append(c.runs, run{replica: choice.Replica, first: chain.Stages[0].Endpoint, since: c.answer.Now()})
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
		Holders: a.At.Prefixes.Holders(c.hashes()),
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

// Ended tells the balancer how the epoch went.
func (c *chooser) Ended(chain stream.Chain, r stream.AttemptResult) {
	c.last = r
	c.ended++
	mine := c.runs[r.Epoch-1]
	c.answer.At.Picker.Finished(chain.Replica, balance.Result{
		Cost:       c.answer.cost,
		FirstToken: r.FirstToken,
		Total:      c.answer.Now().Sub(mine.since),
		Started:    mine.started,
		Failure:    failureOf(r),
	})
	if r.End == stream.EndMismatch {
		c.answer.server.Plans.Suspect(c.answer.Service.Name, chain.Replica)
	}
	for i := range r.Hops {
		// Without it a slow link looks like slow layers, and the plan leaves the
		// engine out in place of the link.
		r.Hops[i].StepMicros = float64(c.answer.At.Step(r.Hops[i].Endpoint).Microseconds())
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
