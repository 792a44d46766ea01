package adapters

import (
	"cmp"
	"slices"
)

// Adapter names one version of an adapter.
type Adapter struct{ Name, Version string }

// Desired is an adapter as the document asks for it.
type Desired struct {
	Adapter
	// Bytes is its size over all layers.
	Bytes int64
	// Replicas is how many replicas are to hold it.
	Replicas int
}

// Replica is how a replica stands.
type Replica struct {
	Name string
	// MemoryBytes is the memory for adapters, those held included, in bytes over all
	// layers.
	MemoryBytes int64
	// Planned are the adapters that its plan says, the oldest first; Held those
	// that all its engines report.
	Planned, Held []Adapter
	// Serving replicas hold what their plan says of layers and weights. Others are
	// given no adapter.
	Serving bool
	// Utilization is the part of its slots that is taken.
	Utilization float64
	// UseRate is how many streams a second each adapter was opened for.
	UseRate map[Adapter]float64
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
	// Alternatives is how many other replicas had the room.
	Alternatives int
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
	ReasonRemoved    = "the document no longer names it"
	ReasonSuperseded = "the replica holds its new version"
	ReasonTooFew     = "held by fewer replicas than the document asks"
	ReasonAllBusy    = "every replica that holds it is busy"
)

const (
	// busyUtilization is the part of the slots above which a holder counts as busy. Above
	// three quarters a queue before a batch of 16 begins to show; below, one more
	// holder would cost a load for nothing.
	busyUtilization = 0.75
)

// Decide returns the changes to make now, at most one for each replica.
func Decide(desired []Desired, replicas []Replica) Result {
	d := newDecision(desired, replicas)
	for i := range replicas {
		d.dropObsolete(i)
	}
	for _, w := range d.byNeed() {
		d.place(w)
	}
	return d.result
}

// decision is one call of Decide.
type decision struct {
	replicas      []Replica
	desired       map[Adapter]Desired
	desiredByName map[string]Desired
	changed       []bool
	// planned and held count replicas by adapter, changes so far included.
	planned, held map[Adapter]int
	useRate       map[Adapter]float64
	result        Result
}

func newDecision(desired []Desired, replicas []Replica) *decision {
	d := &decision{
		replicas:      replicas,
		desired:       make(map[Adapter]Desired, len(desired)),
		desiredByName: make(map[string]Desired, len(desired)),
		changed:       make([]bool, len(replicas)),
		planned:       map[Adapter]int{},
		held:          map[Adapter]int{},
		useRate:       map[Adapter]float64{},
	}
	for _, w := range desired {
		d.desired[w.Adapter] = w
		d.desiredByName[w.Name] = w
	}
	for i := range replicas {
		for _, a := range replicas[i].Planned {
			d.planned[a]++
		}
		for _, a := range replicas[i].Held {
			d.held[a]++
		}
		for a, rate := range replicas[i].UseRate {
			d.useRate[a] += rate
		}
	}
	return d
}

// dropObsolete takes from a replica what the document no longer names, and old versions
// that it holds the new one of.
func (d *decision) dropObsolete(index int) {
	r := &d.replicas[index]
	var drops []Adapter
	reason := ""
	for _, a := range r.Planned {
		w, known := d.desiredByName[a.Name]
		switch {
		case !known:
			drops, reason = append(drops, a), ReasonRemoved
		case w.Adapter != a && slices.Contains(r.Held, w.Adapter):
			drops, reason = append(drops, a), cmp.Or(reason, ReasonSuperseded)
		}
	}
	if len(drops) > 0 {
		d.change(index, nil, drops, Change{Reason: reason})
	}
}

// byNeed lists the wanted adapters, those first that the fewest replicas hold for
// their number, and of these the most used.
func (d *decision) byNeed() []Desired {
	all := make([]Desired, 0, len(d.desired))
	for _, w := range d.desired {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b Desired) int {
		return cmp.Or(
			cmp.Compare(d.planned[a.Adapter]*b.Replicas, d.planned[b.Adapter]*a.Replicas),
			cmp.Compare(d.nameUseRate(b.Name), d.nameUseRate(a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return all
}

// nameUseRate is how much an adapter's versions are used together: the new version of
// a busy adapter is not used yet.
func (d *decision) nameUseRate(name string) float64 {
	sum := 0.0
	for a, rate := range d.useRate {
		if a.Name == name {
			sum += rate
		}
	}
	return sum
}

// place puts an adapter on more replicas if it is short.
func (d *decision) place(w Desired) {
	target, reason := w.Replicas, ReasonTooFew
	if d.planned[w.Adapter] >= target {
		if !d.allBusy(w.Adapter) {
			return
		}
		target, reason = d.planned[w.Adapter]+1, ReasonAllBusy
	}
	for d.planned[w.Adapter] < target {
		if !d.placeOne(w, target, reason) {
			if reason == ReasonTooFew {
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
	if d.held[a] < d.planned[a] || d.useRate[a] == 0 {
		return false
	}
	for i := range d.replicas {
		if slices.Contains(d.replicas[i].Held, a) && d.replicas[i].Utilization < busyUtilization {
			return false
		}
	}
	return true
}

// placeOne puts an adapter on the best replica that can take it.
func (d *decision) placeOne(w Desired, target int, reason string) bool {
	best, alternatives := -1, 0
	var drops []Adapter
	for i := range d.replicas {
		if !d.eligible(i, w, reason) {
			continue
		}
		evictions, fits := d.evictions(i, w)
		if !fits {
			continue
		}
		if best >= 0 {
			alternatives++
		}
		if best < 0 || d.better(w, i, len(evictions), best, len(drops)) {
			best, drops = i, evictions
		}
	}
	if best < 0 {
		return false
	}
	d.change(best, []Adapter{w.Adapter}, drops, Change{Reason: reason, Holders: d.planned[w.Adapter], Target: target, Alternatives: alternatives})
	return true
}

func (d *decision) eligible(index int, w Desired, reason string) bool {
	r := &d.replicas[index]
	if !r.Serving || d.changed[index] || slices.Contains(r.Planned, w.Adapter) {
		return false
	}
	return reason != ReasonAllBusy || r.Utilization < busyUtilization
}

// better prefers a replica that need drop nothing, then one that holds an older
// version, so that callers stay where they are, then the least busy.
func (d *decision) better(w Desired, a, dropsA, b, dropsB int) bool {
	x, y := &d.replicas[a], &d.replicas[b]
	return cmp.Or(
		cmp.Compare(dropsA, dropsB),
		cmp.Compare(plansOtherVersion(y, w.Name), plansOtherVersion(x, w.Name)),
		cmp.Compare(x.Utilization, y.Utilization),
		cmp.Compare(len(x.Planned), len(y.Planned)),
		cmp.Compare(x.Name, y.Name),
	) < 0
}

func plansOtherVersion(r *Replica, name string) int {
	if slices.ContainsFunc(r.Planned, func(a Adapter) bool { return a.Name == name }) {
		return 1
	}
	return 0
}

// evictions are what a replica must drop to have room for an adapter: the least used
// of those that enough other replicas hold.
func (d *decision) evictions(index int, w Desired) ([]Adapter, bool) {
	r := &d.replicas[index]
	free := r.MemoryBytes - w.Bytes
	for _, a := range r.Planned {
		free -= d.size(a)
	}
	if free >= 0 {
		return nil, true
	}
	candidates := slices.Clone(r.Planned)
	candidates = slices.DeleteFunc(candidates, func(a Adapter) bool { return !d.evictable(a) })
	slices.SortFunc(candidates, func(a, b Adapter) int {
		return cmp.Or(cmp.Compare(d.useRate[a], d.useRate[b]), cmp.Compare(a.Name, b.Name))
	})
	for i, a := range candidates {
		if free += d.size(a); free >= 0 {
			return candidates[:i+1], true
		}
	}
	return nil, false
}

// evictable says whether a replica may lose an adapter: the present version if more
// replicas are planned to hold it than the document asks, an old one if another
// replica holds it or the new one.
func (d *decision) evictable(a Adapter) bool {
	w := d.desiredByName[a.Name]
	if w.Adapter == a {
		return d.planned[a] > w.Replicas
	}
	return d.planned[a] > 1 || d.held[w.Adapter] > 0
}

// size is an adapter's size; an old version is taken to be as large as the new one.
func (d *decision) size(a Adapter) int64 { return d.desiredByName[a.Name].Bytes }

func (d *decision) change(index int, loads, drops []Adapter, c Change) {
	r := &d.replicas[index]
	for _, a := range r.Planned {
		if !slices.Contains(drops, a) {
			c.Adapters = append(c.Adapters, a)
		}
	}
	c.Adapters = append(c.Adapters, loads...)
	c.Replica, c.Loads, c.Drops = r.Name, loads, drops
	d.changed[index] = true
	for _, a := range loads {
		d.planned[a]++
	}
	for _, a := range drops {
		d.planned[a]--
	}
	d.result.Changes = append(d.result.Changes, c)
}
