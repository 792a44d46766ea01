package stream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// Deliver sends a token to the caller, and returns an error if the caller has
// disconnected. The trace's spans are valid until Deliver returns.
type Deliver func(token string, trace engineapi.TokenTrace) error

// Runner runs streams on the replicas of one model. A Runner is safe for
// concurrent use.
type Runner struct {
	client      *engineclient.Client
	chooser     Chooser
	options     Options
	reports     *reportChecker
	prober      *chainProber
	cancels     *canceller
	gaps        *gapTable
	costs       *resumeCosts
	strayTokens atomic.Int64
}

func New(client *engineclient.Client, chooser Chooser, options Options) *Runner {
	options = options.withDefaults()
	reports := newReportChecker(client, options)
	return &Runner{
		client:  client,
		chooser: chooser,
		options: options,
		reports: reports,
		prober:  newChainProber(client, reports, options.MinStallTimeout),
		cancels: newCanceller(client),
		gaps:    newGapTable(),
		costs:   &resumeCosts{},
	}
}

// Close waits until all pending cancels have been sent, or ctx ends.
func (r *Runner) Close(ctx context.Context) error { return r.cancels.wait(ctx) }

// StrayTokens returns how many tokens of earlier epochs or other streams were
// dropped since the runner was created.
func (r *Runner) StrayTokens() int64 { return r.strayTokens.Load() }

// Run generates one answer and delivers its tokens. The summary is also valid when
// an error is returned; the error says why the answer is incomplete.
func (r *Runner) Run(ctx context.Context, req Request, deliver Deliver) (Summary, error) {
	req.FirstTokenTimeout = orDefault(req.FirstTokenTimeout, DefaultFirstTokenTimeout)
	req.MaxStallTimeout = orDefault(req.MaxStallTimeout, DefaultMaxStallTimeout)
	runCtx, cancel := ctx, context.CancelFunc(func() {})
	if !req.Deadline.IsZero() {
		runCtx, cancel = context.WithDeadline(ctx, req.Deadline)
	}
	defer cancel()
	a := &answer{
		runner: r, req: req, deliver: deliver, callerCtx: ctx,
		check:     NewTokenCheck(req.StreamID, req.Layers, r.options.MaxTokens),
		startedAt: time.Now(),
	}
	err := a.run(runCtx)
	a.summary.Tokens = len(a.deliveredTokens)
	a.summary.Outcome = a.outcome(err)
	if err != nil {
		err = Error.Wrap(err)
	}
	return a.summary, err
}
