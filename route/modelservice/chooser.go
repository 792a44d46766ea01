package modelservice

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/stream"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

var errNoReplica = errors.New("no replica may be used now")

// chainChooser chooses the chain of each epoch of one call. It is used by one goroutine
// at a time.
type chainChooser struct {
	call *modelCall
	// reservedRetry is set if the retry budget has been charged for the next chain.
	reservedRetry atomic.Bool
	// epochs are the epochs of the call in order; endedEpochs is the number of those
	// that have ended.
	epochs      []epochState
	endedEpochs int
	lastResult  stream.AttemptResult
	// prefixHashCache holds the hashes of the prompt's prefixes; nil until they are
	// needed.
	prefixHashCache []uint64
}

// maxPrefixes bounds the prefixes of a prompt that are looked up in the prefix index:
// 512 words distinguish system prompts and templates.
const maxPrefixes = 32

func (c *chainChooser) prefixHashes() []uint64 {
	if c.prefixHashCache == nil {
		c.prefixHashCache = engineapi.PrefixHashes(c.call.chat.Messages, maxPrefixes)
	}
	return c.prefixHashCache
}

// Choose picks a replica that is not in exclude. From the second epoch on, Choose first
// asks the retry budget and waits for the backoff.
func (c *chainChooser) Choose(ctx context.Context, exclude []string) (stream.Chain, error) {
	if err := c.beginGuarded(ctx); err != nil {
		return stream.Chain{}, err
	}
	chain, err := c.chooseChain(ctx, exclude)
	if err != nil {
		c.call.guarded.End()
		return chain, err
	}
	c.call.guarded.Sent(guardedReplica(chain))
	return chain, nil
}

func (c *chainChooser) chooseChain(ctx context.Context, exclude []string) (stream.Chain, error) {
	if len(c.epochs) > 0 {
		if err := c.waitForRetry(ctx); err != nil {
			return stream.Chain{}, err
		}
	}
	chain, err := c.pickUsableChain(ctx, exclude)
	if errors.Is(err, errNoReplica) && len(exclude) > 1 && c.extendsRetries() {
		// Every chain has failed this call once. Only the chain that failed last is
		// known to be failing now.
		chain, err = c.pickUsableChain(ctx, exclude[len(exclude)-1:])
	}
	if errors.Is(err, errNoReplica) && len(c.epochs) == c.endedEpochs && c.hadSilentChain() {
		chain, err = c.pickSilentChain(ctx)
	}
	if errors.Is(err, errNoReplica) && len(c.epochs) == c.endedEpochs && c.hadUnresponsiveChain() {
		// There is only one chain, and it was unresponsive for a fraction of a second.
		return c.pickUsableChain(ctx, nil)
	}
	return chain, err
}

// pickUsableChain picks replicas until one has a usable chain. Each replica is tried
// once.
func (c *chainChooser) pickUsableChain(ctx context.Context, exclude []string) (stream.Chain, error) {
	exclude = slices.Concat(exclude, c.call.excluded, c.call.Local.PushedBack())
	for {
		choice, chain, err := c.pickChain(ctx, exclude)
		if err == nil {
			c.epochs = append(c.epochs, epochState{
				replica: choice.ReplicaID, firstEndpoint: chain.Stages[0].Endpoint, startedAt: c.call.Now(), artifact: chain.Artifact,
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

// pickChain asks the balancer for a replica and resolves its chain. A replica that has
// no plan yet, or that can't continue this answer, is skipped without an effect on its
// health.
func (c *chainChooser) pickChain(ctx context.Context, exclude []string) (balance.Choice, stream.Chain, error) {
	call := c.call
	choice, ok := call.Local.Picker.Pick(balance.Query{
		Prefix:  firstMessageHash(call.chat.Messages),
		Holders: call.Local.PrefixIndex.Holders(c.prefixHashes()),
		Cost:    call.expectedCost,
		Exclude: exclude,
	})
	if !ok {
		return balance.Choice{}, stream.Chain{}, errNoReplica
	}
	chain, err := c.resolveChain(ctx, choice.ReplicaID)
	if err != nil {
		call.Local.Picker.Finished(choice.ReplicaID, balance.Result{Cost: call.expectedCost, Failure: health.Canceled})
	}
	return choice, chain, err
}

var (
	errWrongArtifact  = errors.New("the replica has other weights or another adapter than the answer so far")
	errMismatchesPlan = errors.New("the replica's engines differ from its plan")
)

// resolveChain returns a replica's chain if the chain can continue this answer.
func (c *chainChooser) resolveChain(ctx context.Context, replica string) (stream.Chain, error) {
	call := c.call
	chain, err := call.server.Chains.Chain(call.Call, replica)
	if err != nil {
		return chain, err
	}
	if answerArtifact, ok := c.answerArtifact(); ok && chain.Artifact != answerArtifact {
		return chain, errWrongArtifact
	}
	if call.server.Streams.MismatchesPlan(ctx, call.chat.Model, call.Service.Model.Layers, chain) {
		call.server.PlanObserver.ReportPlanMismatch(call.Service.Name, replica)
		return chain, errMismatchesPlan
	}
	return chain, nil
}

// answerArtifact returns the artifact (versions of weights and adapter) that produced
// the tokens that the caller has, if there are any. The stream refuses to continue with
// another artifact; the check here saves the attempt.
func (c *chainChooser) answerArtifact() (engineapi.Artifact, bool) {
	for _, r := range c.epochs {
		if r.gotFirstToken {
			return r.artifact, true
		}
	}
	return engineapi.Artifact{}, false
}

// Ended reports the result of an epoch to the balancer and to the planner.
func (c *chainChooser) Ended(chain stream.Chain, r stream.AttemptResult) {
	c.lastResult = r
	c.endedEpochs++
	c.observeEnd(r)
	c.epochs[r.Epoch-1].unresponsive = r.Unresponsive
	c.epochs[r.Epoch-1].silent = r.Silent
	epoch := c.epochs[r.Epoch-1]
	c.call.Local.Picker.Finished(chain.Replica, balance.Result{
		Cost:             c.call.expectedCost,
		TimeToFirstToken: r.FirstToken,
		TotalTime:        c.call.Now().Sub(epoch.startedAt),
		Started:          epoch.gotFirstToken,
		Failure:          healthFailure(r),
	})
	c.observePushback(chain, r.Pushback)
	c.recordDropped(chain, r)
	if r.End == stream.EndMismatch || r.Reason == stream.WrongArtifact {
		c.call.server.PlanObserver.ReportPlanMismatch(c.call.Service.Name, chain.Replica)
	}
	for i := range r.Hops {
		// Without the time per token of the endpoint itself, a slow link looks like
		// slow layers, and the plan leaves out the engine instead of the link.
		r.Hops[i].StepMicros = float64(c.call.Local.TokenTime(r.Hops[i].Endpoint).Microseconds())
	}
	if len(r.Hops) > 0 {
		c.call.server.PlanObserver.Observe(c.call.Service.Name, chain.Replica, r.Hops)
	}
	if r.Load != nil {
		c.call.Local.RecordLoad(chain.Stages[0].Endpoint, *r.Load)
	}
}

// observePushback records for how long the first engine of a chain wants no further requests.
func (c *chainChooser) observePushback(chain stream.Chain, wanted headers.Pushback) {
	endpoint := chain.Stages[0].Endpoint
	figures := map[string]float64{"for_ms": float64(wanted.Duration.Milliseconds())}
	switch {
	case wanted.Malformed != "":
		c.call.RecordDecision(decisionlog.Pushback, endpoint, fmt.Sprintf("Retry-After %q can't be read, want seconds as a decimal number", wanted.Malformed), nil)
	case c.call.Local.ObservePushback(endpoint, wanted.Duration):
		c.call.RecordDecision(decisionlog.Pushback, endpoint, "the engine wants no requests", figures)
	}
}

// recordDropped records that a chain has sent what is no part of the answer.
func (c *chainChooser) recordDropped(chain stream.Chain, r stream.AttemptResult) {
	if r.End != stream.EndInvalidToken && r.StrayTokens == 0 && r.Violations == 0 {
		return
	}
	c.call.RecordDecision(decisionlog.Drop, chain.Replica, dropReason(r), map[string]float64{
		"epoch": float64(r.Epoch), "tokens": float64(r.Tokens),
		"stray_tokens": float64(r.StrayTokens), "violations": float64(r.Violations),
	})
}

// dropReason says what was dropped: what ended the epoch, or else the first violation.
func dropReason(r stream.AttemptResult) string {
	switch {
	case r.End == stream.EndInvalidToken && r.Err != nil:
		return r.Reason.String() + ": " + r.Err.Error()
	case r.End == stream.EndInvalidToken:
		return r.Reason.String()
	case r.Violation != nil:
		return r.Violation.Error()
	}
	return "tokens of other streams or epochs"
}

func (c *chainChooser) recordChoice(choice balance.Choice) {
	kind := decisionlog.Route
	if len(c.epochs) > 1 {
		kind = decisionlog.Resume
	}
	c.call.RecordChoice(kind, choice, map[string]float64{"epoch": float64(len(c.epochs))})
}
