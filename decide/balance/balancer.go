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
	cfg    Config
	subset subset
	all    []known
	marks  map[string]mark

	members map[string]*member
	near    tier
	spill   tier
	probing []*member
	open    []*member // that requests may go to
	changes []Change

	health    *health.Detector
	nodes     int    // that share the replicas; zero if not known
	applied   uint64 // number of subsets chosen so far
	version   uint64 // of health when the tiers were last refreshed
	random    *rand.Rand
	meanCost  float64 // moving average, tokens
	meanTime  float64 // moving average of whole answers, seconds
	rampFloor float64 // the part of its capacity with which a newcomer starts
}

// mark holds who says that an endpoint is leaving.
type mark struct {
	sources  uint8
	refused  time.Time // when the endpoint refused a request as it leaves
	reported time.Time // when the report was made that says so
}

func (m mark) has(s Source) bool { return m.sources&(1<<s) != 0 }

// member is a replica of the subset.
type member struct {
	known
	load
	health   *health.Endpoint
	tier     *tier
	capacity float64 // slots times weight
	usable   bool
	leaving  bool
	state    health.State // at the last refresh
	joined   time.Time    // begin of the slow start; zero for none
	busy     time.Time    // end of the backoff after a refusal
}

// New returns a Balancer without replicas.
func New(cfg Config) *Balancer {
	cfg = withDefaults(cfg)
	return &Balancer{
		cfg:     cfg,
		subset:  subset{cfg: cfg, self: rendezvous.Hash(cfg.Node)},
		marks:   make(map[string]mark),
		members: make(map[string]*member),
		health:  health.New(cfg.Health),
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^coverSalt)),
	}
}

// SetReplicas replaces the list of the service's replicas. Those in it before
// keep their state; newcomers get a slow start, unless the list was empty. The
// cost is that of a sort, and a rank for each near replica and peer.
func (b *Balancer) SetReplicas(now time.Time, replicas []Replica) {
	previous := b.all
	b.all = knownFrom(replicas)
	for id := range b.marks {
		if !contains(b.all, rendezvous.Hash(id)) {
			delete(b.marks, id)
		}
	}
	b.apply(now, func(k known) bool {
		return len(previous) > 0 && !contains(previous, k.key)
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
	if b.subset.peers != nil && slices.Equal(peers, b.subset.peers) {
		return
	}
	b.subset.peers = peers
	b.apply(now, func(known) bool { return false })
}

// apply computes the subset anew.
func (b *Balancer) apply(now time.Time, isNew func(known) bool) {
	b.applied++
	near, spill := b.subset.choose(b.all)
	old := b.members
	b.members = make(map[string]*member, len(near)+len(spill))
	b.near = b.newTier(now, near, old, isNew)
	b.spill = b.newTier(now, spill, old, isNew)
	b.near.adopt()
	b.spill.adopt()
	for id, m := range old {
		if b.members[id] == nil {
			b.health.Forget(m.health)
		}
	}
	b.refresh(now)
}

func (b *Balancer) newTier(now time.Time, replicas []known, old map[string]*member, isNew func(known) bool) tier {
	t := tier{members: make([]*member, len(replicas)), turn: b.random.Float64()}
	for i, k := range b.subset.shuffled(replicas) {
		m := old[k.ID]
		if m == nil {
			m = &member{health: b.health.Track(k.FailureDomain)}
			if isNew(k) {
				m.joined = now
			}
		}
		m.known = k
		m.capacity = float64(k.Slots) * k.Weight
		m.leaving = b.marks[k.ID].sources != 0
		t.members[i] = m
		b.members[k.ID] = m
	}
	t.ring = newRing(t.members)
	return t
}

// SetLeaving records what the platform's list says of an endpoint.
func (b *Balancer) SetLeaving(now time.Time, id string, leaving bool) {
	b.Leaving(now, id, SourcePlatform, leaving)
}

// Leaving records what one source says of an endpoint. An endpoint that any
// source calls leaving gets nothing new. Each source can take back only its own
// word: were the last to speak believed, a list that lags would send requests
// back to an endpoint that has said itself that it shuts down.
func (b *Balancer) Leaving(now time.Time, id string, source Source, leaving bool) {
	k := b.marks[id]
	k.sources &^= 1 << source
	if leaving {
		k.sources |= 1 << source
	}
	b.setMark(now, id, k)
}

func (b *Balancer) setMark(now time.Time, id string, k mark) {
	leaving := k.sources != 0
	if leaving {
		b.marks[id] = k
	} else {
		delete(b.marks, id)
	}
	if m := b.members[id]; m != nil && m.leaving != leaving {
		m.leaving = leaving
		b.refresh(now)
	}
}

// refusedAsLeaving takes an endpoint's refusal as its word that it leaves. No
// report takes it back, as not all engines put it into their reports; it ends
// with the entry in the replica list, or is tried again after refusalHold.
func (b *Balancer) refusedAsLeaving(now time.Time, id string) {
	k := b.marks[id]
	k.sources |= 1 << sourceRefusal
	k.refused = now
	b.setMark(now, id, k)
}

func (b *Balancer) endRefusals(now time.Time) {
	for id, k := range b.marks {
		if k.has(sourceRefusal) && now.Sub(k.refused) >= refusalHold {
			b.Leaving(now, id, sourceRefusal, false)
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
		b.meanCost = average(b.meanCost, cost)
	}
	m.sent(now, cost)
	m.tier.add(m, 1)
	b.health.Sent(now, m.health)
}

func average(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + (v-old)*costGain
}

// Started records the first part of an answer, which came after the given time.
// It is optional: it tells sooner than Finished that a replica is not frozen.
func (b *Balancer) Started(now time.Time, id string, firstToken time.Duration) {
	if m := b.members[id]; m != nil {
		b.health.FirstResponse(now, m.health, firstToken)
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
	b.health.ObserveDelay(now, m.health, m.comparable(perToken.Seconds()*b.meanCost))
	b.refreshIfChanged(now)
}

// Finished records the end of an attempt that Sent recorded.
func (b *Balancer) Finished(now time.Time, id string, r Result) {
	m := b.members[id]
	if m == nil || m.inflight == 0 {
		return
	}
	m.finished(now, r.Cost)
	m.tier.add(m, -1)
	b.observe(now, m, r)
	switch r.Failure {
	case health.Overloaded:
		m.busy = now.Add(b.cfg.Backoff)
	case health.Leaving:
		b.refusedAsLeaving(now, id)
	}
	b.refreshIfChanged(now)
}

func (b *Balancer) observe(now time.Time, m *member, r Result) {
	if !r.Started {
		b.health.FirstResponse(now, m.health, r.Total)
	}
	if r.Failure == health.None {
		b.meanTime = average(b.meanTime, r.Total.Seconds())
	}
	b.health.Observe(now, m.health, health.Outcome{
		Delay: m.comparable(b.pace(r)), Age: r.Total, Failure: r.Failure,
	})
}

// pace is the time that the answer took from its first part on, in seconds for
// an answer of mean cost. The first part itself is left out: it comes ten times
// sooner where the prompt's prefix is cached, so that replicas with cold caches
// would be ejected as slow, and their prefixes would make the next cache cold.
func (b *Balancer) pace(r Result) float64 {
	took := (r.Total - r.FirstToken).Seconds()
	if r.FirstToken > 0 && r.Cost > 0 {
		return took / r.Cost * b.meanCost
	}
	return took
}

// comparable is the delay that a replica of weight 1 would have had, so that a
// slower kind of accelerator is no outlier.
func (m *member) comparable(seconds float64) time.Duration {
	return time.Duration(seconds * m.Weight * float64(time.Second))
}

// Report records a replica's load as it tells it itself.
func (b *Balancer) Report(now time.Time, id string, l Load) {
	b.reportLeaving(now, id, l)
	m := b.members[id]
	if m == nil {
		return
	}
	before, first := m.others, m.measured.IsZero()
	if m.report(now, l) {
		m.tier.addOthers(m, m.others-before, first)
	}
}

// reportLeaving takes back a report's word only by a newer report, as polls and
// answers overtake each other.
func (b *Balancer) reportLeaving(now time.Time, id string, l Load) {
	k := b.marks[id]
	measured := now.Add(-l.Age)
	switch {
	case l.Leaving:
		k.sources |= 1 << SourceEndpoint
		k.reported = measured
	case k.has(SourceEndpoint) && measured.After(k.reported):
		k.sources &^= 1 << SourceEndpoint
	default:
		return
	}
	b.setMark(now, id, k)
}

// Capacity returns the slots of the open part of the subset.
func (b *Balancer) Capacity(now time.Time) int {
	slots := 0.0
	for _, m := range b.open {
		slots += float64(m.Slots) * b.ramp(now, m)
	}
	return int(slots)
}

// Known returns how many replicas the service has, and Subset how many of them
// this node uses.
func (b *Balancer) Known() int { return len(b.all) }

// SubsetVersion changes whenever Subset does.
func (b *Balancer) SubsetVersion() uint64 { return b.applied }

// Subset returns the IDs of the replicas that this node uses, the near first.
func (b *Balancer) Subset() []string {
	var ids []string
	for _, m := range slices.Concat(b.near.members, b.spill.members) {
		ids = append(ids, m.ID)
	}
	return ids
}

// judge lets package health judge when it is time to.
func (b *Balancer) judge(now time.Time) {
	if b.health.Due(now) {
		b.endRefusals(now)
		b.health.Evaluate(now)
		b.refresh(now)
	}
}

func (b *Balancer) refreshIfChanged(now time.Time) {
	if b.health.Version() != b.version {
		b.refresh(now)
	}
}

// refresh sorts the members by what may be done with them. It costs a pass over
// the subset and is called when a state changes and at each judgement, never
// for each request.
func (b *Balancer) refresh(now time.Time) {
	b.version = b.health.Version()
	b.probing = b.probing[:0]
	b.refreshTier(now, &b.near)
	b.refreshTier(now, &b.spill)
	b.refreshOpen()
	b.setRampFloor(now)
}

// refreshOpen finds the replicas that requests may go to: the usable ones, or if
// there is none the ejected ones, which Pick takes as a last resort.
//
// If these had no slots, a service whose other replicas leave would be refused
// at the door for good: an ejection ends with a judgement, judgements come with
// requests, and no request would come.
func (b *Balancer) refreshOpen() {
	b.open = append(append(b.open[:0], b.near.usable...), b.spill.usable...)
	if len(b.open) > 0 {
		return
	}
	for _, t := range [...]*tier{&b.near, &b.spill} {
		for _, m := range t.members {
			if !m.leaving {
				b.open = append(b.open, m)
			}
		}
	}
}

func (b *Balancer) refreshTier(now time.Time, t *tier) {
	t.reset()
	for _, m := range t.members {
		state := m.health.State()
		if state != m.state {
			b.noteChange(now, m, state)
			if state == health.Healthy {
				m.joined = now
			}
			m.state = state
		}
		m.usable = state == health.Healthy && !m.leaving
		if m.usable {
			t.include(m)
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
			if now.Sub(m.joined) < b.cfg.SlowStart {
				ramping += m.capacity
			}
		}
	}
	share := 0.0
	if whole := b.near.capacity() + b.spill.capacity(); whole > 0 {
		share = ramping / whole
	}
	b.rampFloor = max(minRamp, 2*share-1)
}

// ramp is the part of its capacity that a newcomer may use so far.
func (b *Balancer) ramp(now time.Time, m *member) float64 {
	if m.joined.IsZero() {
		return 1
	}
	age := float64(now.Sub(m.joined)) / float64(b.cfg.SlowStart)
	return max(b.rampFloor, min(1, age))
}
