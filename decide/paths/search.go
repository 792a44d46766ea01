package paths

import (
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// partialPath is the cheapest known partialPath to a boundary between layers that ends in a
// domain.
type partialPath struct {
	cost         float64
	prevBoundary int // index of the boundary before
	prevDomain   int // of the way before
	replica      *replicaState
}

// search is a shortest path over the boundaries between layers. The state is the
// boundary and the domain of the last part, as only a change of domain has a price.
func (s *Selector) search(now time.Time, q Query, usable []*replicaState, limit float64) Path {
	bounds := boundaries(q.Layers, usable)
	domains, index := domainsOf(q.Domain, usable)
	cheapest := make([]partialPath, len(bounds)*len(domains))
	for i := range cheapest {
		cheapest[i].cost = math.Inf(1)
	}
	cell := func(boundary, domain int) *partialPath { return &cheapest[boundary*len(domains)+domain] }
	cell(0, 0).cost = 0
	factors := s.costFactors(now, usable)
	for to := 1; to < len(bounds); to++ {
		for k, r := range usable {
			if r.Holds.To < bounds[to] {
				continue
			}
			domain := index[k]
			for from := to - 1; from >= 0 && bounds[from] >= r.Holds.From; from-- {
				if from == 0 && len(q.FirstReplicas) > 0 && !slices.Contains(q.FirstReplicas, r.ID) {
					continue
				}
				stageMillis, ok := s.stageCost(now, r, bounds[to]-bounds[from], q.Tokens, limit, factors[k])
				if !ok {
					continue
				}
				stageMillis += prefillCostFactor * r.prefill.remaining(now)
				for last := range domains {
					total := cell(from, last).cost + stageMillis + crossingCost(from == 0 && q.Layers.From == 0, last, domain)
					if total < cell(to, domain).cost {
						*cell(to, domain) = partialPath{cost: total, prevBoundary: from, prevDomain: last, replica: r}
					}
				}
			}
		}
	}
	return reconstruct(bounds, len(domains), cheapest)
}

// crossingCost is the price of going from one domain to another. Before the first part
// stands the node itself.
func crossingCost(first bool, last, domain int) float64 {
	switch {
	case last == domain:
		return 0
	case first:
		return remoteEntryMillis
	default:
		return crossDomainMillis
	}
}

func boundaries(run layers.Span, usable []*replicaState) []int {
	bounds := []int{run.From, run.To}
	for _, r := range usable {
		for _, bound := range []int{r.Holds.From, r.Holds.To} {
			if bound > run.From && bound < run.To {
				bounds = append(bounds, bound)
			}
		}
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// domainsOf lists the domains, the node's own first, and each replica's place among
// them.
func domainsOf(own string, usable []*replicaState) (domains []string, index []int) {
	domains = []string{own}
	index = make([]int, len(usable))
	for k, r := range usable {
		i := slices.Index(domains, r.Domain)
		if i < 0 {
			i = len(domains)
			domains = append(domains, r.Domain)
		}
		index[k] = i
	}
	return domains, index
}

// costFactors draws what chance adds to each replica's cost, and a price on those that
// have just said that they are full.
func (s *Selector) costFactors(now time.Time, usable []*replicaState) []float64 {
	factors := make([]float64, len(usable))
	for k, r := range usable {
		factors[k] = 1 + costJitter*s.random.Float64()
		if now.Before(r.avoidUntil) {
			factors[k] *= avoidFactor
		}
	}
	return factors
}

// avoidFactor makes a replica that has just refused for want of room the last choice
// in its domain.
const avoidFactor = 8

// stageCost is the cost of n layers on a replica, in milliseconds a step.
func (s *Selector) stageCost(now time.Time, r *replicaState, count int, tokens, limit, factor float64) (float64, bool) {
	extra := tokens * float64(count)
	utilization := s.utilization(now, r, extra)
	if utilization > limit || !math.IsInf(limit, 1) && !s.mayReserve(now, r, extra, limit) {
		return 0, false
	}
	utilization = min(utilization, 0.99)
	return hopMillis + factor*float64(count)*(r.LayerMillis*r.slowdown*r.slowdown+slowLayerMillis*utilization/(1-utilization)), true
}

// reconstruct reads the path off the ways, last part first, and joins parts of one
// replica.
func reconstruct(bounds []int, domains int, cheapest []partialPath) Path {
	last := len(bounds) - 1
	best := -1
	for d := range domains {
		if w := cheapest[last*domains+d]; w.replica != nil && (best < 0 || w.cost < cheapest[last*domains+best].cost) {
			best = d
		}
	}
	if best < 0 {
		return nil
	}
	var path Path
	for boundary, domain := last, best; boundary > 0; {
		w := cheapest[boundary*domains+domain]
		path = append(path, Stage{
			Replica: w.replica.ID, Address: w.replica.Address, Domain: w.replica.Domain,
			Layers: layers.Span{From: bounds[w.prevBoundary], To: bounds[boundary]},
		})
		boundary, domain = w.prevBoundary, w.prevDomain
	}
	slices.Reverse(path)
	path = mergeRepeated(path)
	if len(path) > MaxStages {
		return nil
	}
	return path
}

// mergeRepeated gives all layers between two parts of one replica to that replica, which
// holds them too: an engine refuses a path that names it twice.
func mergeRepeated(path Path) Path {
	for i := 0; i < len(path); i++ {
		for j := len(path) - 1; j > i; j-- {
			if path[j].Replica == path[i].Replica {
				path[i].Layers.To = path[j].Layers.To
				path = slices.Delete(path, i+1, j+1)
				break
			}
		}
	}
	return path
}
