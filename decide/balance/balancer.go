package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
	"github.com/cicadatack/cicadatack/decide/health"
)

// Balancer places the requests of one service on one node. It is not safe for
// concurrent use; the caller locks.
type Balancer struct {
	cfg      Config
	subset   subset
	replicas []hashedReplica
	leaving  map[string]leavingState

	members  map[string]*member
	near     tier
	spill    tier
	probing  []*member
	eligible []*member // that requests may go to
	changes  []Change

	health        *health.Detector
	nodeCount     int    // that share the replicas; zero if not known
	subsetVersion uint64 // number of subsets chosen so far
	healthVersion uint64 // of health when the tiers were last refreshed
	rng           *rand.Rand
	meanCost      float64 // moving average, tokens
	meanTime      float64 // moving average of whole answers, seconds
	rampFloor     float64 // the part of its capacity with which a newcomer starts
}

// leavingState holds who says that an endpoint is leaving.
type leavingState struct {
	sources    uint8
	refusedAt  time.Time // when the endpoint refused a request as it leaves
	reportedAt time.Time // when the report was made that says so
}

func (l leavingState) has(s Source) bool { return l.sources&(1<<s) != 0 }

// member is a replica of the subset.
type member struct {
	hashedReplica
	load
	health       *health.Endpoint
	tier         *tier
	capacity     float64 // slots times weight
	usable       bool
	leaving      bool
	state        health.State // at the last refresh
	rampStart    time.Time    // begin of the slow start; zero for none
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

// SetReplicas replaces the list of the service's replicas. Those in it before
// keep their state; newcomers get a slow start, unless the list was empty. The
// cost is that of a sort, and a rank for each near replica and peer.
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

// SetPeers tells the live nodes of the node's own failure domain, itself
// included or not. Until it is called the node chooses its subset without
// regard to its peers, and the cover is uneven.
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

// updateSubset computes the subset anew.
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

// SetLeaving records what the platform's list says of an endpoint.
func (b *Balancer) SetLeaving(now time.Time, id string, leaving bool) {
	b.MarkLeaving(now, id, SourcePlatform, leaving)
}

// MarkLeaving records what one source says of an endpoint. An endpoint that any
// source calls leaving gets nothing new. Each source can take back only its own
// word: were the last to speak believed, a list that lags would send requests
// back to an endpoint that has said itself that it shuts down.
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

// recordLeavingRefusal takes an endpoint's refusal as its word that it leaves. No
// report takes it back, as not all engines put it into their reports; it ends
// with the entry in the replica list, or is tried again after refusalHold.
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

// Sent records a request sent to the replica, of the given cost in tokens, 0 if
// unknown.
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

// Started records the first part of an answer, which came after the given time.
// It is optional: it tells sooner than Finished that a replica is not frozen.
func (b *Balancer) Started(now time.Time, id string, firstToken time.Duration) {
	if m := b.members[id]; m != nil {
		b.health.Heard(now, m.health, firstToken)
	}
}

// Progress records the mean time between tokens of an answer underway. It is
// optional, and meant to be called about once a second for each long answer: it
// tells sooner than Finished that a replica is slow.
func (b *Balancer) Progress(now time.Time, id string, perToken time.Duration) {
	m := b.members[id]
	if m == nil || b.meanCost == 0 {
		return
	}
	b.health.ObserveDelay(now, m.health, m.weightAdjusted(perToken.Seconds()*b.meanCost))
	b.refreshIfChanged(now)
}

// Finished records the end of an attempt that Sent recorded.
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

// normalizedDecodeTime is the time that the answer took from its first part on, in seconds for
// an answer of mean cost. The first part itself is left out: it comes ten times
// sooner where the prompt's prefix is cached, so that replicas with cold caches
// would be ejected as slow, and their prefixes would make the next cache cold.
func (b *Balancer) normalizedDecodeTime(r Result) float64 {
	decodeTime := (r.Total - r.FirstToken).Seconds()
	if r.FirstToken > 0 && r.Cost > 0 {
		return decodeTime / r.Cost * b.meanCost
	}
	return decodeTime
}

// weightAdjusted is the delay that a replica of weight 1 would have had, so that a
// slower kind of accelerator is no outlier.
func (m *member) weightAdjusted(seconds float64) time.Duration {
	return time.Duration(seconds * m.Weight * float64(time.Second))
}

// Report records a replica's load as it tells it itself.
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

// updateLeavingFromReport takes back a report's word only by a newer report, as polls and
// answers overtake each other.
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

// Capacity returns the slots of the open part of the subset.
func (b *Balancer) Capacity(now time.Time) int {
	slots := 0.0
	for _, m := range b.eligible {
		slots += float64(m.Slots) * b.ramp(now, m)
	}
	return int(slots)
}

// ReplicaCount returns how many replicas the service has, and Subset how many of them
// this node uses.
func (b *Balancer) ReplicaCount() int { return len(b.replicas) }

// SubsetVersion changes whenever Subset does.
func (b *Balancer) SubsetVersion() uint64 { return b.subsetVersion }

// Subset returns the IDs of the replicas that this node uses, the near first.
func (b *Balancer) Subset() []string {
	var ids []string
	for _, m := range slices.Concat(b.near.members, b.spill.members) {
		ids = append(ids, m.ID)
	}
	return ids
}

// evaluateHealth lets package health evaluateHealth when it is time to.
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

// refresh sorts the members by what may be done with them. It costs a pass over
// the subset and is called when a state changes and at each judgement, never
// for each request.
func (b *Balancer) refresh(now time.Time) {
	b.healthVersion = b.health.Version()
	b.probing = b.probing[:0]
	b.refreshTier(now, &b.near)
	b.refreshTier(now, &b.spill)
	b.refreshEligible()
	b.setRampFloor(now)
}

// refreshEligible finds the replicas that requests may go to: the usable ones, or if
// there is none the ejected ones, which Pick takes as a last resort.
//
// If these had no slots, a service whose other replicas leave would be refused
// at the door for good: an ejection ends with a judgement, judgements come with
// requests, and no request would come.
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

// setRampFloor lets newcomers start with more the more of them there are. Half
// and more of the capacity cannot be spared: were it held back when a service
// grows tenfold, the few old replicas would drown in the load of all.
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

// ramp is the part of its capacity that a newcomer may use so far.
func (b *Balancer) ramp(now time.Time, m *member) float64 {
	if m.rampStart.IsZero() {
		return 1
	}
	age := float64(now.Sub(m.rampStart)) / float64(b.cfg.SlowStart)
	return max(b.rampFloor, min(1, age))
}
