package losses

import (
	"cmp"
	"slices"
	"time"
)

const (
	// mostLines bounds the lines that are kept of one request.
	mostLines = 12
	// MostExamples is the most requests of one cause that can be asked for.
	MostExamples = 10_000
)

// Example is one request that was lost by the cause that was asked for.
type Example struct {
	Request string `json:"request"`
	Node    string `json:"node"`
	// At is when it ended, Second the same counted from the first line read.
	At      time.Time `json:"at"`
	Second  int       `json:"second"`
	Outcome Outcome   `json:"outcome"`
	Service string    `json:"service"`
	Domain  string    `json:"failure_domain"`
	// LostMillis is its lateness, or what it had taken when it ended.
	LostMillis float64 `json:"lost_ms"`
	// Lines are those of the log that decided about it, as they were written.
	Lines []string `json:"lines"`
}

// examples are the requests of one cause, up to a limit.
type examples struct {
	cause Cause
	limit int
	list  []Example
}

// Keep has the first requests that are lost by a cause kept, with the lines that decided
// about them. It is called before anything is read; a limit outside 1 to MostExamples is
// an error.
func (r *Reader) Keep(cause Cause, limit int) error {
	if limit < 1 || limit > MostExamples {
		return Error.New("%d requests can't be kept: 1 to %d", limit, MostExamples)
	}
	r.examples = examples{cause: cause, limit: limit}
	return nil
}

// wanted says whether lines are to be kept.
func (e *examples) wanted() bool { return e.limit > 0 }

// add takes a loss if it is one of those that were asked for.
func (e *examples) add(l loss, x Example) {
	if l.cause != e.cause || len(e.list) >= e.limit {
		return
	}
	x.Outcome, x.Service, x.Domain, x.LostMillis = l.outcome, l.service, l.domain, l.lostMillis
	e.list = append(e.list, x)
}

// sorted are the examples in the order of time, their seconds counted from the first line.
func (e *examples) sorted(from time.Time) []Example {
	list := slices.Clone(e.list)
	for i := range list {
		list[i].Second = int(list[i].At.Unix() - from.Unix())
	}
	slices.SortFunc(list, func(a, b Example) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Request, b.Request))
	})
	return list
}
