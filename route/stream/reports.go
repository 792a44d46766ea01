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
	// errWrongArtifact ends an epoch before anything is sent.
	errWrongArtifact   = errors.New("the chain has other weights or another adapter than the answer so far")
	errIncompleteChain = errors.New("the chain's stages do not cover the model's layers")
)

const (
	// mismatchTTL is how long a report that does not match is trusted: short,
	// because the engine may be loading what the plan has just given it, but
	// long enough that a burst of streams asks once.
	mismatchTTL = 100 * time.Millisecond
	// maxReports bounds the reports kept.
	maxReports = 4096
	// renewalTTLs, in times that a report is trusted, is how long answers may renew it
	// before the engine is asked itself again: spans name the layers but not the
	// placement version, and one call in 20 s is a tenth of one in 2 s.
	renewalTTLs = 10
)

// reportChecker is the check at use: before work is sent to a chain, what its
// engines report to hold must be what the plan says. Orders carry a fencing
// number, but some engines ignore it and some take orders from anyone, so the
// plan alone does not tell what an engine runs. Without the check the work is
// sent, and thrown away when its spans are found wrong.
//
// Load pattern answered: a busy node would ask each stage of each replica that it
// uses every two seconds, some 70 calls and 20 KB a second at 35 replicas of four
// stages. What streams show of their engines renews the reports, so that only
// engines that were quiet are asked (see renew).
type reportChecker struct {
	client      *engineclient.Client
	ttl         time.Duration
	timeout     time.Duration
	onCacheLost func(model, replica string)
	now         func() time.Time

	mu      sync.Mutex
	reports map[string]*cachedReport
	// cacheIDs are the prefix cacheIDs that engines reported last, by address.
	cacheIDs map[string]string
}

// cachedReport is an engine's answer, or one that is being waited for.
type cachedReport struct {
	requestedAt time.Time
	ready       chan struct{} // closed when the fields below are set
	report      engineapi.Report
	err         error
	// validAt is when the report was true, by the engine's own word or by an answer
	// since; reportedAt is when it was by its own word.
	validAt, reportedAt time.Time
}

func newReportChecker(client *engineclient.Client, o Options) *reportChecker {
	return &reportChecker{
		client:      client,
		ttl:         o.ReportTTL,
		timeout:     o.ReportTimeout,
		onCacheLost: o.OnCacheLost,
		now:         time.Now,
		reports:     map[string]*cachedReport{},
		cacheIDs:    map[string]string{},
	}
}

// verify returns nil if every stage of chain holds what the plan says, by
// reports that were asked for after since.
func (h *reportChecker) verify(ctx context.Context, model string, layers int, chain Chain, since time.Time) error {
	if !covers(chain.Stages, layers) {
		return errIncompleteChain
	}
	reports := make([]*cachedReport, len(chain.Stages))
	for i, stage := range chain.Stages {
		reports[i] = h.report(expectedFrom(model, stage, chain), stage.Address, since)
	}
	for i, report := range reports {
		want := expectedFrom(model, chain.Stages[i], chain)
		if err := report.awaitMatch(ctx, want); err != nil {
			return err
		}
	}
	return nil
}

// MismatchesPlan reports whether an engine of a chain says that it holds something else
// than the chain needs. To find out before the chain is chosen costs no try: while a
// version is rolled out many replicas differ for a moment, and an answer that used
// up its tries on them would be refused though others hold what it needs.
func (r *Runner) MismatchesPlan(ctx context.Context, model string, layers int, chain Chain) bool {
	return errors.Is(r.reports.verify(ctx, model, layers, chain, time.Time{}), errMismatch)
}

// expectedReport is what a stage must report.
type expectedReport struct {
	holding  engineapi.Holding
	artifact engineapi.Artifact
	replica  string
}

func expectedFrom(model string, stage engineapi.Stage, chain Chain) expectedReport {
	return expectedReport{
		holding: engineapi.Holding{
			Model: model, Weights: chain.Artifact.Weights, First: stage.First, Last: stage.Last,
			PlacementVersion: chain.PlacementVersion,
		},
		artifact: chain.Artifact,
		replica:  chain.Replica,
	}
}

func (w expectedReport) matches(report engineapi.Report) bool {
	return report.Holding == w.holding && report.Runs(w.artifact)
}

// covers reports whether stages hold layers 0 to layers-1 once and in order.
func covers(stages []engineapi.Stage, layers int) bool {
	expected := 0
	for _, s := range stages {
		if s.First != expected || s.Last < s.First {
			return false
		}
		expected = s.Last + 1
	}
	return expected == layers && layers > 0
}

// awaitMatch waits for the report and compares it.
func (r *cachedReport) awaitMatch(ctx context.Context, want expectedReport) error {
	select {
	case <-r.ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	if r.err != nil {
		return r.err
	}
	if !want.matches(r.report) {
		return fmt.Errorf("%w: %+v, not %+v", errMismatch, r.report, want)
	}
	return nil
}

// report returns the report to go by. All streams that need a new one share
// the one call.
func (h *reportChecker) report(want expectedReport, address string, since time.Time) *cachedReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.reports[address]; ok && r.usable(h.now(), want, h.ttl, since) {
		return r
	}
	if len(h.reports) >= maxReports {
		clear(h.reports)
	}
	r := &cachedReport{ready: make(chan struct{}), requestedAt: h.now()}
	h.reports[address] = r
	go h.fetch(want, address, r)
	return r
}

// usable reports whether a report is underway or still fresh, and was asked
// for after since.
func (r *cachedReport) usable(now time.Time, want expectedReport, ttl time.Duration, since time.Time) bool {
	if r.requestedAt.Before(since) {
		return false
	}
	select {
	case <-r.ready:
	default:
		return true
	}
	if r.err != nil || !want.matches(r.report) {
		ttl = min(ttl, mismatchTTL)
	}
	return now.Sub(r.validAt) < ttl
}

// fetch fills a report. The call has a bound of its own, because the stream that
// started it may end while others wait.
func (h *reportChecker) fetch(want expectedReport, address string, r *cachedReport) {
	ctx, cancel := context.WithTimeout(context.Background(), h.timeout)
	defer cancel()
	r.report, r.err = h.client.Holding(ctx, address)
	if r.err == nil {
		h.recordCache(want, address, r.report.Cache)
	}
	r.validAt = h.now()
	r.reportedAt = r.validAt
	close(r.ready)
}

// recordCache notes an engine's cache and says so if it had told of another.
func (h *reportChecker) recordCache(want expectedReport, address, cacheID string) {
	if h.updateCacheID(address, cacheID) {
		h.onCacheLost(want.holding.Model, want.replica)
	}
}

// updateCacheID notes an engine's cache and reports whether it had told of another.
//
// A later stage that restarts alone loses its part of every cached prompt, while
// the first stage, whose events are read, goes on as before: calls would be sent
// after a cache that the chain has lost, past replicas that do have it.
func (h *reportChecker) updateCacheID(address, cacheID string) bool {
	if h.onCacheLost == nil || cacheID == "" {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.cacheIDs[address]
	if len(h.cacheIDs) >= maxReports {
		clear(h.cacheIDs)
	}
	h.cacheIDs[address] = cacheID
	return previous != "" && previous != cacheID
}

// renew notes that a chain's engines held at a moment what the plan says, by a
// stream's first token.
//
// The moment is when the stream was sent and not when the token came. Otherwise an
// engine that is ordered to hold other layers and runs the streams that it has to
// their end by the old ones would be believed for as long as these last, and sent
// new work that is thrown away. For the same reason an answer to what was sent
// before the chain failed, or before the engine last spoke, renews nothing.
func (h *reportChecker) renew(model string, chain Chain, validAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, stage := range chain.Stages {
		r, ok := h.reports[stage.Address]
		if !ok || !r.renewable(expectedFrom(model, stage, chain), validAt) {
			continue
		}
		if validAt.Sub(r.reportedAt) < renewalTTLs*h.ttl {
			h.reports[stage.Address] = &cachedReport{requestedAt: validAt, ready: r.ready, report: r.report, validAt: validAt, reportedAt: r.reportedAt}
		}
	}
}

// renewable says whether the report is there, is what the plan says, and is older
// than the moment.
//
// A stream shows the weights that ran and that its engines take new work, and of
// adapters its own alone. Where an engine holds others too they would be believed
// for as long as there are streams, so there it is asked as before.
func (r *cachedReport) renewable(want expectedReport, validAt time.Time) bool {
	if !r.isReady() || r.err != nil || !want.matches(r.report) || !r.validAt.Before(validAt) {
		return false
	}
	otherAdapters := len(r.report.Adapters)
	if want.artifact.Adapter != "" {
		otherAdapters--
	}
	return otherAdapters == 0
}

// recordReports takes what a chain's engines said of themselves when they were asked along
// the chain, which is what the plan says. A report that is newer stays.
func (h *reportChecker) recordReports(model string, chain Chain, validAt time.Time, reports []engineapi.Report) {
	for i, stage := range chain.Stages {
		h.recordCache(expectedFrom(model, stage, chain), stage.Address, reports[i].Cache)
		h.mu.Lock()
		if r, ok := h.reports[stage.Address]; ok && r.isReady() && r.validAt.Before(validAt) {
			h.reports[stage.Address] = &cachedReport{requestedAt: validAt, ready: r.ready, report: reports[i], validAt: validAt, reportedAt: validAt}
		}
		h.mu.Unlock()
	}
}

// invalidate drops what is known of a chain's engines, after it failed.
func (h *reportChecker) invalidate(chain Chain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, stage := range chain.Stages {
		if r, ok := h.reports[stage.Address]; ok && r.isReady() {
			delete(h.reports, stage.Address)
		}
	}
}

func (r *cachedReport) isReady() bool {
	select {
	case <-r.ready:
		return true
	default:
		return false
	}
}
