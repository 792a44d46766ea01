package admission

import (
	"math"
	"time"
)

// shareWindow is the time constant of the mean of the slots that a node may use.
// A shorter one follows every swing of nodes that share replicas, a longer one predicts
// waits from slots that others have taken meanwhile.
const shareWindow = 2 * time.Second

// share is the part of the replicas' slots that the node may use. Nodes that
// share replicas take the free slots from each other, so that it swings by a
// half within tenths of a second while the replicas themselves stay the same.
//
// A wait foretold by the slots of one moment admits callers by a share that is
// gone a moment later: one refused caller in a hundred had by then waited for
// more than two seconds. So the wait is foretold by the mean, and only a change
// of the replicas themselves counts at once.
type share struct {
	slots int // now
	whole int // of the replicas that may be used
	mean  float64
	at    time.Time // of the last change of slots
	since time.Time // from when on the mean counts, at most shareWindow
}

// fix sets a share that does not swing.
func (s *share) fix(now time.Time, slots int) {
	*s = share{slots: slots, whole: slots, mean: float64(slots), at: now}
}

// follow takes the slots of now and those of all usable replicas, and reports
// whether replicas were lost.
func (s *share) follow(now time.Time, slots, whole int) (lost bool) {
	lost = whole < s.whole || slots == 0
	switch {
	case s.slots == 0 || slots == 0:
		s.mean = float64(slots)
	case lost:
		s.mean = s.meanAt(now) * float64(whole) / float64(s.whole)
	default:
		s.mean = s.meanAt(now)
	}
	s.slots, s.whole, s.at = slots, whole, now
	return lost
}

// taken notes that the slots have just been filled: those that were free until now
// go to other nodes as well, and the mean begins anew.
//
// Before a rush each node sees nearly all slots as free for it. Left in the mean,
// these stay for seconds in which no node has them: callers were admitted by up to
// three times the share that there was, and told after three seconds that they will
// not be served. It reports whether the mean has changed.
func (s *share) taken(now time.Time) bool {
	mean := s.meanAt(now)
	if float64(s.slots) >= mean {
		return false
	}
	s.mean, s.at, s.since = float64(s.slots), now, now
	return true
}

// meanAt returns the mean of the slots over shareWindow.
func (s *share) meanAt(now time.Time) float64 {
	if float64(s.slots) == s.mean {
		return s.mean
	}
	left := s.left(now)
	return s.mean*left + float64(s.slots)*(1-left)
}

// left is what is left of the mean's weight since the last change. The window grows
// from nothing to shareWindow, so that all of a mean that has just begun counts
// alike and its first moments not the most.
func (s *share) left(now time.Time) float64 {
	age := max(now.Sub(s.at), 0)
	before := max(s.at.Sub(s.since), 0)
	young := min(age, max(shareWindow-before, 0))
	left := math.Exp(-(age - young).Seconds() / shareWindow.Seconds())
	if young > 0 {
		left *= before.Seconds() / (before + young).Seconds()
	}
	return left
}
