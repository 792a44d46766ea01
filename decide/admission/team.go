package admission

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/fairness"
)

// team holds the waiting requests and the forecast of one team.
type team struct {
	name         string
	listIndex    int // in Queue.teamList
	flow         *fairness.Flow[*team]
	queues       [classCount]classQueue
	runningCount int
	configured   bool                        // SetTeam was called
	offeredWork  [jobLengthCount]decayingSum // expected tokens
	demand       [jobLengthCount]float64     // expected tokens per second at the last forecast
	rate         float64                     // forecast rate, expected tokens per second
	longRate     float64                     // forecast rate of the long jobs
	lastRetryAt  time.Time                   // the time at which the last refused caller was told to retry
}

// idle reports whether the team has no waiting and no running request.
func (t *team) idle() bool { return t.runningCount == 0 && !t.flow.Waiting() }

// longWork returns the expected tokens of the team's waiting long jobs.
func (t *team) longWork() float64 {
	sum := 0.0
	for c := range t.queues {
		sum += t.queues[c].lists[long].cost
	}
	return sum
}

// higherClassWork returns the expected tokens of the team's waiting requests in the classes
// that go before the given class.
func (t *team) higherClassWork(class Class) float64 {
	sum := 0.0
	for c := range class {
		sum += t.queues[c].cost()
	}
	return sum
}

// firstItem returns the request of the team that starts next, or nil.
func (t *team) firstItem(longAllowed bool) *item {
	for c := range t.queues {
		if it := t.queues[c].firstItem(longAllowed); it != nil {
			return it
		}
	}
	return nil
}

// each calls visit for every waiting request, by class, job length and arrival. visit may remove
// the request that it receives.
func (t *team) each(visit func(*item)) {
	for c := range t.queues {
		for l := range t.queues[c].lists {
			t.queues[c].lists[l].each(visit)
		}
	}
}

// classQueue holds the waiting requests of one team and class. While short requests and long
// jobs both wait, both job lengths are served the same amount of work. In a single list the
// short requests would wait behind each long job. If short requests always went first, a
// team that sends enough of them would never get its long jobs served.
type classQueue struct {
	lists       [jobLengthCount]list
	virtualTime [jobLengthCount]float64 // work served per job length, in tokens
}

func (c *classQueue) cost() float64 { return c.lists[short].cost + c.lists[long].cost }

// push adds a request. A job length that was idle has not saved up credit; package fairness
// treats idle teams in the same way. The first long job goes behind the short requests that
// are already waiting, because their predicted waits do not include it.
func (c *classQueue) push(it *item) {
	l := it.jobLength
	if c.lists[l].head == nil {
		c.virtualTime[l] = max(c.virtualTime[l], c.virtualTime[l.other()])
	}
	if l == long && c.lists[long].head == nil {
		c.virtualTime[long] = max(c.virtualTime[long], c.virtualTime[short]+c.lists[short].cost)
	}
	c.lists[l].push(it)
}

// otherLengthAhead returns the work of the other job length that is served before a request of job
// length l. ahead is the work of job length l that is served before this request.
func (c *classQueue) otherLengthAhead(l jobLength, sameLengthAhead float64) float64 {
	other := c.lists[l.other()]
	virtualTimeDiff := c.virtualTime[l] + sameLengthAhead - c.virtualTime[l.other()]
	if other.head == nil || virtualTimeDiff < 0 {
		return 0
	}
	return min(virtualTimeDiff+other.head.Cost, other.cost)
}

// firstItem returns the oldest request of the job length with the lower virtual time, or the
// oldest short request if the virtual times are equal. While no long job may start, long
// jobs are passed over, so that they do not block short requests.
func (c *classQueue) firstItem(longAllowed bool) *item {
	s := c.lists[short].head
	l := c.lists[long].head
	if s == nil && !longAllowed {
		return nil
	}
	if s == nil {
		return l
	}
	if l == nil || !longAllowed || c.virtualTime[short] <= c.virtualTime[long] {
		return s
	}
	return l
}

// charge adds the expected cost of a started request to the virtual time of its job length. A
// job length that could not be served for a while catches up by at most credit, in tokens.
func (c *classQueue) charge(it *item, credit float64) {
	l := it.jobLength
	c.virtualTime[l] = max(c.virtualTime[l], c.virtualTime[l.other()]-credit) + it.Cost
}
