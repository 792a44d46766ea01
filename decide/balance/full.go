package balance

import (
	"math"
	"time"
)

// noiseDeviations is the number of standard deviations of a Poisson distribution by
// which the load from other nodes may differ from the mean and still count as
// noise.
const noiseDeviations = 2

// maxFullScan bounds how many replicas of the nearest and of the other failure
// domains are examined, in round-robin order. More are examined only if none of
// these is both allowed and outside backoff. Examining one takes about 25 ns, and a
// node may use more than a hundred replicas.
const maxScanWhenAllFull = 16

// meanLoad returns the load per unit of capacity over all failure domains that the
// node uses.
func (b *Balancer) meanLoad() float64 {
	nearCapacity, spillCapacity := b.nearTier.capacity(), b.spillTier.capacity()
	if nearCapacity+spillCapacity == 0 {
		return 0
	}
	return (b.nearTier.meanLoad()*nearCapacity + b.spillTier.meanLoad()*spillCapacity) / (nearCapacity + spillCapacity)
}

// acceptsPrefixWhenFull reports whether a replica accepts a request for its prefix
// while there are more requests than slots. It does if its rank is no worse than
// the mean of the node's own requests per unit of capacity.
//
// With the normal bound of AffinityLoadFactor over the mean load, a prompt that all
// callers share keeps a queue at its home replicas while slots of other replicas
// are idle: three nodes with common replicas served 0.69 of the capacity when twice
// the capacity was offered. A cached prompt saves less time than such a queue
// costs, and with this bound a home replica still gets its share of the requests.
func (b *Balancer) acceptsPrefixWhenAllFull(now time.Time, m *member) bool {
	meanOwnLoad := (b.nearTier.inflightRequests + b.spillTier.inflightRequests) / (b.nearTier.capacity() + b.spillTier.capacity())
	return b.rankWhenAllFull(now, m).rank <= meanOwnLoad
}

// pickWhenFull picks the replica with the fewest of this node's requests relative
// to its capacity.
//
// When all replicas are full, a node can send a request only when one of its own
// ends, and it knows at once at which replica that was. With round robin the next
// request would go to another replica, and the other nodes' load is known too late
// to correct the imbalance: some engines had idle slots while others had a queue.
// If each node spreads its own requests evenly, their sum is even too. An excess of
// other nodes' requests at a replica still counts if it is larger than noise.
func (b *Balancer) pickWhenAllFull(now time.Time, q Query) (Choice, bool) {
	var best, runnerUp rankedMember
	for _, t := range [...]*tier{&b.nearTier, &b.spillTier} {
		if len(t.usableMembers) == 0 {
			continue
		}
		startIndex := t.nextRoundRobinIndex() // ties are broken in round-robin order
		for i := range t.usableMembers {
			if i >= maxScanWhenAllFull && best.member != nil && !best.inBackoff {
				break
			}
			m := t.usableMembers[(startIndex+i)%len(t.usableMembers)]
			if excluded(q, m) {
				continue
			}
			candidate := b.rankWhenAllFull(now, m)
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

// fullCandidate is a replica with its rank for the time when all replicas are full.
type rankedMember struct {
	member    *member
	inBackoff bool    // recently refused a request because it was full
	rank      float64 // per unit of effective capacity
}

func (c rankedMember) betterThan(other rankedMember) bool {
	if c.member == nil || other.member == nil {
		return c.member != nil
	}
	if c.inBackoff != other.inBackoff {
		return other.inBackoff
	}
	return c.rank < other.rank
}

// rankWhenFull ranks a replica by this node's requests there and by the part of
// other nodes' requests that is larger than noise.
func (b *Balancer) rankWhenAllFull(now time.Time, m *member) rankedMember {
	expectedRequests := m.tier.meanOtherNodeLoad() * m.capacity
	noiseRequests := noiseDeviations * math.Sqrt(expectedRequests)
	excessRequests := b.estimatedOtherNodeRequests(now, m) - expectedRequests
	significantExcess := max(excessRequests-noiseRequests, min(excessRequests+noiseRequests, 0))
	rank := (float64(m.inflightRequests) + significantExcess) / b.effectiveCapacity(now, m) * m.health.Slowness()
	return rankedMember{member: m, inBackoff: now.Before(m.backoffUntil), rank: rank}
}
