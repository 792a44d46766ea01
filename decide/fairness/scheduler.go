package fairness

import "math"

// DefaultCredit is the default bound, in tokens at weight 1, of what a team may
// be owed.
const DefaultCredit = 8192

// minWeight replaces a weight that is zero, negative or not a number, so that
// no division by it stops the schedule.
const minWeight = 1e-6

// Flow is one team's place in the schedule. Value is the owner's own.
type Flow[T any] struct {
	Value T

	weight  float64
	virtual float64
	places  []int // index in the heap of each lane, or absent
	awake   int   // number of lanes in which the flow waits
}

// Weight returns the flow's weight.
func (f *Flow[T]) Weight() float64 { return f.weight }

// Scheduler orders flows by virtual time. It is not safe for concurrent use.
type Scheduler[T any] struct {
	lanes   []lane[T]
	virtual float64
	credit  float64
}

// New returns a scheduler with the given number of lanes. Credit is in tokens
// at weight 1; zero means DefaultCredit.
func New[T any](lanes int, credit float64) *Scheduler[T] {
	if credit <= 0 {
		credit = DefaultCredit
	}
	s := &Scheduler[T]{credit: credit, lanes: make([]lane[T], lanes)}
	for i := range s.lanes {
		s.lanes[i].index = i
	}
	return s
}

// Add returns a new flow, which waits in no lane.
func (s *Scheduler[T]) Add(weight float64, value T) *Flow[T] {
	f := &Flow[T]{Value: value, weight: cleanWeight(weight), virtual: s.virtual}
	f.places = make([]int, len(s.lanes))
	for i := range f.places {
		f.places[i] = absent
	}
	return f
}

// SetWeight changes the weight from the next charge on.
func (f *Flow[T]) SetWeight(weight float64) {
	f.weight = cleanWeight(weight)
}

// Wake notes that the flow has a request waiting in the lane. A flow that comes
// back from idling starts at the present virtual time: time in which it asked
// for nothing earns it nothing, or it could save up and then shut others out.
func (s *Scheduler[T]) Wake(f *Flow[T], index int) {
	if f.places[index] != absent {
		return
	}
	if f.awake == 0 {
		f.virtual = max(f.virtual, s.virtual)
	}
	f.awake++
	s.lanes[index].push(f)
}

// Sleep notes that the flow has no request waiting in the lane any more.
func (s *Scheduler[T]) Sleep(f *Flow[T], index int) {
	if f.places[index] == absent {
		return
	}
	s.lanes[index].remove(f)
	f.awake--
}

// Min returns the waiting flow of the lane that is to go next, or nil.
func (s *Scheduler[T]) Min(index int) *Flow[T] {
	flows := s.lanes[index].flows
	if len(flows) == 0 {
		return nil
	}
	return flows[0]
}

// MinWhere returns the waiting flow of the lane that is to go next among those
// that may, or nil. It looks at every waiting flow if the first may not go.
func (s *Scheduler[T]) MinWhere(index int, may func(T) bool) *Flow[T] {
	var first *Flow[T]
	for _, f := range s.lanes[index].flows {
		if (first == nil || f.virtual < first.virtual) && may(f.Value) {
			first = f
			if f.places[index] == 0 {
				break
			}
		}
	}
	return first
}

// Ahead returns by how much more a has had than b, in tokens at weight 1. The
// one with less goes first.
func (s *Scheduler[T]) Ahead(a, b *Flow[T]) float64 { return a.virtual - b.virtual }

// Charge books a started request of the given expected cost, in tokens.
func (s *Scheduler[T]) Charge(f *Flow[T], cost float64) {
	start := max(f.virtual, s.virtual-s.credit)
	s.virtual = max(s.virtual, start)
	f.virtual = start + cost/f.weight
	s.fix(f)
}

// Correct books the difference between actual and expected cost, in tokens. A
// team that understates its cost pays later, one that overstates is paid back.
func (s *Scheduler[T]) Correct(f *Flow[T], diff float64) {
	f.virtual += diff / f.weight
	s.fix(f)
}

// Debt returns what the flow has had beyond the present virtual time, in
// tokens; it has to wait for that much before its next request.
func (s *Scheduler[T]) Debt(f *Flow[T]) float64 {
	return max(f.virtual-s.virtual, 0) * f.weight
}

// Waiting tells whether the flow waits in any lane.
func (f *Flow[T]) Waiting() bool { return f.awake > 0 }

// WaitsIn tells whether the flow waits in the lane.
func (f *Flow[T]) WaitsIn(index int) bool { return f.places[index] != absent }

func (s *Scheduler[T]) fix(f *Flow[T]) {
	for i := range s.lanes {
		if f.places[i] != absent {
			s.lanes[i].fix(f)
		}
	}
}

func cleanWeight(w float64) float64 {
	if math.IsNaN(w) || math.IsInf(w, 0) || w < minWeight {
		return minWeight
	}
	return w
}
