// Package replicareport asks model replicas for their accounts of themselves, and shares
// each among all requests that want it at the same time.
package replicareport

import (
	"context"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// Report is a replica's account of itself. It is some hundred milliseconds old when
// it comes.
type Report struct {
	// Incarnation tells its lives apart.
	Incarnation int64
	// ExecutingOrder says that an order is being carried out.
	ExecutingOrder bool
	// AcceptedOrders counts those accepted in this life.
	AcceptedOrders int64
	Holds          layers.Span
	// Slowdown is over 1 if the replica is slower than its kind.
	Slowdown float64
}

// Source asks one replica.
type Source interface {
	Report(ctx context.Context, address, replica string) (Report, error)
}

// validFor is how long a report is shared. When a replica turns slow, all that run
// through it ask at once, and each question is paid for.
const validFor = 800 * time.Millisecond

// maxKnown bounds what is remembered.
const maxKnown = 4096

// Cache shares reports. Safe for concurrent use.
type Cache struct {
	source Source
	now    func() time.Time

	mu    sync.Mutex
	known map[string]*question
}

type question struct {
	begun time.Time
	done  chan struct{}
	// answer and err are set once done is closed.
	answer Report
	err    error
}

// New returns an Inspector.
func New(source Source, now func() time.Time) *Cache {
	return &Cache{source: source, now: now, known: map[string]*question{}}
}

// Get returns a young report. fresh says that it was asked for by this call.
func (i *Cache) Get(ctx context.Context, address, replica string) (answer Report, fresh bool, err error) {
	q, fresh := i.question(ctx, address, replica)
	select {
	case <-q.done:
		return q.answer, fresh, q.err
	case <-ctx.Done():
		return Report{}, fresh, ctx.Err()
	}
}

func (i *Cache) question(ctx context.Context, address, replica string) (*question, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	if q, ok := i.known[replica]; ok && now.Sub(q.begun) < validFor {
		return q, false
	}
	if len(i.known) >= maxKnown {
		clear(i.known)
	}
	q := &question{begun: now, done: make(chan struct{})}
	i.known[replica] = q
	// The answer is for all who ask, so one of them who leaves must not end it.
	go func() {
		defer close(q.done)
		q.answer, q.err = i.source.Report(context.WithoutCancel(ctx), address, replica)
	}()
	return q, true
}
