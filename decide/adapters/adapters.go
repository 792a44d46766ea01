package adapters

import (
	"cmp"
	"slices"
)

// Adapter names one version of an adapter.
type Adapter struct{ Name, Version string }

// Wanted is an adapter as the document asks for it.
type Wanted struct {
	Adapter
	// Bytes is its size over all layers.
	Bytes int64
	// Replicas is how many replicas are to hold it.
	Replicas int
}

// Replica is how a replica stands.
type Replica struct {
	Name string
	// Room is the memory for adapters, those held included, in bytes over all
	// layers.
	Room int64
	// Planned are the adapters that its plan says, the oldest first; Held those
	// that all its engines report.
	Planned, Held []Adapter
	// Serving replicas hold what their plan says of layers and weights. Others are
	// given no adapter.
	Serving bool
	// Busy is the part of its slots that is taken.
	Busy float64
	// Uses is how many streams a second each adapter was opened for.
	Uses map[Adapter]float64
}

// Change is a replica's new set of adapters.
type Change struct {
	Replica  string
	Adapters []Adapter
	// Loads and Drops are how it differs from the one planned.
	Loads, Drops []Adapter
	Reason       string
	// Holders is how many replicas were planned to hold the first of Loads, and
	// Target how many are to.
	Holders, Target int
	// Passed is how many other replicas had the room.
	Passed int
}

// Result is what to change.
type Result struct {
	Changes []Change
	// Unplaced are adapters held by fewer replicas than the document asks, for want
	// of room.
	Unplaced []Adapter
}

// Reasons of changes.
const (
	ReasonUnknown = "the document no longer names it"
	ReasonOld     = "the replica holds its new version"
	ReasonWanted  = "held by fewer replicas than the document asks"
	ReasonBusy    = "every replica that holds it is busy"
)

const (
	// growAt is the part of the slots above which a holder counts as busy. Above
	// three quarters a queue before a batch of 16 begins to show; below, one more
	// holder would cost a load for nothing.
	growAt = 0.75
)

// Decide returns the changes to make now, at most one for each replica.
func Decide(wanted []Wanted, replicas []Replica) Result {
	d := newDecision(wanted, replicas)
	for i := range replicas {
		d.dropDead(i)
	}
	for _, w := range d.byNeed() {
		d.place(w)
	}
	return d.result
}

// decision is one call of Decide.
type decision struct {
	replicas []Replica
	wanted   map[Adapter]Wanted
	byName   map[string]Wanted
	changed  []bool
	// planned and held count replicas by adapter, changes so far included.
	planned, held map[Adapter]int
	used          map[Adapter]float64
	result        Result
}

func newDecision(wanted []Wanted, replicas []Replica) *decision {
	d := &decision{
		replicas: replicas,
		wanted:   make(map[Adapter]Wanted, len(wanted)),
		byName:   make(map[string]Wanted, len(wanted)),
		changed:  make([]bool, len(replicas)),
		planned:  map[Adapter]int{},
		held:     map[Adapter]int{},
		used:     map[Adapter]float64{},
	}
	for _, w := range wanted {
		d.wanted[w.Adapter] = w
		d.byName[w.Name] = w
	}
	for i := range replicas {
		for _, a := range replicas[i].Planned {
			d.planned[a]++
		}
		for _, a := range replicas[i].Held {
			d.held[a]++
		}
		for a, n := range replicas[i].Uses {
			d.used[a] += n
		}
	}
	return d
}

// dropDead takes from a replica what the document no longer names, and old versions
// that it holds the new one of.
func (d *decision) dropDead(at int) {
	r := &d.replicas[at]
	var drops []Adapter
	reason := ""
	for _, a := range r.Planned {
		w, known := d.byName[a.Name]
		switch {
		case !known:
			drops, reason = append(drops, a), ReasonUnknown
		case w.Adapter != a && slices.Contains(r.Held, w.Adapter):
			drops, reason = append(drops, a), cmp.Or(reason, ReasonOld)
		}
	}
	if len(drops) > 0 {
		d.change(at, nil, drops, Change{Reason: reason})
	}
}

// byNeed lists the wanted adapters, those first that the fewest replicas hold for
// their number, and of these the most used.
func (d *decision) byNeed() []Wanted {
	all := make([]Wanted, 0, len(d.wanted))
	for _, w := range d.wanted {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b Wanted) int {
		return cmp.Or(
			cmp.Compare(d.planned[a.Adapter]*b.Replicas, d.planned[b.Adapter]*a.Replicas),
			cmp.Compare(d.usedName(b.Name), d.usedName(a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return all
}

// usedName is how much an adapter's versions are used together: the new version of
// a busy adapter is not used yet.
func (d *decision) usedName(name string) float64 {
	sum := 0.0
	for a, n := range d.used {
		if a.Name == name {
			sum += n
		}
	}
	return sum
}

// place puts an adapter on more replicas if it is short.
func (d *decision) place(w Wanted) {
	target, reason := w.Replicas, ReasonWanted
	if d.planned[w.Adapter] >= target {
		if !d.allBusy(w.Adapter) {
			return
		}
		target, reason = d.planned[w.Adapter]+1, ReasonBusy
	}
	for d.planned[w.Adapter] < target {
		if !d.placeOne(w, target, reason) {
			if reason == ReasonWanted {
				d.result.Unplaced = append(d.result.Unplaced, w.Adapter)
			}
			return
		}
	}
}

// allBusy says whether more holders would help: all have it, none has room for more
// streams, and some of the streams are its own. While a load is underway nothing is
// added: what it brings is not known yet.
func (d *decision) allBusy(a Adapter) bool {
	if d.held[a] < d.planned[a] || d.used[a] == 0 {
		return false
	}
	for i := range d.replicas {
		if slices.Contains(d.replicas[i].Held, a) && d.replicas[i].Busy < growAt {
			return false
		}
	}
	return true
}

// placeOne puts an adapter on the best replica that can take it.
func (d *decision) placeOne(w Wanted, target int, reason string) bool {
	best, passed := -1, 0
	var drops []Adapter
	for i := range d.replicas {
		if !d.mayTake(i, w, reason) {
			continue
		}
		victims, fits := d.victims(i, w)
		if !fits {
			continue
		}
		if best >= 0 {
			passed++
		}
		if best < 0 || d.better(w, i, len(victims), best, len(drops)) {
			best, drops = i, victims
		}
	}
	if best < 0 {
		return false
	}
	d.change(best, []Adapter{w.Adapter}, drops, Change{Reason: reason, Holders: d.planned[w.Adapter], Target: target, Passed: passed})
	return true
}

func (d *decision) mayTake(at int, w Wanted, reason string) bool {
	r := &d.replicas[at]
	if !r.Serving || d.changed[at] || slices.Contains(r.Planned, w.Adapter) {
		return false
	}
	return reason != ReasonBusy || r.Busy < growAt
}

// better prefers a replica that need drop nothing, then one that holds an older
// version, so that callers stay where they are, then the least busy.
func (d *decision) better(w Wanted, a, dropsA, b, dropsB int) bool {
	x, y := &d.replicas[a], &d.replicas[b]
	return cmp.Or(
		cmp.Compare(dropsA, dropsB),
		cmp.Compare(older(y, w.Name), older(x, w.Name)),
		cmp.Compare(x.Busy, y.Busy),
		cmp.Compare(len(x.Planned), len(y.Planned)),
		cmp.Compare(x.Name, y.Name),
	) < 0
}

func older(r *Replica, name string) int {
	if slices.ContainsFunc(r.Planned, func(a Adapter) bool { return a.Name == name }) {
		return 1
	}
	return 0
}

// victims are what a replica must drop to have room for an adapter: the least used
// of those that enough other replicas hold.
func (d *decision) victims(at int, w Wanted) ([]Adapter, bool) {
	r := &d.replicas[at]
	free := r.Room - w.Bytes
	for _, a := range r.Planned {
		free -= d.bytes(a)
	}
	if free >= 0 {
		return nil, true
	}
	spare := slices.Clone(r.Planned)
	spare = slices.DeleteFunc(spare, func(a Adapter) bool { return !d.spare(a) })
	slices.SortFunc(spare, func(a, b Adapter) int {
		return cmp.Or(cmp.Compare(d.used[a], d.used[b]), cmp.Compare(a.Name, b.Name))
	})
	for i, a := range spare {
		if free += d.bytes(a); free >= 0 {
			return spare[:i+1], true
		}
	}
	return nil, false
}

// spare says whether a replica may lose an adapter: the present version if more
// replicas are planned to hold it than the document asks, an old one if another
// replica holds it or the new one.
func (d *decision) spare(a Adapter) bool {
	w := d.byName[a.Name]
	if w.Adapter == a {
		return d.planned[a] > w.Replicas
	}
	return d.planned[a] > 1 || d.held[w.Adapter] > 0
}

// bytes is an adapter's size; an old version is taken to be as large as the new one.
func (d *decision) bytes(a Adapter) int64 { return d.byName[a.Name].Bytes }

func (d *decision) change(at int, loads, drops []Adapter, c Change) {
	r := &d.replicas[at]
	for _, a := range r.Planned {
		if !slices.Contains(drops, a) {
			c.Adapters = append(c.Adapters, a)
		}
	}
	c.Adapters = append(c.Adapters, loads...)
	c.Replica, c.Loads, c.Drops = r.Name, loads, drops
	d.changed[at] = true
	for _, a := range loads {
		d.planned[a]++
	}
	for _, a := range drops {
		d.planned[a]--
	}
	d.result.Changes = append(d.result.Changes, c)
}
