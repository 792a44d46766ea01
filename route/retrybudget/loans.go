package retrybudget

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/retry"
)

// AddWaiting adds to the number of requests that wait for a retry.
func (b *Budget) AddWaiting(requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting += requests
}

// SetLoanLifetime sets how long retries that this node lends may be used by other nodes;
// zero if it lends none.
func (b *Budget) SetLoanLifetime(lifetime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.LoanLifetime = lifetime
	b.budget.SetLoanLifetime(lifetime)
}

// Balance implements retryloans.Budget.
func (b *Budget) Balance(now time.Time) retry.Balance {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.budget.Balance(now)
	balance.Waiting = b.waiting
	return balance
}

// Withdraw implements retryloans.Budget.
func (b *Budget) Withdraw(now time.Time, retries float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Withdraw(now, retries)
}

// Credit implements retryloans.Budget.
func (b *Budget) Credit(now time.Time, retries float64, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Credit(now, retries, until)
}

// BorrowedUsed returns the number of borrowed retries that were used since the start.
func (b *Budget) BorrowedUsed() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.BorrowedUsed()
}
