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
	errMismatch = errors.New("engine report does not match the plan")
	// errWrongArtifact ends an epoch before the request is sent to the chain.
	errWrongArtifact   = errors.New("weights or adapter of the chain differ from those of the delivered tokens")
	errIncompleteChain = errors.New("stages of the chain do not cover the model's layers")
)

const (
	// mismatchTTL is how long an engine report that does not match the plan is cached.
	// This time is short because the engine may be loading the layers of a new plan, but long
	// enough that a burst of streams makes one call.
	mismatchTTL = 100 * time.Millisecond
	// maxReports bounds the number of cached engine reports.
	maxReports = 4096
	// The first token of a stream extends the validity of a cached engine report without
	// a call to the engine, but only if the stream was sent less than renewalTTLs times
	// ReportTTL after the engine's last reply. The extension is bounded because spans do
	// not name the placement version, so they do not show that it has changed. With a
	// ReportTTL of 2 s, a busy engine is asked about every 20 s instead of every 2 s.
	renewalTTLs = 10
)

// reportChecker checks, before a request is sent to a chain, that the engines report
// what the plan says. The plan alone does not show what an engine runs: some engines
// ignore the fencing number of an order, and some accept orders from anyone. Without the
// check, requests would be sent to such an engine, and its work would be discarded when
// TokenCheck rejects the spans.
//
// # Load pattern
//
// Asking each stage of each replica in use every two seconds costs a busy node some
// 70 calls and 20 KB a second at 35 replicas of four stages. To save these calls, the
// first token of a stream renews the cached reports of the stream's engines (see renew).
// Only engines without recent streams are asked each time their report expires.
type reportChecker struct {
	client      *engineclient.Client
	ttl         time.Duration
	timeout     time.Duration
	onCacheLost func(model, replica string)
	now         func() time.Time

	mu      sync.Mutex
	reports map[string]*cachedReport
	// cacheIDByAddress holds, for the address of each engine, the ID of the prefix cache
	// that the engine reported last.
	cacheIDByAddress map[string]string
}

// cachedReport is an engine report, or a call that is fetching an engine report.
type cachedReport struct {
	requestedAt time.Time
	fetched     chan struct{} // closed when the fields below are set
	report      engineapi.Report
	err         error
	// validAt is the latest time at which the report is known to have been true, from the
	// engine's reply or from a stream's first token. reportedAt is the latest such time
	// from the engine's replies alone.
	validAt, reportedAt time.Time
}

func newReportChecker(client *engineclient.Client, o Options) *reportChecker {
	return &reportChecker{
		client:           client,
		ttl:              o.ReportTTL,
		timeout:          o.ReportTimeout,
		onCacheLost:      o.OnCacheLost,
		now:              time.Now,
		reports:          map[string]*cachedReport{},
		cacheIDByAddress: map[string]string{},
	}
}

// verify returns nil if every stage of chain holds what the plan says. verify uses
// only reports that were requested at notBefore or later.
func (c *reportChecker) verify(ctx context.Context, model string, layers int, chain Chain, notBefore time.Time) error {
	if !covers(chain.Stages, layers) {
		return errIncompleteChain
	}
	reports := make([]*cachedReport, len(chain.Stages))
	for i, stage := range chain.Stages {
		reports[i] = c.report(expectedFrom(model, stage, chain), stage.Address, notBefore)
	}
	for i, report := range reports {
		want := expectedFrom(model, chain.Stages[i], chain)
		if err := report.awaitMatch(ctx, want); err != nil {
			return err
		}
	}
	return nil
}

// MismatchesPlan reports whether an engine of a chain reports other layers, another
// placement version or another artifact than the chain needs. A chooser calls it before
// it returns a chain, so that such a chain does not count as an attempt. During a rollout
// many replicas differ from their plan for a short time. An answer that used up its
// attempts on them would fail although other replicas could serve it.
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

func (e expectedReport) matches(report engineapi.Report) bool {
	return report.Holding == e.holding && report.Runs(e.artifact)
}

// covers reports whether stages hold layers 0 to layers-1 once and in order.
func covers(stages []engineapi.Stage, layers int) bool {
	nextLayer := 0
	for _, s := range stages {
		if s.First != nextLayer || s.Last < s.First {
			return false
		}
		nextLayer = s.Last + 1
	}
	return nextLayer == layers && layers > 0
}

// awaitMatch waits for the report and compares it with want.
func (r *cachedReport) awaitMatch(ctx context.Context, want expectedReport) error {
	select {
	case <-r.fetched:
	case <-ctx.Done():
		return ctx.Err()
	}
	if r.err != nil {
		return r.err
	}
	if !want.matches(r.report) {
		return fmt.Errorf("%w: got %+v, want %+v", errMismatch, r.report, want)
	}
	return nil
}

// report returns a usable cached report. If there is none, it starts a call that fetches
// a new report. All streams that need the report share the call.
func (c *reportChecker) report(want expectedReport, address string, notBefore time.Time) *cachedReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.reports[address]; ok && r.usable(c.now(), want, c.ttl, notBefore) {
		return r
	}
	if len(c.reports) >= maxReports {
		clear(c.reports)
	}
	r := &cachedReport{fetched: make(chan struct{}), requestedAt: c.now()}
	c.reports[address] = r
	go c.fetch(want, address, r)
	return r
}

// usable reports whether a report was requested at notBefore or later, and either is
// still being fetched or has not expired. A report expires ttl after validAt. A failed
// call or a report that does not match expires after mismatchTTL, if that is shorter.
func (r *cachedReport) usable(now time.Time, want expectedReport, ttl time.Duration, notBefore time.Time) bool {
	if r.requestedAt.Before(notBefore) {
		return false
	}
	select {
	case <-r.fetched:
	default:
		return true
	}
	if r.err != nil || !want.matches(r.report) {
		ttl = min(ttl, mismatchTTL)
	}
	return now.Sub(r.validAt) < ttl
}

// fetch calls the engine and sets the fields of r. The call has its own timeout, because
// the stream that started it may end while other streams wait for the report.
func (c *reportChecker) fetch(want expectedReport, address string, r *cachedReport) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	r.report, r.err = c.client.HoldingReport(ctx, address)
	if r.err == nil {
		c.recordCache(want, address, r.report.Cache)
	}
	r.validAt = c.now()
	r.reportedAt = r.validAt
	close(r.fetched)
}

// recordCache records the ID of an engine's prefix cache, and calls onCacheLost if the
// engine reported another ID before.
func (c *reportChecker) recordCache(want expectedReport, address, cacheID string) {
	if c.updateCacheID(address, cacheID) {
		c.onCacheLost(want.holding.Model, want.replica)
	}
}

// updateCacheID stores the ID of an engine's prefix cache and reports whether the ID has
// changed.
//
// If only a later stage restarts, it loses its part of every cached prompt. The node reads
// cache events only from the first stage, which still has its part, so these events do not
// show the loss. Without the comparison of IDs, the router would still believe that the
// chain has the prompt cached. The router would then prefer the chain to replicas that
// really have the prompt cached.
func (c *reportChecker) updateCacheID(address, cacheID string) bool {
	if c.onCacheLost == nil || cacheID == "" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.cacheIDByAddress[address]
	if len(c.cacheIDByAddress) >= maxReports {
		clear(c.cacheIDByAddress)
	}
	c.cacheIDByAddress[address] = cacheID
	return previous != "" && previous != cacheID
}

// renew records that a chain's engines held what the plan says at the time validAt, as
// the first token of a stream has shown. Their renewable reports are then valid for
// another TTL from validAt. The time from the engine's last reply to validAt must be shorter
// than renewalTTLs times the TTL, or the report is not renewed.
//
// validAt is the time when the stream was sent, not when the token arrived. An engine
// that was ordered to hold other layers may finish its running streams with the old
// layers. If reports were renewed from the arrival of tokens, such streams would keep
// the old report valid. New requests would then be sent to the engine and their work
// discarded. For the same reason, a stream renews no report if it was sent before the
// chain failed, or before the engine's latest report.
func (c *reportChecker) renew(model string, chain Chain, validAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, stage := range chain.Stages {
		r, ok := c.reports[stage.Address]
		if !ok || !r.renewable(expectedFrom(model, stage, chain), validAt) {
			continue
		}
		if validAt.Sub(r.reportedAt) < renewalTTLs*c.ttl {
			c.reports[stage.Address] = &cachedReport{requestedAt: validAt, fetched: r.fetched, report: r.report, validAt: validAt, reportedAt: r.reportedAt}
		}
	}
}

// renewable reports whether the report has been fetched, matches the plan, is older than
// validAt, and lists no adapter besides the one that the stream uses.
//
// The tokens of a stream show the weights, the stream's own adapter, and that the
// engines accept new work. The tokens do not show whether other adapters are still loaded. A
// report that lists other adapters is therefore not renewed, and the engine is asked
// again when the report expires.
func (r *cachedReport) renewable(want expectedReport, validAt time.Time) bool {
	if !r.isFetched() || r.err != nil || !want.matches(r.report) || !r.validAt.Before(validAt) {
		return false
	}
	otherAdapters := len(r.report.Adapters)
	if want.artifact.Adapter != "" {
		otherAdapters--
	}
	return otherAdapters == 0
}

// recordReports stores the reports that a probe along the chain returned, and that match
// the plan. A report replaces the cached report of the same engine if the cached report has
// been fetched and its validAt is earlier. For an engine without a cached report, nothing
// is stored.
func (c *reportChecker) recordReports(model string, chain Chain, validAt time.Time, reports []engineapi.Report) {
	for i, stage := range chain.Stages {
		c.recordCache(expectedFrom(model, stage, chain), stage.Address, reports[i].Cache)
		c.mu.Lock()
		if r, ok := c.reports[stage.Address]; ok && r.isFetched() && r.validAt.Before(validAt) {
			c.reports[stage.Address] = &cachedReport{requestedAt: validAt, fetched: r.fetched, report: reports[i], validAt: validAt, reportedAt: validAt}
		}
		c.mu.Unlock()
	}
}

// invalidate drops the cached reports of a chain's engines after the chain failed. A report
// that is still being fetched is kept.
func (c *reportChecker) invalidate(chain Chain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, stage := range chain.Stages {
		if r, ok := c.reports[stage.Address]; ok && r.isFetched() {
			delete(c.reports, stage.Address)
		}
	}
}

func (r *cachedReport) isFetched() bool {
	select {
	case <-r.fetched:
		return true
	default:
		return false
	}
}
