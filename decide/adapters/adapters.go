package adapters

import (
	"cmp"
	"slices"
)

// Adapter names one version of an adapter.
type Adapter struct{ Name, Version string }

// Desired is an adapter of a model as the document defines it.
type Desired struct {
	Adapter
	// Bytes is the memory that the adapter takes in all layers together.
	Bytes int64
	// Replicas is the number of replicas that should hold the adapter.
	Replicas int
}

// Replica is the plan of a replica with the state that its engines report.
type Replica struct {
	Name string
	// MemoryBytes is the memory for adapters in all layers together, including the memory
	// that planned adapters take.
	MemoryBytes int64
	// Planned lists the adapters in the replica's plan, the oldest first. Held lists the
	// adapters that all engines of the replica report.
	Planned, Held []Adapter
	// Serving replicas hold the layers and weights of their plan. Other replicas get
	// no adapters.
	Serving bool
	// Utilization is the fraction of the replica's stream slots that are in use.
	Utilization float64
	// UseRate is the number of streams that are opened on the replica per second, by
	// adapter.
	UseRate map[Adapter]float64
}

// Change is a replica's new set of adapters.
type Change struct {
	Replica  string
	Adapters []Adapter
	// Loads lists the adapters that the change adds to the replica's plan, and Drops the
	// adapters that it removes from the plan.
	Loads, Drops []Adapter
	Reason       string
	// Holders is the number of planned holders of the adapter in Loads before the change,
	// and TargetHolders the number that the adapter should have. Both are zero for a change
	// without Loads.
	Holders, TargetHolders int
	// AlternativeReplicaCount is the number of other replicas that could have taken the
	// adapter in Loads.
	AlternativeReplicaCount int
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
	// busyUtilization is the utilization from which a replica counts as busy. Above three
	// quarters, a queue begins to form in front of a batch of 16 slots. Below three quarters,
	// another holder of an adapter would cost a load without need.
	busyUtilization = 0.75
)

// Decide returns the changes to the replicas' plans that should be made now, at most one for
// each replica.
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
	// plannedHolders is the number of replicas whose plan contains an adapter, including the
	// changes decided so far. reportedHolders is the number of replicas that report the
	// adapter.
	plannedHolders, reportedHolders map[Adapter]int
	useRate                         map[Adapter]float64 // sum over all replicas, in streams per second
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

// dropObsolete drops two kinds of adapters from a replica's plan: those that the document no
// longer names, and old versions if the replica holds the new version.
func (d *decision) dropObsolete(replicaIndex int) {
	r := &d.replicas[replicaIndex]
	var drops []Adapter
	reason := ""
	for _, a := range r.Planned {
		want, inDocument := d.desiredByName[a.Name]
		switch {
		case !inDocument:
			drops, reason = append(drops, a), ReasonRemoved
		case want.Adapter != a && slices.Contains(r.Held, want.Adapter):
			drops, reason = append(drops, a), cmp.Or(reason, ReasonSuperseded)
		}
	}
	if len(drops) > 0 {
		d.addChange(replicaIndex, nil, drops, Change{Reason: reason})
	}
}

// sortedByNeed returns the desired adapters, sorted by the ratio of planned to desired
// holders, the lowest first. Adapters with equal ratios are sorted by use rate, the highest
// first.
func (d *decision) sortedByNeed() []Desired {
	sortedDesired := make([]Desired, 0, len(d.desired))
	for _, want := range d.desired {
		sortedDesired = append(sortedDesired, want)
	}
	slices.SortFunc(sortedDesired, func(a, b Desired) int {
		return cmp.Or(
			cmp.Compare(d.plannedHolders[a.Adapter]*b.Replicas, d.plannedHolders[b.Adapter]*a.Replicas),
			cmp.Compare(d.useRateOfAllVersions(b.Name), d.useRateOfAllVersions(a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return sortedDesired
}

// useRateOfAllVersions returns the sum of the use rates of all versions of an adapter. The
// rate of a new version alone is zero until a replica holds that version, even if many
// streams use the adapter.
func (d *decision) useRateOfAllVersions(name string) float64 {
	rateSum := 0.0
	for a, rate := range d.useRate {
		if a.Name == name {
			rateSum += rate
		}
	}
	return rateSum
}

// addHolders adds holders of an adapter: the missing ones if it has too few planned holders,
// and one more if all its holders are busy.
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

// allBusy reports whether every planned holder of an adapter holds it and is busy, and the
// adapter is in use. While a planned holder still loads the adapter, the effect of that load
// is not known yet, so allBusy returns false.
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

// addHolder adds an adapter to the plan of the best eligible replica (betterHolder), and
// reports whether there is an eligible replica with enough memory.
func (d *decision) addHolder(want Desired, target int, reason string) bool {
	best, alternativeReplicaCount := -1, 0
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
			alternativeReplicaCount++
		}
		if best < 0 || d.betterHolder(want, i, len(evictions), best, len(drops)) {
			best, drops = i, evictions
		}
	}
	if best < 0 {
		return false
	}
	d.addChange(best, []Adapter{want.Adapter}, drops, Change{Reason: reason, Holders: d.plannedHolders[want.Adapter], TargetHolders: target, AlternativeReplicaCount: alternativeReplicaCount})
	return true
}

// eligible reports whether a replica may become a holder of an adapter. The replica must serve,
// must not contain the adapter in its plan, and must have no other change in this call of
// Decide. If the reason is ReasonAllBusy, the replica must also not be busy.
func (d *decision) eligible(replicaIndex int, want Desired, reason string) bool {
	r := &d.replicas[replicaIndex]
	if !r.Serving || d.replicaChanged[replicaIndex] || slices.Contains(r.Planned, want.Adapter) {
		return false
	}
	return reason != ReasonAllBusy || r.Utilization < busyUtilization
}

// betterHolder reports whether replica a is a better new holder of an adapter than replica b.
// The replica that must drop fewer adapters is better. If both must drop equally many, a
// replica whose plan contains another version of the adapter is better, so that callers stay
// on their replicas. After that, lower utilization and then fewer planned adapters decide.
func (d *decision) betterHolder(want Desired, a, dropCountA, b, dropCountB int) bool {
	replicaA, replicaB := &d.replicas[a], &d.replicas[b]
	return cmp.Or(
		cmp.Compare(dropCountA, dropCountB),
		cmp.Compare(otherVersionScore(replicaB, want.Name), otherVersionScore(replicaA, want.Name)),
		cmp.Compare(replicaA.Utilization, replicaB.Utilization),
		cmp.Compare(len(replicaA.Planned), len(replicaB.Planned)),
		cmp.Compare(replicaA.Name, replicaB.Name),
	) < 0
}

// otherVersionScore returns 1 if the replica's plan contains some version of the adapter, and
// otherwise 0. betterHolder sorts replicas by this score.
func otherVersionScore(r *Replica, name string) int {
	if slices.ContainsFunc(r.Planned, func(a Adapter) bool { return a.Name == name }) {
		return 1
	}
	return 0
}

// evictions returns the adapters that a replica must drop to have memory for another adapter:
// the least used of its adapters that it may drop (evictable). evictions returns false if the
// memory would be too small even after the replica has dropped all these adapters.
func (d *decision) evictions(replicaIndex int, want Desired) ([]Adapter, bool) {
	r := &d.replicas[replicaIndex]
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

// evictable reports whether a replica may drop an adapter. The version in the document may be
// dropped if it has more planned holders than desired. An old version may be dropped if it
// has another planned holder or any replica holds the new version.
func (d *decision) evictable(a Adapter) bool {
	want := d.desiredByName[a.Name]
	if want.Adapter == a {
		return d.plannedHolders[a] > want.Replicas
	}
	return d.plannedHolders[a] > 1 || d.reportedHolders[want.Adapter] > 0
}

// sizeBytes returns the memory that an adapter takes. An old version is assumed to take as
// much as the version in the document.
func (d *decision) sizeBytes(a Adapter) int64 { return d.desiredByName[a.Name].Bytes }

// addChange adds a replica's change to the result, and updates plannedHolders for the adapters
// that the change loads and drops.
func (d *decision) addChange(replicaIndex int, loads, drops []Adapter, c Change) {
	r := &d.replicas[replicaIndex]
	for _, a := range r.Planned {
		if !slices.Contains(drops, a) {
			c.Adapters = append(c.Adapters, a)
		}
	}
	c.Adapters = append(c.Adapters, loads...)
	c.Replica, c.Loads, c.Drops = r.Name, loads, drops
	d.replicaChanged[replicaIndex] = true
	for _, a := range loads {
		d.plannedHolders[a]++
	}
	for _, a := range drops {
		d.plannedHolders[a]--
	}
	d.result.Changes = append(d.result.Changes, c)
}
