package paths

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// Replica is a replica as it is listed.
type Replica struct {
	ID string
	// Incarnation changes when the replica restarts under the same ID.
	Incarnation int64
	Address     string
	Domain      string
	Holds       layers.Span
	// Capacity is the KV cache memory for requests, in tokens times layers.
	Capacity float64
	// LayerMillis is the time of one decode step through one layer.
	LayerMillis float64
	// PrefillMillis is the time to prefill one token of a prompt through one layer.
	PrefillMillis float64
	// Draining replicas accept no new requests.
	Draining bool
	// Revision rises with each report of the replica.
	Revision int64
}

// Outcome is the outcome of Choose: a path was found, or why there is none.
type Outcome uint8

const (
	// Found means that there is a path.
	Found Outcome = iota
	// LayersUnavailable means that some layer has no usable holder.
	LayersUnavailable
	// NoCapacity means that the usable holders of some layer are full or backed off.
	NoCapacity
)

// String names the reason for log lines.
func (r Outcome) String() string {
	return [...]string{"found", "layers without a usable holder", "no room"}[r]
}

// Query describes the path that a request needs.
type Query struct {
	// Domain is the failure domain of this node.
	Domain string
	// Layers is the span to run: all layers of the model for a new request.
	Layers layers.Span
	// Tokens is the expected maximum of tokens that the request keeps in the KV cache.
	Tokens float64
	// Exclude lists replicas that the path must not use.
	Exclude []string
	// FirstReplicas, if not empty, lists the replicas that may run the first stage.
	FirstReplicas []string
}

const (
	// MaxStages is the maximum number of stages that an engine accepts in a path.
	MaxStages = 32
	// hopMillis is the time from one replica to the next in a failure domain: two
	// transfers and the wait for the next step of the receiving replica.
	hopMillis = 0.5
	// crossDomainMillis is the cost of a hop between failure domains within a path.
	crossDomainMillis = 150
	// remoteEntryMillis is the cost of a first stage outside this node's failure domain.
	remoteEntryMillis = 12
	// slowLayerMillis is the time of a layer on a slow card. The price of capacity is a
	// multiple of it.
	slowLayerMillis = 0.17
	// maxUtilization bounds the reservations on a replica, as a fraction of this node's
	// share of the capacity. It is over 1 because nodes are seldom all full at the same
	// time. If they are, the replica refuses requests and the usable fraction shrinks.
	maxUtilization = 1.1
	// costJitter is the fraction by which costs vary at random, so that nodes which see the
	// same replicas don't all choose the same one.
	costJitter = 0.1
)

// replicaState is a listed replica with what this node knows of it.
type replicaState struct {
	Replica
	reserved       float64 // by this node's requests, in tokens times layers
	usableFraction usableFraction
	// suspected is set while the replica looks dead; hostUnreachable is set if its machine
	// doesn't answer either.
	suspected, hostUnreachable bool
	suspectedSince             time.Time
	// layersMissing is set if the replica doesn't hold the layers that it is listed with,
	// until its next report.
	layersMissing bool
	avoidUntil    time.Time
	backoff       backoff
	prefill       prefillBacklog
	// slowdown is over 1 for a replica that is slower than its kind of card.
	slowdown float64
	// peerReserved is what other nodes have reserved according to their last reports.
	// reservedAtReport is what this node had reserved when it received them.
	peerReserved, reservedAtReport float64
}

// Selector tracks the reservations on each replica and chooses paths. It is not safe for
// concurrent use.
type Selector struct {
	replicas map[string]*replicaState
	sorted   []*replicaState // by ID, so that iteration is deterministic
	shares   map[string]float64
	// reportingPeers is the number of other nodes, by failure domain, whose reservations
	// are known.
	reportingPeers map[string]int
	random         *rand.Rand
}

// New returns a Selector without replicas. Each node passes a different seed.
func New(seed uint64) *Selector {
	return &Selector{
		replicas:       map[string]*replicaState{},
		shares:         map[string]float64{},
		reportingPeers: map[string]int{},
		random:         rand.New(rand.NewPCG(seed, seed)),
	}
}

// Update replaces the list of replicas. The state of a replica is kept as long as its
// incarnation is the same; a replica that restarted under its ID starts without state.
func (s *Selector) Update(replicas []Replica) {
	states := make(map[string]*replicaState, len(replicas))
	s.sorted = s.sorted[:0]
	for _, listed := range replicas {
		r, ok := s.replicas[listed.ID]
		if !ok || r.Incarnation != listed.Incarnation {
			r = &replicaState{usableFraction: usableFraction{value: 1}, slowdown: 1}
		}
		if listed.Revision != r.Revision {
			r.layersMissing = false
		}
		r.Replica = listed
		states[listed.ID] = r
		s.sorted = append(s.sorted, r)
	}
	s.replicas = states
	slices.SortFunc(s.sorted, func(a, c *replicaState) int { return cmp.Compare(a.ID, c.ID) })
}

// SetShare sets this node's share of the capacity of a failure domain: its fraction of
// the nodes that send requests there.
func (s *Selector) SetShare(domain string, share float64) {
	s.shares[domain] = share
}

// SetPeerReservations records what other nodes have reserved on the replicas of a failure
// domain. peers is the number of nodes that reported; the rest are assumed to use their
// even shares.
func (s *Selector) SetPeerReservations(domain string, peers int, reserved map[string]float64) {
	s.reportingPeers[domain] = peers
	for _, r := range s.sorted {
		if r.Domain == domain {
			r.peerReserved, r.reservedAtReport = reserved[r.ID], r.reserved
		}
	}
}

// share returns the even share of one node in the capacity of a failure domain.
func (s *Selector) share(domain string) float64 {
	share, ok := s.shares[domain]
	if !ok || share <= 0 {
		return 1
	}
	return share
}

// capacity returns the capacity of a replica that is shared by this node and the nodes
// whose reservations are known.
func (s *Selector) capacity(now time.Time, r *replicaState) float64 {
	fraction := min(1, s.share(r.Domain)*float64(1+s.reportingPeers[r.Domain]))
	return r.Capacity * fraction * r.usableFraction.at(now)
}

// utilization returns the fraction of the replica's capacity that this node and its
// reporting peers would have reserved with extra added.
func (s *Selector) utilization(now time.Time, r *replicaState, extra float64) float64 {
	capacity := s.capacity(now, r)
	if capacity <= 0 {
		return math.Inf(1)
	}
	return (r.peerReserved + r.reserved + extra) / capacity
}

const (
	// maxSharesPerReport bounds what a node reserves between two reports of its peers, in even
	// shares of the capacity that was free at the last report. With one share, capacity
	// stays unused when the load on nodes is uneven; without a bound, all nodes reserve the
	// same free capacity.
	maxSharesPerReport = 2
	// singleRequestFraction is the fraction of that capacity which a single request may
	// take. Without it a large request would not fit into the shares of many nodes while
	// most of the capacity is free.
	singleRequestFraction = 0.5
)

// mayReserve reports whether this node may reserve extra on a replica before the next
// report of its peers.
func (s *Selector) mayReserve(now time.Time, r *replicaState, extra, utilizationLimit float64) bool {
	if s.reportingPeers[r.Domain] == 0 {
		return true
	}
	free := max(0, utilizationLimit*s.capacity(now, r)-r.peerReserved-r.reservedAtReport)
	reservedSinceReport := r.reserved + extra - r.reservedAtReport
	if reservedSinceReport <= free*min(1, maxSharesPerReport*s.share(r.Domain)) {
		return true
	}
	return r.reserved <= r.reservedAtReport && extra <= free*singleRequestFraction
}

// Choose returns the cheapest path, or the reason why there is none.
func (s *Selector) Choose(now time.Time, q Query) (Path, Outcome) {
	usable := s.usableReplicas(q)
	path := s.search(now, q, notBackedOff(now, usable), maxUtilization)
	if path != nil {
		return path, Found
	}
	if s.search(now, q, usable, math.Inf(1)) != nil {
		return nil, NoCapacity
	}
	return nil, LayersUnavailable
}

func (s *Selector) usableReplicas(q Query) []*replicaState {
	var usable []*replicaState
	for _, r := range s.sorted {
		if r.Draining || r.Holds.Empty() || r.suspected || r.layersMissing || slices.Contains(q.Exclude, r.ID) {
			continue
		}
		usable = append(usable, r)
	}
	return usable
}

// notBackedOff leaves out the replicas in a backoff period.
func notBackedOff(now time.Time, usable []*replicaState) []*replicaState {
	return slices.DeleteFunc(slices.Clone(usable), func(r *replicaState) bool { return r.backoff.active(now) })
}
