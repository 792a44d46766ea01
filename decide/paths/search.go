package paths

import (
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// partialPath is the cheapest known path up to a boundary between layers whose last stage
// is in a given failure domain. Its fields describe the last stage.
type partialPath struct {
	cost         float64
	prevBoundary int // index of the boundary at which the stage begins
	prevDomain   int // of the stage before
	replica      *replicaState
}

// search computes a shortest path over the boundaries between layers. The state is the
// boundary and the domain of the last stage, because only a change of domain has a cost.
// limit bounds the utilization of each replica.
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

// crossingCost returns the cost of a hop from one domain to another. The hop to the first
// stage starts at this node.
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

// boundaries returns the sorted layers at which a stage may begin or end.
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

// domainsOf returns the failure domains, this node's own first, and the index of each
// replica's domain.
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

// costFactors returns the random cost factor of each replica, raised for replicas that
// have just refused for lack of capacity.
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

// avoidFactor makes a replica that has just refused for lack of capacity the last choice
// in its domain.
const avoidFactor = 8

// stageCost returns the cost of count layers on a replica, in milliseconds a step, and
// whether the replica has the capacity.
func (s *Selector) stageCost(now time.Time, r *replicaState, count int, tokens, limit, factor float64) (float64, bool) {
	extra := tokens * float64(count)
	utilization := s.utilization(now, r, extra)
	if utilization > limit || !math.IsInf(limit, 1) && !s.mayReserve(now, r, extra, limit) {
		return 0, false
	}
	utilization = min(utilization, 0.99)
	return hopMillis + factor*float64(count)*(r.LayerMillis*r.slowdown*r.slowdown+slowLayerMillis*utilization/(1-utilization)), true
}

// reconstruct follows the partial paths back from the last layer and merges the stages of
// one replica.
func reconstruct(bounds []int, domains int, cheapest []partialPath) Path {
	last := len(bounds) - 1
	best := -1
	for d := range domains {
		if p := cheapest[last*domains+d]; p.replica != nil && (best < 0 || p.cost < cheapest[last*domains+best].cost) {
			best = d
		}
	}
	if best < 0 {
		return nil
	}
	var path Path
	for boundary, domain := last, best; boundary > 0; {
		p := cheapest[boundary*domains+domain]
		path = append(path, Stage{
			Replica: p.replica.ID, Address: p.replica.Address, Domain: p.replica.Domain,
			Layers: layers.Span{From: bounds[p.prevBoundary], To: bounds[boundary]},
		})
		boundary, domain = p.prevBoundary, p.prevDomain
	}
	slices.Reverse(path)
	path = mergeRepeated(path)
	if len(path) > MaxStages {
		return nil
	}
	return path
}

// mergeRepeated gives all layers between two stages of one replica to that replica, which
// holds them too. An engine refuses a path that contains its replica twice.
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
