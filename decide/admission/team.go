package admission

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/fairness"
)

// team is one team's queue.
type team struct {
	name      string
	index     int // in Queue.order
	flow      *fairness.Flow[*team]
	waiting   [classCount]classQueue
	running   int
	declared  bool                 // by SetTeam
	offered   [lengthCount]decayed // expected tokens
	demand    [lengthCount]float64 // the same per second, at the last forecast
	rate      float64              // forecast, expected tokens per second
	longRate  float64              // the same of long jobs
	returnsAt time.Time            // when the last refused caller was told to come back
}

// idle tells whether the team has no request in the queue.
func (t *team) idle() bool { return t.running == 0 && !t.flow.Waiting() }

// longWork returns the expected tokens of the team's waiting long jobs.
func (t *team) longWork() float64 {
	sum := 0.0
	for c := range t.waiting {
		sum += t.waiting[c].lists[long].cost
	}
	return sum
}

// workBefore returns the expected tokens that wait in the classes before the
// given one.
func (t *team) workBefore(class Class) float64 {
	sum := 0.0
	for c := range class {
		sum += t.waiting[c].cost()
	}
	return sum
}

// first returns the request of the team that is to go next.
func (t *team) first(longMayRun bool) *item {
	for c := range t.waiting {
		if it := t.waiting[c].first(longMayRun); it != nil {
			return it
		}
	}
	return nil
}

// each calls visit for every waiting request, by class, length and arrival.
// Visit may remove the request it is given.
func (t *team) each(visit func(*item)) {
	for c := range t.waiting {
		for l := range t.waiting[c].lists {
			t.waiting[c].lists[l].each(visit)
		}
	}
}

// classQueue holds the waiting requests of one team and class. Short and long
// jobs share the class's service evenly while both wait: in one list the short
// ones would wait behind each long one, with the short ones always first a team
// that sends enough of them would never see its reports.
type classQueue struct {
	lists  [lengthCount]list
	served [lengthCount]float64 // virtual time of each length, tokens
}

func (c *classQueue) cost() float64 { return c.lists[short].cost + c.lists[long].cost }

// push adds a request. A length that comes back from idling has nothing saved
// up, as with teams. A long job moreover goes behind the short ones that wait
// already: they were promised a start without it.
func (c *classQueue) push(it *item) {
	l := it.length
	if c.lists[l].head == nil {
		c.served[l] = max(c.served[l], c.served[l.other()])
	}
	if l == long && c.lists[long].head == nil {
		c.served[long] = max(c.served[long], c.served[short]+c.lists[short].cost)
	}
	c.lists[l].push(it)
}

// otherFirst returns the expected tokens of the other length that go before a
// request with the given work of its own length ahead of it.
func (c *classQueue) otherFirst(l length, ahead float64) float64 {
	other := c.lists[l.other()]
	lead := c.served[l] + ahead - c.served[l.other()]
	if other.head == nil || lead < 0 {
		return 0
	}
	return min(lead+other.head.Cost, other.cost)
}

// first returns the oldest request of the length that has had less, on a tie of
// the short ones. A long job without room is passed over, so that it does not
// hold up the short ones.
func (c *classQueue) first(longMayRun bool) *item {
	s := c.lists[short].head
	l := c.lists[long].head
	if s == nil && !longMayRun {
		return nil
	}
	if s == nil {
		return l
	}
	if l == nil || !longMayRun || c.served[short] <= c.served[long] {
		return s
	}
	return l
}

// charge books a started request. A length that had to wait for room is owed
// no more than the credit, in tokens.
func (c *classQueue) charge(it *item, credit float64) {
	l := it.length
	c.served[l] = max(c.served[l], c.served[l.other()]-credit) + it.Cost
}
