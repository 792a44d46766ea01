// Package retrybudget shares a service's budget of further tries among a node's
// goroutines.
package retrybudget

import (
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/retry"
)

// Budget is the budget of one service on one node. Safe for concurrent use.
type Budget struct {
	now func() time.Time

	mu     sync.Mutex
	cfg    retry.Config
	budget *retry.Budget
}

// New returns a Budget; now is the clock, time.Now outside tests.
func New(cfg retry.Config, now func() time.Time) *Budget {
	return &Budget{now: now, cfg: cfg, budget: retry.New(cfg)}
}

// SetRetryRatio takes the share of successes that further tries may cost; zero means the
// default. A new share starts with a full budget.
func (b *Budget) SetRetryRatio(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if share == b.cfg.RetryRatio {
		return
	}
	b.cfg.RetryRatio = share
	b.budget = retry.New(b.cfg)
}

// SetBurst changes this node's part of the tries that all nodes may make in a window.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetBurst(b.now(), burst)
}

// Allow decides on a failed attempt, and charges the budget if it may be tried again.
func (b *Budget) Allow(a retry.Attempt) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Allow(b.now(), a)
}

// CanRetry says whether a further try would be allowed.
func (b *Budget) CanRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.RetriesLeft(b.now()) >= 1
}

// Success credits the budget for a complete answer.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Success(b.now())
}
