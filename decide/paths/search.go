package paths

import (
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// partialPath is the cheapest known path from the first layer of the query to a boundary
// between layers, among the paths whose last stage is in a given failure domain.
type partialPath struct {
	cost         float64       // of the whole partial path, in milliseconds
	prevBoundary int           // index of the boundary at which the last stage begins
	prevDomain   int           // index of the domain of the stage before the last
	replica      *replicaState // of the last stage
}

// search computes the cheapest path over the boundaries between layers. For each boundary
// and each domain of the last stage it keeps one partial path, because the cost of the next
// hop depends only on these two. A replica whose utilization would exceed utilizationLimit
// is not used.
func (s *Selector) search(now time.Time, q Query, usable []*replicaState, utilizationLimit float64) Path {
	layerBounds := boundaries(q.Layers, usable)
	domains, domainIndexes := domainsOf(q.Domain, usable)
	cheapestPaths := make([]partialPath, len(layerBounds)*len(domains))
	for i := range cheapestPaths {
		cheapestPaths[i].cost = math.Inf(1)
	}
	partialPathTo := func(boundary, domain int) *partialPath { return &cheapestPaths[boundary*len(domains)+domain] }
	partialPathTo(0, 0).cost = 0
	factorsByReplica := s.costFactors(now, usable)
	for endBoundary := 1; endBoundary < len(layerBounds); endBoundary++ {
		for k, r := range usable {
			if r.Holds.To < layerBounds[endBoundary] {
				continue
			}
			domain := domainIndexes[k]
			for startBoundary := endBoundary - 1; startBoundary >= 0 && layerBounds[startBoundary] >= r.Holds.From; startBoundary-- {
				if startBoundary == 0 && !q.mayBeFirst(r.ID) {
					continue
				}
				stageMillis, ok := s.stageCost(now, r, layerBounds[endBoundary]-layerBounds[startBoundary], q.Tokens, utilizationLimit, factorsByReplica[k])
				if !ok {
					continue
				}
				stageMillis += prefillCostFactor * r.prefill.remaining(now)
				for previousDomain := range domains {
					pathMillis := partialPathTo(startBoundary, previousDomain).cost + stageMillis + crossingCost(startBoundary == 0 && q.Layers.From == 0, previousDomain, domain)
					if pathMillis < partialPathTo(endBoundary, domain).cost {
						*partialPathTo(endBoundary, domain) = partialPath{cost: pathMillis, prevBoundary: startBoundary, prevDomain: previousDomain, replica: r}
					}
				}
			}
		}
	}
	return reconstructPath(layerBounds, len(domains), cheapestPaths)
}

// mayBeFirst reports whether a replica may run the first stage.
func (q Query) mayBeFirst(replica string) bool {
	if slices.Contains(q.NotFirst, replica) {
		return false
	}
	return len(q.FirstReplicas) == 0 || slices.Contains(q.FirstReplicas, replica)
}

// crossingCost returns the cost of a change of domain on a hop, in milliseconds. The hop to
// the first stage starts in the domain of this node.
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

// boundaries returns the sorted layer numbers at which a stage may begin or end: both ends
// of the given span, and those ends of the spans held by replicas that lie inside it.
func boundaries(span layers.Span, usable []*replicaState) []int {
	layerBounds := []int{span.From, span.To}
	for _, r := range usable {
		for _, bound := range []int{r.Holds.From, r.Holds.To} {
			if bound > span.From && bound < span.To {
				layerBounds = append(layerBounds, bound)
			}
		}
	}
	slices.Sort(layerBounds)
	return slices.Compact(layerBounds)
}

// domainsOf returns the failure domains, this node's own first, and for each replica the
// index of its domain in that list.
func domainsOf(ownDomain string, usable []*replicaState) (domains []string, domainIndexes []int) {
	domains = []string{ownDomain}
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

// costFactors returns the factor on the cost of each replica: a random factor (costJitter),
// multiplied by avoidFactor for a replica that is to be avoided now (avoidUntil).
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

// avoidFactor is the factor on the cost of a replica that is to be avoided. This
// factor makes the replica the last choice in its domain.
const avoidFactor = 8

// stageCost returns the cost of a stage that runs layerCount layers on a replica, in
// milliseconds per decode step. stageCost returns false if the replica has too little free capacity
// for the request's tokens.
func (s *Selector) stageCost(now time.Time, r *replicaState, layerCount int, tokens, utilizationLimit, costFactor float64) (float64, bool) {
	extraTokenLayers := tokens * float64(layerCount)
	utilization := s.utilization(now, r, extraTokenLayers)
	if utilization > utilizationLimit || !math.IsInf(utilizationLimit, 1) && !s.mayReserve(now, r, extraTokenLayers, utilizationLimit) {
		return 0, false
	}
	utilization = min(utilization, 0.99)
	return hopMillis + costFactor*float64(layerCount)*(r.LayerMillis*r.slowdown*r.slowdown+slowLayerMillis*utilization/(1-utilization)), true
}

// reconstructPath follows the cheapest partial paths back from the last boundary and merges
// stages that run on the same replica. reconstructPath returns nil if no path reaches the last
// boundary or the path has more than MaxStages stages.
func reconstructPath(layerBounds []int, domainCount int, cheapestPaths []partialPath) Path {
	lastBoundary := len(layerBounds) - 1
	bestDomain := -1
	for d := range domainCount {
		if p := cheapestPaths[lastBoundary*domainCount+d]; p.replica != nil && (bestDomain < 0 || p.cost < cheapestPaths[lastBoundary*domainCount+bestDomain].cost) {
			bestDomain = d
		}
	}
	if bestDomain < 0 {
		return nil
	}
	var path Path
	for boundary, domain := lastBoundary, bestDomain; boundary > 0; {
		p := cheapestPaths[boundary*domainCount+domain]
		path = append(path, Stage{
			Replica: p.replica.ID, Address: p.replica.Address, Domain: p.replica.Domain,
			Layers: layers.Span{From: layerBounds[p.prevBoundary], To: layerBounds[boundary]},
		})
		boundary, domain = p.prevBoundary, p.prevDomain
	}
	slices.Reverse(path)
	path = mergeRepeatedReplicas(path)
	if len(path) > MaxStages {
		return nil
	}
	return path
}

// mergeRepeatedReplicas joins two stages on the same replica into one stage that also runs the
// layers between the two. The replica holds these layers too, because it holds a single span. An
// engine refuses a path that contains its replica twice.
func mergeRepeatedReplicas(path Path) Path {
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
