// Package replicareport fetches the reports that model replicas make of their state. Requests
// that need the report of the same replica at about the same time share one fetch.
//
// A layer order is a command to a replica to load or drop layers.
package replicareport

import (
	"context"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// Report is a replica's report of its state. A report is some hundred milliseconds old when
// it arrives.
type Report struct {
	// Incarnation changes when the replica restarts under the same ID.
	Incarnation int64
	// ExecutingLayerOrder is set while the replica carries out a layer order.
	ExecutingLayerOrder bool
	// AcceptedLayerOrders is the number of layer orders that the replica has accepted since it
	// started.
	AcceptedLayerOrders int64
	// Holds is the range of layers that the replica holds.
	Holds layers.Span
	// Slowdown is the replica's step time divided by the usual step time of its kind of
	// card.
	Slowdown float64
}

// Source fetches the report of one replica.
type Source interface {
	Report(ctx context.Context, address, replicaID string) (Report, error)
}

// reportTTL is how long callers share a report. Each fetch costs the replica some work.
// Without sharing, all requests that use a replica would fetch its report at once when the
// replica becomes slow.
const reportTTL = 800 * time.Millisecond

// maxCachedReports bounds the number of reports kept in memory.
const maxCachedReports = 4096

// Cache fetches reports and shares them among callers. Safe for concurrent use.
type Cache struct {
	source Source
	now    func() time.Time

	mu sync.Mutex
	// fetches holds the last fetch of each replica, by replica ID.
	fetches map[string]*fetch
}

type fetch struct {
	startedAt time.Time
	done      chan struct{}
	// Read report and err only after done is closed.
	report Report
	err    error
}

// New returns an empty Cache.
func New(source Source, now func() time.Time) *Cache {
	return &Cache{source: source, now: now, fetches: map[string]*fetch{}}
}

// Get returns the report of a replica, or the error of the fetch of this report. The fetch
// started at most reportTTL ago. startedFetch reports whether this call started the fetch.
func (c *Cache) Get(ctx context.Context, address, replicaID string) (report Report, startedFetch bool, err error) {
	f, startedFetch := c.fetch(ctx, address, replicaID)
	select {
	case <-f.done:
		return f.report, startedFetch, f.err
	case <-ctx.Done():
		return Report{}, startedFetch, ctx.Err()
	}
}

// fetch returns the last fetch of a replica's report if this fetch started less than
// reportTTL ago. Otherwise a new fetch starts, and the second result is true.
func (c *Cache) fetch(ctx context.Context, address, replicaID string) (*fetch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if f, ok := c.fetches[replicaID]; ok && now.Sub(f.startedAt) < reportTTL {
		return f, false
	}
	if len(c.fetches) >= maxCachedReports {
		clear(c.fetches)
	}
	f := &fetch{startedAt: now, done: make(chan struct{})}
	c.fetches[replicaID] = f
	// Several callers may wait for this fetch, so it continues when the context of the
	// first caller is canceled.
	go func() {
		defer close(f.done)
		f.report, f.err = c.source.Report(context.WithoutCancel(ctx), address, replicaID)
	}()
	return f, true
}
