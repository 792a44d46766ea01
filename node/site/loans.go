package site

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/retryloans"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
)

// loans are the retries that nodes lend to each other. Safe for concurrent use.
type loans struct {
	node *Node

	mu      sync.Mutex
	ledger  *retryloans.Ledger
	budgets map[string]*retrybudget.Budget
	// logged holds, by service, the numbers of the last line of the log, and counted those that the
	// metrics include. loggedAt is the time of the last lines.
	logged, counted map[string]loanCounts
	loggedAt        time.Time
}

// loanCounts are whole retries since the start.
type loanCounts struct{ lent, borrowed, used int64 }

func (l *loans) init(n *Node) {
	l.node, l.loggedAt = n, n.started
	l.ledger = retryloans.New(rand.Uint64())
	l.logged, l.counted = map[string]loanCounts{}, map[string]loanCounts{}
}

// loanLifetime is how long retries that are withdrawn from the budget of a service may be used
// by other nodes; zero if none are lent. Only services under load control lend.
func (n *Node) loanLifetime(service string) time.Duration {
	if rules := n.rules.Load(); rules != nil {
		for _, s := range rules.Services() {
			if s.Name == service && s.LoadControl {
				return retryloans.Lifetime
			}
		}
	}
	return 0
}

// lendRetries sets which services lend retries. A node that has just started neither lends nor
// borrows: it does not know yet how many nodes share the retries, so its part of them still changes.
func (s *services) lendRetries(list []*ruleset.Service) {
	lending := map[string]*retrybudget.Budget{}
	for _, service := range list {
		if service.LoadControl && time.Since(s.node.started) >= meetAfter {
			lending[service.Name] = s.Budget(service.Name)
		}
	}
	s.mu.Lock()
	for name, b := range s.budgets {
		b.SetLoanLifetime(s.node.loanLifetime(name))
	}
	s.mu.Unlock()
	s.node.loans.set(lending)
}

func (l *loans) set(budgets map[string]*retrybudget.Budget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budgets = budgets
	lending := map[string]retryloans.Budget{}
	for service, b := range budgets {
		lending[service] = b
	}
	l.ledger.SetBudgets(lending)
}

// services returns the services whose retries are lent.
func (l *loans) services() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.budgets))
}

// Ask implements bookings.RetryLoans.
func (l *loans) Ask(hub string, asHub bool) (retryloans.Message, retryloans.Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Ask(time.Now(), hub, asHub)
}

// Receive implements bookings.RetryLoans.
func (l *loans) Receive(ask retryloans.Ask, reply retryloans.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Receive(time.Now(), ask, reply)
}

// Reply implements bookings.RetryLoans.
func (l *loans) Reply(node string, nodeIsHub bool, ask retryloans.Message) retryloans.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Reply(time.Now(), node, nodeIsHub, ask)
}

// report updates the metrics, and logs every countsEvery what was lent since the last lines.
func (l *loans) report() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if ignored := l.ledger.TakeIgnored(); ignored > 0 {
		l.node.log.Warn("retry loans passed over", "loans", ignored)
	}
	logDue := now.Sub(l.loggedAt) >= countsEvery
	if logDue {
		l.loggedAt = now
	}
	for service, totals := range l.ledger.Totals(now) {
		counts := loanCounts{lent: int64(totals.Lent), borrowed: int64(totals.Borrowed), used: int64(l.budgets[service].BorrowedUsed())}
		l.updateMetrics(service, counts, totals.Pooled)
		if logDue {
			l.logGrowth(service, counts, totals.Pooled)
		}
	}
}

// updateMetrics adds the growth since the last call to the counters. A total that is lower than before
// began at zero again, because the service was not under load control meanwhile.
func (l *loans) updateMetrics(service string, counts loanCounts, pooled float64) {
	before := l.counted[service]
	l.node.metrics.RetryLoans(service, max(0, counts.lent-before.lent), max(0, counts.borrowed-before.borrowed), max(0, counts.used-before.used), pooled)
	l.counted[service] = counts
}

// logGrowth logs the growth since the last line of a service, if there is any.
func (l *loans) logGrowth(service string, counts loanCounts, pooled float64) {
	before := l.logged[service]
	if counts == before {
		return
	}
	l.logged[service] = counts
	l.node.log.Info("retries lent", "service", service, "lent", counts.lent-before.lent, "borrowed", counts.borrowed-before.borrowed,
		"borrowed_used", counts.used-before.used, "pooled", pooled, "over_ms", countsEvery.Milliseconds())
}
