package poison

import (
	"slices"
	"time"
)

// exposure is an Exposure with a time in place of its age.
type exposure struct {
	sentAt   time.Time
	progress Progress
	// begunBefore is the number of answers with the part that this node had seen begin when it learned
	// of the crash.
	begunBefore int
}

// with is the exposure of a part by two groups of requests together. The request that was sent last counts.
func (x exposure) with(other exposure) exposure {
	if other.sentAt.After(x.sentAt) {
		x.sentAt = other.sentAt
	}
	x.progress = x.progress.with(other.progress)
	return x
}

// clearedAt is when a part was last cleared, by an answer or as its isolation was lifted: of crashes in the
// middle of answers if begun is set, else of those before. Only later crashes count against it.
func (t *Tracker) clearedAt(p Part, begun bool) time.Time {
	times := t.answeredAt(p)
	answered := times.begun
	if begun || p.Own() {
		answered = times.complete
	}
	if lifted := t.lifted[p]; lifted.After(answered) {
		return lifted
	}
	return answered
}

// isExposed reports whether crashes count against a part.
func (t *Tracker) isExposed(p Part) bool {
	return slices.ContainsFunc(t.suspects[p], func(c *crash) bool { return t.countsAgainst(c, p) })
}

// countsAgainst reports whether a crash counts against a part.
func (t *Tracker) countsAgainst(c *crash, p Part) bool {
	x, exposed := c.exposed[p]
	if c.refuted || c.isExplained(p) {
		return false
	}
	inTheMiddle := exposed && x.progress != Waiting && c.at.After(t.clearedAt(p, true))
	return inTheMiddle || t.countsEarly(c, p)
}

// countsEarly reports whether a crash counts against a part because a request with it was at the replica
// whose answer had not begun.
func (t *Tracker) countsEarly(c *crash, p Part) bool {
	x, exposed := c.exposed[p]
	return exposed && !c.refuted && !c.isExplained(p) && x.progress != Begun && c.at.After(t.clearedAt(p, false))
}

// countsStrongly reports whether a crash counts against a part early, and its replica has certainly ended.
func (t *Tracker) countsStrongly(c *crash, p Part) bool { return !c.uncertain && t.countsEarly(c, p) }

// exposures are the crashes that count against a part, the earliest first.
func (t *Tracker) exposures(p Part) []*crash {
	list := slices.DeleteFunc(slices.Clone(t.suspects[p]), func(c *crash) bool { return !t.countsAgainst(c, p) })
	slices.SortFunc(list, func(a, b *crash) int { return a.at.Compare(b.at) })
	return list
}

// filter returns the crashes that count against a part in some way.
func filter(list []*crash, p Part, counts func(*crash, Part) bool) []*crash {
	return slices.DeleteFunc(slices.Clone(list), func(c *crash) bool { return !counts(c, p) })
}
