package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// Pick chooses a replica for a request. It returns false if none may be used:
// there is none, or all are leaving or excluded. It allocates nothing.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, bool) {
	b.evaluateHealth(now)
	if m := b.probeTarget(q); m != nil {
		return b.newChoice(now, m, ReasonProbe), true
	}
	if c, ok := b.pickFromHolders(now, q); ok {
		return c, true
	}
	if q.Prefix != 0 {
		if c, ok := b.pickByPrefix(now, q); ok {
			return c, true
		}
	}
	if c, ok := b.pickByLoad(now, q); ok {
		return c, true
	}
	return b.pickLastResort(now, q)
}

func (b *Balancer) newChoice(now time.Time, m *member, reason Reason) Choice {
	return Choice{Replica: m.ID, Reason: reason, Score: b.score(now, m)}
}

func (b *Balancer) probeTarget(q Query) *member {
	if q.NoProbe {
		return nil
	}
	for _, m := range b.probing {
		if m.health.WantsProbe() && !excluded(q, m) {
			return m
		}
	}
	return nil
}

func excluded(q Query, m *member) bool {
	return len(q.Exclude) > 0 && slices.Contains(q.Exclude, m.ID)
}

// estimatedOtherRequests is the load by other nodes. An old report fades into the mean: what it
// says of the difference between replicas no longer holds, and if all nodes
// acted on it they would herd to the one that was emptiest.
func (b *Balancer) estimatedOtherRequests(now time.Time, m *member) float64 {
	weight := m.reportWeight(now, b.meanTime)
	return weight*m.load.otherRequests + (1-weight)*m.tier.meanOtherLoad()*m.capacity
}

// estimatedLoad is the replica's load in requests. While it has free slots they are
// counted, as a request that has a slot does not wait for another; once it is
// full, what waits is counted by cost.
func (b *Balancer) estimatedLoad(now time.Time, m *member) float64 {
	other := b.estimatedOtherRequests(now, m)
	count := float64(m.inflight) + other
	if count < float64(m.Slots) {
		return count
	}
	return max(count, m.costWeighted(b.meanCost)+other)
}

// effectiveCapacity is the capacity that the replica may use now.
func (b *Balancer) effectiveCapacity(now time.Time, m *member) float64 {
	return m.capacity * b.ramp(now, m)
}

// score estimates how long one more request would take at the replica, relative
// to the others.
func (b *Balancer) score(now time.Time, m *member) float64 {
	return (b.estimatedLoad(now, m) + 1) / b.effectiveCapacity(now, m) * m.health.Slowness()
}

func (b *Balancer) utilization(now time.Time, m *member) float64 {
	return b.estimatedLoad(now, m) / b.effectiveCapacity(now, m)
}

// pickFromHolders takes, of the replicas that are thought to hold the most of the
// prompt, its home or else the least loaded one, if they may take it for its
// prefix. If all of them are beyond that bound, those that hold less are looked at.
func (b *Balancer) pickFromHolders(now time.Time, q Query) (Choice, bool) {
	t := b.prefixTier()
	var best, runnerUp holder
	for _, h := range q.Holders {
		if best.member != nil && h.Blocks < best.blocks {
			break
		}
		m := b.members[h.Replica]
		if m == nil || m.tier != t {
			continue
		}
		next := holder{m, h.Blocks, b.holderRank(now, t, m, q.Prefix)}
		switch {
		case !b.acceptsPrefix(now, q, t, m) || best.member != nil && next.rank < best.rank:
			runnerUp = next
		default:
			runnerUp, best = cmp.Or(best, runnerUp), next
		}
	}
	if best.member == nil {
		return Choice{}, false
	}
	c := b.newChoice(now, best.member, ReasonHeld)
	c.HeldBlocks = best.blocks
	c.Alternatives[0] = b.newCandidate(now, runnerUp.member)
	c.Alternatives[0].HeldBlocks = runnerUp.blocks
	return c, true
}

// holder is a replica that is thought to hold blocks of a prompt, and its rank: the
// highest comes first.
type holder struct {
	member *member
	blocks int
	rank   float64
}

// holderRank ranks a member that holds a prefix: its home comes first, so that the
// copies elsewhere fall out of use, and then the least loaded one.
func (b *Balancer) holderRank(now time.Time, t *tier, m *member, prefix uint64) float64 {
	if t.home(prefix) == m {
		return math.Inf(1)
	}
	return -b.score(now, m)
}

// home is where the walk for a prefix begins.
func (t *tier) home(prefix uint64) *member {
	return t.ring[t.ringIndex(rendezvous.Score(prefix, 0))%len(t.ring)].member
}

// prefixTier is where prefixes have their homes: the nearest replicas, unless
// none of them may be used.
func (b *Balancer) prefixTier() *tier {
	if len(b.near.usable) == 0 {
		return &b.spill
	}
	return &b.near
}

// pickByPrefix walks the ring from the prefix to the first replica that may
// take it (consistent hashing with bounded loads).
func (b *Balancer) pickByPrefix(now time.Time, q Query) (Choice, bool) {
	t := b.prefixTier()
	if len(t.usable) == 0 {
		return Choice{}, false
	}
	var rejected [maxRingReplicas]*member
	rejectedCount := 0
	start := t.ringIndex(rendezvous.Score(q.Prefix, 0))
	for i := 0; i < len(t.ring) && i < maxRingReplicas*ringPointsPerReplica; i++ {
		m := t.ring[(start+i)%len(t.ring)].member
		if slices.Contains(rejected[:rejectedCount], m) {
			continue
		}
		if b.acceptsPrefix(now, q, t, m) {
			return b.prefixChoice(now, m, rejected[:rejectedCount]), true
		}
		rejected[rejectedCount] = m
		rejectedCount++
		if rejectedCount == maxRingReplicas {
			break
		}
	}
	return Choice{}, false
}

func (b *Balancer) prefixChoice(now time.Time, m *member, rejected []*member) Choice {
	c := b.newChoice(now, m, ReasonPrefix)
	for i, p := range rejected {
		c.Reason = ReasonPrefixMoved
		c.Alternatives[i] = b.newCandidate(now, p)
	}
	return c
}

// ringIndex returns the index of the first point at or after the hash.
func (t *tier) ringIndex(hash uint64) int {
	i, _ := slices.BinarySearchFunc(t.ring, hash, func(p ringPoint, h uint64) int {
		switch {
		case p.hash < h:
			return -1
		case p.hash > h:
			return 1
		}
		return 0
	})
	return i
}

// acceptsPrefix reports whether a replica may take a request for its prefix: its
// load stays near the mean or below a part of its slots, and it is not full
// while another failure domain has room.
func (b *Balancer) acceptsPrefix(now time.Time, q Query, t *tier, m *member) bool {
	if !m.usable || excluded(q, m) || now.Before(m.backoffUntil) {
		return false
	}
	if b.meanLoad() >= 1 {
		return b.acceptsPrefixWhenFull(now, m)
	}
	bound := max(t.meanLoad()*b.cfg.AffinityLoadFactor, b.cfg.AffinityFloor)
	if (b.estimatedLoad(now, m)+1)*m.health.Slowness() > math.Ceil(bound*b.effectiveCapacity(now, m)) {
		return false
	}
	if t == &b.spill || len(b.spill.usable) == 0 {
		return true
	}
	utilization := b.utilization(now, m)
	return utilization < b.cfg.SpillThreshold || b.spill.meanLoad()+b.cfg.SpillMargin >= utilization
}

// pickByLoad takes the better of two near replicas drawn at random, or the
// better of two others if the near one is full by measure and they are not.
func (b *Balancer) pickByLoad(now time.Time, q Query) (Choice, bool) {
	if b.meanLoad() >= b.cfg.SpillThreshold {
		return b.pickWhenFull(now, q)
	}
	near, nearOther := b.twoChoices(now, q, &b.near)
	if near != nil && b.utilization(now, near) < b.cfg.SpillThreshold {
		return b.loadChoice(now, near, nearOther), true
	}
	spill, spillOther := b.twoChoices(now, q, &b.spill)
	switch {
	case near == nil && spill == nil:
		return Choice{}, false
	case spill == nil || near != nil && !b.worthSpilling(now, spill, near):
		c := b.loadChoice(now, near, nearOther)
		c.Alternatives[1] = b.newCandidate(now, spill)
		return c, true
	}
	c := b.loadChoice(now, spill, spillOther)
	c.Reason = ReasonSpill
	c.Alternatives[1] = b.newCandidate(now, near)
	c.Alternatives[2] = b.newCandidate(now, nearOther)
	return c, true
}

// worthSpilling reports whether the far replica is enough better to leave the domain.
func (b *Balancer) worthSpilling(now time.Time, spill, near *member) bool {
	return b.score(now, spill)+b.cfg.SpillMargin < b.score(now, near)
}

func (b *Balancer) loadChoice(now time.Time, m, other *member) Choice {
	if other == nil {
		return b.newChoice(now, m, ReasonOnly)
	}
	c := b.newChoice(now, m, ReasonTwoChoices)
	c.Alternatives[0] = b.newCandidate(now, other)
	return c
}

func (b *Balancer) newCandidate(now time.Time, m *member) Candidate {
	if m == nil {
		return Candidate{}
	}
	return Candidate{ID: m.ID, Score: b.score(now, m)}
}

// twoChoices returns the better of two and the other, which is nil if there is
// only one; both are nil if there is none. The first comes in turn and the
// second at random, and takes its place only if it is emptier by a request.
func (b *Balancer) twoChoices(now time.Time, q Query, t *tier) (better, worse *member) {
	first := b.drawCandidate(now, q, t, nil)
	if first == nil {
		return nil, nil
	}
	second := b.drawCandidate(now, q, t, first)
	if second == nil {
		return first, nil
	}
	if b.score(now, second)+b.switchThreshold(now, second)/b.effectiveCapacity(now, second) < b.score(now, first) {
		return second, first
	}
	return first, second
}

// switchThreshold is by how many requests the second choice must be emptier: one, and the
// standard deviation of what is not known of it. The requests of many nodes are
// Poisson spread, and the part of that spread which a report has not caught
// shows as differences that are not there.
func (b *Balancer) switchThreshold(now time.Time, m *member) float64 {
	weight := m.reportWeight(now, b.meanTime)
	return switchMargin + math.Sqrt((1-weight*weight)*m.tier.meanOtherLoad()*m.capacity)
}

// drawCandidate draws a replica, in turn, or at random one other than the given.
// Replicas that have just refused for want of room are drawn only if there is
// no other.
func (b *Balancer) drawCandidate(now time.Time, q Query, t *tier, exclude *member) *member {
	if len(t.usable) == 0 || len(t.usable) == 1 && t.usable[0] == exclude {
		return nil
	}
	for range maxDraws {
		m := b.draw(t, exclude == nil)
		if m != exclude && !excluded(q, m) && !now.Before(m.backoffUntil) {
			return m
		}
	}
	return b.scanUsable(now, q, t, exclude)
}

func (b *Balancer) draw(t *tier, roundRobin bool) *member {
	if roundRobin {
		return t.nextRoundRobin()
	}
	return t.memberAt(b.rng.Float64())
}

// scanUsable goes through the usable replicas from a random one on.
func (b *Balancer) scanUsable(now time.Time, q Query, t *tier, exclude *member) *member {
	var inBackoff *member
	start := b.rng.IntN(len(t.usable))
	for i := range t.usable {
		m := t.usable[(start+i)%len(t.usable)]
		switch {
		case m == exclude || excluded(q, m):
		case now.Before(m.backoffUntil):
			inBackoff = m
		default:
			return m
		}
	}
	if exclude != nil {
		return nil // a busy one is no alternative to one that is not
	}
	return inBackoff
}

// pickLastResort takes the best of the ejected: a replica in doubt is better than a
// refusal for certain. Leaving ones are never taken.
func (b *Balancer) pickLastResort(now time.Time, q Query) (Choice, bool) {
	var best *member
	for _, t := range [...]*tier{&b.near, &b.spill} {
		for _, m := range t.members {
			if m.leaving || excluded(q, m) {
				continue
			}
			if best == nil || b.score(now, m) < b.score(now, best) {
				best = m
			}
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return b.newChoice(now, best, ReasonLastResort), true
}
