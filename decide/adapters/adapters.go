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
	for _, want := range d.sortedByNeed() {
		d.addHolders(want)
	}
	return d.result
}

// decision is the state of one call of Decide.
type decision struct {
	replicas       []Replica
	desired        map[Adapter]Desired
	desiredByName  map[string]Desired
	replicaChanged []bool
	// plannedHolders and reportedHolders are the numbers of replicas by adapter. plannedHolders includes the
	// changes so far.
	plannedHolders, reportedHolders map[Adapter]int
	useRate                         map[Adapter]float64
	result                          Result
}

func newDecision(desired []Desired, replicas []Replica) *decision {
	d := &decision{
		replicas:        replicas,
		desired:         make(map[Adapter]Desired, len(desired)),
		desiredByName:   make(map[string]Desired, len(desired)),
		replicaChanged:  make([]bool, len(replicas)),
		plannedHolders:  map[Adapter]int{},
		reportedHolders: map[Adapter]int{},
		useRate:         map[Adapter]float64{},
	}
	for _, want := range desired {
		d.desired[want.Adapter] = want
		d.desiredByName[want.Name] = want
	}
	for i := range replicas {
		for _, a := range replicas[i].Planned {
			d.plannedHolders[a]++
		}
		for _, a := range replicas[i].Held {
			d.reportedHolders[a]++
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
		d.addChange(index, nil, drops, Change{Reason: reason})
	}
}

// sortedByNeed returns the desired adapters, ordered by the ratio of planned to desired holders
// and then by use, most used first.
func (d *decision) sortedByNeed() []Desired {
	all := make([]Desired, 0, len(d.desired))
	for _, want := range d.desired {
		all = append(all, want)
	}
	slices.SortFunc(all, func(a, b Desired) int {
		return cmp.Or(
			cmp.Compare(d.plannedHolders[a.Adapter]*b.Replicas, d.plannedHolders[b.Adapter]*a.Replicas),
			cmp.Compare(d.useRateOfAllVersions(b.Name), d.useRateOfAllVersions(a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return all
}

// useRateOfAllVersions returns the use rate of all versions of an adapter together, because the new
// version of a busy adapter is not used yet.
func (d *decision) useRateOfAllVersions(name string) float64 {
	rateSum := 0.0
	for a, rate := range d.useRate {
		if a.Name == name {
			rateSum += rate
		}
	}
	return rateSum
}

// addHolders puts an adapter on more replicas if it has too few holders or all are busy.
func (d *decision) addHolders(want Desired) {
	target, reason := want.Replicas, ReasonTooFew
	if d.plannedHolders[want.Adapter] >= target {
		if !d.allBusy(want.Adapter) {
			return
		}
		target, reason = d.plannedHolders[want.Adapter]+1, ReasonAllBusy
	}
	for d.plannedHolders[want.Adapter] < target {
		if !d.addHolder(want, target, reason) {
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
	if d.reportedHolders[a] < d.plannedHolders[a] || d.useRate[a] == 0 {
		return false
	}
	for i := range d.replicas {
		if slices.Contains(d.replicas[i].Held, a) && d.replicas[i].Utilization < busyUtilization {
			return false
		}
	}
	return true
}

// addHolder puts an adapter on the best eligible replica, and reports whether there is one.
func (d *decision) addHolder(want Desired, target int, reason string) bool {
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
		if best < 0 || d.betterHolder(want, i, len(evictions), best, len(drops)) {
			best, drops = i, evictions
		}
	}
	if best < 0 {
		return false
	}
	d.addChange(best, []Adapter{want.Adapter}, drops, Change{Reason: reason, Holders: d.plannedHolders[want.Adapter], Target: target, Alternatives: alternatives})
	return true
}

// eligible reports whether a replica may take an adapter for the given reason.
func (d *decision) eligible(index int, want Desired, reason string) bool {
	r := &d.replicas[index]
	if !r.Serving || d.replicaChanged[index] || slices.Contains(r.Planned, want.Adapter) {
		return false
	}
	return reason != ReasonAllBusy || r.Utilization < busyUtilization
}

// betterHolder reports whether replica a is betterHolder than b: it prefers the replica that drops
// fewer adapters, then one with another version of the adapter, so that callers stay on
// their replicas, then the less busy one.
func (d *decision) betterHolder(want Desired, a, dropsA, b, dropsB int) bool {
	replicaA, replicaB := &d.replicas[a], &d.replicas[b]
	return cmp.Or(
		cmp.Compare(dropsA, dropsB),
		cmp.Compare(plansOtherVersion(replicaB, want.Name), plansOtherVersion(replicaA, want.Name)),
		cmp.Compare(replicaA.Utilization, replicaB.Utilization),
		cmp.Compare(len(replicaA.Planned), len(replicaB.Planned)),
		cmp.Compare(replicaA.Name, replicaB.Name),
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
	freeBytes := r.MemoryBytes - want.Bytes
	for _, a := range r.Planned {
		freeBytes -= d.sizeBytes(a)
	}
	if freeBytes >= 0 {
		return nil, true
	}
	candidates := slices.Clone(r.Planned)
	candidates = slices.DeleteFunc(candidates, func(a Adapter) bool { return !d.evictable(a) })
	slices.SortFunc(candidates, func(a, b Adapter) int {
		return cmp.Or(cmp.Compare(d.useRate[a], d.useRate[b]), cmp.Compare(a.Name, b.Name))
	})
	for i, a := range candidates {
		if freeBytes += d.sizeBytes(a); freeBytes >= 0 {
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
		return d.plannedHolders[a] > want.Replicas
	}
	return d.plannedHolders[a] > 1 || d.reportedHolders[want.Adapter] > 0
}

// sizeBytes returns the sizeBytes of an adapter. An old version is assumed to be as large as the new
// one.
func (d *decision) sizeBytes(a Adapter) int64 { return d.desiredByName[a.Name].Bytes }

// addChange adds the addChange of a replica to the result and counts its planned adapters.
func (d *decision) addChange(index int, loads, drops []Adapter, c Change) {
	r := &d.replicas[index]
	for _, a := range r.Planned {
		if !slices.Contains(drops, a) {
			c.Adapters = append(c.Adapters, a)
		}
	}
	c.Adapters = append(c.Adapters, loads...)
	c.Replica, c.Loads, c.Drops = r.Name, loads, drops
	d.replicaChanged[index] = true
	for _, a := range loads {
		d.plannedHolders[a]++
	}
	for _, a := range drops {
		d.plannedHolders[a]--
	}
	d.result.Changes = append(d.result.Changes, c)
}
