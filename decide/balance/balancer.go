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
	cfg      Config
	subset   subset
	replicas []hashedReplica
	leaving  map[string]leavingState

	members  map[string]*member
	near     tier
	spill    tier
	probing  []*member
	eligible []*member // may receive requests
	changes  []Change

	health        *health.Detector
	nodeCount     int    // nodes that share the replicas; zero if unknown
	subsetVersion uint64 // number of times the subset was computed
	healthVersion uint64 // version of health at the last refresh of the tiers
	rng           *rand.Rand
	meanCost      float64 // moving average, tokens
	meanTime      float64 // moving average of the duration of whole answers, seconds
	rampFloor     float64 // share of its capacity with which a new replica starts
}

// leavingState records which sources report that an endpoint is leaving.
type leavingState struct {
	sources    uint8
	refusedAt  time.Time // when the endpoint last refused a request because it is shutting down
	reportedAt time.Time // when the endpoint made the load report that says it is leaving
}

func (l leavingState) has(s Source) bool { return l.sources&(1<<s) != 0 }

// member is a replica in the subset of this node.
type member struct {
	hashedReplica
	load
	health       *health.Endpoint
	tier         *tier
	capacity     float64 // slots times weight
	usable       bool
	leaving      bool
	state        health.State // at the last refresh
	rampStart    time.Time    // start of the slow start; zero if there is none
	backoffUntil time.Time    // end of the backoff after a refusal
}

// New returns a Balancer without replicas.
func New(cfg Config) *Balancer {
	cfg = withDefaults(cfg)
	return &Balancer{
		cfg:     cfg,
		subset:  subset{cfg: cfg, nodeHash: rendezvous.Hash(cfg.Node)},
		leaving: make(map[string]leavingState),
		members: make(map[string]*member),
		health:  health.New(cfg.Health),
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^coverSalt)),
	}
}

// SetReplicas replaces the list of the service's replicas. Replicas that were in
// the previous list keep their state. New ones get a slow start, unless the
// previous list was empty. The cost is one sort plus one rendezvous score per pair
// of near replica and peer.
func (b *Balancer) SetReplicas(now time.Time, replicas []Replica) {
	previous := b.replicas
	b.replicas = hashReplicas(replicas)
	for id := range b.leaving {
		if !containsHash(b.replicas, rendezvous.Hash(id)) {
			delete(b.leaving, id)
		}
	}
	b.updateSubset(now, func(k hashedReplica) bool {
		return len(previous) > 0 && !containsHash(previous, k.hash)
	})
}

// SetPeers sets the live nodes of the node's own failure domain; the node itself
// may be among them. Until SetPeers is called, the node chooses its subset without
// knowing its peers, and the cover of the replicas is uneven.
func (b *Balancer) SetPeers(now time.Time, nodes []string) {
	peers := make([]uint64, 0, len(nodes))
	for _, n := range nodes {
		if n != b.cfg.Node {
			peers = append(peers, rendezvous.Hash(n))
		}
	}
	slices.Sort(peers)
	if b.subset.peerHashes != nil && slices.Equal(peers, b.subset.peerHashes) {
		return
	}
	b.subset.peerHashes = peers
	b.updateSubset(now, func(hashedReplica) bool { return false })
}

// updateSubset recomputes the subset.
func (b *Balancer) updateSubset(now time.Time, isNew func(hashedReplica) bool) {
	b.subsetVersion++
	near, spill := b.subset.choose(b.replicas)
	old := b.members
	b.members = make(map[string]*member, len(near)+len(spill))
	b.near = b.newTier(now, near, old, isNew)
	b.spill = b.newTier(now, spill, old, isNew)
	b.near.attachMembers()
	b.spill.attachMembers()
	for id, m := range old {
		if b.members[id] == nil {
			b.health.Forget(m.health)
		}
	}
	b.refresh(now)
}

func (b *Balancer) newTier(now time.Time, replicas []hashedReplica, old map[string]*member, isNew func(hashedReplica) bool) tier {
	t := tier{members: make([]*member, len(replicas)), position: b.rng.Float64()}
	for i, k := range b.subset.sortedByRank(replicas) {
		m := old[k.ID]
		if m == nil {
			m = &member{health: b.health.Track(k.FailureDomain)}
			if isNew(k) {
				m.rampStart = now
			}
		}
		m.hashedReplica = k
		m.capacity = float64(k.Slots) * k.Weight
		m.leaving = b.leaving[k.ID].sources != 0
		t.members[i] = m
		b.members[k.ID] = m
	}
	t.ring = newRing(t.members)
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
	state := b.leaving[id]
	state.sources &^= 1 << source
	if leaving {
		state.sources |= 1 << source
	}
	b.setLeavingState(now, id, state)
}

func (b *Balancer) setLeavingState(now time.Time, id string, state leavingState) {
	leaving := state.sources != 0
	if leaving {
		b.leaving[id] = state
	} else {
		delete(b.leaving, id)
	}
	if m := b.members[id]; m != nil && m.leaving != leaving {
		m.leaving = leaving
		b.refresh(now)
	}
}

// recordLeavingRefusal marks an endpoint as leaving because it refused a request
// with that reason. A later load report does not withdraw the mark, because some
// engines do not report their shutdown. The mark ends when the endpoint disappears
// from the replica list, or after leavingRefusalTTL.
func (b *Balancer) recordLeavingRefusal(now time.Time, id string) {
	state := b.leaving[id]
	state.sources |= 1 << sourceRefusal
	state.refusedAt = now
	b.setLeavingState(now, id, state)
}

func (b *Balancer) expireLeavingRefusals(now time.Time) {
	for id, state := range b.leaving {
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
	m.sent(now, cost)
	m.tier.addInflight(m, 1)
	b.health.Sent(now, m.health)
}

func movingAverage(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + (v-old)*averageGain
}

// Started records that the first part of an answer arrived firstToken after the
// request was sent. The call is optional. It shows earlier than Finished that a
// replica is not frozen.
func (b *Balancer) Started(now time.Time, id string, firstToken time.Duration) {
	if m := b.members[id]; m != nil {
		b.health.Heard(now, m.health, firstToken)
	}
}

// Progress records the mean time between tokens of an unfinished answer. The call
// is optional and meant to be made about once a second for each long answer. It
// shows earlier than Finished that a replica is slow.
func (b *Balancer) Progress(now time.Time, id string, perToken time.Duration) {
	m := b.members[id]
	if m == nil || b.meanCost == 0 {
		return
	}
	b.health.ObserveDelay(now, m.health, m.weightAdjusted(perToken.Seconds()*b.meanCost))
	b.refreshIfChanged(now)
}

// Finished records the end of an attempt that was recorded by Sent.
func (b *Balancer) Finished(now time.Time, id string, r Result) {
	m := b.members[id]
	if m == nil || m.inflight == 0 {
		return
	}
	m.finished(now, r.Cost)
	m.tier.addInflight(m, -1)
	b.observe(now, m, r)
	switch r.Failure {
	case health.Overloaded:
		m.backoffUntil = now.Add(b.cfg.Backoff)
	case health.Leaving:
		b.recordLeavingRefusal(now, id)
	}
	b.refreshIfChanged(now)
}

func (b *Balancer) observe(now time.Time, m *member, r Result) {
	if !r.Started {
		b.health.Heard(now, m.health, r.Total)
	}
	if r.Failure == health.None {
		b.meanTime = movingAverage(b.meanTime, r.Total.Seconds())
	}
	b.health.Observe(now, m.health, health.Outcome{
		Delay: m.weightAdjusted(b.normalizedDecodeTime(r)), Age: r.Total, Failure: r.Failure,
	})
}

// normalizedDecodeTime returns the time from the first part of the answer to its
// end, in seconds, scaled to an answer of mean cost. The time to the first part is
// excluded: it is ten times shorter if the prompt's prefix is cached. If it
// counted, replicas with cold caches would be ejected as slow, and the replicas
// that take over their prefixes would then have cold caches too.
func (b *Balancer) normalizedDecodeTime(r Result) float64 {
	decodeTime := (r.Total - r.FirstToken).Seconds()
	if r.FirstToken > 0 && r.Cost > 0 {
		return decodeTime / r.Cost * b.meanCost
	}
	return decodeTime
}

// weightAdjusted converts a delay to the one that a replica of weight 1 would have
// had, so that a slower type of accelerator is not an outlier.
func (m *member) weightAdjusted(seconds float64) time.Duration {
	return time.Duration(seconds * m.Weight * float64(time.Second))
}

// Report records a load report made by a replica.
func (b *Balancer) Report(now time.Time, id string, l Load) {
	b.updateLeavingFromReport(now, id, l)
	m := b.members[id]
	if m == nil {
		return
	}
	before, firstReport := m.otherRequests, m.measuredAt.IsZero()
	if m.applyReport(now, l) {
		m.tier.addOtherRequests(m, m.otherRequests-before, firstReport)
	}
}

// updateLeavingFromReport applies the leaving flag of a load report. Only a report
// made later can withdraw the flag, because reports from polls and from answers can
// arrive out of order.
func (b *Balancer) updateLeavingFromReport(now time.Time, id string, l Load) {
	state := b.leaving[id]
	measuredAt := now.Add(-l.Age)
	switch {
	case l.Leaving:
		state.sources |= 1 << SourceEndpoint
		state.reportedAt = measuredAt
	case state.has(SourceEndpoint) && measuredAt.After(state.reportedAt):
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
	for _, m := range b.eligible {
		slots += float64(m.Slots) * b.ramp(now, m)
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
	for _, m := range slices.Concat(b.near.members, b.spill.members) {
		ids = append(ids, m.ID)
	}
	return ids
}

// evaluateHealth runs the periodic outlier detection of package health if it is
// due.
func (b *Balancer) evaluateHealth(now time.Time) {
	if b.health.Due(now) {
		b.expireLeavingRefusals(now)
		b.health.Judge(now)
		b.refresh(now)
	}
}

func (b *Balancer) refreshIfChanged(now time.Time) {
	if b.health.Version() != b.healthVersion {
		b.refresh(now)
	}
}

// refresh groups the members by health state. It takes one pass over the subset and
// runs when a state changes and at each health evaluation, never per request.
func (b *Balancer) refresh(now time.Time) {
	b.healthVersion = b.health.Version()
	b.probing = b.probing[:0]
	b.refreshTier(now, &b.near)
	b.refreshTier(now, &b.spill)
	b.refreshEligible()
	b.setRampFloor(now)
}

// refreshEligible finds the replicas that may receive requests: the usable ones or,
// if there are none, the ejected ones, which Pick uses as a last resort.
//
// If the ejected ones had no slots, a service whose other replicas are leaving
// would refuse every request for good: an ejection ends only at a health
// evaluation, and health is evaluated only when a request arrives.
func (b *Balancer) refreshEligible() {
	b.eligible = append(append(b.eligible[:0], b.near.usable...), b.spill.usable...)
	if len(b.eligible) > 0 {
		return
	}
	for _, t := range [...]*tier{&b.near, &b.spill} {
		for _, m := range t.members {
			if !m.leaving {
				b.eligible = append(b.eligible, m)
			}
		}
	}
}

func (b *Balancer) refreshTier(now time.Time, t *tier) {
	t.reset()
	for _, m := range t.members {
		state := m.health.State()
		if state != m.state {
			b.recordChange(now, m, state)
			if state == health.Healthy {
				m.rampStart = now
			}
			m.state = state
		}
		m.usable = state == health.Healthy && !m.leaving
		if m.usable {
			t.addUsable(m)
		}
		if state == health.Probing && !m.leaving {
			b.probing = append(b.probing, m)
		}
	}
}

// setRampFloor raises the initial share of new replicas as their part of the total
// capacity grows. If new replicas make up half or more of it, their capacity cannot
// be withheld: when a service grows tenfold, the few old replicas would otherwise
// be overloaded with all requests.
func (b *Balancer) setRampFloor(now time.Time) {
	ramping := 0.0
	for _, t := range []*tier{&b.near, &b.spill} {
		for _, m := range t.usable {
			if now.Sub(m.rampStart) < b.cfg.SlowStart {
				ramping += m.capacity
			}
		}
	}
	share := 0.0
	if total := b.near.capacity() + b.spill.capacity(); total > 0 {
		share = ramping / total
	}
	b.rampFloor = max(minRamp, 2*share-1)
}

// ramp returns the share of its capacity that a replica may use during its slow
// start.
func (b *Balancer) ramp(now time.Time, m *member) float64 {
	if m.rampStart.IsZero() {
		return 1
	}
	age := float64(now.Sub(m.rampStart)) / float64(b.cfg.SlowStart)
	return max(b.rampFloor, min(1, age))
}
