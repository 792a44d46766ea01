package stream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/platform/engineapi"
	"github.com/cicadatack/cicadatack/route/engine"
)

var (
	errMismatch = errors.New("the engine holds something else than the plan says")
	errBadChain = errors.New("the chain's stages do not cover the model's layers")
)

const (
	// mismatchTTL is how long a report that does not match is trusted: short,
	// because the engine may be loading what the plan has just given it, but
	// long enough that a burst of streams asks once.
	mismatchTTL = 100 * time.Millisecond
	// maxHoldings bounds the reports kept.
	maxHoldings = 4096
	// ownWord, in times that a report is trusted, is how long answers may renew it
	// before the engine is asked itself again: spans name the layers but not the
	// placement version, and one call in 20 s is a tenth of one in 2 s.
	ownWord = 10
)

// holdingCheck is the check at use: before work is sent to a chain, what its
// engines report to hold must be what the plan says. Orders carry a fencing
// number, but some engines ignore it and some take orders from anyone, so the
// plan alone does not tell what an engine runs. Without the check the work is
// sent, and thrown away when its spans are found wrong.
//
// Load pattern answered: a busy node would ask each stage of each replica that it
// uses every two seconds, some 70 calls and 20 KB a second at 35 replicas of four
// stages. What streams show of their engines renews the reports, so that only
// engines that were quiet are asked (see renew).
type holdingCheck struct {
	client  *engine.Client
	ttl     time.Duration
	timeout time.Duration
	now     func() time.Time

	mu      sync.Mutex
	reports map[string]*holdingReport
}

// holdingReport is an engine's answer, or one that is being waited for.
type holdingReport struct {
	asked   time.Time
	ready   chan struct{} // closed when the fields below are set
	holding engineapi.Holding
	err     error
	// at is when the report was true, by the engine's own word or by an answer
	// since; told is when it was by its own word.
	at, told time.Time
}

func newHoldingCheck(client *engine.Client, o Options) *holdingCheck {
	return &holdingCheck{
		client:  client,
		ttl:     o.HoldingTTL,
		timeout: o.HoldingTimeout,
		now:     time.Now,
		reports: map[string]*holdingReport{},
	}
}

// verify returns nil if every stage of chain holds what the plan says, by
// reports that were asked for after since.
func (h *holdingCheck) verify(ctx context.Context, model string, layers int, chain Chain, since time.Time) error {
	if !covers(chain.Stages, layers) {
		return errBadChain
	}
	reports := make([]*holdingReport, len(chain.Stages))
	for i, stage := range chain.Stages {
		reports[i] = h.report(stage.Address, wanted(model, stage, chain.PlacementVersion), since)
	}
	for i, report := range reports {
		want := wanted(model, chain.Stages[i], chain.PlacementVersion)
		if err := report.matches(ctx, want); err != nil {
			return err
		}
	}
	return nil
}

func wanted(model string, stage engineapi.Stage, version int64) engineapi.Holding {
	return engineapi.Holding{Model: model, First: stage.First, Last: stage.Last, PlacementVersion: version}
}

// covers reports whether stages hold layers 0 to layers-1 once and in order.
func covers(stages []engineapi.Stage, layers int) bool {
	due := 0
	for _, s := range stages {
		if s.First != due || s.Last < s.First {
			return false
		}
		due = s.Last + 1
	}
	return due == layers && layers > 0
}

// matches waits for the report and compares it.
func (r *holdingReport) matches(ctx context.Context, want engineapi.Holding) error {
	select {
	case <-r.ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	if r.err != nil {
		return r.err
	}
	if r.holding != want {
		return fmt.Errorf("%w: %+v, not %+v", errMismatch, r.holding, want)
	}
	return nil
}

// report returns the report to go by. All streams that need a new one share
// the one call.
func (h *holdingCheck) report(address string, want engineapi.Holding, since time.Time) *holdingReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.reports[address]; ok && r.usable(h.now(), want, h.ttl, since) {
		return r
	}
	if len(h.reports) >= maxHoldings {
		clear(h.reports)
	}
	r := &holdingReport{ready: make(chan struct{}), asked: h.now()}
	h.reports[address] = r
	go h.ask(address, r)
	return r
}

// usable reports whether a report is underway or still fresh, and was asked
// for after since.
func (r *holdingReport) usable(now time.Time, want engineapi.Holding, ttl time.Duration, since time.Time) bool {
	if r.asked.Before(since) {
		return false
	}
	select {
	case <-r.ready:
	default:
		return true
	}
	if r.err != nil || r.holding != want {
		ttl = min(ttl, mismatchTTL)
	}
	return now.Sub(r.at) < ttl
}

// ask fills a report. The call has a bound of its own, because the stream that
// started it may end while others wait.
func (h *holdingCheck) ask(address string, r *holdingReport) {
	ctx, cancel := context.WithTimeout(context.Background(), h.timeout)
	defer cancel()
	r.holding, r.err = h.client.Holding(ctx, address)
	r.at = h.now()
	r.told = r.at
	close(r.ready)
}

// source is who says what an engine holds.
type source bool

const (
	// byAnswer: spans name the layers, not the placement version.
	byAnswer source = false
	// byWord: the engine itself, along its chain.
	byWord source = true
)

// renew notes that a chain's engines held at a moment what the plan says.
//
// The moment is when the stream was sent and not when a token came. Otherwise an
// engine that is ordered to hold other layers and runs the streams that it has to
// their end by the old ones would be believed for as long as these last, and sent
// new work that is thrown away. For the same reason an answer to what was sent
// before the chain failed, or before the engine last spoke, renews nothing.
func (h *holdingCheck) renew(model string, chain Chain, at time.Time, by source) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, stage := range chain.Stages {
		r, ok := h.reports[stage.Address]
		if !ok || !r.done() || !r.renewable(wanted(model, stage, chain.PlacementVersion), at) {
			continue
		}
		told := r.told
		if by == byWord {
			told = at
		}
		if at.Sub(told) < ownWord*h.ttl {
			h.reports[stage.Address] = &holdingReport{asked: at, ready: r.ready, holding: r.holding, at: at, told: told}
		}
	}
}

// renewable says whether the report is what the plan says, and older than the
// moment. The report is done.
func (r *holdingReport) renewable(want engineapi.Holding, at time.Time) bool {
	return r.err == nil && r.holding == want && r.at.Before(at)
}

// forget drops what is known of a chain's engines, after it failed.
func (h *holdingCheck) forget(chain Chain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, stage := range chain.Stages {
		if r, ok := h.reports[stage.Address]; ok && r.done() {
			delete(h.reports, stage.Address)
		}
	}
}

func (r *holdingReport) done() bool {
	select {
	case <-r.ready:
		return true
	default:
		return false
	}
}
