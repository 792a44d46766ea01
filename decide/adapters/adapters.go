package adapters

import (
	"cmp"
	"slices"
)

// Adapter names one version of an adapter.
type Adapter struct{ Name, Version string }

// Desired is an adapter as the document defines it.
type Desired struct {
	Adapter
	// Bytes is the size of the adapter over all layers.
	Bytes int64
	// Replicas is the number of replicas that should hold it.
	Replicas int
}

// Replica is the plan and the reported state of a replica.
type Replica struct {
	Name string
	// MemoryBytes is the memory for adapters over all layers, including those held.
	MemoryBytes int64
	// Planned lists the adapters in its plan, the oldest first; Held lists those
	// that all its engines report.
	Planned, Held []Adapter
	// Serving replicas hold the layers and weights of their plan. Other replicas get
	// no adapters.
	Serving bool
	// Utilization is the fraction of its slots in use.
	Utilization float64
	// UseRate is the number of streams opened per second for each adapter.
	UseRate map[Adapter]float64
}

// Change is a replica's new set of adapters.
type Change struct {
	Replica  string
	Adapters []Adapter
	// Loads and Drops are the differences from the planned set.
	Loads, Drops []Adapter
	Reason       string
	// Holders is the number of replicas planned to hold the first of Loads before
	// the change, and Target the number that should hold it.
	Holders, Target int
	// Alternatives is the number of other replicas that could have taken the adapter.
	Alternatives int
}

// Result holds the changes to make.
type Result struct {
	Changes []Change
	// Unplaced lists adapters with fewer holders than desired for lack of memory.
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
	// busyUtilization is the utilization from which a holder counts as busy. Above 0.75 a
	// queue in front of a batch of 16 begins to form; below, another holder would cost a
	// load without need.
	busyUtilization = 0.75
)

// Decide returns the changes to make now, at most one per replica.
func Decide(desired []Desired, replicas []Replica) Result {
	d := newDecision(desired, replicas)
	for i := range replicas {
		d.dropObsolete(i)
	}
	for _, want := range d.byNeed() {
		d.place(want)
	}
	return d.result
}

// decision is the state of one call of Decide.
type decision struct {
	replicas      []Replica
	desired       map[Adapter]Desired
	desiredByName map[string]Desired
	changed       []bool
	// planned and held are the numbers of replicas by adapter. planned includes the
	// changes so far.
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
	for _, want := range desired {
		d.desired[want.Adapter] = want
		d.desiredByName[want.Name] = want
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

// dropObsolete drops adapters that the document no longer names, and old versions of
// adapters of which the replica holds the new version.
func (d *decision) dropObsolete(index int) {
	r := &d.replicas[index]
	var drops []Adapter
	reason := ""
	for _, a := range r.Planned {
		want, known := d.desiredByName[a.Name]
		switch {
		case !known:
			drops, reason = append(drops, a), ReasonRemoved
		case want.Adapter != a && slices.Contains(r.Held, want.Adapter):
			drops, reason = append(drops, a), cmp.Or(reason, ReasonSuperseded)
		}
	}
	if len(drops) > 0 {
		d.change(index, nil, drops, Change{Reason: reason})
	}
}

// byNeed returns the desired adapters, ordered by the ratio of planned to desired holders
// and then by use, most used first.
func (d *decision) byNeed() []Desired {
	all := make([]Desired, 0, len(d.desired))
	for _, want := range d.desired {
		all = append(all, want)
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

// nameUseRate returns the use rate of all versions of an adapter together, because the new
// version of a busy adapter is not used yet.
func (d *decision) nameUseRate(name string) float64 {
	sum := 0.0
	for a, rate := range d.useRate {
		if a.Name == name {
			sum += rate
		}
	}
	return sum
}

// place puts an adapter on more replicas if it has too few holders or all are busy.
func (d *decision) place(want Desired) {
	target, reason := want.Replicas, ReasonTooFew
	if d.planned[want.Adapter] >= target {
		if !d.allBusy(want.Adapter) {
			return
		}
		target, reason = d.planned[want.Adapter]+1, ReasonAllBusy
	}
	for d.planned[want.Adapter] < target {
		if !d.placeOne(want, target, reason) {
			if reason == ReasonTooFew {
				d.result.Unplaced = append(d.result.Unplaced, want.Adapter)
			}
			return
		}
	}
}

// allBusy reports whether another holder would help: every planned holder holds the
// adapter and is busy, and the adapter is in use. While a load is underway its effect is
// not known yet, so no holder is added.
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

// placeOne puts an adapter on the best eligible replica, and reports whether there is one.
func (d *decision) placeOne(want Desired, target int, reason string) bool {
	best, alternatives := -1, 0
	var drops []Adapter
	for i := range d.replicas {
		if !d.eligible(i, want, reason) {
			continue
		}
		evictions, fits := d.evictions(i, want)
		if !fits {
			continue
		}
		if best >= 0 {
			alternatives++
		}
		if best < 0 || d.better(want, i, len(evictions), best, len(drops)) {
			best, drops = i, evictions
		}
	}
	if best < 0 {
		return false
	}
	d.change(best, []Adapter{want.Adapter}, drops, Change{Reason: reason, Holders: d.planned[want.Adapter], Target: target, Alternatives: alternatives})
	return true
}

// eligible reports whether a replica may take an adapter for the given reason.
func (d *decision) eligible(index int, want Desired, reason string) bool {
	r := &d.replicas[index]
	if !r.Serving || d.changed[index] || slices.Contains(r.Planned, want.Adapter) {
		return false
	}
	return reason != ReasonAllBusy || r.Utilization < busyUtilization
}

// better reports whether replica a is better than b: it prefers the replica that drops
// fewer adapters, then one with another version of the adapter, so that callers stay on
// their replicas, then the less busy one.
func (d *decision) better(want Desired, a, dropsA, b, dropsB int) bool {
	x, y := &d.replicas[a], &d.replicas[b]
	return cmp.Or(
		cmp.Compare(dropsA, dropsB),
		cmp.Compare(plansOtherVersion(y, want.Name), plansOtherVersion(x, want.Name)),
		cmp.Compare(x.Utilization, y.Utilization),
		cmp.Compare(len(x.Planned), len(y.Planned)),
		cmp.Compare(x.Name, y.Name),
	) < 0
}

// plansOtherVersion returns 1 if the replica's plan contains a version of the adapter.
func plansOtherVersion(r *Replica, name string) int {
	if slices.ContainsFunc(r.Planned, func(a Adapter) bool { return a.Name == name }) {
		return 1
	}
	return 0
}

// evictions returns the adapters that a replica must drop to make room for an adapter, the
// least used evictable ones, and whether it then has enough memory.
func (d *decision) evictions(index int, want Desired) ([]Adapter, bool) {
	r := &d.replicas[index]
	free := r.MemoryBytes - want.Bytes
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

// evictable reports whether a replica may drop an adapter: the current version if it has
// more planned holders than desired, an old version if another replica is planned to hold
// it or any replica holds the new version.
func (d *decision) evictable(a Adapter) bool {
	want := d.desiredByName[a.Name]
	if want.Adapter == a {
		return d.planned[a] > want.Replicas
	}
	return d.planned[a] > 1 || d.held[want.Adapter] > 0
}

// size returns the size of an adapter. An old version is assumed to be as large as the new
// one.
func (d *decision) size(a Adapter) int64 { return d.desiredByName[a.Name].Bytes }

// change adds the change of a replica to the result and counts its planned adapters.
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
