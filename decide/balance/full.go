package balance

import (
	"math"
	"time"
)

// noiseStandardDeviations is the number of standard deviations up to which a
// difference counts as noise. The difference is between the estimated and the
// expected number of other nodes' requests at a replica. The number of requests is
// assumed to be Poisson distributed.
const noiseStandardDeviations = 2

// maxScanWhenAllFull is how many replicas of each tier pickWhenAllFull examines,
// in round-robin order. It examines more replicas only while every replica examined
// so far is excluded or in backoff. Examining one replica takes about 25 ns, and a node
// may use more than a hundred replicas.
const maxScanWhenAllFull = 16

// meanUtilization returns the mean utilization of the subset, as doc.go defines
// it.
func (b *Balancer) meanUtilization() float64 {
	nearCapacity, spillCapacity := b.nearTier.capacity(), b.spillTier.capacity()
	if nearCapacity+spillCapacity == 0 {
		return 0
	}
	return (b.nearTier.meanUtilization()*nearCapacity + b.spillTier.meanUtilization()*spillCapacity) / (nearCapacity + spillCapacity)
}

// acceptsPrefixWhenAllFull decides for acceptsPrefix while the mean utilization of
// the subset is 1 or more. The replica's scoreWhenAllFull must not exceed the
// number of this node's in-flight requests per unit of capacity, over the usable
// replicas of both tiers.
//
// The normal limit is AffinityLoadFactor times the mean utilization. With this
// limit, a prompt that all callers share keeps a queue at the owner of its prefix
// while slots of other replicas are idle. Three nodes with common replicas then
// served 0.69 of the capacity when the offered load was twice the capacity. A
// cached prompt saves less time than such a queue costs. With the limit used here,
// an owner still gets as many requests as other replicas.
func (b *Balancer) acceptsPrefixWhenAllFull(now time.Time, m *member) bool {
	ownRequestsPerCapacity := (b.nearTier.inflightRequests + b.spillTier.inflightRequests) / (b.nearTier.capacity() + b.spillTier.capacity())
	return b.candidateWhenAllFull(now, m).scoreWhenAllFull <= ownRequestsPerCapacity
}

// pickWhenAllFull picks the replica with the lowest scoreWhenAllFull. This score
// is mainly the number of this node's requests at the replica relative to the
// replica's capacity; see candidateWhenAllFull. A replica in backoff is picked only
// if all other replicas are excluded or in backoff.
//
// While all replicas are full, Headroom usually lets a node send another request only
// when one of the node's own requests ends. The node knows at once which replica then
// has a free slot. With round robin the next request goes to another replica: some
// replicas have idle slots while others have a queue, and load reports show this
// imbalance too late to correct it. If each node spreads its own requests evenly, the
// requests of all nodes together are spread evenly too.
func (b *Balancer) pickWhenAllFull(now time.Time, q Query) (Choice, bool) {
	var best, runnerUp memberWithScore
	for _, t := range [...]*tier{&b.nearTier, &b.spillTier} {
		if len(t.usableMembers) == 0 {
			continue
		}
		startIndex := t.nextRoundRobinIndex() // replicas of equal score are picked in round-robin order
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
	c := b.newChoice(now, best.member, ReasonFewestOwnRequests)
	if best.member.tier == &b.spillTier {
		c.Reason = ReasonSpill
	}
	c.Alternatives[0] = b.newCandidate(now, runnerUp.member)
	return c, true
}

// memberWithScore is a replica with the score by which replicas are compared while
// all of them are full. A lower score is better.
type memberWithScore struct {
	member           *member
	inBackoff        bool    // the replica was full and refused a request less than Config.Backoff ago
	scoreWhenAllFull float64 // this node's requests and the excess of other nodes' requests, per unit of effective capacity, multiplied by the slowness; see candidateWhenAllFull
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

// candidateWhenAllFull returns a replica with its scoreWhenAllFull. This score
// counts two numbers of requests at the replica. The first is the number of this
// node's in-flight requests. The second is by how many the other nodes' requests
// exceed the expected number (negative if there are fewer). Only the part of this
// difference that noise does not explain counts. The expected number is the
// replica's capacity times the other nodes' requests per unit of capacity in its
// tier.
func (b *Balancer) candidateWhenAllFull(now time.Time, m *member) memberWithScore {
	expectedRequests := m.tier.otherNodeRequestsPerCapacity() * m.capacity
	noiseRequests := noiseStandardDeviations * math.Sqrt(expectedRequests)
	excessRequests := b.estimatedOtherNodeRequests(now, m) - expectedRequests
	significantExcess := max(excessRequests-noiseRequests, min(excessRequests+noiseRequests, 0))
	scoreWhenAllFull := (float64(m.inflightRequests) + significantExcess) / b.effectiveCapacity(now, m) * m.health.Slowness()
	return memberWithScore{member: m, inBackoff: now.Before(m.backoffUntil), scoreWhenAllFull: scoreWhenAllFull}
}
