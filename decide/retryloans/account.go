package retryloans

import (
	"maps"
	"math"
	"time"
)

// account holds the loans of one service at one node.
type account struct {
	budget     Budget
	pool       pool
	shortfalls map[string]shortfall // by node
	totals     Totals
}

// shortfall is how many retries another node lacks, according to its last ask.
type shortfall struct {
	retries float64
	at      time.Time
	byHub   bool
}

func fromLeaf(s shortfall) bool { return !s.byHub }

func fromAny(shortfall) bool { return true }

// expire drops what has ended.
func (a *account) expire(now time.Time) {
	a.pool.expire(now)
	maps.DeleteFunc(a.shortfalls, func(_ string, s shortfall) bool { return now.Sub(s.at) >= ValidFor })
}

// withdraw takes retries out of this node's budget, to be lent.
func (a *account) withdraw(now time.Time, retries float64) float64 {
	if retries = roundDown(retries); retries <= 0 {
		return 0
	}
	// A part of a quantum that is lost here counts as spent and is used by nobody.
	taken := roundDown(a.budget.Withdraw(now, retries))
	a.totals.Lent += taken
	return taken
}

func (a *account) credit(now time.Time, retries float64, until time.Time) {
	if retries <= 0 || !until.After(now) {
		return
	}
	a.budget.Credit(now, retries, until)
	a.totals.Borrowed += retries
}

// useOwnPool gives this node what it lacks from its own pool, and returns what it still
// lacks.
func (a *account) useOwnPool(now time.Time) float64 {
	want := Want(a.budget.Balance(now))
	if want == 0 {
		return 0
	}
	taken := a.pool.take(want, now, func(retries float64, until time.Time) { a.credit(now, retries, until) })
	return math.Ceil(want - taken)
}

// lacking returns how many retries are missing in the pool for this node, which lacks own, and for
// the other nodes whose shortfalls are included.
func (a *account) lacking(now time.Time, own float64, include func(shortfall) bool) float64 {
	sum := own
	for _, s := range a.shortfalls {
		if include(s) {
			sum += s.retries
		}
	}
	return min(MaxTransfer, math.Ceil(max(0, sum-a.pool.available(now.Add(UseTime)))))
}

// grant returns what a node gets of the retries that it wants, and takes it out of the pool
// and out of this node's surplus. If there is too little, each asker gets a part in proportion
// to what it wants, at least one.
func (a *account) grant(now time.Time, node string, nodeIsHub bool, wanted float64) float64 {
	if len(a.shortfalls) >= MaxAskers {
		return 0
	}
	minLife := UseTime
	if nodeIsHub {
		minLife = HoldTime
	}
	until := now.Add(minLife)
	all := wanted
	for _, s := range a.shortfalls {
		all += s.retries
	}
	pooled := a.pool.available(until)
	available := pooled + Surplus(a.budget.Balance(now))
	part := max(1, available*wanted/all)
	granted := math.Floor(min(wanted, available, part))
	if granted > 0 {
		fromPool := a.pool.take(min(granted, pooled), until, nil)
		granted = fromPool + a.withdraw(now, granted-fromPool)
	}
	if granted < wanted {
		a.shortfalls[node] = shortfall{retries: wanted - granted, at: now, byHub: nodeIsHub}
	}
	return granted
}
