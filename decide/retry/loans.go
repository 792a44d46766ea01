package retry

import "time"

// DemandTime is the period over which Balance.Recent counts retries. It covers the
// fluctuation of a few retries and is over within the time of a typical loss of replicas.
const DemandTime = 1500 * time.Millisecond

// refusedFor is how long a refused retry counts for Balance.Refused: until two exchanges
// between nodes have had a chance to bring a loan.
const refusedFor = 700 * time.Millisecond

// Balance is what a Budget holds and how much of it is wanted.
type Balance struct {
	// Own is the number of retries left of this node's own allowance, negative if the
	// allowance has become smaller. Borrowed is the number left of those lent by other nodes.
	Own, Borrowed float64
	// Recent is the number of retries made in the last DemandTime.
	Recent float64
	// Waiting is the number of requests that wait for a retry. A Budget does not know it; its
	// caller sets it.
	Waiting int
	// Refused is set if a retry was refused a moment ago because the budget was spent.
	Refused bool
}

// Balance returns the present balance. Without a Window there is none.
func (b *Budget) Balance(now time.Time) Balance {
	w, ok := b.limiter.(*slidingWindow)
	if !ok {
		return Balance{}
	}
	return Balance{
		Own: w.available(now), Borrowed: b.borrowed.available(now), Recent: w.recentlyMade(now),
		Refused: !b.refusedAt.IsZero() && now.Sub(b.refusedAt) < refusedFor,
	}
}

// Withdraw takes up to the given number of retries out of this node's own allowance, to be
// lent, and returns how many it took. Another node may use them until LoanLifetime after
// now. They count as spent from now until one Window after that time: if they counted for a
// shorter time, a period of the window's length could contain both their use by the borrower
// and a further use of the same allowance by this node.
func (b *Budget) Withdraw(now time.Time, retries float64) float64 {
	w, ok := b.limiter.(*slidingWindow)
	if !ok || w.loanLifetime <= 0 || !(retries > 0) {
		return 0
	}
	taken := min(retries, w.available(now))
	if taken <= 0 {
		return 0
	}
	w.interval(w.intervalNumber(now.Add(w.loanLifetime))).spentRetries += taken
	return taken
}

// Credit adds borrowed retries that may be used until the given time. They are used before
// this node's own. Their use does not count in this node's window, because it counts in the
// window of the node that lent them.
func (b *Budget) Credit(now time.Time, retries float64, until time.Time) {
	if retries > 0 && until.After(now) {
		b.borrowed.add(now, retries, until)
	}
}

// BorrowedUsed returns the number of borrowed retries that were used since the start.
func (b *Budget) BorrowedUsed() float64 { return b.borrowed.used }

// SetLoanLifetime changes Config.LoanLifetime.
func (b *Budget) SetLoanLifetime(lifetime time.Duration) {
	b.cfg.LoanLifetime = lifetime
	if w, ok := b.limiter.(*slidingWindow); ok {
		w.loanLifetime = b.cfg.loanLifetime()
	}
}

// NoteRefusal records that a retry was not attempted because the budget is spent.
func (b *Budget) NoteRefusal(now time.Time) { b.refusedAt = now }

// spendOne charges one retry, to borrowed retries first.
func (b *Budget) spendOne(now time.Time) {
	borrowed := b.borrowed.take(now, 1)
	b.limiter.spend(now, 1-borrowed)
	if w, ok := b.limiter.(*slidingWindow); ok {
		w.currentInterval(now).made++
	}
}

// loanLifetime returns LoanLifetime, or zero if the window is too short for it.
func (c Config) loanLifetime() time.Duration {
	if c.LoanLifetime <= 0 || 2*c.LoanLifetime > c.Window {
		return 0
	}
	return c.LoanLifetime
}

// recentlyMade returns the number of retries made in the last DemandTime, rounded up to whole
// intervals.
func (w *slidingWindow) recentlyMade(now time.Time) float64 {
	intervalWidth := w.width / windowIntervals
	intervals := int64((DemandTime + intervalWidth - 1) / intervalWidth)
	current := w.intervalNumber(now)
	made := 0.0
	for _, s := range w.ring {
		if s.intervalNumber > current-intervals && s.intervalNumber <= current {
			made += s.made
		}
	}
	return made
}

// maxCredits is the number of loans that are kept apart by the time at which they end.
const maxCredits = 8

// credits are borrowed retries.
type credits struct {
	list [maxCredits]credit
	used float64
}

type credit struct {
	retries float64
	until   time.Time
}

func (c *credits) available(now time.Time) float64 {
	sum := 0.0
	for i := range c.list {
		if c.list[i].retries > 0 && now.Before(c.list[i].until) {
			sum += c.list[i].retries
		}
	}
	return sum
}

// add stores a loan in the place of one that is used or has ended. If there is none, the new
// loan joins another, and both end when the first of them would.
func (c *credits) add(now time.Time, retries float64, until time.Time) {
	first := &c.list[0]
	for i := range c.list {
		place := &c.list[i]
		if place.retries <= 0 || !now.Before(place.until) {
			*place = credit{retries: retries, until: until}
			return
		}
		if place.until.Before(first.until) {
			first = place
		}
	}
	first.retries += retries
	if until.Before(first.until) {
		first.until = until
	}
}

// take uses up to the given number of retries, those first that end first, and returns how
// many it used.
func (c *credits) take(now time.Time, retries float64) float64 {
	taken := 0.0
	for taken < retries {
		var first *credit
		for i := range c.list {
			place := &c.list[i]
			if place.retries > 0 && now.Before(place.until) && (first == nil || place.until.Before(first.until)) {
				first = place
			}
		}
		if first == nil {
			break
		}
		part := min(first.retries, retries-taken)
		first.retries -= part
		taken += part
	}
	c.used += taken
	return taken
}
