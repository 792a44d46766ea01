package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// Pick chooses a replica for a request. It returns false if no replica may be used:
// there is none, or all are leaving or excluded. It does not allocate.
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
	for _, m := range b.probingMembers {
		if m.health.WantsProbe() && !excluded(q, m) {
			return m
		}
	}
	return nil
}

func excluded(q Query, m *member) bool {
	return len(q.Exclude) > 0 && slices.Contains(q.Exclude, m.ID)
}

// estimatedOtherRequests estimates the requests of other nodes at the replica. As a
// report ages, the estimate moves to the mean: an old report no longer says how
// replicas differ, and if all nodes acted on it they would all send to the replica
// that was the least loaded then (herding).
func (b *Balancer) estimatedOtherNodeRequests(now time.Time, m *member) float64 {
	reportWeight := m.reportWeight(now, b.meanAnswerSeconds)
	return reportWeight*m.replicaLoad.reportedOtherNodeRequests + (1-reportWeight)*m.tier.meanOtherNodeLoad()*m.capacity
}

// estimatedLoad returns the replica's load in requests. While the replica has free
// slots, requests are only counted, because a request with a slot of its own does
// not wait for the others. Once the replica is full, the node's own requests are
// weighted by cost.
func (b *Balancer) estimatedLoad(now time.Time, m *member) float64 {
	otherNodeRequests := b.estimatedOtherNodeRequests(now, m)
	requestCount := float64(m.inflightRequests) + otherNodeRequests
	if requestCount < float64(m.Slots) {
		return requestCount
	}
	return max(requestCount, m.costWeightedRequests(b.meanCost)+otherNodeRequests)
}

// effectiveCapacity returns the capacity that may be used now, reduced during slow
// start.
func (b *Balancer) effectiveCapacity(now time.Time, m *member) float64 {
	return m.capacity * b.slowStartFraction(now, m)
}

// score estimates how long one more request would take at the replica, relative to
// the other replicas. Lower is better.
func (b *Balancer) score(now time.Time, m *member) float64 {
	return (b.estimatedLoad(now, m) + 1) / b.effectiveCapacity(now, m) * m.health.Slowness()
}

func (b *Balancer) utilization(now time.Time, m *member) float64 {
	return b.estimatedLoad(now, m) / b.effectiveCapacity(now, m)
}

// pickFromHolders picks among the replicas that probably have the longest part of
// the prompt cached: the home of the prefix or else the one with the lowest score,
// provided that it accepts requests for a prefix. If none of them does, replicas
// with shorter cached parts are considered.
func (b *Balancer) pickFromHolders(now time.Time, q Query) (Choice, bool) {
	prefixTier := b.prefixTier()
	var best, runnerUp rankedHolder
	for _, h := range q.Holders {
		if best.member != nil && h.Blocks < best.cachedBlocks {
			break
		}
		m := b.members[h.Replica]
		if m == nil || m.tier != prefixTier {
			continue
		}
		candidate := rankedHolder{m, h.Blocks, b.holderRank(now, prefixTier, m, q.Prefix)}
		switch {
		case !b.acceptsPrefix(now, q, prefixTier, m) || best.member != nil && candidate.rank < best.rank:
			runnerUp = candidate
		default:
			runnerUp, best = cmp.Or(best, runnerUp), candidate
		}
	}
	if best.member == nil {
		return Choice{}, false
	}
	c := b.newChoice(now, best.member, ReasonHeld)
	c.HeldBlocks = best.cachedBlocks
	c.Alternatives[0] = b.newCandidate(now, runnerUp.member)
	c.Alternatives[0].HeldBlocks = runnerUp.cachedBlocks
	return c, true
}

// holder is a replica that probably has blocks of a prompt cached. The highest rank
// is preferred.
type rankedHolder struct {
	member       *member
	cachedBlocks int
	rank         float64
}

// holderRank ranks a replica that has a prefix cached. The home of the prefix ranks
// first, so that copies on other replicas fall out of use; the others rank by
// score.
func (b *Balancer) holderRank(now time.Time, t *tier, m *member, prefix uint64) float64 {
	if t.prefixOwner(prefix) == m {
		return math.Inf(1)
	}
	return -b.score(now, m)
}

// home returns the replica that owns the prefix on the hash ring, where the search
// for a replica begins.
func (t *tier) prefixOwner(prefix uint64) *member {
	return t.prefixRing[t.ringIndex(rendezvous.Score(prefix, 0))%len(t.prefixRing)].member
}

// prefixTier returns the tier on whose ring prefixes are placed: the nearest
// replicas, unless none of them is usable.
func (b *Balancer) prefixTier() *tier {
	if len(b.nearTier.usableMembers) == 0 {
		return &b.spillTier
	}
	return &b.nearTier
}

// pickByPrefix follows the ring from the prefix to the first replica that accepts
// the request (consistent hashing with bounded loads).
func (b *Balancer) pickByPrefix(now time.Time, q Query) (Choice, bool) {
	t := b.prefixTier()
	if len(t.usableMembers) == 0 {
		return Choice{}, false
	}
	var rejected [maxRingReplicas]*member
	rejectedCount := 0
	startIndex := t.ringIndex(rendezvous.Score(q.Prefix, 0))
	for i := 0; i < len(t.prefixRing) && i < maxRingReplicas*ringPointsPerReplica; i++ {
		m := t.prefixRing[(startIndex+i)%len(t.prefixRing)].member
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
	for i, rejectedMember := range rejected {
		c.Reason = ReasonPrefixMoved
		c.Alternatives[i] = b.newCandidate(now, rejectedMember)
	}
	return c
}

// ringIndex returns the index of the first point at or after the hash.
func (t *tier) ringIndex(hash uint64) int {
	i, _ := slices.BinarySearchFunc(t.prefixRing, hash, func(point ringPoint, target uint64) int {
		switch {
		case point.hash < target:
			return -1
		case point.hash > target:
			return 1
		}
		return 0
	})
	return i
}

// acceptsPrefix reports whether a replica accepts a request for its prefix. Its
// load must be near the mean or below AffinityFloor, and it must not be full while
// another failure domain has free slots.
func (b *Balancer) acceptsPrefix(now time.Time, q Query, t *tier, m *member) bool {
	if !m.usable || excluded(q, m) || now.Before(m.backoffUntil) {
		return false
	}
	if b.meanLoad() >= 1 {
		return b.acceptsPrefixWhenAllFull(now, m)
	}
	loadBound := max(t.meanLoad()*b.cfg.AffinityLoadFactor, b.cfg.AffinityFloor)
	if (b.estimatedLoad(now, m)+1)*m.health.Slowness() > math.Ceil(loadBound*b.effectiveCapacity(now, m)) {
		return false
	}
	if t == &b.spillTier || len(b.spillTier.usableMembers) == 0 {
		return true
	}
	utilization := b.utilization(now, m)
	return utilization < b.cfg.SpillThreshold || b.spillTier.meanLoad()+b.cfg.SpillMargin >= utilization
}

// pickByLoad picks the better of two candidates from the nearest failure domain. If
// that one has reached SpillThreshold and the better of two candidates from other
// domains has a score lower by SpillMargin, it picks the latter. Once the mean load
// of the subset reaches SpillThreshold, it calls pickWhenFull instead.
func (b *Balancer) pickByLoad(now time.Time, q Query) (Choice, bool) {
	if b.meanLoad() >= b.cfg.SpillThreshold {
		return b.pickWhenAllFull(now, q)
	}
	nearBetter, nearWorse := b.twoChoices(now, q, &b.nearTier)
	if nearBetter != nil && b.utilization(now, nearBetter) < b.cfg.SpillThreshold {
		return b.loadChoice(now, nearBetter, nearWorse), true
	}
	spillBetter, spillWorse := b.twoChoices(now, q, &b.spillTier)
	switch {
	case nearBetter == nil && spillBetter == nil:
		return Choice{}, false
	case spillBetter == nil || nearBetter != nil && !b.worthSpilling(now, spillBetter, nearBetter):
		c := b.loadChoice(now, nearBetter, nearWorse)
		c.Alternatives[1] = b.newCandidate(now, spillBetter)
		return c, true
	}
	c := b.loadChoice(now, spillBetter, spillWorse)
	c.Reason = ReasonSpill
	c.Alternatives[1] = b.newCandidate(now, nearBetter)
	c.Alternatives[2] = b.newCandidate(now, nearWorse)
	return c, true
}

// worthSpilling reports whether the score of the replica in another domain is lower
// by more than SpillMargin.
func (b *Balancer) worthSpilling(now time.Time, spillMember, nearMember *member) bool {
	return b.score(now, spillMember)+b.cfg.SpillMargin < b.score(now, nearMember)
}

func (b *Balancer) loadChoice(now time.Time, m, alternative *member) Choice {
	if alternative == nil {
		return b.newChoice(now, m, ReasonOnly)
	}
	c := b.newChoice(now, m, ReasonTwoChoices)
	c.Alternatives[0] = b.newCandidate(now, alternative)
	return c
}

func (b *Balancer) newCandidate(now time.Time, m *member) Candidate {
	if m == nil {
		return Candidate{}
	}
	return Candidate{ID: m.ID, Score: b.score(now, m)}
}

// twoChoices draws two replicas and returns the better and the other one. The other
// is nil if there is only one, both are nil if there is none. The first candidate
// is drawn by round robin and the second at random; the second is preferred only if
// it is less loaded by switchThreshold.
func (b *Balancer) twoChoices(now time.Time, q Query, t *tier) (better, worse *member) {
	first := b.selectCandidate(now, q, t, nil)
	if first == nil {
		return nil, nil
	}
	second := b.selectCandidate(now, q, t, first)
	if second == nil {
		return first, nil
	}
	if b.score(now, second)+b.switchThreshold(now, second)/b.effectiveCapacity(now, second) < b.score(now, first) {
		return second, first
	}
	return first, second
}

// switchThreshold returns the number of requests by which the second candidate must
// be less loaded: switchMargin plus the standard deviation of the load from other
// nodes that its report does not show. Requests of many nodes are Poisson
// distributed, and the part of that variance which no recent report has measured
// shows up as differences that do not exist.
func (b *Balancer) switchThreshold(now time.Time, m *member) float64 {
	weight := m.reportWeight(now, b.meanAnswerSeconds)
	return switchMargin + math.Sqrt((1-weight*weight)*m.tier.meanOtherNodeLoad()*m.capacity)
}

// drawCandidate draws the next replica by round robin or, if exclude is set, one at
// random other than exclude. Replicas in backoff are drawn only if there is no
// other.
func (b *Balancer) selectCandidate(now time.Time, q Query, t *tier, exclude *member) *member {
	if len(t.usableMembers) == 0 || len(t.usableMembers) == 1 && t.usableMembers[0] == exclude {
		return nil
	}
	for range maxCandidateTries {
		m := b.nextOrRandomMember(t, exclude == nil)
		if m != exclude && !excluded(q, m) && !now.Before(m.backoffUntil) {
			return m
		}
	}
	return b.scanUsableMembers(now, q, t, exclude)
}

func (b *Balancer) nextOrRandomMember(t *tier, roundRobin bool) *member {
	if roundRobin {
		return t.nextRoundRobin()
	}
	return t.memberAt(b.rng.Float64())
}

// scanUsable scans the usable replicas, starting at a random one.
func (b *Balancer) scanUsableMembers(now time.Time, q Query, t *tier, exclude *member) *member {
	var memberInBackoff *member
	startIndex := b.rng.IntN(len(t.usableMembers))
	for i := range t.usableMembers {
		m := t.usableMembers[(startIndex+i)%len(t.usableMembers)]
		switch {
		case m == exclude || excluded(q, m):
		case now.Before(m.backoffUntil):
			memberInBackoff = m
		default:
			return m
		}
	}
	if exclude != nil {
		return nil // a replica in backoff is no alternative to a candidate outside backoff
	}
	return memberInBackoff
}

// pickLastResort picks the ejected replica with the best score: trying a doubtful
// replica is better than refusing the request. Leaving replicas are never picked.
func (b *Balancer) pickLastResort(now time.Time, q Query) (Choice, bool) {
	var bestMember *member
	for _, t := range [...]*tier{&b.nearTier, &b.spillTier} {
		for _, m := range t.members {
			if m.leaving || excluded(q, m) {
				continue
			}
			if bestMember == nil || b.score(now, m) < b.score(now, bestMember) {
				bestMember = m
			}
		}
	}
	if bestMember == nil {
		return Choice{}, false
	}
	return b.newChoice(now, bestMember, ReasonLastResort), true
}
