package paths

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
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

// Part is one replica's layers of a path.
type Part struct {
	Replica string
	Address string
	Domain  string
	Run     layers.Span
}

// Path runs through all layers, each once and in order.
type Path []Part

// Runs says whether the path runs each of the layers once and in order, with no
// replica twice. Engines check none of this.
func (p Path) Runs(span layers.Span) bool {
	at := span.From
	seen := make(map[string]bool, len(p))
	for _, part := range p {
		if part.Run.From != at || part.Run.Empty() || seen[part.Replica] {
			return false
		}
		seen[part.Replica] = true
		at = part.Run.To
	}
	return at == span.To
}

// Crossings is how often the path goes from one failure domain to another.
func (p Path) Crossings() int {
	n := 0
	for i := 1; i < len(p); i++ {
		if p[i].Domain != p[i-1].Domain {
			n++
		}
	}
	return n
}

// String is the path for log lines: each replica with its layers.
func (p Path) String() string {
	var b strings.Builder
	for i, part := range p {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s:%d-%d", part.Replica, part.Run.From, part.Run.To)
	}
	return b.String()
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
	// Again is set for a request that is underway: the replicas read all that it holds
	// again, and those that have least to read are chosen.
	Again bool
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
	maxUse = 1000
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

// way is the cheapest known way to a boundary between layers that ends in a
// domain.
type way struct {
	cost   float64
	from   int // index of the boundary before
	domain int // of the way before
	node   *node
}

// Choose returns the cheapest path, or why there is none.
func (b *Book) Choose(now time.Time, q Query) (Path, Reason) {
	usable := b.usable(q)
	path := b.search(now, q, usable, maxUse)
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

// search is a shortest path over the boundaries between layers. The state is the
// boundary and the domain of the last part, as only a change of domain has a price.
func (b *Book) search(now time.Time, q Query, usable []*node, most float64) Path {
	cuts := boundaries(q.Run, usable)
	domains, index := domainsOf(q.Domain, usable)
	ways := make([]way, len(cuts)*len(domains))
	for i := range ways {
		ways[i].cost = math.Inf(1)
	}
	at := func(cut, domain int) *way { return &ways[cut*len(domains)+domain] }
	at(0, 0).cost = 0
	weights := b.weights(now, usable)
	for to := 1; to < len(cuts); to++ {
		for k, n := range usable {
			if n.Holds.To < cuts[to] {
				continue
			}
			domain := index[k]
			for from := to - 1; from >= 0 && cuts[from] >= n.Holds.From; from-- {
				if from == 0 && len(q.FirstOf) > 0 && !slices.Contains(q.FirstOf, n.ID) {
					continue
				}
				part, ok := b.partCost(now, n, cuts[to]-cuts[from], q.Tokens, most, weights[k])
				if !ok {
					continue
				}
				if q.Again {
					part += readPrice * n.reading.left(now)
				}
				for last := range domains {
					cost := at(from, last).cost + part + crossing(from == 0 && q.Run.From == 0, last, domain)
					if cost < at(to, domain).cost {
						*at(to, domain) = way{cost: cost, from: from, domain: last, node: n}
					}
				}
			}
		}
	}
	return trace(cuts, len(domains), ways)
}

// crossing is the price of going from one domain to another. Before the first part
// stands the node itself.
func crossing(first bool, last, domain int) float64 {
	switch {
	case last == domain:
		return 0
	case first:
		return entryCost
	default:
		return crossCost
	}
}

func boundaries(run layers.Span, usable []*node) []int {
	cuts := []int{run.From, run.To}
	for _, n := range usable {
		for _, cut := range []int{n.Holds.From, n.Holds.To} {
			if cut > run.From && cut < run.To {
				cuts = append(cuts, cut)
			}
		}
	}
	slices.Sort(cuts)
	return slices.Compact(cuts)
}

// domainsOf lists the domains, the node's own first, and each replica's place among
// them.
func domainsOf(own string, usable []*node) (domains []string, index []int) {
	domains = []string{own}
	index = make([]int, len(usable))
	for k, n := range usable {
		place := slices.Index(domains, n.Domain)
		if place < 0 {
			place = len(domains)
			domains = append(domains, n.Domain)
		}
		index[k] = place
	}
	return domains, index
}

// weights draws what chance adds to each replica's cost, and a price on those that
// have just said that they are full.
func (b *Book) weights(now time.Time, usable []*node) []float64 {
	weights := make([]float64, len(usable))
	for k, n := range usable {
		weights[k] = 1 + jitter*b.random.Float64()
		if now.Before(n.full) {
			weights[k] *= fullWeight
		}
	}
	return weights
}

// fullWeight makes a replica that has just refused for want of room the last choice
// in its domain.
const fullWeight = 8

// partCost is the cost of n layers on a replica, in milliseconds a step.
func (b *Book) partCost(now time.Time, n *node, count int, tokens, most, weight float64) (float64, bool) {
	more := tokens * float64(count)
	use := b.use(now, n, more)
	if use > most || !math.IsInf(most, 1) && !b.grabs(now, n, more, most) {
		return 0, false
	}
	use = min(use, 0.99)
	return hopCost + weight*float64(count)*(n.LayerMillis*n.pace*n.pace+slowLayer*use/(1-use)), true
}

// trace reads the path off the ways, last part first, and joins parts of one
// replica.
func trace(cuts []int, domains int, ways []way) Path {
	last := len(cuts) - 1
	best := -1
	for d := range domains {
		if w := ways[last*domains+d]; w.node != nil && (best < 0 || w.cost < ways[last*domains+best].cost) {
			best = d
		}
	}
	if best < 0 {
		return nil
	}
	var path Path
	for cut, domain := last, best; cut > 0; {
		w := ways[cut*domains+domain]
		path = append(path, Part{
			Replica: w.node.ID, Address: w.node.Address, Domain: w.node.Domain,
			Run: layers.Span{From: cuts[w.from], To: cuts[cut]},
		})
		cut, domain = w.from, w.domain
	}
	slices.Reverse(path)
	path = joined(path)
	if len(path) > MaxParts {
		return nil
	}
	return path
}

// joined gives all layers between two parts of one replica to that replica, which
// holds them too: an engine refuses a path that names it twice.
func joined(path Path) Path {
	for i := 0; i < len(path); i++ {
		for j := len(path) - 1; j > i; j-- {
			if path[j].Replica == path[i].Replica {
				path[i].Run.To = path[j].Run.To
				path = slices.Delete(path, i+1, j+1)
				break
			}
		}
	}
	return path
}
