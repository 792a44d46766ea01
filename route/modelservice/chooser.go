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

// chainChooser chooses the chain of each epoch of one answer. It is used by one
// goroutine at a time.
type chainChooser struct {
	modelCall *answer
	// epochs are the chains chosen, one for each epoch in order; ended counts
	// those given up.
	epochs  []epochState
	endedEpochs int
	lastResult  stream.AttemptResult
	// prefixHashCache are the names of the prompt's prefixHashCache; nil until they are needed.
	prefixHashCache []uint64
}

// maxPrefixes bounds the prefixes of a prompt that are looked for: 512 words tell
// system prompts and templates apart.
const maxPrefixes = 32

func (c *chainChooser) prefixHashes() []uint64 {
	if c.prefixHashCache == nil {
		c.prefixHashCache = engineapi.PrefixHashes(c.modelCall.chat.Messages, maxPrefixes)
	}
	return c.prefixHashCache
}

// Choose picks a replica that is none of exclude. From the second epoch on the
// retry budget must allow it.
func (c *chainChooser) Choose(ctx context.Context, exclude []string) (stream.Chain, error) {
	if len(c.epochs) > 0 {
		if err := c.waitForRetry(ctx); err != nil {
			return stream.Chain{}, err
		}
	}
	chain, err := c.pickUsableChain(ctx, exclude)
	if errors.Is(err, errNoReplica) && len(exclude) > 1 && c.extendsRetries() {
		// Every chain has failed this answer once. The one that failed last is the
		// only one known to be bad now.
		chain, err = c.pickUsableChain(ctx, exclude[len(exclude)-1:])
	}
	if errors.Is(err, errNoReplica) && len(c.epochs) == c.endedEpochs && c.hadUnresponsiveChain() {
		// There is one chain only, and it was silent for a fraction of a second.
		return c.pickUsableChain(ctx, nil)
	}
	return chain, err
}

// pickUsableChain picks until a replica's chain is known. Each replica is looked
// at once.
func (c *chainChooser) pickUsableChain(ctx context.Context, exclude []string) (stream.Chain, error) {
	exclude = slices.Concat(exclude, c.modelCall.without)
	for {
		choice, chain, err := c.pickChain(ctx, exclude)
		if err == nil {
			c.epochs = append(c.epochs, epochState{
				replica: choice.Replica, firstEndpoint: chain.Stages[0].Endpoint, startedAt: c.modelCall.Now(), artifact: chain.Artifact,
			})
			c.recordChoice(choice)
			return chain, nil
		}
		if choice.Replica == "" {
			return stream.Chain{}, err
		}
		exclude = append(slices.Clone(exclude), choice.Replica)
	}
}

// pickChain asks the balancer for a replica and resolves its chain. A replica whose
// layers have no plan yet, or that cannot go on with this answer, is passed over:
// that says nothing of its health.
func (c *chainChooser) pickChain(ctx context.Context, exclude []string) (balance.Choice, stream.Chain, error) {
	a := c.modelCall
	choice, ok := a.Local.Picker.Pick(balance.Query{
		Prefix:  firstMessageHash(a.chat.Messages),
		Holders: a.Local.Prefixes.Holders(c.prefixHashes()),
		Cost:    a.cost,
		Exclude: exclude,
	})
	if !ok {
		return balance.Choice{}, stream.Chain{}, errNoReplica
	}
	chain, err := c.resolveChain(ctx, choice.Replica)
	if err != nil {
		a.Local.Picker.Finished(choice.Replica, balance.Result{Cost: a.cost, Failure: health.Canceled})
	}
	return choice, chain, err
}

var (
	errWrongArtifact = errors.New("the replica has other weights or another adapter than the answer so far")
	errMismatchesPlan       = errors.New("the replica's engines differ from its plan")
)

// resolveChain returns a replica's chain if it can go on with this answer.
func (c *chainChooser) resolveChain(ctx context.Context, replica string) (stream.Chain, error) {
	a := c.modelCall
	chain, err := a.server.Chains.Chain(a.Call, replica)
	if err != nil {
		return chain, err
	}
	if answerArtifact, ok := c.answerArtifact(); ok && chain.Artifact != answerArtifact {
		return chain, errWrongArtifact
	}
	if a.server.Streams.MismatchesPlan(ctx, a.chat.Model, a.Service.Model.Layers, chain) {
		a.server.Plans.Suspect(a.Service.Name, replica)
		return chain, errMismatchesPlan
	}
	return chain, nil
}

// answerArtifact is what made the tokens that the caller has, if it has any. The stream
// itself refuses to go on with another; here it is a matter of not trying in vain.
func (c *chainChooser) answerArtifact() (engineapi.Artifact, bool) {
	for _, r := range c.epochs {
		if r.gotFirstToken {
			return r.artifact, true
		}
	}
	return engineapi.Artifact{}, false
}

// Ended tells the balancer how the epoch went.
func (c *chainChooser) Ended(chain stream.Chain, r stream.AttemptResult) {
	c.lastResult = r
	c.endedEpochs++
	c.epochs[r.Epoch-1].unresponsive = r.Unresponsive
	epoch := c.epochs[r.Epoch-1]
	c.modelCall.Local.Picker.Finished(chain.Replica, balance.Result{
		Cost:             c.modelCall.cost,
		TimeToFirstToken: r.FirstToken,
		TotalTime:        c.modelCall.Now().Sub(epoch.startedAt),
		Started:          epoch.gotFirstToken,
		Failure:          healthFailure(r),
	})
	if r.End == stream.EndMismatch || r.Reason == stream.WrongArtifact {
		c.modelCall.server.Plans.Suspect(c.modelCall.Service.Name, chain.Replica)
	}
	for i := range r.Hops {
		// Without it a slow link looks like slow layers, and the plan leaves the
		// engine out in place of the link.
		r.Hops[i].StepMicros = float64(c.modelCall.Local.Step(r.Hops[i].Endpoint).Microseconds())
	}
	if len(r.Hops) > 0 {
		c.modelCall.server.Plans.Observe(c.modelCall.Service.Name, chain.Replica, r.Hops)
	}
	if r.Load != nil {
		c.modelCall.Local.ReportLoad(chain.Stages[0].Endpoint, *r.Load)
	}
}

func (c *chainChooser) recordChoice(choice balance.Choice) {
	kind := decisionlog.Route
	if len(c.epochs) > 1 {
		kind = decisionlog.Resume
	}
	c.modelCall.RecordChoice(kind, choice, map[string]float64{"epoch": float64(len(c.epochs))})
}
