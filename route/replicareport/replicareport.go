// Package replicareport fetches the reports that model replicas make of their state. Requests
// that need the report of the same replica at about the same time share one fetch.
package replicareport

import (
	"context"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// Report is a replica's report of its state. It is some hundred milliseconds old when it
// arrives.
type Report struct {
	// Incarnation changes when the replica restarts under the same ID.
	Incarnation int64
	// ExecutingOrder is set while the replica executes an order to load or drop layers.
	ExecutingOrder bool
	// AcceptedOrders is the number of orders accepted since the replica started.
	AcceptedOrders int64
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

// reportTTL is how long a report is shared. Each fetch costs the replica some work. When a
// replica becomes slow, all requests that use it would otherwise fetch its report at once.
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
	// report and err must be read only after done is closed.
	report Report
	err    error
}

// New returns an empty Cache.
func New(source Source, now func() time.Time) *Cache {
	return &Cache{source: source, now: now, fetches: map[string]*fetch{}}
}

// Get returns the report of a replica, or the error of its fetch. The fetch is at most
// reportTTL old. fetchStarted reports whether this call started the fetch.
func (c *Cache) Get(ctx context.Context, address, replicaID string) (report Report, fetchStarted bool, err error) {
	f, fetchStarted := c.fetch(ctx, address, replicaID)
	select {
	case <-f.done:
		return f.report, fetchStarted, f.err
	case <-ctx.Done():
		return Report{}, fetchStarted, ctx.Err()
	}
}

// fetch returns the last fetch of a replica's report if that fetch is recent enough, or
// starts a new one. The second result reports whether a new fetch was started.
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
