package balance

import (
	"math"
	"time"
)

// noiseStandardDeviations sets which differences count as noise (random variation). The
// number of other nodes' requests at a replica differs from the expected number by
// noise if the difference is at most noiseStandardDeviations standard deviations of a Poisson
// distribution.
const noiseStandardDeviations = 2

// maxScanWhenAllFull is how many replicas of each tier are examined, in round-robin
// order. More are examined only while every replica examined so far is excluded or
// in backoff. Examining one replica takes about 25 ns, and a node may use more than
// a hundred replicas.
const maxScanWhenAllFull = 16

// meanUtilization returns the load per unit of capacity over both tiers.
func (b *Balancer) meanUtilization() float64 {
	nearCapacity, spillCapacity := b.nearTier.capacity(), b.spillTier.capacity()
	if nearCapacity+spillCapacity == 0 {
		return 0
	}
	return (b.nearTier.meanUtilization()*nearCapacity + b.spillTier.meanUtilization()*spillCapacity) / (nearCapacity + spillCapacity)
}

// acceptsPrefixWhenAllFull reports whether a replica accepts a request by its
// prefix while the service has more requests than slots. The replica accepts the
// request if its adjusted load is at most the node's mean own load. The mean own
// load is the number of this node's requests per unit of capacity, over the usable
// replicas of both tiers.
//
// The normal bound is AffinityLoadFactor times the mean load. With this bound, a
// prompt that all callers share keeps a queue at the owner of its prefix while slots
// of other replicas are idle. Three nodes with common replicas then served 0.69 of
// the capacity when the offered load was twice the capacity. A cached prompt saves
// less time than such a queue costs. With the bound used here, an owner still gets
// as many requests as other replicas.
func (b *Balancer) acceptsPrefixWhenAllFull(now time.Time, m *member) bool {
	ownRequestsPerCapacity := (b.nearTier.inflightRequests + b.spillTier.inflightRequests) / (b.nearTier.capacity() + b.spillTier.capacity())
	return b.candidateWhenAllFull(now, m).scoreWhenAllFull <= ownRequestsPerCapacity
}

// pickWhenAllFull picks the replica with the fewest of this node's requests
// relative to its capacity.
//
// When all replicas are full, a node can send a request only when one of its own
// requests ends. The node knows at once which replica served the ended request. With
// round robin the next request would go to another replica. The load reports that
// would show the imbalance arrive too late to correct the imbalance: some engines
// had idle slots while others had a queue. If each node spreads its own requests
// evenly, the requests of all nodes together are spread evenly too. Other nodes'
// requests at a replica count only if there are more or fewer of them than noise
// explains.
func (b *Balancer) pickWhenAllFull(now time.Time, q Query) (Choice, bool) {
	var best, runnerUp memberWithScore
	for _, t := range [...]*tier{&b.nearTier, &b.spillTier} {
		if len(t.usableMembers) == 0 {
			continue
		}
		startIndex := t.nextRoundRobinIndex() // replicas of equal adjusted load are picked in round-robin order
		for i := range t.usableMembers {
			if i >= maxScanWhenAllFull && best.member != nil && !best.inBackoff {
				break
			}
			m := t.usableMembers[(startIndex+i)%len(t.usableMembers)]
			if excluded(q, m) {
				continue
			}
			candidate := b.candidateWhenAllFull(now, m)
			if candidate.betterThan(best) {
				candidate, best = best, candidate
			}
			if candidate.betterThan(runnerUp) {
				runnerUp = candidate
			}
		}
	}
	if best.member == nil {
		return Choice{}, false
	}
	c := b.newChoice(now, best.member, ReasonFewestOwn)
	if best.member.tier == &b.spillTier {
		c.Reason = ReasonSpill
	}
	c.Alternatives[0] = b.newCandidate(now, runnerUp.member)
	return c, true
}

// memberWithScore is a replica with the load by which replicas are compared
// while all of them are full. A lower load is better.
type memberWithScore struct {
	member           *member
	inBackoff        bool    // the replica was full and refused a request less than Config.Backoff ago
	scoreWhenAllFull float64 // requests per unit of effective capacity, multiplied by the slowness
}

func (r memberWithScore) betterThan(other memberWithScore) bool {
	if r.member == nil || other.member == nil {
		return r.member != nil
	}
	if r.inBackoff != other.inBackoff {
		return other.inBackoff
	}
	return r.scoreWhenAllFull < other.scoreWhenAllFull
}

// candidateWhenAllFull returns a replica with its adjusted load. The adjusted load
// counts this node's requests at the replica. It also counts by how many the other
// nodes' requests at the replica exceed or fall short of the expected number, apart
// from the part of that difference that noise explains. The expected number is the
// replica's capacity times the mean load from other nodes in its tier.
func (b *Balancer) candidateWhenAllFull(now time.Time, m *member) memberWithScore {
	expectedRequests := m.tier.otherNodeRequestsPerCapacity() * m.capacity
	noiseRequests := noiseStandardDeviations * math.Sqrt(expectedRequests)
	excessRequests := b.estimatedOtherNodeRequests(now, m) - expectedRequests
	significantExcess := max(excessRequests-noiseRequests, min(excessRequests+noiseRequests, 0))
	scoreWhenAllFull := (float64(m.inflightRequests) + significantExcess) / b.effectiveCapacity(now, m) * m.health.Slowness()
	return memberWithScore{member: m, inBackoff: now.Before(m.backoffUntil), scoreWhenAllFull: scoreWhenAllFull}
}
