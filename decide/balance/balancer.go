package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
	"github.com/cicadatack/cicadatack/decide/health"
)

// Balancer picks replicas for the requests that one node sends to one service. It
// is not safe for concurrent use; the caller must lock.
type Balancer struct {
	cfg           Config
	chooser       subsetChooser
	replicas      []hashedReplica
	leavingStates map[string]leavingState

	members         map[string]*member
	nearTier        tier
	spillTier       tier
	probingMembers  []*member
	eligibleMembers []*member // the eligible members, as doc.go defines them
	stateChanges    []ReplicaStateChange

	detector                  *health.Detector
	nodeCount                 int    // number of nodes that use the service; zero if unknown
	subsetVersion             uint64 // number of times the subset was computed
	detectorVersionAtGrouping uint64 // version of the detector at the last call of groupByHealthState
	rng                       *rand.Rand
	meanCost                  float64 // moving average of the cost of requests, tokens
	meanAnswerSeconds         float64 // moving average of the time to a whole answer, seconds
	initialCapacityFraction   float64 // fraction of its capacity with which a new replica begins its slow start
}

// member is a replica in the subset of this node.
type member struct {
	hashedReplica
	replicaLoad
	health           *health.Endpoint
	tier             *tier
	capacity         float64 // slots times weight; slow start does not reduce it
	usable           bool
	leaving          bool
	healthState      health.State // health state at the last call of groupByHealthState
	slowStartBeganAt time.Time    // when the slow start began; zero without slow start
	backoffUntil     time.Time    // end of the backoff after a refusal because the replica was full
}

// New returns a Balancer without replicas.
func New(cfg Config) *Balancer {
	cfg = withDefaults(cfg)
	return &Balancer{
		cfg:           cfg,
		chooser:       subsetChooser{cfg: cfg, nodeHash: rendezvous.Hash(cfg.Node)},
		leavingStates: make(map[string]leavingState),
		members:       make(map[string]*member),
		detector:      health.New(cfg.Health),
		rng:           rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^roundingSalt)),
	}
}

// SetReplicas replaces the list of the service's replicas. Replicas that were in
// the previous list keep their state. New replicas get a slow start, unless the
// previous list was empty. SetReplicas sorts the list and computes at most one
// rendezvous score per pair of a replica and a peer. SetReplicas computes scores only
// for replicas of the failure domains in the subset.
func (b *Balancer) SetReplicas(now time.Time, replicas []Replica) {
	previous := b.replicas
	b.replicas = hashReplicas(replicas)
	for id := range b.leavingStates {
		if !containsHash(b.replicas, rendezvous.Hash(id)) {
			delete(b.leavingStates, id)
		}
	}
	b.updateSubset(now, func(r hashedReplica) bool {
		return len(previous) > 0 && !containsHash(previous, r.idHash)
	})
}

// SetPeers sets the live nodes of the node's own failure domain; the node itself
// may be among them. Until SetPeers is called, the node chooses its subset without
// knowing its peers. Replicas then get unequal numbers of nodes.
func (b *Balancer) SetPeers(now time.Time, nodeIDs []string) {
	peerHashes := make([]uint64, 0, len(nodeIDs))
	for _, nodeID := range nodeIDs {
		if nodeID != b.cfg.Node {
			peerHashes = append(peerHashes, rendezvous.Hash(nodeID))
		}
	}
	slices.Sort(peerHashes)
	if b.chooser.peerHashes != nil && slices.Equal(peerHashes, b.chooser.peerHashes) {
		return
	}
	b.chooser.peerHashes = peerHashes
	b.updateSubset(now, func(hashedReplica) bool { return false })
}

// updateSubset recomputes the subset. Members that stay in the subset keep their
// state. Members that are added begin a slow start if isNew returns true for them.
func (b *Balancer) updateSubset(now time.Time, isNew func(hashedReplica) bool) {
	b.subsetVersion++
	nearReplicas, spillReplicas := b.chooser.choose(b.replicas)
	oldMembers := b.members
	b.members = make(map[string]*member, len(nearReplicas)+len(spillReplicas))
	b.nearTier = b.newTier(now, nearReplicas, oldMembers, isNew)
	b.spillTier = b.newTier(now, spillReplicas, oldMembers, isNew)
	b.nearTier.attachMembers()
	b.spillTier.attachMembers()
	for id, m := range oldMembers {
		if b.members[id] == nil {
			b.detector.Forget(m.health)
		}
	}
	b.groupByHealthState(now)
}

func (b *Balancer) newTier(now time.Time, replicas []hashedReplica, oldMembers map[string]*member, isNew func(hashedReplica) bool) tier {
	t := tier{members: make([]*member, len(replicas)), roundRobinPosition: b.rng.Float64()}
	for i, r := range b.chooser.sortedByRendezvousScore(replicas) {
		m := oldMembers[r.ID]
		if m == nil {
			m = &member{health: b.detector.Track(r.FailureDomain)}
			if isNew(r) {
				m.slowStartBeganAt = now
			}
		}
		m.hashedReplica = r
		m.capacity = float64(r.Slots) * r.Weight
		m.leaving = b.leavingStates[r.ID].sources != 0
		t.members[i] = m
		b.members[r.ID] = m
	}
	t.prefixRing = newPrefixRing(t.members)
	return t
}

// Sent records that a request was sent to the replica. The cost is in tokens; 0
// means unknown.
func (b *Balancer) Sent(now time.Time, id string, cost float64) {
	m := b.members[id]
	if m == nil {
		return
	}
	if cost > 0 {
		b.meanCost = movingAverage(b.meanCost, cost)
	}
	m.recordSent(now, cost)
	m.tier.changeInflightRequests(m, 1)
	b.detector.Sent(now, m.health)
}

func movingAverage(average, sample float64) float64 {
	if average == 0 {
		return sample
	}
	return average + (sample-average)*movingAverageGain
}

// Started records that the first part of an answer arrived. The call is
// optional. The first part of an answer shows earlier than the end of the answer that
// the replica is not frozen.
func (b *Balancer) Started(now time.Time, id string, timeToFirstToken time.Duration) {
	if m := b.members[id]; m != nil {
		b.detector.FirstResponse(now, m.health, timeToFirstToken)
	}
}

// Progress records the mean time between the tokens of an unfinished answer. The
// call is optional and meant to be made about once a second for each long answer. A
// call of Progress shows earlier than Finished that a replica is slow.
func (b *Balancer) Progress(now time.Time, id string, timePerToken time.Duration) {
	m := b.members[id]
	if m == nil || b.meanCost == 0 {
		return
	}
	b.detector.ObserveDelay(now, m.health, m.weightAdjusted(timePerToken.Seconds()*b.meanCost))
	b.regroupIfHealthChanged(now)
}

// Finished records the end of an attempt whose beginning was recorded by Sent.
func (b *Balancer) Finished(now time.Time, id string, r Result) {
	m := b.members[id]
	if m == nil || m.inflightRequests == 0 {
		return
	}
	m.recordFinished(now, r.Cost)
	m.tier.changeInflightRequests(m, -1)
	b.observeOutcome(now, m, r)
	switch r.Failure {
	case health.Overloaded:
		m.backoffUntil = now.Add(b.cfg.Backoff)
	case health.Leaving:
		b.RecordLeavingAnswer(now, id)
	}
	b.regroupIfHealthChanged(now)
}

func (b *Balancer) observeOutcome(now time.Time, m *member, r Result) {
	if !r.Started {
		b.detector.FirstResponse(now, m.health, r.TotalTime)
	}
	if r.Failure == health.None {
		b.meanAnswerSeconds = movingAverage(b.meanAnswerSeconds, r.TotalTime.Seconds())
	}
	b.detector.Observe(now, m.health, health.Outcome{
		Delay: m.weightAdjusted(b.normalizedDecodeTime(r)), TimeSinceSent: r.TotalTime, Failure: r.Failure,
	})
}

// normalizedDecodeTime returns the time from the first part of the answer to its
// end, in seconds, scaled to an answer of mean cost. The time to the first part is
// excluded, because that time is ten times shorter if the prompt's prefix is
// cached. If that time counted, replicas with cold caches would be ejected as
// slow. The prefixes of an ejected replica would move to other replicas. The other
// replicas do not have the prefixes cached and would look slow too.
func (b *Balancer) normalizedDecodeTime(r Result) float64 {
	decodeTime := (r.TotalTime - r.TimeToFirstToken).Seconds()
	if r.TimeToFirstToken > 0 && r.Cost > 0 {
		return decodeTime / r.Cost * b.meanCost
	}
	return decodeTime
}

// weightAdjusted converts a delay at this replica to the delay that a replica of
// weight 1 would have with the same work. The result is the delay times the weight of
// this replica. Without this conversion, replicas with a slower type of accelerator
// would be ejected as outliers.
func (m *member) weightAdjusted(delaySeconds float64) time.Duration {
	return time.Duration(delaySeconds * m.Weight * float64(time.Second))
}

// Report records a load report made by a replica.
func (b *Balancer) Report(now time.Time, id string, report LoadReport) {
	b.updateLeavingFromReport(now, id, report)
	m := b.members[id]
	if m == nil {
		return
	}
	previousRequests, firstReport := m.reportedOtherNodeRequests, m.lastReportMadeAt.IsZero()
	if m.applyReport(now, report) {
		m.tier.changeOtherNodeRequests(m, m.reportedOtherNodeRequests-previousRequests, firstReport)
	}
}

// Capacity returns the number of slots of the eligible replicas. A replica in slow
// start counts with the fraction of its slots that it may use now. Unlike the
// capacity that doc.go defines, this number does not depend on weights.
func (b *Balancer) Capacity(now time.Time) int {
	slots := 0.0
	for _, m := range b.eligibleMembers {
		slots += float64(m.Slots) * b.slowStartFraction(now, m)
	}
	return int(slots)
}

// ServiceReplicaCount returns the number of all replicas of the service, including
// the replicas outside this node's subset.
func (b *Balancer) ServiceReplicaCount() int { return len(b.replicas) }

// SubsetVersion returns a number that changes whenever the result of Subset
// changes.
func (b *Balancer) SubsetVersion() uint64 { return b.subsetVersion }

// Subset returns the IDs of the replicas that this node uses. Replicas of the
// nearest failure domain come first.
func (b *Balancer) Subset() []string {
	var ids []string
	for _, m := range slices.Concat(b.nearTier.members, b.spillTier.members) {
		ids = append(ids, m.ID)
	}
	return ids
}

// evaluateHealth runs the periodic outlier detection of package health if it is
// due.
func (b *Balancer) evaluateHealth(now time.Time) {
	if b.detector.Due(now) {
		b.expireLeavingAnswers(now)
		b.detector.Evaluate(now)
		b.groupByHealthState(now)
	}
}

func (b *Balancer) regroupIfHealthChanged(now time.Time) {
	if b.detector.Version() != b.detectorVersionAtGrouping {
		b.groupByHealthState(now)
	}
}

// groupByHealthState groups the members by health state, in one pass over the subset.
// The function is called at each health evaluation, and when a health state, a
// leaving mark or the subset changes. It is not called for each request.
func (b *Balancer) groupByHealthState(now time.Time) {
	b.detectorVersionAtGrouping = b.detector.Version()
	b.probingMembers = b.probingMembers[:0]
	b.groupTierByHealthState(now, &b.nearTier)
	b.groupTierByHealthState(now, &b.spillTier)
	b.updateEligibleMembers()
	b.updateInitialCapacityFraction(now)
}

// updateEligibleMembers finds the eligible members. If no member is usable, the
// members that are ejected or probed and not leaving are eligible. Pick uses such
// members as a last resort.
//
// If ejected replicas were never eligible, an ejection could last forever. Suppose
// that all other replicas are leaving. The node would then have no slots and
// refuse every request, so that Pick would never be called. An ejection ends only
// at a health evaluation, and only Pick evaluates health.
func (b *Balancer) updateEligibleMembers() {
	b.eligibleMembers = append(append(b.eligibleMembers[:0], b.nearTier.usableMembers...), b.spillTier.usableMembers...)
	if len(b.eligibleMembers) > 0 {
		return
	}
	for _, t := range [...]*tier{&b.nearTier, &b.spillTier} {
		for _, m := range t.members {
			if !m.leaving {
				b.eligibleMembers = append(b.eligibleMembers, m)
			}
		}
	}
}

func (b *Balancer) groupTierByHealthState(now time.Time, t *tier) {
	t.clearUsableMembers()
	for _, m := range t.members {
		state := m.health.State()
		if state != m.healthState {
			b.recordStateChange(now, m, state)
			if state == health.Healthy {
				m.slowStartBeganAt = now
			}
			m.healthState = state
		}
		m.usable = state == health.Healthy && !m.leaving
		if m.usable {
			t.addUsable(m)
		}
		if state == health.Probing && !m.leaving {
			b.probingMembers = append(b.probingMembers, m)
		}
	}
}

// updateInitialCapacityFraction sets the fraction of their capacity with which new
// replicas begin their slow start. The fraction rises once replicas in slow start
// make up more than half of the total capacity. Without this rise, when a service
// grows tenfold, the few old replicas would receive nearly all requests and be
// overloaded.
func (b *Balancer) updateInitialCapacityFraction(now time.Time) {
	slowStartCapacity := 0.0
	for _, t := range []*tier{&b.nearTier, &b.spillTier} {
		for _, m := range t.usableMembers {
			if now.Sub(m.slowStartBeganAt) < b.cfg.SlowStart {
				slowStartCapacity += m.capacity
			}
		}
	}
	slowStartShare := 0.0
	if totalCapacity := b.nearTier.capacity() + b.spillTier.capacity(); totalCapacity > 0 {
		slowStartShare = slowStartCapacity / totalCapacity
	}
	b.initialCapacityFraction = max(minInitialCapacityFraction, 2*slowStartShare-1)
}

// slowStartFraction returns the fraction of its capacity that a replica may use
// now. The fraction grows during the slow start and is 1 afterwards.
func (b *Balancer) slowStartFraction(now time.Time, m *member) float64 {
	if m.slowStartBeganAt.IsZero() {
		return 1
	}
	elapsedFraction := float64(now.Sub(m.slowStartBeganAt)) / float64(b.cfg.SlowStart)
	return max(b.initialCapacityFraction, min(1, elapsedFraction))
}
