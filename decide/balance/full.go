package balance

import (
	"math"
	"time"
)

// noiseDeviations is how many standard deviations of a Poisson spread the load by
// other nodes may be off the mean and still pass for noise.
const noiseDeviations = 2

// maxFullScan is how many replicas of the near and of the other failure domains are
// looked at, from the one in turn on, unless all of these may not be used. A look
// takes some 25 ns, and a node may use more than a hundred replicas.
const maxFullScan = 16

// meanLoad is the load per unit of capacity over all failure domains that the node
// uses.
func (b *Balancer) meanLoad() float64 {
	near, spill := b.near.capacity(), b.spill.capacity()
	if near+spill == 0 {
		return 0
	}
	return (b.near.meanLoad()*near + b.spill.meanLoad()*spill) / (near + spill)
}

// acceptsPrefixWhenFull reports whether a replica may take a request for its prefix while
// there are more requests than slots: it has no more of the node's own than the mean.
//
// With a prompt that all callers share, up to AffinityBound over the mean load its
// homes keep a queue while the slots of others stand idle: three nodes with common
// replicas served 0.69 of the bound at twice the bound. A cached prompt saves less
// than that wait costs, and a home still gets its part of the requests.
func (b *Balancer) acceptsPrefixWhenFull(now time.Time, m *member) bool {
	mean := (b.near.inflight + b.spill.inflight) / (b.near.capacity() + b.spill.capacity())
	return b.rankWhenFull(now, m).load <= mean
}

// pickWhenFull takes the replica with the fewest of the node's own requests for
// its room.
//
// When all are full a node sends on what its own ended requests make free. Where
// these ended it knows at once; in turn the next goes elsewhere, and the other
// nodes' load is known too late to even it out: engines had idle slots beside
// others with a queue. If each node keeps its own requests even, so is their sum.
// What other nodes have too much somewhere still counts, beyond noise.
func (b *Balancer) pickWhenFull(now time.Time, q Query) (Choice, bool) {
	var best, runnerUp fullCandidate
	for _, t := range [...]*tier{&b.near, &b.spill} {
		if len(t.usable) == 0 {
			continue
		}
		start := t.nextIndex() // equals come in turn
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

// fullCandidate is a replica with its rank while all are full.
type fullCandidate struct {
	member    *member
	inBackoff bool    // has just refused for want of room
	load      float64 // per unit of its room
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

// rankWhenFull ranks a replica by the node's own requests there, and by what other
// nodes have there beyond noise.
func (b *Balancer) rankWhenFull(now time.Time, m *member) fullCandidate {
	expected := m.tier.meanOtherLoad() * m.capacity
	noise := noiseDeviations * math.Sqrt(expected)
	excess := b.estimatedOtherRequests(now, m) - expected
	significant := max(excess-noise, min(excess+noise, 0))
	load := (float64(m.inflight) + significant) / b.effectiveCapacity(now, m) * m.health.Slowness()
	return fullCandidate{member: m, inBackoff: now.Before(m.backoffUntil), load: load}
}
