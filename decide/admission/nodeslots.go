package admission

import (
	"math"
	"time"
)

// meanSlotsWindow is the time constant of the mean number of slots that a node may use. With a
// shorter window, the mean follows each swing between nodes that share replicas. With a
// longer window, waits are predicted from slots that other nodes have taken meanwhile.
const meanSlotsWindow = 2 * time.Second

// nodeSlots tracks how many of the replicas' slots the node may use. Nodes that share
// replicas take the free slots from each other. The number of slots of a node therefore
// swings by a half within tenths of a second, although the replicas do not change.
//
// If waits were predicted from the current number of slots, requests would be admitted for
// slots that are taken a moment later. One refused request in a hundred then waited for
// more than two seconds. Waits are therefore predicted from the mean number of slots, and
// only a loss of replicas counts at once.
type nodeSlots struct {
	slots      int // that the node may use now
	totalSlots int // of all usable replicas
	meanSlots  float64
	updatedAt  time.Time // when slots was last set
	meanSince  time.Time // start of the period that the mean covers
}

// setFixed sets the number of slots of a node that shares no replicas. The mean takes the
// same value.
func (s *nodeSlots) setFixed(now time.Time, slots int) {
	*s = nodeSlots{slots: slots, totalSlots: slots, meanSlots: float64(slots), updatedAt: now}
}

// update sets the current number of slots of the node and of all usable replicas. It reports
// whether replicas were lost.
func (s *nodeSlots) update(now time.Time, slots, total int) (replicasLost bool) {
	replicasLost = total < s.totalSlots || slots == 0
	switch {
	case s.slots == 0 || slots == 0:
		s.meanSlots = float64(slots)
	case replicasLost:
		s.meanSlots = s.meanAt(now) * float64(total) / float64(s.totalSlots)
	default:
		s.meanSlots = s.meanAt(now)
	}
	s.slots, s.totalSlots, s.updatedAt = slots, total, now
	return replicasLost
}

// restartMean restarts the mean when the node's slots have just been filled, because other
// nodes are then taking the free slots as well. It reports whether the mean has changed.
//
// Before a rush each node sees nearly all slots as free. If these slots stayed in the mean,
// the mean would be too high for seconds. Requests were admitted for up to three times the
// node's actual slots and refused after three seconds.
func (s *nodeSlots) restartMean(now time.Time) bool {
	mean := s.meanAt(now)
	if float64(s.slots) >= mean {
		return false
	}
	s.meanSlots, s.updatedAt, s.meanSince = float64(s.slots), now, now
	return true
}

// meanAt returns the mean number of slots over shareWindow.
func (s *nodeSlots) meanAt(now time.Time) float64 {
	if float64(s.slots) == s.meanSlots {
		return s.meanSlots
	}
	weight := s.meanSlotsWeight(now)
	return s.meanSlots*weight + float64(s.slots)*(1-weight)
}

// meanSlotsWeight returns the weight of meanSlots in the mean at the given time; the current
// slots have the remaining weight. The averaging period grows from zero to shareWindow, so
// that all times since a restart count equally.
func (s *nodeSlots) meanSlotsWeight(now time.Time) float64 {
	age := max(now.Sub(s.updatedAt), 0)
	coveredTime := max(s.updatedAt.Sub(s.meanSince), 0)
	growthTime := min(age, max(meanSlotsWindow-coveredTime, 0))
	weight := math.Exp(-(age - growthTime).Seconds() / meanSlotsWindow.Seconds())
	if growthTime > 0 {
		weight *= coveredTime.Seconds() / (coveredTime + growthTime).Seconds()
	}
	return weight
}
