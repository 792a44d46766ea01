package fairness

import "math"

// DefaultCredit is the default of the credit: the most that a team may be behind the
// scheduler's virtual time, in tokens at weight 1.
const DefaultCredit = 8192

// minWeight is used in place of a weight that is smaller, infinite or not a number, because
// costs are divided by the weight.
const minWeight = 1e-6

// Flow is one team in the scheduler.
type Flow[T any] struct {
	// Value is the value that was passed to Add. The scheduler only passes it to the
	// function eligible of MinWhere.
	Value T

	weight      float64
	virtualTime float64 // tokens at weight 1
	heapIndexes []int   // index of the flow in the heap of each lane, or notInLane
	activeLanes int     // number of lanes in which the flow waits
}

// Weight returns the flow's weight.
func (f *Flow[T]) Weight() float64 { return f.weight }

// Scheduler holds the flows and serves those with lower virtual time first. Its own virtual
// time is the largest virtual time at which a request has started. A Scheduler is not safe
// for concurrent use.
type Scheduler[T any] struct {
	lanes       []lane[T]
	virtualTime float64
	credit      float64
}

// New returns a scheduler with the given number of lanes. credit is the most that a flow
// may be behind the scheduler's virtual time, in tokens at weight 1. Zero means
// DefaultCredit.
func New[T any](lanes int, credit float64) *Scheduler[T] {
	if credit <= 0 {
		credit = DefaultCredit
	}
	s := &Scheduler[T]{credit: credit, lanes: make([]lane[T], lanes)}
	for i := range s.lanes {
		s.lanes[i].laneIndex = i
	}
	return s
}

// Add returns a new flow. The flow does not wait in any lane yet.
func (s *Scheduler[T]) Add(weight float64, value T) *Flow[T] {
	f := &Flow[T]{Value: value, weight: sanitizeWeight(weight), virtualTime: s.virtualTime}
	f.heapIndexes = make([]int, len(s.lanes))
	for i := range f.heapIndexes {
		f.heapIndexes[i] = notInLane
	}
	return f
}

// SetWeight changes the weight that later calls of Charge and Correct use.
func (f *Flow[T]) SetWeight(weight float64) {
	f.weight = sanitizeWeight(weight)
}

// Activate records that a request of the flow waits in the lane. If the flow waited in no
// lane before, its virtual time is raised at least to that of the scheduler. Otherwise a
// flow would save up credit while it has no requests, and could then block the other flows.
func (s *Scheduler[T]) Activate(f *Flow[T], laneIndex int) {
	if f.heapIndexes[laneIndex] != notInLane {
		return
	}
	if f.activeLanes == 0 {
		f.virtualTime = max(f.virtualTime, s.virtualTime)
	}
	f.activeLanes++
	s.lanes[laneIndex].push(f)
}

// Deactivate records that no request of the flow waits in the lane any more.
func (s *Scheduler[T]) Deactivate(f *Flow[T], laneIndex int) {
	if f.heapIndexes[laneIndex] == notInLane {
		return
	}
	s.lanes[laneIndex].remove(f)
	f.activeLanes--
}

// Min returns the flow with the lowest virtual time of those that wait in the lane, or nil
// if none waits.
func (s *Scheduler[T]) Min(laneIndex int) *Flow[T] {
	flows := s.lanes[laneIndex].flows
	if len(flows) == 0 {
		return nil
	}
	return flows[0]
}

// MinWhere returns the flow with the lowest virtual time of the eligible flows that wait in
// the lane, or nil if none is eligible. If the flow with the lowest virtual time is not
// eligible, MinWhere goes through all flows that wait in the lane.
func (s *Scheduler[T]) MinWhere(laneIndex int, eligible func(T) bool) *Flow[T] {
	var leastServed *Flow[T]
	for _, f := range s.lanes[laneIndex].flows {
		if (leastServed == nil || f.virtualTime < leastServed.virtualTime) && eligible(f.Value) {
			leastServed = f
			if f.heapIndexes[laneIndex] == 0 {
				break
			}
		}
	}
	return leastServed
}

// VirtualTimeDiff returns the virtual time of a minus that of b, in tokens at weight 1. The
// flow with the lower virtual time is served first.
func (s *Scheduler[T]) VirtualTimeDiff(a, b *Flow[T]) float64 { return a.virtualTime - b.virtualTime }

// Charge records that a request of the flow has started. cost is its expected cost in
// tokens.
func (s *Scheduler[T]) Charge(f *Flow[T], cost float64) {
	start := max(f.virtualTime, s.virtualTime-s.credit)
	s.virtualTime = max(s.virtualTime, start)
	f.virtualTime = start + cost/f.weight
	s.fix(f)
}

// Correct adds the actual cost of a request minus its expected cost, in tokens, to the
// charge of the flow. A team that understates its costs is charged the rest here. A team
// that overstates its costs gets a refund.
func (s *Scheduler[T]) Correct(f *Flow[T], costDiff float64) {
	f.virtualTime += costDiff / f.weight
	s.fix(f)
}

// Debt returns the work, in tokens, that corresponds to the flow's virtual time above that
// of the scheduler. It is zero if the flow's virtual time is not above that of the
// scheduler. The flow is served again when the other flows have caught up.
func (s *Scheduler[T]) Debt(f *Flow[T]) float64 {
	return max(f.virtualTime-s.virtualTime, 0) * f.weight
}

// Waiting reports whether the flow waits in any lane.
func (f *Flow[T]) Waiting() bool { return f.activeLanes > 0 }

// WaitsIn reports whether the flow waits in the lane.
func (f *Flow[T]) WaitsIn(laneIndex int) bool { return f.heapIndexes[laneIndex] != notInLane }

// fix restores the heap order of all lanes after a change of the flow's virtual time.
func (s *Scheduler[T]) fix(f *Flow[T]) {
	for i := range s.lanes {
		if f.heapIndexes[i] != notInLane {
			s.lanes[i].fix(f)
		}
	}
}

func sanitizeWeight(w float64) float64 {
	if math.IsNaN(w) || math.IsInf(w, 0) || w < minWeight {
		return minWeight
	}
	return w
}
