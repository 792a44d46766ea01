package stream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

var (
	errMismatch = errors.New("the engine holds something else than the plan says")
	// errOtherArtifact ends an epoch before anything is sent.
	errOtherArtifact = errors.New("the chain has other weights or another adapter than the answer so far")
	errBadChain      = errors.New("the chain's stages do not cover the model's layers")
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
	client  *engineclient.Client
	ttl     time.Duration
	timeout time.Duration
	lost    func(model, replica string)
	now     func() time.Time

	mu      sync.Mutex
	reports map[string]*holdingReport
	// caches are the prefix caches that engines reported last, by address.
	caches map[string]string
}

// holdingReport is an engine's answer, or one that is being waited for.
type holdingReport struct {
	asked  time.Time
	ready  chan struct{} // closed when the fields below are set
	report engineapi.Report
	err    error
	// at is when the report was true, by the engine's own word or by an answer
	// since; told is when it was by its own word.
	at, told time.Time
}

func newHoldingCheck(client *engineclient.Client, o Options) *holdingCheck {
	return &holdingCheck{
		client:  client,
		ttl:     o.HoldingTTL,
		timeout: o.HoldingTimeout,
		lost:    o.CacheLost,
		now:     time.Now,
		reports: map[string]*holdingReport{},
		caches:  map[string]string{},
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
		reports[i] = h.report(wanted(model, stage, chain), stage.Address, since)
	}
	for i, report := range reports {
		want := wanted(model, chain.Stages[i], chain)
		if err := report.matches(ctx, want); err != nil {
			return err
		}
	}
	return nil
}

// Differs reports whether an engine of a chain says that it holds something else
// than the chain needs. To find out before the chain is chosen costs no try: while a
// version is rolled out many replicas differ for a moment, and an answer that used
// up its tries on them would be refused though others hold what it needs.
func (r *Runner) Differs(ctx context.Context, model string, layers int, chain Chain) bool {
	return errors.Is(r.holdings.verify(ctx, model, layers, chain, time.Time{}), errMismatch)
}

// want is what a stage must report.
type want struct {
	holding  engineapi.Holding
	artifact engineapi.Artifact
	replica  string
}

func wanted(model string, stage engineapi.Stage, chain Chain) want {
	return want{
		holding: engineapi.Holding{
			Model: model, Weights: chain.Artifact.Weights, First: stage.First, Last: stage.Last,
			PlacementVersion: chain.PlacementVersion,
		},
		artifact: chain.Artifact,
		replica:  chain.Replica,
	}
}

func (w want) met(report engineapi.Report) bool {
	return report.Holding == w.holding && report.Runs(w.artifact)
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
func (r *holdingReport) matches(ctx context.Context, want want) error {
	select {
	case <-r.ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	if r.err != nil {
		return r.err
	}
	if !want.met(r.report) {
		return fmt.Errorf("%w: %+v, not %+v", errMismatch, r.report, want)
	}
	return nil
}

// report returns the report to go by. All streams that need a new one share
// the one call.
func (h *holdingCheck) report(want want, address string, since time.Time) *holdingReport {
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
	go h.ask(want, address, r)
	return r
}

// usable reports whether a report is underway or still fresh, and was asked
// for after since.
func (r *holdingReport) usable(now time.Time, want want, ttl time.Duration, since time.Time) bool {
	if r.asked.Before(since) {
		return false
	}
	select {
	case <-r.ready:
	default:
		return true
	}
	if r.err != nil || !want.met(r.report) {
		ttl = min(ttl, mismatchTTL)
	}
	return now.Sub(r.at) < ttl
}

// ask fills a report. The call has a bound of its own, because the stream that
// started it may end while others wait.
func (h *holdingCheck) ask(want want, address string, r *holdingReport) {
	ctx, cancel := context.WithTimeout(context.Background(), h.timeout)
	defer cancel()
	r.report, r.err = h.client.Holding(ctx, address)
	if r.err == nil {
		h.noteCache(want, address, r.report.Cache)
	}
	r.at = h.now()
	r.told = r.at
	close(r.ready)
}

// noteCache notes an engine's cache and says so if it had told of another.
func (h *holdingCheck) noteCache(want want, address, cache string) {
	if h.cacheChanged(address, cache) {
		h.lost(want.holding.Model, want.replica)
	}
}

// cacheChanged notes an engine's cache and reports whether it had told of another.
//
// A later stage that restarts alone loses its part of every cached prompt, while
// the first stage, whose events are read, goes on as before: calls would be sent
// after a cache that the chain has lost, past replicas that do have it.
func (h *holdingCheck) cacheChanged(address, cache string) bool {
	if h.lost == nil || cache == "" {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.caches[address]
	if len(h.caches) >= maxHoldings {
		clear(h.caches)
	}
	h.caches[address] = cache
	return before != "" && before != cache
}

// renew notes that a chain's engines held at a moment what the plan says, by a
// stream's first token.
//
// The moment is when the stream was sent and not when the token came. Otherwise an
// engine that is ordered to hold other layers and runs the streams that it has to
// their end by the old ones would be believed for as long as these last, and sent
// new work that is thrown away. For the same reason an answer to what was sent
// before the chain failed, or before the engine last spoke, renews nothing.
func (h *holdingCheck) renew(model string, chain Chain, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, stage := range chain.Stages {
		r, ok := h.reports[stage.Address]
		if !ok || !r.renewable(wanted(model, stage, chain), at) {
			continue
		}
		if at.Sub(r.told) < ownWord*h.ttl {
			h.reports[stage.Address] = &holdingReport{asked: at, ready: r.ready, report: r.report, at: at, told: r.told}
		}
	}
}

// renewable says whether the report is there, is what the plan says, and is older
// than the moment.
//
// A stream shows the weights that ran and that its engines take new work, and of
// adapters its own alone. Where an engine holds others too they would be believed
// for as long as there are streams, so there it is asked as before.
func (r *holdingReport) renewable(want want, at time.Time) bool {
	if !r.done() || r.err != nil || !want.met(r.report) || !r.at.Before(at) {
		return false
	}
	others := len(r.report.Adapters)
	if want.artifact.Adapter != "" {
		others--
	}
	return others == 0
}

// told takes what a chain's engines said of themselves when they were asked along
// the chain, which is what the plan says. A report that is newer stays.
func (h *holdingCheck) told(model string, chain Chain, at time.Time, reports []engineapi.Report) {
	for i, stage := range chain.Stages {
		h.noteCache(wanted(model, stage, chain), stage.Address, reports[i].Cache)
		h.mu.Lock()
		if r, ok := h.reports[stage.Address]; ok && r.done() && r.at.Before(at) {
			h.reports[stage.Address] = &holdingReport{asked: at, ready: r.ready, report: reports[i], at: at, told: at}
		}
		h.mu.Unlock()
	}
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
