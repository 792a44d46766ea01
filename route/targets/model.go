package targets

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/reroute"
	"github.com/cicadatack/cicadatack/decide/reservations"
	"github.com/cicadatack/cicadatack/decide/waitqueue"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/ruleset"
)

// retryRoom is how often one who waits for room looks again without a sign: a
// replica that was suspected is used again by time alone.
const retryRoom = 50 * time.Millisecond

// Model chooses paths through the replicas that hold a model's layers. Safe for
// concurrent use.
type Model struct {
	domain string
	now    func() time.Time
	begun  time.Time

	mu     sync.Mutex
	layers int
	part   Part
	book   *paths.Book
	// links is what this node's detours have sent between failure domains; a token
	// sends crossBytes each time, of crossPerSecond that all share.
	links                      reroute.Links
	crossBytes, crossPerSecond float64

	knowledge knowledge

	flights map[*Flight]struct{}
	waiting waitqueue.Queue
	// wakes are the channels of those who wait, by the number of their request.
	wakes  map[uint64]chan struct{}
	number uint64
}

// Flight is a request underway along a path.
type Flight struct {
	model  *Model
	path   paths.Path
	tokens float64
	lost   func(replica string)
	leave  func(replica string)
	told   bool // that a part of the path leaves
	// heard is when an event came last, counted from the model's beginning; 0 for never.
	heard atomic.Int64
}

// NewModel returns a Model without replicas for a node in a failure domain.
func NewModel(domain string, seed uint64, now func() time.Time) *Model {
	return &Model{
		domain:    domain,
		now:       now,
		begun:     now(),
		book:      paths.New(seed),
		knowledge: newKnowledge(),
		flights:   map[*Flight]struct{}{},
		wakes:     map[uint64]chan struct{}{},
	}
}

// Part is this node's part of what all nodes use.
type Part struct {
	// Share is of a failure domain's room.
	Share func(domain string) float64
	// Conns bounds this node's connections to each replica; zero for no bound.
	Conns int
	// Near is how many nodes there are in its failure domain.
	Near int
}

// Update puts a new list in force.
func (m *Model) Update(model *ruleset.Model, list []*replicalist.Replica, part Part) {
	replicas := make([]paths.Replica, 0, len(list))
	for _, r := range list {
		replicas = append(replicas, pathReplica(model, r))
	}
	m.mu.Lock()
	m.layers, m.part = model.Layers, part
	m.crossBytes, m.crossPerSecond = model.CrossBytes, model.LinkBytesPerSecond
	m.book.Update(replicas)
	for _, r := range list {
		m.book.SetShare(r.Domain, part.Share(r.Domain))
	}
	m.wakeOne()
	leaving := m.leaving()
	m.mu.Unlock()
	tellSlowly(leaving)
}

func pathReplica(model *ruleset.Model, r *replicalist.Replica) paths.Replica {
	card := model.Cards[r.Kind]
	room := max(0, card.MemoryMB-float64(r.Holds.Len())*model.LayerMB) / model.TokenLayerMB()
	return paths.Replica{
		ID: r.ID, Born: r.Born, Address: r.Address, Domain: r.Domain, Holds: r.Holds,
		Room:        room,
		LayerMillis: model.StepMillis * card.Pace / float64(model.Layers),
		ReadMillis:  model.ReadMillis(card),
		Leaving:     r.Draining, Revision: r.Revision,
	}
}

// Choose implements Targets.
func (m *Model) Choose(ctx context.Context, q Query) (Target, error) {
	w, wake := m.newcomer(q)
	for first := true; ; first = false {
		t, reason, ok := m.try(q, w, first)
		if ok {
			return t, nil
		}
		left := q.WaitUntil.Sub(m.now())
		if left <= 0 {
			m.leave(w)
			return Target{}, errorOf(reason)
		}
		if err := pause(ctx, wake, min(left, retryRoom)); err != nil {
			m.leave(w)
			return Target{}, err
		}
	}
}

func (m *Model) newcomer(q Query) (waitqueue.Request, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.number++
	wake := make(chan struct{}, 1)
	m.wakes[m.number] = wake
	return waitqueue.Request{ID: m.number, Rank: q.Rank, OnTimeUntil: q.OnTimeUntil}, wake
}

func errorOf(reason paths.Reason) error {
	if reason == paths.NoRoom {
		return ErrNoRoom
	}
	return ErrNoEndpoint
}

func pause(ctx context.Context, wake <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// try books a path, unless others wait who come first. One who finds none waits.
func (m *Model) try(q Query, w waitqueue.Request, first bool) (Target, paths.Reason, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if first && m.waiting.Before(now, w) {
		m.waiting.Add(now, w)
		return Target{}, paths.NoRoom, false
	}
	path, reason := m.book.Choose(now, paths.Query{
		Domain: m.domain, Run: layers.Span{To: m.layers}, Tokens: q.Tokens, Exclude: q.Exclude, FirstOf: q.FirstOf,
	})
	if reason != paths.Found || !path.Runs(layers.Span{To: m.layers}) {
		if first {
			m.waiting.Add(now, w)
		}
		return Target{}, reason, false
	}
	m.forget(w)
	m.book.Reads(now, path, nil, q.Read, m.part.Near)
	m.wakeOne() // there may be room for the next as well
	return m.begin(path, q.Tokens), paths.Found, true
}

func (m *Model) begin(path paths.Path, tokens float64) Target {
	f := &Flight{model: m, path: path, tokens: tokens}
	m.book.Hold(path, tokens)
	m.flights[f] = struct{}{}
	return Target{
		Replica: path[0].Replica, Address: path[0].Address, Domain: path[0].Domain,
		Path: path, MostConns: m.part.Conns, Flight: f,
	}
}

// forget takes out one who waits no longer. The caller holds the lock.
func (m *Model) forget(w waitqueue.Request) {
	m.waiting.Remove(w.ID)
	delete(m.wakes, w.ID)
}

func (m *Model) leave(w waitqueue.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(w)
	m.wakeOne()
}

// wakeOne lets the first who waits look again.
func (m *Model) wakeOne() {
	id, ok := m.waiting.First(m.now())
	if !ok {
		return
	}
	select {
	case m.wakes[id] <- struct{}{}:
	default: // it is about to look anyway
	}
}

// Ended implements Targets.
func (m *Model) Ended(t Target, r Result) {
	m.mu.Lock()
	f := t.Flight
	delete(m.flights, f)
	m.book.Release(f.path, f.tokens)
	lost := m.learn(t, r)
	m.wakeOne()
	m.mu.Unlock()
	tell(lost)
}

func (m *Model) learn(t Target, r Result) []notice {
	fault := t.Replica
	if r.Fault != "" {
		fault = m.book.ByAddress(r.Fault)
	}
	switch {
	case fault == "":
		return nil
	case r.Misheld:
		m.book.Misheld(fault)
		m.knowledge.seen[fault] = sight{at: m.now(), away: true}
	case r.Gone:
		m.knowledge.seen[fault] = sight{at: m.now(), lost: true}
		if m.book.Suspect(m.now(), fault, false) {
			return m.through(fault)
		}
	case r.NoRoom:
		if m.book.Full(m.now(), fault) {
			m.knowledge.seen[fault] = sight{at: m.now(), away: true}
		}
	}
	return nil
}

// Suspect notes that a replica looks dead, silent that its machine does not answer
// either; the requests that run through it are told. It says whether that is new.
func (m *Model) Suspect(replica string, silent bool) bool {
	fresh, lost := m.suspect(replica, silent)
	tell(lost)
	return fresh
}

// suspect notes that a replica looks dead, and returns the requests that run through it.
func (m *Model) suspect(replica string, silent bool) (fresh bool, through []notice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knowledge.seen[replica] = sight{at: m.now(), lost: true}
	if !m.book.Suspect(m.now(), replica, silent) {
		return false, nil
	}
	return true, m.through(replica)
}

// Doubt notes that a replica accepts no connection which other nodes have lost. It gets no
// new requests. Those that run through it are told only if its machine does not answer
// either: one that leaves refuses connections, and goes on with what it has. It says
// whether the suspicion is new.
func (m *Model) Doubt(replica string, silent bool) bool {
	fresh, lost := m.doubt(replica, silent)
	tell(lost)
	return fresh
}

func (m *Model) doubt(replica string, silent bool) (fresh bool, lost []notice) {
	fresh, through := m.suspect(replica, silent)
	if !silent {
		return fresh, nil
	}
	return fresh, through
}

// Alive notes that a suspected replica lives. It says whether it was suspected.
func (m *Model) Alive(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knowledge.seen[replica] = sight{at: m.now()}
	was := m.book.Alive(replica)
	m.wakeOne()
	return was
}

// Replica returns a replica that is listed.
func (m *Model) Replica(id string) (paths.Replica, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.Replica(id)
}

// Suspects returns the replicas that are suspected.
func (m *Model) Suspects() []paths.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.Suspects()
}

// SetPace notes how much slower than its kind a replica says it is. It says whether
// that is news.
func (m *Model) SetPace(replica string, pace float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if max(pace, m.book.Pace(replica)) >= paths.SlowPace {
		// One that is as fast as it was is no news to anybody.
		m.knowledge.seen[replica] = sight{at: m.now(), pace: max(1, pace)}
	}
	return m.book.SetPace(replica, pace)
}

// Away returns the replicas that turn requests away although they have room.
func (m *Model) Away() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.Away(m.now())
}

// Slow returns the replicas that are slower than their kind.
func (m *Model) Slow() []paths.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.Slow()
}

// lostAfter is how long a replica is suspected before its layers count as lost: the
// time of some tries to reach it.
const lostAfter = 600 * time.Millisecond

// Lost says whether a replica has been out of reach for so long that others should
// take its layers.
func (m *Model) Lost(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.Lost(m.now(), replica, lostAfter)
}

// Refused notes an order to go around that an engine did not take. fault is the
// address of the part that is not there, "" if one has no room.
func (m *Model) Refused(path paths.Path, fault string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if id := m.book.ByAddress(fault); id != "" {
		m.book.Misheld(id)
		return
	}
	for _, part := range path[1:] {
		m.book.Avoid(now, part.Replica)
	}
}

// Booked is what this node has booked on each replica, in tokens times layers.
func (m *Model) Booked() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.Booked()
}

// SetOthers notes what the other nodes of this one's failure domain have booked, as far
// as it is known.
func (m *Model) SetOthers(held reservations.Totals) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.SetOthers(m.domain, held.Nodes, held.Amounts)
	m.wakeOne()
}

// Used is the part of the room that is booked on the fullest replica of each failure
// domain, for metrics.
func (m *Model) Used() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.Used(m.now())
}

// Waiting is how many requests wait for room, and Underway how many run.
func (m *Model) Waiting() (waiting, underway int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting.Len(), len(m.flights)
}
