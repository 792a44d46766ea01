package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// Pick chooses a replica for a request. Pick returns false if the subset is empty or
// if each replica of the subset is leaving or excluded. Pick does not allocate.
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
	return Choice{ReplicaID: m.ID, Reason: reason, Score: b.score(now, m)}
}

// probeTarget returns a replica that needs a probe. It returns nil if no replica
// needs a probe or if the request must not be a probe.
func (b *Balancer) probeTarget(q Query) *member {
	if q.NoProbe {
		return nil
	}
	for _, m := range b.probingMembers {
		if m.health.NeedsProbe() && !excluded(q, m) {
			return m
		}
	}
	return nil
}

func excluded(q Query, m *member) bool {
	return len(q.Exclude) > 0 && slices.Contains(q.Exclude, m.ID)
}

// estimatedOtherNodeRequests estimates the number of other nodes' requests at the
// replica. The estimate is a weighted mean of two numbers. The first is the number
// at the time of the replica's last report. The second is the number that the
// replica would have if the other nodes' requests in the tier were spread in
// proportion to capacity. The older the report, the less the first number counts,
// because an old report no longer says how replicas differ. If all nodes acted on
// old reports, they would all send to the replica that had the least load when the
// reports were made (herding).
func (b *Balancer) estimatedOtherNodeRequests(now time.Time, m *member) float64 {
	reportWeight := m.reportWeight(now, b.meanAnswerSeconds)
	return reportWeight*m.replicaLoad.reportedOtherNodeRequests + (1-reportWeight)*m.tier.otherNodeRequestsPerCapacity()*m.capacity
}

// estimatedLoad returns the replica's load in requests. While the replica has free
// slots, each request counts as 1, because a request with a slot of its own does
// not wait for other requests. Once the replica is full, each of the node's
// own requests counts as its cost divided by the mean cost, provided that the sum is
// larger than the number of these requests.
func (b *Balancer) estimatedLoad(now time.Time, m *member) float64 {
	otherNodeRequests := b.estimatedOtherNodeRequests(now, m)
	requestCount := float64(m.inflightRequests) + otherNodeRequests
	if requestCount < float64(m.Slots) {
		return requestCount
	}
	return max(requestCount, m.costWeightedRequests(b.meanCost)+otherNodeRequests)
}

// effectiveCapacity returns the part of the replica's capacity that slow start
// allows now.
func (b *Balancer) effectiveCapacity(now time.Time, m *member) float64 {
	return m.capacity * b.slowStartFraction(now, m)
}

// score returns the replica's score, as doc.go defines it. The score estimates how
// long one more request would take at the replica, relative to other replicas.
func (b *Balancer) score(now time.Time, m *member) float64 {
	return (b.estimatedLoad(now, m) + 1) / b.effectiveCapacity(now, m) * m.health.Slowness()
}

func (b *Balancer) utilization(now time.Time, m *member) float64 {
	return b.estimatedLoad(now, m) / b.effectiveCapacity(now, m)
}

// pickFromHolders picks a replica that probably has the beginning of the prompt
// cached and that acceptsPrefix accepts. It prefers the replica with the longest
// cached part. Among replicas with equally long parts, it prefers the owner of the
// prefix and then the replica with the lowest score.
func (b *Balancer) pickFromHolders(now time.Time, q Query) (Choice, bool) {
	prefixTier := b.prefixTier()
	var best, runnerUp scoredHolder
	for _, h := range q.Holders {
		if best.member != nil && h.Blocks < best.cachedBlocks {
			break
		}
		m := b.members[h.Replica]
		if m == nil || m.tier != prefixTier {
			continue
		}
		candidate := scoredHolder{m, h.Blocks, b.negatedHolderScore(now, prefixTier, m, q.Prefix)}
		switch {
		case !b.acceptsPrefix(now, q, prefixTier, m) || best.member != nil && candidate.negatedScore < best.negatedScore:
			runnerUp = candidate
		default:
			runnerUp, best = cmp.Or(best, runnerUp), candidate
		}
	}
	if best.member == nil {
		return Choice{}, false
	}
	c := b.newChoice(now, best.member, ReasonPrefixCached)
	c.CachedBlocks = best.cachedBlocks
	c.Alternatives[0] = b.newCandidate(now, runnerUp.member)
	c.Alternatives[0].CachedBlocks = runnerUp.cachedBlocks
	return c, true
}

// scoredHolder is a replica that probably has blocks of a prompt cached. A higher
// negatedScore is better.
type scoredHolder struct {
	member       *member
	cachedBlocks int
	negatedScore float64
}

// negatedHolderScore returns the negated score of a replica that has a prefix
// cached; higher results are better. For the owner of the prefix it returns
// infinity, so that requests stop using the copies of the prefix on other replicas.
func (b *Balancer) negatedHolderScore(now time.Time, t *tier, m *member, prefix uint64) float64 {
	if t.prefixOwner(prefix) == m {
		return math.Inf(1)
	}
	return -b.score(now, m)
}

// prefixOwner returns the replica to which the hash ring maps the prefix.
func (t *tier) prefixOwner(prefix uint64) *member {
	return t.prefixRing[t.ringIndex(rendezvous.Score(prefix, 0))%len(t.prefixRing)].member
}

// prefixTier returns the tier on whose hash ring prefixes are placed. This is the
// near tier or, if no replica of the near tier is usable, the spill tier.
func (b *Balancer) prefixTier() *tier {
	if len(b.nearTier.usableMembers) == 0 {
		return &b.spillTier
	}
	return &b.nearTier
}

// pickByPrefix searches the hash ring, beginning at the owner of the prefix. It
// picks the first replica that acceptsPrefix accepts (consistent hashing with
// bounded loads).
func (b *Balancer) pickByPrefix(now time.Time, q Query) (Choice, bool) {
	t := b.prefixTier()
	if len(t.usableMembers) == 0 {
		return Choice{}, false
	}
	var skippedMembers [maxRingReplicas]*member
	skippedCount := 0
	startIndex := t.ringIndex(rendezvous.Score(q.Prefix, 0))
	for i := 0; i < len(t.prefixRing) && i < maxRingReplicas*ringPointsPerReplica; i++ {
		m := t.prefixRing[(startIndex+i)%len(t.prefixRing)].member
		if slices.Contains(skippedMembers[:skippedCount], m) {
			continue
		}
		if b.acceptsPrefix(now, q, t, m) {
			return b.prefixChoice(now, m, skippedMembers[:skippedCount]), true
		}
		skippedMembers[skippedCount] = m
		skippedCount++
		if skippedCount == maxRingReplicas {
			break
		}
	}
	return Choice{}, false
}

func (b *Balancer) prefixChoice(now time.Time, m *member, skippedMembers []*member) Choice {
	c := b.newChoice(now, m, ReasonPrefix)
	for i, skippedMember := range skippedMembers {
		c.Reason = ReasonPrefixMoved
		c.Alternatives[i] = b.newCandidate(now, skippedMember)
	}
	return c
}

// ringIndex returns the index of the first ring point whose hash is not less than
// the given hash.
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

// acceptsPrefix reports whether a replica may be picked by the prefix of a request. A
// replica that is excluded by the query, in backoff or not usable may not be picked.
// If the mean utilization of the subset is 1 or more, acceptsPrefixWhenAllFull
// decides. Otherwise two conditions must hold:
//   - The replica's load with one more request, multiplied by its slowness, is at
//     most the load limit. The load limit is the utilization limit times the
//     replica's effective capacity, rounded up to a whole number of requests. The
//     utilization limit is AffinityLoadFactor times the mean utilization of the
//     tier, but at least AffinityFloor.
//   - The replica's utilization exceeds the mean utilization of the spill tier by at
//     most SpillMargin. This condition applies only if the replica is in the near
//     tier, its utilization has reached SpillThreshold and the spill tier has usable
//     replicas.
func (b *Balancer) acceptsPrefix(now time.Time, q Query, t *tier, m *member) bool {
	if !m.usable || excluded(q, m) || now.Before(m.backoffUntil) {
		return false
	}
	if b.meanUtilization() >= 1 {
		return b.acceptsPrefixWhenAllFull(now, m)
	}
	utilizationLimit := max(t.meanUtilization()*b.cfg.AffinityLoadFactor, b.cfg.AffinityFloor)
	if (b.estimatedLoad(now, m)+1)*m.health.Slowness() > math.Ceil(utilizationLimit*b.effectiveCapacity(now, m)) {
		return false
	}
	if t == &b.spillTier || len(b.spillTier.usableMembers) == 0 {
		return true
	}
	utilization := b.utilization(now, m)
	return utilization < b.cfg.SpillThreshold || b.spillTier.meanUtilization()+b.cfg.SpillMargin >= utilization
}

// If the mean utilization of the subset has reached SpillThreshold, pickByLoad
// calls pickWhenAllFull. Otherwise pickByLoad selects two candidates from the near
// tier. It picks the better candidate if the utilization of that candidate is below
// SpillThreshold. If not, pickByLoad selects two candidates from the spill tier as
// well. It picks the better candidate of the spill tier if worthSpilling is true or
// the near tier has no candidate, and otherwise the better candidate of the near tier.
func (b *Balancer) pickByLoad(now time.Time, q Query) (Choice, bool) {
	if b.meanUtilization() >= b.cfg.SpillThreshold {
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

// worthSpilling reports whether the score of the replica in the spill tier is lower
// by more than SpillMargin than the score of the replica in the near tier.
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

// twoChoices selects two candidates and returns the better one and the worse one.
// If there is only one candidate, worse is nil; if there is none, both are nil. The
// first candidate is the next replica in round-robin order, the second a random
// replica. The second candidate is better only if its score is lower by more than
// switchThreshold requests per unit of its effective capacity.
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

// switchThreshold returns by how many requests the load of the second candidate,
// m, must be lower than the load of the first for m to be picked. The result is
// the sum of switchMargin and the standard deviation of the estimated number of
// other nodes' requests at m. The number of requests from many nodes is Poisson
// distributed. The standard deviation is zero if m has just reported its load and
// grows with the age of that report. Without the standard deviation, random errors
// of the estimate would look like differences in load.
func (b *Balancer) switchThreshold(now time.Time, m *member) float64 {
	weight := m.reportWeight(now, b.meanAnswerSeconds)
	return switchMargin + math.Sqrt((1-weight*weight)*m.tier.otherNodeRequestsPerCapacity()*m.capacity)
}

// selectCandidate selects the first candidate if exclude is nil, and otherwise the
// second. The first candidate is the next replica in round-robin order. The second is
// a random replica other than exclude. A replica in backoff is never the second
// candidate. It is the first only if all other replicas are in backoff or excluded.
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

// scanUsableMembers examines the usable replicas in order, beginning at a random
// replica. It returns the first replica that is neither excluded nor in backoff. If
// all replicas are excluded or in backoff, the result depends on the argument
// exclude. If exclude is nil, scanUsableMembers returns a replica that is in backoff
// and not excluded, or nil if there is none. Otherwise it returns nil.
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
		return nil // a replica in backoff is never the second candidate
	}
	return memberInBackoff
}

// pickLastResort picks the ejected or probed replica with the lowest score. A
// request to such a replica may fail, but without a replica the request would
// certainly be refused. Leaving replicas are never picked.
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
