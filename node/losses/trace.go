package losses

import "time"

// trace is what is known of one request underway.
type trace struct {
	service string
	last    time.Time
	// lines are kept where examples are asked for.
	lines []string
	// tries that failed; lastTry is how the last one ended, and notRun whether it did not
	// run.
	tries   int
	lastTry string
	notRun  bool
	// spent is set while the budget of tries is what ended it.
	spent   bool
	detours []detour
}

// detour is an order to go around a part of a path.
type detour struct {
	taken        bool
	silentMillis float64 // when the order was answered
	crossings    int
}

// budgetSpent is the reason of a try that is not made for want of budget.
const budgetSpent = "budget spent"

func (t *trace) retried(l line) {
	t.tries++
	t.lastTry, t.notRun = l.End, l.NotRun > 0
	t.spent = l.Reason == budgetSpent
}

func (t *trace) led(l line) {
	t.detours = append(t.detours, detour{taken: l.Taken > 0, silentMillis: l.SilentMillis, crossings: int(l.Crossings)})
}

// node is what is known of one node's log.
type node struct {
	name     string
	domain   string
	ran      bool // a line of it was read
	underway map[string]*trace
	// still is when the process stood still, newest last.
	still []interval
}

// example is the request as an operator is shown it.
func (t *trace) example(n *node, request string) Example {
	return Example{Request: request, Node: n.name, At: t.last, Lines: t.lines}
}

// interval is a span of time.
type interval struct{ from, to time.Time }

// meets says whether two spans have a moment in common.
func (i interval) meets(j interval) bool { return !i.to.Before(j.from) && !j.to.Before(i.from) }

// mostStill bounds what is kept of one node's standstills.
const mostStill = 1000

func (n *node) stoodStill(l line) {
	if len(n.still) == mostStill {
		n.still = n.still[1:]
	}
	n.still = append(n.still, interval{l.At.Add(-millis(l.StillMillis)), l.At})
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
