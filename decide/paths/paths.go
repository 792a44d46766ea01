package paths

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// Replica is a replica as the list of replicas describes it.
type Replica struct {
	ID string
	// Incarnation changes when the replica restarts under the same ID.
	Incarnation int64
	// Version is the version of the replica's software; "" if it is not known.
	Version string
	Address string
	// Domain is the failure domain of the replica.
	Domain string
	Holds  layers.Span
	// Capacity is the KV cache memory for requests, in tokens times layers.
	Capacity float64
	// LayerMillis is the time of one decode step through one layer, in milliseconds.
	LayerMillis float64
	// PrefillMillis is the time to prefill one token of a prompt through one layer, in
	// milliseconds.
	PrefillMillis float64
	// Draining replicas accept no new requests.
	Draining bool
	// Revision rises each time that the replica reports its layers.
	Revision int64
}

// Outcome says whether Choose found a path and, if it found none, why.
type Outcome uint8

const (
	// Found means that Choose returned a path.
	Found Outcome = iota
	// LayersUnavailable means that some layer has no usable holder: each holder is draining,
	// suspected, excluded by the query, or doesn't hold the layers that it is listed with.
	LayersUnavailable
	// NoCapacity means that the usable holders of some layer have no free capacity, are in a
	// backoff period or may not run the first stage now.
	NoCapacity
)

// String returns the outcome as log lines show it.
func (o Outcome) String() string {
	return [...]string{"found", "layers without a usable holder", "no room"}[o]
}

// Query describes the path that a request needs.
type Query struct {
	// Domain is the failure domain of the node that sends the request.
	Domain string
	// Layers is the span that the path must run. For a new request these are all layers of
	// the model.
	Layers layers.Span
	// Tokens is the expected maximum number of tokens that the request keeps in the KV cache.
	Tokens float64
	// Exclude lists replicas that the path must not use.
	Exclude []string
	// FirstReplicas, if not empty, lists the replicas that may run the first stage.
	FirstReplicas []string
	// NotFirst lists replicas that must not run the first stage, because this node may send
	// them no request now. They may run later stages.
	NotFirst []string
	// Reroute leaves out the replicas whose reroutes are paused (PauseReroutes).
	Reroute bool
	// IncludeSuspected allows replicas that are suspected to be dead.
	IncludeSuspected bool
	// MaxUtilization is the highest utilization of a replica that the reservation may lead to; 0
	// means the usual limit (maxUtilization). A lower limit keeps capacity for requests that
	// lose a stage later.
	MaxUtilization float64
}

const (
	// MaxStages is the maximum number of stages that an engine accepts in a path.
	MaxStages = 32
	// hopMillis is the time of a hop between two replicas of one failure domain: two
	// transfers and the wait for the next step of the receiving replica.
	hopMillis = 0.5
	// crossDomainMillis is the cost of a hop from one stage to the next if the two are in
	// different failure domains.
	crossDomainMillis = 150
	// remoteEntryMillis is the cost of a first stage outside this node's failure domain.
	remoteEntryMillis = 12
	// slowLayerMillis is the time of one decode step through one layer on a slow card. The
	// price of capacity is a multiple of this time.
	slowLayerMillis = 0.17
	// maxUtilization is the highest utilization of a replica that a reservation of this node
	// may lead to, relative to the capacity that this node and its reporting peers may
	// reserve. The limit is over 1 because nodes seldom use all of their shares at the same
	// time. If they do, the replica refuses requests, and this node lowers the fraction of
	// the capacity that it counts as available (usableFraction).
	maxUtilization = 1.1
	// costJitter is the largest random increase of a replica's cost, as a fraction of the
	// cost. Without this random part, nodes that see the same replicas would all choose the
	// same one.
	costJitter = 0.1
)

// replicaState is a listed replica with what this node knows of it.
type replicaState struct {
	Replica
	reserved       float64 // capacity that this node has reserved, in tokens times layers
	usableFraction usableFraction
	// suspected is set while the replica is suspected to be dead. hostUnreachable is set if
	// the machine of the suspected replica doesn't answer either.
	suspected, hostUnreachable bool
	suspectedSince             time.Time
	// layersMissing is set if the replica doesn't hold the layers that it is listed with. The
	// next report of the replica clears this flag.
	layersMissing bool
	// avoidUntil is the time until which avoidFactor raises the cost of the replica.
	avoidUntil time.Time
	backoff    backoff
	// reroutePause is the pause for reroutes after a reroute was refused for lack of memory.
	reroutePause backoff
	prefill      prefillBacklog
	// slowdown is the replica's step time divided by the usual step time of its kind of
	// card, and at least 1.
	slowdown float64
	// peerReserved is what peers have reserved according to their last reports.
	// ownReservedAtReport is what this node itself had reserved when it received those reports.
	// Both are in tokens times layers.
	peerReserved, ownReservedAtReport float64
}

// Selector tracks the reservations on each replica and chooses paths. A Selector is not
// safe for concurrent use.
type Selector struct {
	replicas   map[string]*replicaState
	sortedByID []*replicaState    // by ID, so that iteration is deterministic
	shares     map[string]float64 // this node's share of the capacity, by failure domain
	// reportingPeerCount is the number of peers whose reservations are known, by failure domain.
	reportingPeerCount map[string]int
	random             *rand.Rand
}

// New returns a Selector without replicas. Each node must pass a different seed, because
// the seed determines the random part of the costs.
func New(seed uint64) *Selector {
	return &Selector{
		replicas:           map[string]*replicaState{},
		shares:             map[string]float64{},
		reportingPeerCount: map[string]int{},
		random:             rand.New(rand.NewPCG(seed, seed)),
	}
}

// Update replaces the list of replicas. The Selector keeps its state of a replica as long
// as the incarnation of the replica is the same. A replica that restarted under its ID
// starts with a new state.
func (s *Selector) Update(replicas []Replica) {
	states := make(map[string]*replicaState, len(replicas))
	s.sortedByID = s.sortedByID[:0]
	for _, listedReplica := range replicas {
		r, ok := s.replicas[listedReplica.ID]
		if !ok || r.Incarnation != listedReplica.Incarnation {
			r = &replicaState{usableFraction: usableFraction{value: 1}, slowdown: 1}
		}
		if listedReplica.Revision != r.Revision {
			r.layersMissing = false
		}
		r.Replica = listedReplica
		states[listedReplica.ID] = r
		s.sortedByID = append(s.sortedByID, r)
	}
	s.replicas = states
	slices.SortFunc(s.sortedByID, func(a, c *replicaState) int { return cmp.Compare(a.ID, c.ID) })
}

// SetShare sets this node's share of the capacity of a failure domain: one divided by the
// number of nodes that send requests to the domain.
func (s *Selector) SetShare(domain string, share float64) {
	s.shares[domain] = share
}

// SetPeerReservations records what peers have reserved on the replicas of a failure domain,
// by replica ID and in tokens times layers. peerCount is the number of nodes that reported.
// The nodes that didn't report are assumed to use all of their shares.
func (s *Selector) SetPeerReservations(domain string, peerCount int, reserved map[string]float64) {
	s.reportingPeerCount[domain] = peerCount
	for _, r := range s.sortedByID {
		if r.Domain == domain {
			r.peerReserved, r.ownReservedAtReport = reserved[r.ID], r.reserved
		}
	}
}

// share returns this node's share of the capacity of a failure domain, or 1 if no share has
// been set.
func (s *Selector) share(domain string) float64 {
	share, ok := s.shares[domain]
	if !ok || share <= 0 {
		return 1
	}
	return share
}

// capacity returns how much of a replica's capacity this node and its reporting peers may
// reserve together, in tokens times layers: the sum of their shares of the capacity, times
// the fraction that this node counts as available (usableFraction).
func (s *Selector) capacity(now time.Time, r *replicaState) float64 {
	fraction := min(1, s.share(r.Domain)*float64(1+s.reportingPeerCount[r.Domain]))
	return r.Capacity * fraction * r.usableFraction.at(now)
}

// utilization returns the reserved fraction of the capacity that this node and its
// reporting peers may reserve on a replica. extraTokenLayers counts as reserved too; it is
// a number of tokens times layers.
func (s *Selector) utilization(now time.Time, r *replicaState, extraTokenLayers float64) float64 {
	capacity := s.capacity(now, r)
	if capacity <= 0 {
		return math.Inf(1)
	}
	return (r.peerReserved + r.reserved + extraTokenLayers) / capacity
}

const (
	// maxSharesPerReport limits how much of a replica's capacity a node reserves until the
	// node's peers next report their reservations: at most maxSharesPerReport times the node's
	// share of the capacity that was free at the last reports. With a limit of one share, capacity
	// stays unused when some nodes have more load than others. Without a limit, all nodes
	// reserve the same free capacity.
	maxSharesPerReport = 2
	// singleRequestFraction applies if this node's reservations on a replica have not grown
	// since the node's peers last reported. A single request may then reserve up to this fraction of
	// the capacity that was free at these reports. Without this exception, a request larger
	// than the limit of maxSharesPerReport would be refused while most of the capacity is free.
	singleRequestFraction = 0.5
)

// mayReserve reports whether this node may reserve extraTokenLayers more on a replica before
// the node's peers next report their reservations. extraTokenLayers is a number of tokens
// times layers. Without reporting peers mayReserve returns true. Otherwise two limits apply to
// the capacity that was free at the last reports, up to the utilization utilizationLimit:
//
//   - All reservations of this node since the last reports take at most maxSharesPerReport
//     times the node's share of this free capacity.
//   - Beyond the first limit, a single request may take singleRequestFraction of this free
//     capacity, if the node's reservations have not grown since the last reports.
func (s *Selector) mayReserve(now time.Time, r *replicaState, extraTokenLayers, utilizationLimit float64) bool {
	if s.reportingPeerCount[r.Domain] == 0 {
		return true
	}
	freeAtReport := max(0, utilizationLimit*s.capacity(now, r)-r.peerReserved-r.ownReservedAtReport)
	reservedSinceReport := r.reserved + extraTokenLayers - r.ownReservedAtReport
	if reservedSinceReport <= freeAtReport*min(1, maxSharesPerReport*s.share(r.Domain)) {
		return true
	}
	return r.reserved <= r.ownReservedAtReport && extraTokenLayers <= freeAtReport*singleRequestFraction
}

// Choose returns the cheapest path for a query, or no path and an Outcome that says why no
// path was found.
func (s *Selector) Choose(now time.Time, q Query) (Path, Outcome) {
	usable := s.usableReplicas(q)
	path := s.search(now, q, notBackedOff(now, usable, q.Reroute), cmp.Or(q.MaxUtilization, maxUtilization))
	if path != nil {
		return path, Found
	}
	q.NotFirst = nil
	if s.search(now, q, usable, math.Inf(1)) != nil {
		return nil, NoCapacity
	}
	return nil, LayersUnavailable
}

// usableReplicas returns the replicas that a path may contain, including replicas without
// free capacity or in a backoff period.
func (s *Selector) usableReplicas(q Query) []*replicaState {
	var usable []*replicaState
	for _, r := range s.sortedByID {
		if r.Draining || r.Holds.Empty() || r.suspected && !q.IncludeSuspected || r.layersMissing || slices.Contains(q.Exclude, r.ID) {
			continue
		}
		usable = append(usable, r)
	}
	return usable
}

// notBackedOff returns the usable replicas that are not in a backoff period nor, for a reroute, in
// a pause of reroutes.
func notBackedOff(now time.Time, usable []*replicaState, reroute bool) []*replicaState {
	return slices.DeleteFunc(slices.Clone(usable), func(r *replicaState) bool {
		return r.backoff.active(now) || reroute && r.reroutePause.active(now)
	})
}
