package balance

import (
	"math"
	"time"
)

// noiseSpread is how many standard deviations of a Poisson spread the load by
// other nodes may be off the mean and still pass for noise.
const noiseSpread = 2

// fullLooks is how many replicas of the near and of the other failure domains are
// looked at, from the one in turn on, unless all of these may not be used. A look
// takes some 25 ns, and a node may use more than a hundred replicas.
const fullLooks = 16

// meanLoad is the load per unit of capacity over all failure domains that the node
// uses.
func (b *Balancer) meanLoad() float64 {
	near, spill := b.near.capacity(), b.spill.capacity()
	if near+spill == 0 {
		return 0
	}
	return (b.near.meanLoad()*near + b.spill.meanLoad()*spill) / (near + spill)
}

// takesWhenFull reports whether a replica may take a request for its prefix while
// there are more requests than slots: it has no more of the node's own than the mean.
//
// With a prompt that all callers share, up to AffinityBound over the mean load its
// homes keep a queue while the slots of others stand idle: three nodes with common
// replicas served 0.69 of the bound at twice the bound. A cached prompt saves less
// than that wait costs, and a home still gets its part of the requests.
func (b *Balancer) takesWhenFull(now time.Time, m *member) bool {
	mean := (b.near.inflight + b.spill.inflight) / (b.near.capacity() + b.spill.capacity())
	return b.whenFull(now, m).load <= mean
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
	var best, second fullCandidate
	for _, t := range [...]*tier{&b.near, &b.spill} {
		if len(t.usable) == 0 {
			continue
		}
		start := t.nextIndex() // equals come in turn
		for i := range t.usable {
			if i >= fullLooks && best.member != nil && !best.busy {
				break
			}
			m := t.usable[(start+i)%len(t.usable)]
			if excluded(q, m) {
				continue
			}
			next := b.whenFull(now, m)
			if next.before(best) {
				next, best = best, next
			}
			if next.before(second) {
				second = next
			}
		}
	}
	if best.member == nil {
		return Choice{}, false
	}
	c := b.choice(now, best.member, ReasonFewestOwn)
	if best.member.tier == &b.spill {
		c.Reason = ReasonSpill
	}
	c.Alternatives[0] = b.candidate(now, second.member)
	return c, true
}

// fullCandidate is a replica with its rank while all are full.
type fullCandidate struct {
	member *member
	busy   bool    // has just refused for want of room
	load   float64 // per unit of its room
}

func (c fullCandidate) before(other fullCandidate) bool {
	if c.member == nil || other.member == nil {
		return c.member != nil
	}
	if c.busy != other.busy {
		return other.busy
	}
	return c.load < other.load
}

// whenFull ranks a replica by the node's own requests there, and by what other
// nodes have there beyond noise.
func (b *Balancer) whenFull(now time.Time, m *member) fullCandidate {
	usual := m.tier.meanOthers() * m.capacity
	noise := noiseSpread * math.Sqrt(usual)
	excess := b.others(now, m) - usual
	beyond := max(excess-noise, min(excess+noise, 0))
	load := (float64(m.inflight) + beyond) / b.room(now, m) * m.health.Slowness()
	return fullCandidate{member: m, busy: now.Before(m.busy), load: load}
}
