// Package retrybudget makes a service's retry.Budget safe for concurrent use and allows
// callers to change the retry ratio of the budget.
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
	// waiting is the number of requests that wait for a retry.
	waiting int
}

// New returns a Budget with the given configuration. now returns the current time.
func New(cfg retry.Config, now func() time.Time) *Budget {
	return &Budget{now: now, cfg: cfg, budget: retry.New(cfg)}
}

// SetRetryRatio sets the allowed number of retries per successful request. Zero means the
// default. A change of the ratio replaces the budget by a new budget with the initial number
// of retries.
func (b *Budget) SetRetryRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio == b.cfg.RetryRatio {
		return
	}
	b.cfg.RetryRatio = ratio
	b.budget = retry.New(b.cfg)
}

// SetBurst sets the burst: how many retries this node may make in any period of length
// retry.Config.Window, in addition to the retries earned by successes. The burst
// is this node's part of the retries that the endpoints allow for all nodes.
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
	now := b.now()
	if b.budget.RetriesLeft(now) >= 1 {
		return true
	}
	b.budget.NoteRefusal(now)
	return false
}

// Success records a complete response, for which the budget earns its retry ratio in
// retries.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Success(b.now())
}
