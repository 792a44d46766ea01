package paths

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// Replica is what a path may run through.
type Replica struct {
	ID          string
	Incarnation int64
	Address     string
	Domain      string
	Holds       layers.Span
	// Capacity is the memory for requests, in tokens times layers.
	Capacity float64
	// LayerMillis is the time of one step through one layer.
	LayerMillis float64
	// PrefillMillis is the time in which one token of a prompt is read with one layer.
	PrefillMillis float64
	// Draining replicas take no new requests.
	Draining bool
	// Revision rises with each account that the replica gives of itself.
	Revision int64
}

// Reason says why there is no path.
type Reason uint8

const (
	// Found comes with a path.
	Found Reason = iota
	// LayersUnavailable means that some layer has no usable holder.
	LayersUnavailable
	// NoCapacity means that the holders of some layer are full.
	NoCapacity
)

// String names the reason for log lines.
func (r Reason) String() string {
	return [...]string{"found", "layers without a usable holder", "no room"}[r]
}

// Query asks for a path.
type Query struct {
	// Domain is the asking node's failure domain.
	Domain string
	// Layers is the layers to run, all of the model's for a new request.
	Layers layers.Span
	// Tokens is the most that the request is expected to hold at a time.
	Tokens float64
	// Exclude names replicas not to use.
	Exclude []string
	// FirstReplicas, if not empty, names the replicas that the path may begin with.
	FirstReplicas []string
}

const (
	// MaxStages is the most parts that an engine accepts in a path.
	MaxStages = 32
	// hopMillis is the time from one replica to the next in a failure domain, in
	// milliseconds: two transfers and the wait for its next pass.
	hopMillis = 0.5
	// crossDomainMillis is the price of leaving a failure domain within a path, and
	// entryCost that of a first part in another than the node's, in milliseconds.
	crossDomainMillis = 150
	remoteEntryMillis = 12
	// slowLayerMillis is the time of a layer on a slow card, in milliseconds; the price
	// of room is a multiple of it.
	slowLayerMillis = 0.17
	// maxUtilization is the part of this node's share of a replica's room that is booked. It is
	// over 1 since nodes are seldom all full at the same moment; where they are, the
	// replica refuses, and the share that is reckoned with shrinks.
	maxUtilization = 1.1
	// costJitter is the part by which costs vary by chance, so that nodes which see the
	// same replicas do not all choose the same one.
	costJitter = 0.1
)

// replicaState is a replica and what is known of it here.
type replicaState struct {
	Replica
	reserved float64 // tokens times layers of this node's requests
	usable   usableFraction
	// suspected is set from a sign that the replica is gone until one that it lives;
	// hostUnreachable if its machine does not answer.
	suspected, hostUnreachable bool
	suspectedSince             time.Time // of the suspicion
	// layersMissing is set if the replica has refused layers that it is listed with, until
	// it has given a newer account of itself.
	layersMissing bool
	avoidUntil    time.Time
	backoff       backoff
	prefill       prefillBacklog
	// slowdown is over 1 for a replica that is slower than its kind.
	slowdown float64
	// peerReserved is what other nodes have booked as far as it is known, told when this node
	// had booked reservedAtReport.
	peerReserved, reservedAtReport float64
}

// Selector keeps what is booked on each replica. Not safe for concurrent use.
type Selector struct {
	replicas map[string]*replicaState
	sorted   []*replicaState // by id, so that walks are the same each time
	shares   map[string]float64
	// reportingPeers is of how many other nodes in a failure domain the bookings are known.
	reportingPeers map[string]int
	random         *rand.Rand
}

// New returns an empty Book; nodes take different seeds.
func New(seed uint64) *Selector {
	return &Selector{
		replicas:       map[string]*replicaState{},
		shares:         map[string]float64{},
		reportingPeers: map[string]int{},
		random:         rand.New(rand.NewPCG(seed, seed)),
	}
}

// Update replaces the replicas. What is booked and suspected of one stays while it
// lives; a replica that started again under its id begins anew.
func (s *Selector) Update(replicas []Replica) {
	states := make(map[string]*replicaState, len(replicas))
	s.sorted = s.sorted[:0]
	for _, listed := range replicas {
		r, ok := s.replicas[listed.ID]
		if !ok || r.Incarnation != listed.Incarnation {
			r = &replicaState{usable: usableFraction{value: 1}, slowdown: 1}
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

// SetShare sets the part of a failure domain's room that this node reckons with: its
// part of the nodes that send work there.
func (s *Selector) SetShare(domain string, share float64) {
	s.shares[domain] = share
}

// SetPeerReservations notes what other nodes have booked on the replicas of a failure domain, and
// of how many of them that is known; the others are taken to use their even parts.
func (s *Selector) SetPeerReservations(domain string, peers int, reserved map[string]float64) {
	s.reportingPeers[domain] = peers
	for _, r := range s.sorted {
		if r.Domain == domain {
			r.peerReserved, r.reservedAtReport = reserved[r.ID], r.reserved
		}
	}
}

// share is the even part of a failure domain's room for one node.
func (s *Selector) share(domain string) float64 {
	share, ok := s.shares[domain]
	if !ok || share <= 0 {
		return 1
	}
	return share
}

// capacity is what this node and those whose bookings are known have of a replica together.
func (s *Selector) capacity(now time.Time, r *replicaState) float64 {
	fraction := min(1, s.share(r.Domain)*float64(1+s.reportingPeers[r.Domain]))
	return r.Capacity * fraction * r.usable.at(now)
}

// utilization is the part of the replica's room that would be booked with more added, by this
// node and, as far as it knows, the others.
func (s *Selector) utilization(now time.Time, r *replicaState, extra float64) float64 {
	capacity := s.capacity(now, r)
	if capacity <= 0 {
		return math.Inf(1)
	}
	return (r.peerReserved + r.reserved + extra) / capacity
}

const (
	// sharesPerReport: of the room that was free when the others last told what they have
	// booked, a node takes at most so many even parts until they tell again. With one,
	// uneven callers find room unused; with the whole, all nodes fill the same room.
	sharesPerReport = 2
	// singleRequestFraction is the part of that room which one request alone may take: a large one
	// would else find no room beside many nodes while most of it is free.
	singleRequestFraction = 0.5
)

// mayReserve says whether the node may book more on a replica before it hears from the
// others again.
func (s *Selector) mayReserve(now time.Time, r *replicaState, extra, limit float64) bool {
	if s.reportingPeers[r.Domain] == 0 {
		return true
	}
	free := max(0, limit*s.capacity(now, r)-r.peerReserved-r.reservedAtReport)
	growth := r.reserved + extra - r.reservedAtReport
	if growth <= free*min(1, sharesPerReport*s.share(r.Domain)) {
		return true
	}
	return r.reserved <= r.reservedAtReport && extra <= free*singleRequestFraction
}

// Choose returns the cheapest path, or why there is none.
func (s *Selector) Choose(now time.Time, q Query) (Path, Reason) {
	usable := s.usable(q)
	path := s.search(now, q, accepting(now, usable), maxUtilization)
	if path != nil {
		return path, Found
	}
	if s.search(now, q, usable, math.Inf(1)) != nil {
		return nil, NoCapacity
	}
	return nil, LayersUnavailable
}

func (s *Selector) usable(q Query) []*replicaState {
	var usable []*replicaState
	for _, r := range s.sorted {
		if r.Draining || r.Holds.Empty() || r.suspected || r.layersMissing || slices.Contains(q.Exclude, r.ID) {
			continue
		}
		usable = append(usable, r)
	}
	return usable
}

// accepting leaves out the replicas that turn requests away.
func accepting(now time.Time, usable []*replicaState) []*replicaState {
	return slices.DeleteFunc(slices.Clone(usable), func(r *replicaState) bool { return r.backoff.active(now) })
}
