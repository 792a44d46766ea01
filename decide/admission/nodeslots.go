package admission

import (
	"math"
	"time"
)

// meanSlotsTimeConstant is the time constant of the mean number of slots that the node may
// use. With a shorter time constant, the mean follows the quick changes of this number
// while nodes share replicas. With a longer time constant, waits are predicted from slots
// that other nodes now use.
const meanSlotsTimeConstant = 2 * time.Second

// nodeSlots tracks the number of the replicas' slots that this node may use. Nodes that
// share replicas compete for the free slots. The number of slots of one node therefore
// changes by half within tenths of a second, although the replicas do not change.
//
// If waits were predicted from the current number of slots, requests would be admitted for
// slots that another node uses a moment later. One refused request in a hundred would then
// wait for more than two seconds before its refusal. Waits are therefore predicted from the
// mean number of slots. A loss of replicas still lowers the mean at once.
type nodeSlots struct {
	slots      int // number of slots that the node may use now
	totalSlots int // number of slots of all usable replicas
	meanSlots  float64
	updatedAt  time.Time // when slots or meanSlots was last set
	meanSince  time.Time // start of the period that the mean covers
}

// setFixed sets the number of slots of a node that shares no replicas with other nodes. The
// mean number of slots becomes the same.
func (s *nodeSlots) setFixed(now time.Time, slots int) {
	*s = nodeSlots{slots: slots, totalSlots: slots, meanSlots: float64(slots), updatedAt: now}
}

// update sets the current number of slots that the node may use, and the total number of
// slots of all usable replicas. It reports whether the total has decreased or the node has
// no slots.
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

// restartMean restarts the mean from the current number of slots if this number is below
// the mean. restartMean is called when the first request has to wait: the other nodes are
// then also filling the free slots. restartMean reports whether the mean has changed.
//
// Before a rush each node sees nearly all slots as free. If this period stayed in the mean,
// the mean would be too high for seconds. The node would then admit requests for up to
// three times its real slots, and refuse them three seconds later.
func (s *nodeSlots) restartMean(now time.Time) bool {
	mean := s.meanAt(now)
	if float64(s.slots) >= mean {
		return false
	}
	s.meanSlots, s.updatedAt, s.meanSince = float64(s.slots), now, now
	return true
}

// meanAt returns the number of slots, averaged with the time constant
// meanSlotsTimeConstant.
func (s *nodeSlots) meanAt(now time.Time) float64 {
	if float64(s.slots) == s.meanSlots {
		return s.meanSlots
	}
	weight := s.meanSlotsWeight(now)
	return s.meanSlots*weight + float64(s.slots)*(1-weight)
}

// meanSlotsWeight returns the weight of the field meanSlots in the mean at the given time.
// The current number of slots has the rest of the weight. After a restart, the averaging
// period grows from zero to meanSlotsTimeConstant. While this period grows, all times since
// the restart have the same weight.
func (s *nodeSlots) meanSlotsWeight(now time.Time) float64 {
	age := max(now.Sub(s.updatedAt), 0)
	coveredTime := max(s.updatedAt.Sub(s.meanSince), 0)
	growthTime := min(age, max(meanSlotsTimeConstant-coveredTime, 0))
	weight := math.Exp(-(age - growthTime).Seconds() / meanSlotsTimeConstant.Seconds())
	if growthTime > 0 {
		weight *= coveredTime.Seconds() / (coveredTime + growthTime).Seconds()
	}
	return weight
}
