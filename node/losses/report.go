package losses

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// loss is one request that was not served on time.
type loss struct {
	cause   Cause
	outcome Outcome
	service string
	domain  string
	second  int64
	// lostMillis is the lateness of a late one, and what the others had taken when they
	// ended.
	lostMillis float64
}

// key is what losses are counted by.
type key struct {
	cause   Cause
	outcome Outcome
	service string
	domain  string
	second  int64
}

// sum is the losses of one key.
type sum struct {
	requests int
	millis   float64
}

// tally counts losses.
type tally map[key]sum

func (t tally) add(l loss) {
	k := key{l.cause, l.outcome, l.service, l.domain, l.second}
	s := t[k]
	s.requests++
	s.millis += l.lostMillis
	t[k] = s
}

// pending is a loss whose cause is looked for in what happened meanwhile.
type pending struct {
	loss
	node    *node
	during  interval
	example Example
}

// Row is the losses of one cause, service, failure domain or second.
type Row struct {
	Name string `json:"name"`
	// Requests by outcome.
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Left    int `json:"left"`
	// Share of all losses, those whose caller left not counted.
	Share float64 `json:"share"`
	// LostSeconds is the sum of the late ones' lateness and of what the others had taken.
	LostSeconds float64 `json:"lost_seconds"`
}

// Lost is the requests that were late, refused or failed.
func (r Row) Lost() int { return r.Late + r.Refused + r.Failed }

// Second is the losses of one second by cause.
type Second struct {
	// At is counted from the first line read.
	At     int           `json:"at"`
	Causes map[Cause]int `json:"causes"`
}

// Report is what was lost, and by what.
type Report struct {
	Files      int       `json:"files"`
	Lines      int       `json:"lines"`
	Unreadable int       `json:"unreadable"`
	From       time.Time `json:"from"`
	To         time.Time `json:"to"`
	// Denied requests are refused as the configuration says: no losses.
	Denied  int      `json:"denied"`
	Total   Row      `json:"total"`
	Causes  []Row    `json:"causes"`
	Service []Row    `json:"services"`
	Domains []Row    `json:"failure_domains"`
	Seconds []Second `json:"seconds"`
	// Examples are the first requests of the cause that was asked for.
	Examples []Example `json:"examples,omitempty"`
	// Faults are the first lines that could not be read, or not whole.
	Faults []Fault `json:"faults,omitempty"`
}

// Report tells what has been read so far.
func (r *Reader) Report() *Report {
	all, found := maps.Clone(r.losses), r.examples
	found.list = slices.Clone(found.list)
	for _, p := range r.pending {
		p.cause = r.meanwhile(p)
		all.add(p.loss)
		found.add(p.loss, p.example)
	}
	rep := &Report{
		Files: r.totals.files, Lines: r.totals.lines, Unreadable: r.totals.unreadable,
		From: r.totals.from, To: r.totals.to, Denied: r.totals.denied, Faults: r.faults,
	}
	rep.Total = total(all)
	rep.Causes = rows(all, rep.Total, func(k key) string { return string(k.cause) })
	rep.Service = rows(all, rep.Total, func(k key) string { return k.service })
	rep.Domains = rows(all, rep.Total, func(k key) string { return k.domain })
	rep.Seconds = seconds(all, r.totals.from.Unix())
	rep.Examples = found.sorted(r.totals.from)
	return rep
}

// rereadFor is for how long after streams were led around the replicas that took them
// are reading prompts again.
const rereadFor = 1 // seconds

// meanwhile is the cause of a loss by what happened while the request was underway.
func (r *Reader) meanwhile(p pending) Cause {
	for _, still := range p.node.still {
		if still.meets(p.during) {
			return NodeStill
		}
	}
	led := r.led[p.service]
	for at := p.during.from.Unix() - rereadFor; at <= p.during.to.Unix(); at++ {
		if led[at] > 0 {
			return OthersReread
		}
	}
	if r.fleetStarted(p.during) {
		return FleetStarted
	}
	return Unexplained
}

const (
	// mostLeft is for how long replicas may still run what lost nodes had begun.
	mostLeft = 8 * time.Second
	// startedPart of the nodes that start again within mostLeft are a fleet that was lost.
	startedPart = 1.0 / 3
)

// fleetStarted says whether a good part of all nodes had started again shortly before.
func (r *Reader) fleetStarted(during interval) bool {
	before := interval{during.from.Add(-mostLeft), during.from}
	started := 0
	for _, at := range r.restarts {
		if before.meets(interval{at, at}) {
			started++
		}
	}
	return float64(started) >= startedPart*float64(len(r.nodes))
}

func (r *Row) add(outcome Outcome, s sum) {
	switch outcome {
	case Late:
		r.Late += s.requests
	case Refused:
		r.Refused += s.requests
	case Failed:
		r.Failed += s.requests
	case Left:
		r.Left += s.requests
		return // it went by its own will; no time was lost
	}
	r.LostSeconds += s.millis / 1000
}

func total(all tally) Row {
	t := Row{Name: "all"}
	for k, s := range all {
		t.add(k.outcome, s)
	}
	if t.Lost() > 0 {
		t.Share = 1
	}
	return t
}

// rows sums the losses by a name, the largest first.
func rows(all tally, total Row, name func(key) string) []Row {
	byName := map[string]*Row{}
	for k, s := range all {
		n := name(k)
		if byName[n] == nil {
			byName[n] = &Row{Name: n}
		}
		byName[n].add(k.outcome, s)
	}
	list := make([]Row, 0, len(byName))
	for _, row := range byName {
		row.Share = float64(row.Lost()) / float64(max(1, total.Lost()))
		list = append(list, *row)
	}
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Lost(), a.Lost()), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func seconds(all tally, from int64) []Second {
	bySecond := map[int64]map[Cause]int{}
	for k, s := range all {
		if k.outcome == Left {
			continue
		}
		if bySecond[k.second] == nil {
			bySecond[k.second] = map[Cause]int{}
		}
		bySecond[k.second][k.cause] += s.requests
	}
	list := make([]Second, 0, len(bySecond))
	for _, at := range slices.Sorted(maps.Keys(bySecond)) {
		list = append(list, Second{At: int(at - from), Causes: bySecond[at]})
	}
	return list
}
