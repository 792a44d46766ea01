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
	ID      string
	Born    int64
	Address string
	Domain  string
	Holds   layers.Span
	// Room is the memory for requests, in tokens times layers.
	Room float64
	// LayerMillis is the time of one step through one layer.
	LayerMillis float64
	// ReadMillis is the time in which one token of a prompt is read with one layer.
	ReadMillis float64
	// Leaving replicas take no new requests.
	Leaving bool
	// Revision rises with each account that the replica gives of itself.
	Revision int64
}

// Reason says why there is no path.
type Reason uint8

const (
	// Found comes with a path.
	Found Reason = iota
	// NoCover means that some layer has no usable holder.
	NoCover
	// NoRoom means that the holders of some layer are full.
	NoRoom
)

// String names the reason for log lines.
func (r Reason) String() string {
	return [...]string{"found", "layers without a usable holder", "no room"}[r]
}

// Query asks for a path.
type Query struct {
	// Domain is the asking node's failure domain.
	Domain string
	// Run is the layers to run, all of the model's for a new request.
	Run layers.Span
	// Tokens is the most that the request is expected to hold at a time.
	Tokens float64
	// Exclude names replicas not to use.
	Exclude []string
	// FirstOf, if not empty, names the replicas that the path may begin with.
	FirstOf []string
}

const (
	// MaxParts is the most parts that an engine accepts in a path.
	MaxParts = 32
	// hopCost is the time from one replica to the next in a failure domain, in
	// milliseconds: two transfers and the wait for its next pass.
	hopCost = 0.5
	// crossCost is the price of leaving a failure domain within a path, and
	// entryCost that of a first part in another than the node's, in milliseconds.
	crossCost = 150
	entryCost = 12
	// slowLayer is the time of a layer on a slow card, in milliseconds; the price
	// of room is a multiple of it.
	slowLayer = 0.17
	// maxUse is the part of this node's share of a replica's room that is booked. It is
	// over 1 since nodes are seldom all full at the same moment; where they are, the
	// replica refuses, and the share that is reckoned with shrinks.
	maxUse = 1.1
	// jitter is the part by which costs vary by chance, so that nodes which see the
	// same replicas do not all choose the same one.
	jitter = 0.1
)

// node is a replica and what is known of it here.
type node struct {
	Replica
	booked float64 // tokens times layers of this node's requests
	room   learned
	// suspected is set from a sign that the replica is gone until one that it lives;
	// silent if its machine does not answer.
	suspected, silent bool
	since             time.Time // of the suspicion
	// misheld is set if the replica has refused layers that it is listed with, until
	// it has given a newer account of itself.
	misheld bool
	full    time.Time
	away    away
	reading reading
	// pace is over 1 for a replica that is slower than its kind.
	pace float64
	// others is what other nodes have booked as far as it is known, told when this node
	// had booked then.
	others, then float64
}

// Book keeps what is booked on each replica. Not safe for concurrent use.
type Book struct {
	nodes  map[string]*node
	order  []*node // by id, so that walks are the same each time
	shares map[string]float64
	// heard is of how many other nodes in a failure domain the bookings are known.
	heard  map[string]int
	random *rand.Rand
}

// New returns an empty Book; nodes take different seeds.
func New(seed uint64) *Book {
	return &Book{
		nodes:  map[string]*node{},
		shares: map[string]float64{},
		heard:  map[string]int{},
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Update replaces the replicas. What is booked and suspected of one stays while it
// lives; a replica that started again under its id begins anew.
func (b *Book) Update(replicas []Replica) {
	nodes := make(map[string]*node, len(replicas))
	b.order = b.order[:0]
	for _, r := range replicas {
		n, ok := b.nodes[r.ID]
		if !ok || n.Born != r.Born {
			n = &node{room: learned{part: 1}, pace: 1}
		}
		if r.Revision != n.Revision {
			n.misheld = false
		}
		n.Replica = r
		nodes[r.ID] = n
		b.order = append(b.order, n)
	}
	b.nodes = nodes
	slices.SortFunc(b.order, func(a, c *node) int { return cmp.Compare(a.ID, c.ID) })
}

// SetShare sets the part of a failure domain's room that this node reckons with: its
// part of the nodes that send work there.
func (b *Book) SetShare(domain string, share float64) {
	b.shares[domain] = share
}

// SetOthers notes what other nodes have booked on the replicas of a failure domain, and
// of how many of them that is known; the others are taken to use their even parts.
func (b *Book) SetOthers(domain string, heard int, amounts map[string]float64) {
	b.heard[domain] = heard
	for _, n := range b.order {
		if n.Domain == domain {
			n.others, n.then = amounts[n.ID], n.booked
		}
	}
}

// share is the even part of a failure domain's room for one node.
func (b *Book) share(domain string) float64 {
	share, ok := b.shares[domain]
	if !ok || share <= 0 {
		return 1
	}
	return share
}

// room is what this node and those whose bookings are known have of a replica together.
func (b *Book) room(now time.Time, n *node) float64 {
	part := min(1, b.share(n.Domain)*float64(1+b.heard[n.Domain]))
	return n.Room * part * n.room.at(now)
}

// use is the part of the replica's room that would be booked with more added, by this
// node and, as far as it knows, the others.
func (b *Book) use(now time.Time, n *node, more float64) float64 {
	room := b.room(now, n)
	if room <= 0 {
		return math.Inf(1)
	}
	return (n.others + n.booked + more) / room
}

const (
	// grabParts: of the room that was free when the others last told what they have
	// booked, a node takes at most so many even parts until they tell again. With one,
	// uneven callers find room unused; with the whole, all nodes fill the same room.
	grabParts = 2
	// firstPart is the part of that room which one request alone may take: a large one
	// would else find no room beside many nodes while most of it is free.
	firstPart = 0.5
)

// grabs says whether the node may book more on a replica before it hears from the
// others again.
func (b *Book) grabs(now time.Time, n *node, more, most float64) bool {
	if b.heard[n.Domain] == 0 {
		return true
	}
	free := max(0, most*b.room(now, n)-n.others-n.then)
	grown := n.booked + more - n.then
	if grown <= free*min(1, grabParts*b.share(n.Domain)) {
		return true
	}
	return n.booked <= n.then && more <= free*firstPart
}

// Choose returns the cheapest path, or why there is none.
func (b *Book) Choose(now time.Time, q Query) (Path, Reason) {
	usable := b.usable(q)
	path := b.search(now, q, taking(now, usable), maxUse)
	if path != nil {
		return path, Found
	}
	if b.search(now, q, usable, math.Inf(1)) != nil {
		return nil, NoRoom
	}
	return nil, NoCover
}

func (b *Book) usable(q Query) []*node {
	var usable []*node
	for _, n := range b.order {
		if n.Leaving || n.Holds.Empty() || n.suspected || n.misheld || slices.Contains(q.Exclude, n.ID) {
			continue
		}
		usable = append(usable, n)
	}
	return usable
}

// taking leaves out the replicas that turn requests away.
func taking(now time.Time, usable []*node) []*node {
	return slices.DeleteFunc(slices.Clone(usable), func(n *node) bool { return n.away.at(now) })
}
