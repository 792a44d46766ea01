package poison

import (
	"slices"
	"strings"
	"time"
)

// HoldFor is the time after the last crash for which a part is held back. Answers without it become
// complete in this time, if the part is the cause.
const HoldFor = 30 * time.Second

// held reports whether a part is held back, to find out whether replicas crash without it as well.
//
// If replicas crash faster than answers become complete, nothing shows that they complete any answer
// without the part, and no verdict is possible. A part that has been at all of the last crashes, and that
// most requests do not have, is held back then. If it is the cause, other answers become complete and it
// is isolated. Otherwise the next crash ends this. One part of a service is held back at a time.
func (t *Tracker) held(now time.Time, p Part) bool {
	if !t.mayBeHeld(now, p) {
		return false
	}
	chosen := p
	for other := range t.suspects {
		if other.Service == p.Service && t.mayBeHeld(now, other) && t.compareCandidates(other, chosen) < 0 {
			chosen = other
		}
	}
	return chosen == p
}

// compareCandidates orders parts that may be held back, by what all nodes know of them.
func (t *Tracker) compareCandidates(a, b Part) int {
	if byCrashes := len(t.exposures(b)) - len(t.exposures(a)); byCrashes != 0 {
		return byCrashes
	}
	return strings.Compare(a.ID, b.ID)
}

// mayBeHeld reports whether a part was at the last crashes and most requests do not have it.
func (t *Tracker) mayBeHeld(now time.Time, p Part) bool {
	return t.wasAtLastCrashes(now, p) && t.isRare(p, t.exposures(p)[0])
}

// wasAtLastCrashes reports whether the last crashes of a service all count against a part, as many as
// isolate it.
func (t *Tracker) wasAtLastCrashes(now time.Time, p Part) bool {
	needed := isolateAfter
	if !t.answeredAt(p).complete.IsZero() {
		needed = isolateAnsweredAfter
	}
	if p.Own() || t.isolated[p] != nil || len(t.suspects[p]) < needed {
		return false
	}
	list := t.exposures(p)
	if consecutive(list, p) < needed || now.Sub(list[len(list)-1].at) >= HoldFor {
		return false
	}
	return !t.hasCrashesWithout(p, needed)
}

// isRare reports whether most answers that have begun at this node since a crash are without a part.
func (t *Tracker) isRare(p Part, since *crash) bool {
	all := t.answerCounts(p.Service).begun - since.answersBefore.begun
	with := t.answeredAt(p).begunHere - since.exposed[p].begunBefore
	return all-with >= minRecentAnswers && 2*with < all
}

// hasCrashesWithout reports whether one of the last crashes of a service, so many, does not count against a
// part.
func (t *Tracker) hasCrashesWithout(p Part, count int) bool {
	last := t.crashesOf(p.Service)
	last = last[max(0, len(last)-count):]
	return slices.ContainsFunc(last, func(c *crash) bool { return !t.countsAgainst(c, p) })
}

// crashesWithout returns the crashes of a part's service since a time at which the part was not exposed and
// whose cause is not known, the earliest first.
func (t *Tracker) crashesWithout(p Part, since time.Time) []*crash {
	return slices.DeleteFunc(t.crashesOf(p.Service), func(c *crash) bool {
		_, exposed := c.exposed[p]
		return exposed || c.cause != (Part{}) || c.at.Before(since)
	})
}

// crashesOf returns the crashes of a service that were not refuted, the earliest first.
func (t *Tracker) crashesOf(service string) []*crash {
	var list []*crash
	for _, c := range t.crashes {
		if !c.refuted && c.of(service) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *crash) int { return a.at.Compare(b.at) })
	return list
}

// of reports whether the replica of a crash belongs to a service.
func (c *crash) of(service string) bool {
	for p := range c.exposed {
		return p.Service == service // a replica belongs to one service
	}
	return false
}

// explain records that a part which was held back is the cause of the crashes that it was exposed to, so
// that they no longer count against parts that were there as well.
func (t *Tracker) explain(p Part) {
	for _, c := range t.crashes {
		if _, exposed := c.exposed[p]; exposed {
			c.cause = p
		}
	}
}

// isExplained reports whether another part than p is known to be the cause of a crash.
func (c *crash) isExplained(p Part) bool { return c.cause != (Part{}) && c.cause != p }
