package admission

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/fairness"
)

// team holds the waiting requests of one team and its measured demand and forecast rates.
type team struct {
	name                string
	listIndex           int // in Queue.teamList
	flow                *fairness.Flow[*team]
	queues              [classCount]classQueue
	runningCount        int
	configured          bool                        // SetTeam was called
	offeredWork         [jobLengthCount]decayingSum // recent work, in expected tokens, by job length
	demand              [jobLengthCount]float64     // expected tokens per second at the last forecast
	forecastRate        float64                     // forecast rate of service, in expected tokens per second
	longJobForecastRate float64                     // forecast rate of service of the long jobs, same unit
	lastRetryAt         time.Time                   // when the last refused caller was told to retry, before jitter
}

// idle reports whether none of the team's requests waits or runs.
func (t *team) idle() bool { return t.runningCount == 0 && !t.flow.Waiting() }

// longWork returns the expected tokens of the team's waiting long jobs.
func (t *team) longWork() float64 {
	sum := 0.0
	for c := range t.queues {
		sum += t.queues[c].lists[long].totalCost
	}
	return sum
}

// earlierClassWork returns the expected tokens of the team's waiting requests in all classes
// that are served before the given class.
func (t *team) earlierClassWork(class Class) float64 {
	sum := 0.0
	for c := range class {
		sum += t.queues[c].cost()
	}
	return sum
}

// firstItem returns the waiting request of the team that starts next, or nil if none may
// start. Without longAllowed, long jobs may not start.
func (t *team) firstItem(longAllowed bool) *item {
	for c := range t.queues {
		if it := t.queues[c].firstItem(longAllowed); it != nil {
			return it
		}
	}
	return nil
}

// each calls visit for every waiting request of the team, ordered by class, then job
// length, then arrival. visit may remove the request with which it is called.
func (t *team) each(visit func(*item)) {
	for c := range t.queues {
		for l := range t.queues[c].lists {
			t.queues[c].lists[l].each(visit)
		}
	}
}

// classQueue holds the waiting requests of one team and class. While both short requests
// and long jobs wait, the queue starts the same amount of work, in tokens, of each job
// length. In a single list, short requests would wait behind each long job. If short
// requests always went first, a team that sends enough of them would never get its long
// jobs served.
type classQueue struct {
	lists       [jobLengthCount]list
	virtualTime [jobLengthCount]float64 // work started per job length, in expected tokens; raised by push and charge
}

func (c *classQueue) cost() float64 { return c.lists[short].totalCost + c.lists[long].totalCost }

// push adds a request to the list of its job length. If this list was empty, its virtual
// time is raised to that of the other job length, so that a job length gains nothing from a
// time without waiting requests. Package fairness treats teams in the same way.
//
// The first long job goes behind all short requests that already wait, because their
// predicted waits do not include this job.
func (c *classQueue) push(it *item) {
	l := it.jobLength
	if c.lists[l].head == nil {
		c.virtualTime[l] = max(c.virtualTime[l], c.virtualTime[l.other()])
	}
	if l == long && c.lists[long].head == nil {
		c.virtualTime[long] = max(c.virtualTime[long], c.virtualTime[short]+c.lists[short].totalCost)
	}
	c.lists[l].push(it)
}

// otherJobLengthWorkAhead returns the work of the other job length that is served before a
// request of job length l. workAhead is the work of job length l that is served before this
// request.
func (c *classQueue) otherJobLengthWorkAhead(l jobLength, workAhead float64) float64 {
	other := c.lists[l.other()]
	virtualTimeDiff := c.virtualTime[l] + workAhead - c.virtualTime[l.other()]
	if other.head == nil || virtualTimeDiff < 0 {
		return 0
	}
	return min(virtualTimeDiff+other.head.Cost, other.totalCost)
}

// firstItem returns the oldest request of the job length with the lower virtual time, or
// the oldest short request if both virtual times are equal. If longAllowed is false, long
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

// charge adds the expected cost of a started request to the virtual time of its job length.
// If the requests of a job length could not start for a while, this job length later
// catches up by at most credit, in tokens.
func (c *classQueue) charge(it *item, credit float64) {
	l := it.jobLength
	c.virtualTime[l] = max(c.virtualTime[l], c.virtualTime[l.other()]-credit) + it.Cost
}
