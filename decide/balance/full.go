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
const maxFullScan = 16

// meanLoad returns the load per unit of capacity over all failure domains that the
// node uses.
func (b *Balancer) meanLoad() float64 {
	near, spill := b.near.capacity(), b.spill.capacity()
	if near+spill == 0 {
		return 0
	}
	return (b.near.meanLoad()*near + b.spill.meanLoad()*spill) / (near + spill)
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
func (b *Balancer) acceptsPrefixWhenFull(now time.Time, m *member) bool {
	mean := (b.near.inflight + b.spill.inflight) / (b.near.capacity() + b.spill.capacity())
	return b.rankWhenFull(now, m).load <= mean
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
func (b *Balancer) pickWhenFull(now time.Time, q Query) (Choice, bool) {
	var best, runnerUp fullCandidate
	for _, t := range [...]*tier{&b.near, &b.spill} {
		if len(t.usable) == 0 {
			continue
		}
		start := t.nextIndex() // ties are broken in round-robin order
		for i := range t.usable {
			if i >= maxFullScan && best.member != nil && !best.inBackoff {
				break
			}
			m := t.usable[(start+i)%len(t.usable)]
			if excluded(q, m) {
				continue
			}
			next := b.rankWhenFull(now, m)
			if next.betterThan(best) {
				next, best = best, next
			}
			if next.betterThan(runnerUp) {
				runnerUp = next
			}
		}
	}
	if best.member == nil {
		return Choice{}, false
	}
	c := b.newChoice(now, best.member, ReasonFewestOwn)
	if best.member.tier == &b.spill {
		c.Reason = ReasonSpill
	}
	c.Alternatives[0] = b.newCandidate(now, runnerUp.member)
	return c, true
}

// fullCandidate is a replica with its rank for the time when all replicas are full.
type fullCandidate struct {
	member    *member
	inBackoff bool    // recently refused a request because it was full
	load      float64 // per unit of effective capacity
}

func (c fullCandidate) betterThan(other fullCandidate) bool {
	if c.member == nil || other.member == nil {
		return c.member != nil
	}
	if c.inBackoff != other.inBackoff {
		return other.inBackoff
	}
	return c.load < other.load
}

// rankWhenFull ranks a replica by this node's requests there and by the part of
// other nodes' requests that is larger than noise.
func (b *Balancer) rankWhenFull(now time.Time, m *member) fullCandidate {
	expected := m.tier.meanOtherLoad() * m.capacity
	noise := noiseDeviations * math.Sqrt(expected)
	excess := b.estimatedOtherRequests(now, m) - expected
	significant := max(excess-noise, min(excess+noise, 0))
	load := (float64(m.inflight) + significant) / b.effectiveCapacity(now, m) * m.health.Slowness()
	return fullCandidate{member: m, inBackoff: now.Before(m.backoffUntil), load: load}
}
