package paths

import (
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// way is the cheapest known way to a boundary between layers that ends in a
// domain.
type way struct {
	cost   float64
	from   int // index of the boundary before
	domain int // of the way before
	node   *node
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
				part += readPrice * n.reading.left(now)
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
