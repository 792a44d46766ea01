// Package retrybudget makes a service's retry.Budget safe for concurrent use and allows its
// retry ratio to be changed.
package retrybudget

import (
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/retry"
)

// Budget limits the retries that one node makes for one service. Safe for concurrent use.
type Budget struct {
	now func() time.Time

	mu     sync.Mutex
	cfg    retry.Config
	budget *retry.Budget
}

// New returns a Budget with the given configuration. now returns the current time.
func New(cfg retry.Config, now func() time.Time) *Budget {
	return &Budget{now: now, cfg: cfg, budget: retry.New(cfg)}
}

// SetRetryRatio sets the allowed number of retries per successful request; zero means the
// default. Changing the ratio replaces the budget by a new one with the initial number of
// retries.
func (b *Budget) SetRetryRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio == b.cfg.RetryRatio {
		return
	}
	b.cfg.RetryRatio = ratio
	b.budget = retry.New(b.cfg)
}

// SetBurst sets how many retries this node may make in each time window, out of the retries
// that the endpoints allow for all nodes.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetBurst(b.now(), burst)
}

// Allow decides whether a failed attempt may be retried. If it may, Allow charges one retry
// to the budget.
func (b *Budget) Allow(a retry.Attempt) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Allow(b.now(), a)
}

// CanRetry reports whether the budget has at least one retry left.
func (b *Budget) CanRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.RetriesLeft(b.now()) >= 1
}

// Success credits the budget for a complete response.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Success(b.now())
}
