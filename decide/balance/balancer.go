package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
	"github.com/cicadatack/cicadatack/decide/health"
)

// Balancer places the requests of one service on one node. It is not safe for
// concurrent use; the caller must lock.
type Balancer struct {
	cfg           Config
	chooser       subsetChooser
	replicas      []hashedReplica
	leavingStates map[string]leavingState

	members         map[string]*member
	nearTier        tier
	spillTier       tier
	probingMembers  []*member
	eligibleMembers []*member // may receive requests
	changes         []Change

	detector             *health.Detector
	nodeCount            int    // nodes that share the replicas; zero if unknown
	subsetVersion        uint64 // number of times the subset was computed
	groupedHealthVersion uint64 // version of health at the last refresh of the tiers
	rng                  *rand.Rand
	meanCost             float64 // moving average, tokens
	meanAnswerSeconds    float64 // moving average of the duration of whole answers, seconds
	initialFraction      float64 // share of its capacity with which a new replica starts
}

// leavingState records which sources report that an endpoint is leaving.
type leavingState struct {
	sources             uint8
	refusedAt           time.Time // when the endpoint last refused a request because it is shutting down
	leavingReportMadeAt time.Time // when the endpoint made the load report that says it is leaving
}

func (l leavingState) has(s Source) bool { return l.sources&(1<<s) != 0 }

// member is a replica in the subset of this node.
type member struct {
	hashedReplica
	replicaLoad
	health        *health.Endpoint
	tier          *tier
	capacity      float64 // slots times weight
	usable        bool
	leaving       bool
	healthState   health.State // at the last refresh
	slowStartedAt time.Time    // start of the slow start; zero if there is none
	backoffUntil  time.Time    // end of the backoff after a refusal
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
// the previous list keep their state. New ones get a slow start, unless the
// previous list was empty. The cost is one sort plus one rendezvous score per pair
// of near replica and peer.
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
// knowing its peers, and the cover of the replicas is uneven.
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

// updateSubset recomputes the subset.
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
	b.regroupMembers(now)
}

func (b *Balancer) newTier(now time.Time, replicas []hashedReplica, oldMembers map[string]*member, isNew func(hashedReplica) bool) tier {
	t := tier{members: make([]*member, len(replicas)), roundRobinPosition: b.rng.Float64()}
	for i, r := range b.chooser.sortedByRank(replicas) {
		m := oldMembers[r.ID]
		if m == nil {
			m = &member{health: b.detector.Track(r.FailureDomain)}
			if isNew(r) {
				m.slowStartedAt = now
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

// SetLeaving records whether the platform's list of VMs says that an endpoint is
// leaving.
func (b *Balancer) SetLeaving(now time.Time, id string, leaving bool) {
	b.MarkLeaving(now, id, SourcePlatform, leaving)
}

// MarkLeaving records whether one source says that an endpoint is leaving. An
// endpoint gets no new requests while any source says so, and each source can
// withdraw only its own statement. If the latest statement won regardless of its
// source, a platform list that lags would send requests back to an endpoint that
// has itself reported its shutdown.
func (b *Balancer) MarkLeaving(now time.Time, id string, source Source, leaving bool) {
	state := b.leavingStates[id]
	state.sources &^= 1 << source
	if leaving {
		state.sources |= 1 << source
	}
	b.setLeavingState(now, id, state)
}

func (b *Balancer) setLeavingState(now time.Time, id string, state leavingState) {
	leaving := state.sources != 0
	if leaving {
		b.leavingStates[id] = state
	} else {
		delete(b.leavingStates, id)
	}
	if m := b.members[id]; m != nil && m.leaving != leaving {
		m.leaving = leaving
		b.regroupMembers(now)
	}
}

// recordLeavingRefusal marks an endpoint as leaving because it refused a request
// with that reason. A later load report does not withdraw the mark, because some
// engines do not report their shutdown. The mark ends when the endpoint disappears
// from the replica list, or after leavingRefusalTTL.
func (b *Balancer) recordLeavingRefusal(now time.Time, id string) {
	state := b.leavingStates[id]
	state.sources |= 1 << sourceRefusal
	state.refusedAt = now
	b.setLeavingState(now, id, state)
}

func (b *Balancer) expireLeavingRefusals(now time.Time) {
	for id, state := range b.leavingStates {
		if state.has(sourceRefusal) && now.Sub(state.refusedAt) >= leavingRefusalTTL {
			b.MarkLeaving(now, id, sourceRefusal, false)
		}
	}
}

// Sent records a request that was sent to the replica. The cost is in tokens; 0
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
	m.tier.changeInflight(m, 1)
	b.detector.Sent(now, m.health)
}

func movingAverage(average, sample float64) float64 {
	if average == 0 {
		return sample
	}
	return average + (sample-average)*movingAverageGain
}

// Started records that the first part of an answer arrived firstToken after the
// request was sent. The call is optional. It shows earlier than Finished that a
// replica is not frozen.
func (b *Balancer) Started(now time.Time, id string, firstToken time.Duration) {
	if m := b.members[id]; m != nil {
		b.detector.Heard(now, m.health, firstToken)
	}
}

// Progress records the mean time between tokens of an unfinished answer. The call
// is optional and meant to be made about once a second for each long answer. It
// shows earlier than Finished that a replica is slow.
func (b *Balancer) Progress(now time.Time, id string, timePerToken time.Duration) {
	m := b.members[id]
	if m == nil || b.meanCost == 0 {
		return
	}
	b.detector.ObserveDelay(now, m.health, m.weightAdjusted(timePerToken.Seconds()*b.meanCost))
	b.regroupIfHealthChanged(now)
}

// Finished records the end of an attempt that was recorded by Sent.
func (b *Balancer) Finished(now time.Time, id string, r Result) {
	m := b.members[id]
	if m == nil || m.inflightRequests == 0 {
		return
	}
	m.recordFinished(now, r.Cost)
	m.tier.changeInflight(m, -1)
	b.observeOutcome(now, m, r)
	switch r.Failure {
	case health.Overloaded:
		m.backoffUntil = now.Add(b.cfg.Backoff)
	case health.Leaving:
		b.recordLeavingRefusal(now, id)
	}
	b.regroupIfHealthChanged(now)
}

func (b *Balancer) observeOutcome(now time.Time, m *member, r Result) {
	if !r.Started {
		b.detector.Heard(now, m.health, r.TotalTime)
	}
	if r.Failure == health.None {
		b.meanAnswerSeconds = movingAverage(b.meanAnswerSeconds, r.TotalTime.Seconds())
	}
	b.detector.Observe(now, m.health, health.Outcome{
		Delay: m.weightAdjusted(b.normalizedDecodeTime(r)), Age: r.TotalTime, Failure: r.Failure,
	})
}

// normalizedDecodeTime returns the time from the first part of the answer to its
// end, in seconds, scaled to an answer of mean cost. The time to the first part is
// excluded: it is ten times shorter if the prompt's prefix is cached. If it
// counted, replicas with cold caches would be ejected as slow, and the replicas
// that take over their prefixes would then have cold caches too.
func (b *Balancer) normalizedDecodeTime(r Result) float64 {
	decodeTime := (r.TotalTime - r.TimeToFirstToken).Seconds()
	if r.TimeToFirstToken > 0 && r.Cost > 0 {
		return decodeTime / r.Cost * b.meanCost
	}
	return decodeTime
}

// weightAdjusted converts a delay to the one that a replica of weight 1 would have
// had, so that a slower type of accelerator is not an outlier.
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

// updateLeavingFromReport applies the leaving flag of a load report. Only a report
// made later can withdraw the flag, because reports from polls and from answers can
// arrive out of order.
func (b *Balancer) updateLeavingFromReport(now time.Time, id string, report LoadReport) {
	state := b.leavingStates[id]
	madeAt := now.Add(-report.Age)
	switch {
	case report.Leaving:
		state.sources |= 1 << SourceEndpoint
		state.leavingReportMadeAt = madeAt
	case state.has(SourceEndpoint) && madeAt.After(state.leavingReportMadeAt):
		state.sources &^= 1 << SourceEndpoint
	default:
		return
	}
	b.setLeavingState(now, id, state)
}

// Capacity returns the number of slots of the replicas that may receive requests.
// Replicas in slow start count with their current share.
func (b *Balancer) Capacity(now time.Time) int {
	slots := 0.0
	for _, m := range b.eligibleMembers {
		slots += float64(m.Slots) * b.slowStartFraction(now, m)
	}
	return int(slots)
}

// ReplicaCount returns the number of replicas of the service. Subset returns those
// that this node uses.
func (b *Balancer) ReplicaCount() int { return len(b.replicas) }

// SubsetVersion changes whenever the result of Subset does.
func (b *Balancer) SubsetVersion() uint64 { return b.subsetVersion }

// Subset returns the IDs of the replicas that this node uses, nearest failure
// domain first.
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
		b.expireLeavingRefusals(now)
		b.detector.Judge(now)
		b.regroupMembers(now)
	}
}

func (b *Balancer) regroupIfHealthChanged(now time.Time) {
	if b.detector.Version() != b.groupedHealthVersion {
		b.regroupMembers(now)
	}
}

// refresh groups the members by health state. It takes one pass over the subset and
// runs when a state changes and at each health evaluation, never per request.
func (b *Balancer) regroupMembers(now time.Time) {
	b.groupedHealthVersion = b.detector.Version()
	b.probingMembers = b.probingMembers[:0]
	b.regroupTier(now, &b.nearTier)
	b.regroupTier(now, &b.spillTier)
	b.updateEligibleMembers()
	b.updateInitialFraction(now)
}

// refreshEligible finds the replicas that may receive requests: the usable ones or,
// if there are none, the ejected ones, which Pick uses as a last resort.
//
// If the ejected ones had no slots, a service whose other replicas are leaving
// would refuse every request for good: an ejection ends only at a health
// evaluation, and health is evaluated only when a request arrives.
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

func (b *Balancer) regroupTier(now time.Time, t *tier) {
	t.clearUsableMembers()
	for _, m := range t.members {
		state := m.health.State()
		if state != m.healthState {
			b.recordChange(now, m, state)
			if state == health.Healthy {
				m.slowStartedAt = now
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

// setRampFloor raises the initial share of new replicas as their part of the total
// capacity grows. If new replicas make up half or more of it, their capacity cannot
// be withheld: when a service grows tenfold, the few old replicas would otherwise
// be overloaded with all requests.
func (b *Balancer) updateInitialFraction(now time.Time) {
	slowStartCapacity := 0.0
	for _, t := range []*tier{&b.nearTier, &b.spillTier} {
		for _, m := range t.usableMembers {
			if now.Sub(m.slowStartedAt) < b.cfg.SlowStart {
				slowStartCapacity += m.capacity
			}
		}
	}
	slowStartShare := 0.0
	if totalCapacity := b.nearTier.capacity() + b.spillTier.capacity(); totalCapacity > 0 {
		slowStartShare = slowStartCapacity / totalCapacity
	}
	b.initialFraction = max(minInitialFraction, 2*slowStartShare-1)
}

// ramp returns the share of its capacity that a replica may use during its slow
// start.
func (b *Balancer) slowStartFraction(now time.Time, m *member) float64 {
	if m.slowStartedAt.IsZero() {
		return 1
	}
	elapsedFraction := float64(now.Sub(m.slowStartedAt)) / float64(b.cfg.SlowStart)
	return max(b.initialFraction, min(1, elapsedFraction))
}
