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
	b.judge(now)
	if m := b.toProbe(q); m != nil {
		return b.choice(now, m, ReasonProbe), true
	}
	if c, ok := b.pickByHeld(now, q); ok {
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
	return b.lastResort(now, q)
}

func (b *Balancer) choice(now time.Time, m *member, reason Reason) Choice {
	return Choice{Replica: m.ID, Reason: reason, Score: b.score(now, m)}
}

func (b *Balancer) toProbe(q Query) *member {
	if q.NoProbe {
		return nil
	}
	for _, m := range b.probing {
		if m.health.NeedsProbe() && !excluded(q, m) {
			return m
		}
	}
	return nil
}

func excluded(q Query, m *member) bool {
	return len(q.Exclude) > 0 && slices.Contains(q.Exclude, m.ID)
}

// others is the load by other nodes. An old report fades into the mean: what it
// says of the difference between replicas no longer holds, and if all nodes
// acted on it they would herd to the one that was emptiest.
func (b *Balancer) others(now time.Time, m *member) float64 {
	trust := m.trust(now, b.meanTime)
	return trust*m.load.others + (1-trust)*m.tier.meanOthers()*m.capacity
}

// work is the replica's load in requests. While it has free slots they are
// counted, as a request that has a slot does not wait for another; once it is
// full, what waits is counted by cost.
func (b *Balancer) work(now time.Time, m *member) float64 {
	others := b.others(now, m)
	count := float64(m.inflight) + others
	if count < float64(m.Slots) {
		return count
	}
	return max(count, m.priced(b.meanCost)+others)
}

// room is the capacity that the replica may use now.
func (b *Balancer) room(now time.Time, m *member) float64 {
	return m.capacity * b.ramp(now, m)
}

// score estimates how long one more request would take at the replica, relative
// to the others.
func (b *Balancer) score(now time.Time, m *member) float64 {
	return (b.work(now, m) + 1) / b.room(now, m) * m.health.Slowness()
}

func (b *Balancer) utilization(now time.Time, m *member) float64 {
	return b.work(now, m) / b.room(now, m)
}

// pickByHeld takes, of the replicas that are thought to hold the most of the
// prompt, its home or else the least loaded one, if they may take it for its
// prefix. If all of them are beyond that bound, those that hold less are looked at.
func (b *Balancer) pickByHeld(now time.Time, q Query) (Choice, bool) {
	t := b.prefixTier()
	var best, passed held
	for _, h := range q.Holders {
		if best.member != nil && h.Blocks < best.blocks {
			break
		}
		m := b.members[h.Replica]
		if m == nil || m.tier != t {
			continue
		}
		next := held{m, h.Blocks, b.order(now, t, m, q.Prefix)}
		switch {
		case !b.takesPrefix(now, q, t, m) || best.member != nil && next.order < best.order:
			passed = next
		default:
			passed, best = cmp.Or(best, passed), next
		}
	}
	if best.member == nil {
		return Choice{}, false
	}
	c := b.choice(now, best.member, ReasonHeld)
	c.Held = best.blocks
	c.Alternatives[0] = b.candidate(now, passed.member)
	c.Alternatives[0].Held = passed.blocks
	return c, true
}

// held is a replica that is thought to hold blocks of a prompt, and its rank: the
// highest comes first.
type held struct {
	member *member
	blocks int
	order  float64
}

// order ranks a member that holds a prefix: its home comes first, so that the
// copies elsewhere fall out of use, and then the least loaded one.
func (b *Balancer) order(now time.Time, t *tier, m *member, prefix uint64) float64 {
	if t.home(prefix) == m {
		return math.Inf(1)
	}
	return -b.score(now, m)
}

// home is where the walk for a prefix begins.
func (t *tier) home(prefix uint64) *member {
	return t.ring[t.find(rendezvous.Score(prefix, 0))%len(t.ring)].member
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
	var walked [maxWalk]*member
	reached := 0
	start := t.find(rendezvous.Score(q.Prefix, 0))
	for i := 0; i < len(t.ring) && i < maxWalk*ringPoints; i++ {
		m := t.ring[(start+i)%len(t.ring)].member
		if slices.Contains(walked[:reached], m) {
			continue
		}
		if b.takesPrefix(now, q, t, m) {
			return b.prefixChoice(now, m, walked[:reached]), true
		}
		walked[reached] = m
		reached++
		if reached == maxWalk {
			break
		}
	}
	return Choice{}, false
}

func (b *Balancer) prefixChoice(now time.Time, m *member, passed []*member) Choice {
	c := b.choice(now, m, ReasonPrefix)
	for i, p := range passed {
		c.Reason = ReasonPrefixMoved
		c.Alternatives[i] = b.candidate(now, p)
	}
	return c
}

// find returns the index of the first point at or after the hash.
func (t *tier) find(hash uint64) int {
	i, _ := slices.BinarySearchFunc(t.ring, hash, func(p point, h uint64) int {
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

// takesPrefix reports whether a replica may take a request for its prefix: its
// load stays near the mean or below a part of its slots, and it is not full
// while another failure domain has room.
func (b *Balancer) takesPrefix(now time.Time, q Query, t *tier, m *member) bool {
	if !m.usable || excluded(q, m) || now.Before(m.busy) {
		return false
	}
	if b.meanLoad() >= 1 {
		return b.takesWhenFull(now, m)
	}
	bound := max(t.meanLoad()*b.cfg.AffinityBound, b.cfg.AffinityFree)
	if (b.work(now, m)+1)*m.health.Slowness() > math.Ceil(bound*b.room(now, m)) {
		return false
	}
	if t == &b.spill || len(b.spill.usable) == 0 {
		return true
	}
	used := b.utilization(now, m)
	return used < b.cfg.SpillAt || b.spill.meanLoad()+b.cfg.SpillMargin >= used
}

// pickByLoad takes the better of two near replicas drawn at random, or the
// better of two others if the near one is full by measure and they are not.
func (b *Balancer) pickByLoad(now time.Time, q Query) (Choice, bool) {
	if b.meanLoad() >= b.cfg.SpillAt {
		return b.pickWhenFull(now, q)
	}
	near, loser := b.twoChoices(now, q, &b.near)
	if near != nil && b.utilization(now, near) < b.cfg.SpillAt {
		return b.loadChoice(now, near, loser), true
	}
	far, farLoser := b.twoChoices(now, q, &b.spill)
	switch {
	case near == nil && far == nil:
		return Choice{}, false
	case far == nil || near != nil && !b.emptier(now, far, near):
		c := b.loadChoice(now, near, loser)
		c.Alternatives[1] = b.candidate(now, far)
		return c, true
	}
	c := b.loadChoice(now, far, farLoser)
	c.Reason = ReasonSpill
	c.Alternatives[1] = b.candidate(now, near)
	c.Alternatives[2] = b.candidate(now, loser)
	return c, true
}

// emptier reports whether the far replica is enough better to leave the domain.
func (b *Balancer) emptier(now time.Time, far, near *member) bool {
	return b.score(now, far)+b.cfg.SpillMargin < b.score(now, near)
}

func (b *Balancer) loadChoice(now time.Time, m, loser *member) Choice {
	if loser == nil {
		return b.choice(now, m, ReasonOnly)
	}
	c := b.choice(now, m, ReasonTwoChoices)
	c.Alternatives[0] = b.candidate(now, loser)
	return c
}

func (b *Balancer) candidate(now time.Time, m *member) Candidate {
	if m == nil {
		return Candidate{}
	}
	return Candidate{ID: m.ID, Score: b.score(now, m)}
}

// twoChoices returns the better of two and the other, which is nil if there is
// only one; both are nil if there is none. The first comes in turn and the
// second at random, and takes its place only if it is emptier by a request.
func (b *Balancer) twoChoices(now time.Time, q Query, t *tier) (better, worse *member) {
	first := b.drawOne(now, q, t, nil)
	if first == nil {
		return nil, nil
	}
	second := b.drawOne(now, q, t, first)
	if second == nil {
		return first, nil
	}
	if b.score(now, second)+b.doubt(now, second)/b.room(now, second) < b.score(now, first) {
		return second, first
	}
	return first, second
}

// doubt is by how many requests the second choice must be emptier: one, and the
// standard deviation of what is not known of it. The requests of many nodes are
// Poisson spread, and the part of that spread which a report has not caught
// shows as differences that are not there.
func (b *Balancer) doubt(now time.Time, m *member) float64 {
	trust := m.trust(now, b.meanTime)
	return switchMargin + math.Sqrt((1-trust*trust)*m.tier.meanOthers()*m.capacity)
}

// drawOne draws a replica, in turn, or at random one other than the given.
// Replicas that have just refused for want of room are drawn only if there is
// no other.
func (b *Balancer) drawOne(now time.Time, q Query, t *tier, not *member) *member {
	if len(t.usable) == 0 || len(t.usable) == 1 && t.usable[0] == not {
		return nil
	}
	for range maxDraws {
		m := b.drawFrom(t, not == nil)
		if m != not && !excluded(q, m) && !now.Before(m.busy) {
			return m
		}
	}
	return b.search(now, q, t, not)
}

func (b *Balancer) drawFrom(t *tier, inTurn bool) *member {
	if inTurn {
		return t.nextInTurn()
	}
	return t.at(b.random.Float64())
}

// search goes through the usable replicas from a random one on.
func (b *Balancer) search(now time.Time, q Query, t *tier, not *member) *member {
	var busy *member
	start := b.random.IntN(len(t.usable))
	for i := range t.usable {
		m := t.usable[(start+i)%len(t.usable)]
		switch {
		case m == not || excluded(q, m):
		case now.Before(m.busy):
			busy = m
		default:
			return m
		}
	}
	if not != nil {
		return nil // a busy one is no alternative to one that is not
	}
	return busy
}

// lastResort takes the best of the ejected: a replica in doubt is better than a
// refusal for certain. Leaving ones are never taken.
func (b *Balancer) lastResort(now time.Time, q Query) (Choice, bool) {
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
	return b.choice(now, best, ReasonLastResort), true
}
