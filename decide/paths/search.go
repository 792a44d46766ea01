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
func (s *Selector) search(now time.Time, q Query, usable []*replicaState, utilizationLimit float64) Path {
	bounds := boundaries(q.Layers, usable)
	domains, domainIndexes := domainsOf(q.Domain, usable)
	cheapest := make([]partialPath, len(bounds)*len(domains))
	for i := range cheapest {
		cheapest[i].cost = math.Inf(1)
	}
	partialPathTo := func(boundary, domain int) *partialPath { return &cheapest[boundary*len(domains)+domain] }
	partialPathTo(0, 0).cost = 0
	factors := s.costFactors(now, usable)
	for to := 1; to < len(bounds); to++ {
		for k, r := range usable {
			if r.Holds.To < bounds[to] {
				continue
			}
			domain := domainIndexes[k]
			for from := to - 1; from >= 0 && bounds[from] >= r.Holds.From; from-- {
				if from == 0 && len(q.FirstReplicas) > 0 && !slices.Contains(q.FirstReplicas, r.ID) {
					continue
				}
				stageMillis, ok := s.stageCost(now, r, bounds[to]-bounds[from], q.Tokens, utilizationLimit, factors[k])
				if !ok {
					continue
				}
				stageMillis += prefillCostFactor * r.prefill.remaining(now)
				for previousDomain := range domains {
					total := partialPathTo(from, previousDomain).cost + stageMillis + crossingCost(from == 0 && q.Layers.From == 0, previousDomain, domain)
					if total < partialPathTo(to, domain).cost {
						*partialPathTo(to, domain) = partialPath{cost: total, prevBoundary: from, prevDomain: previousDomain, replica: r}
					}
				}
			}
		}
	}
	return reconstructPath(bounds, len(domains), cheapest)
}

// crossingCost returns the cost of a hop from one domain to another. The hop to the first
// stage starts at this node.
func crossingCost(toFirstStage bool, fromDomain, toDomain int) float64 {
	switch {
	case fromDomain == toDomain:
		return 0
	case toFirstStage:
		return remoteEntryMillis
	default:
		return crossDomainMillis
	}
}

// boundaries returns the sorted layers at which a stage may begin or end.
func boundaries(span layers.Span, usable []*replicaState) []int {
	bounds := []int{span.From, span.To}
	for _, r := range usable {
		for _, bound := range []int{r.Holds.From, r.Holds.To} {
			if bound > span.From && bound < span.To {
				bounds = append(bounds, bound)
			}
		}
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// domainsOf returns the failure domains, this node's own first, and the index of each
// replica's domain.
func domainsOf(own string, usable []*replicaState) (domains []string, domainIndexes []int) {
	domains = []string{own}
	domainIndexes = make([]int, len(usable))
	for k, r := range usable {
		i := slices.Index(domains, r.Domain)
		if i < 0 {
			i = len(domains)
			domains = append(domains, r.Domain)
		}
		domainIndexes[k] = i
	}
	return domains, domainIndexes
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
func (s *Selector) stageCost(now time.Time, r *replicaState, layerCount int, tokens, utilizationLimit, costFactor float64) (float64, bool) {
	extra := tokens * float64(layerCount)
	utilization := s.utilization(now, r, extra)
	if utilization > utilizationLimit || !math.IsInf(utilizationLimit, 1) && !s.mayReserve(now, r, extra, utilizationLimit) {
		return 0, false
	}
	utilization = min(utilization, 0.99)
	return hopMillis + costFactor*float64(layerCount)*(r.LayerMillis*r.slowdown*r.slowdown+slowLayerMillis*utilization/(1-utilization)), true
}

// reconstructPath follows the partial paths back from the last layer and merges the stages of
// one replica.
func reconstructPath(bounds []int, domainCount int, cheapest []partialPath) Path {
	lastBoundary := len(bounds) - 1
	bestDomain := -1
	for d := range domainCount {
		if p := cheapest[lastBoundary*domainCount+d]; p.replica != nil && (bestDomain < 0 || p.cost < cheapest[lastBoundary*domainCount+bestDomain].cost) {
			bestDomain = d
		}
	}
	if bestDomain < 0 {
		return nil
	}
	var path Path
	for boundary, domain := lastBoundary, bestDomain; boundary > 0; {
		p := cheapest[boundary*domainCount+domain]
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
