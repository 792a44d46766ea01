package admission

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/fairness"
)

// The lanes of the schedule. A team waits in each lane for which it has work.
const (
	laneOrder = iota
	laneShort
	laneLong
	laneCount
)

// defaultWeight is that of a team which SetTeam has not named.
const defaultWeight = 1

// Queue decides which requests of one service run, wait or are refused on one
// node. It is not safe for concurrent use: the caller locks.
type Queue struct {
	cfg      Config
	flows    *fairness.Scheduler[*team]
	teams    map[string]*team
	order    []*team // the same teams, so that walks over them are deterministic
	items    map[uint64]*item
	spare    *item // finished items for reuse, linked by next
	meter    meter
	step     step
	forecast forecast

	share
	longRun     int
	longRoom    int
	waiting     int
	waitingWork float64   // expected tokens
	due         time.Time // of the next review, while requests wait

	out []Verdict
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:   cfg,
		flows: fairness.New[*team](laneCount, cfg.credit()),
		teams: make(map[string]*team),
		items: make(map[uint64]*item),
		meter: meter{prior: max(cfg.SlotRate, 0)},
	}
	q.share.fix(time.Time{}, cfg.Slots)
	q.longRoom = cfg.Slots
	return q
}

// AssumeRate sets the tokens per second of a slot that are assumed until they
// are measured, as Config.SlotRate does; zero means unknown. A node that joins in
// a rush learns it from the endpoints' reports before its first request is done.
func (q *Queue) AssumeRate(tokensPerSecond float64) {
	q.meter.prior = max(tokensPerSecond, 0)
}

// SetTeam sets a team's weight. A team that is not set has weight 1.
func (q *Queue) SetTeam(name string, weight float64) {
	t := q.team(name)
	t.declared = true
	t.flow.SetWeight(weight)
}

// RemoveTeam refuses what waits of the team and forgets it. What runs goes on.
func (q *Queue) RemoveTeam(now time.Time, name string) []Verdict {
	t, ok := q.teams[name]
	if !ok {
		return nil
	}
	t.declared = false
	t.each(func(it *item) {
		q.dequeue(it)
		q.refuse(now, it, TeamRemoved, 0, 0)
	})
	q.forget(t)
	q.dispatch(now)
	return q.take()
}

// Offer puts a request into the queue. The verdicts may concern this request,
// others, or none if it has to wait.
func (q *Queue) Offer(now time.Time, r Request) []Verdict {
	if _, known := q.items[r.ID]; known {
		return []Verdict{{ID: r.ID, Team: r.Team, Class: r.Class, Kind: Refuse, Reason: DuplicateID, QueueLength: q.waiting}}
	}
	q.refresh(now)
	it := q.newItem(now, r)
	it.team.offered[it.length].add(now, it.Cost)
	q.step.add(now, it.Cost)
	if q.admit(now, it) {
		q.enqueue(now, it)
		q.dispatch(now)
	}
	return q.take()
}

// Finish frees the slot of a running request. Cost is the actual one in
// tokens; zero means that no work was done, as when a connection was refused.
// An unknown ID is ignored.
//
// The drain rate takes no account of requests without work: endpoints that
// refuse at once would look like very fast ones, and when they are back, callers
// would be admitted by that rate and wait for nothing.
func (q *Queue) Finish(now time.Time, id uint64, cost float64) []Verdict {
	it, ok := q.items[id]
	if !ok || !it.running {
		return nil
	}
	cost = max(cost, 0)
	if cost > 0 {
		q.meter.learn(now, it.Cost, now.Sub(it.started))
	}
	q.release(it, cost)
	q.dispatch(now)
	return q.take()
}

// Cut frees the slot of a running request whose answer ended early, at its
// caller's deadline or by a failure. Cost is the actual one in tokens.
//
// The drain rate takes no account of it. Counted as its whole expected cost in
// the short time that it ran, it would make the service look the faster the more
// answers are cut: more callers are admitted, they start later, and more answers
// are cut at the deadline, until hardly any is whole.
func (q *Queue) Cut(now time.Time, id uint64, cost float64) []Verdict {
	it, ok := q.items[id]
	if !ok || !it.running {
		return nil
	}
	q.release(it, max(cost, 0))
	q.dispatch(now)
	return q.take()
}

// Abandon notes that the caller has left. There is no verdict on the request
// itself: nobody waits for one. A running request has cost its team what a slot
// produces in the time it held one.
func (q *Queue) Abandon(now time.Time, id uint64) []Verdict {
	it, ok := q.items[id]
	if !ok {
		return nil
	}
	if it.running {
		spent := q.meter.slotRate(now) * now.Sub(it.started).Seconds()
		q.release(it, min(spent, it.Cost))
	} else {
		q.dequeue(it)
		q.drop(it)
	}
	q.dispatch(now)
	return q.take()
}

// SetCapacity sets the number of slots. Running requests are never stopped: if
// more run than there are slots, no other starts until enough have finished.
func (q *Queue) SetCapacity(now time.Time, slots int) []Verdict {
	q.share.fix(now, max(slots, 0))
	q.review(now)
	return q.take()
}

// SetShare sets the number of slots that this node may use at the moment, out of
// the whole of the replicas that it shares with other nodes. It may change with
// each report of a replica: waits are foretold by the mean of late, and all that
// waits is looked at again only if the whole has become less.
func (q *Queue) SetShare(now time.Time, slots, whole int) []Verdict {
	if q.share.follow(now, max(slots, 0), max(slots, whole, 0)) {
		q.review(now)
	} else {
		q.dispatch(now)
	}
	return q.take()
}

// Tick refuses requests that will miss their deadline. While requests wait it
// is to be called at the time it returns, or as often as is convenient: before
// that time it does nothing. The zero time means that none waits; it may have
// changed after Offer.
func (q *Queue) Tick(now time.Time) (verdicts []Verdict, next time.Time) {
	if q.waiting > 0 && !now.Before(q.due) {
		q.review(now)
	}
	if q.waiting == 0 {
		return q.take(), time.Time{}
	}
	return q.take(), q.due
}

// review works out what there is to come and acts on it.
func (q *Queue) review(now time.Time) {
	q.renew(now)
	earliest := q.sweep(now)
	q.dispatch(now)
	q.due = now.Add(TickInterval)
	if earliest.After(now) {
		q.due = sooner(q.due, earliest)
	}
}

// Stats returns the present figures.
func (q *Queue) Stats(now time.Time) Stats {
	return Stats{
		Slots:     q.slots,
		Running:   q.meter.running,
		Waiting:   q.waiting,
		LongRun:   q.longRun,
		LongRoom:  q.longRoom,
		DrainRate: q.drainRate(now),
	}
}

func (q *Queue) drainRate(now time.Time) float64 {
	return q.meter.slotRate(now) * q.share.meanAt(now)
}

func (q *Queue) team(name string) *team {
	t, ok := q.teams[name]
	if !ok {
		t = &team{name: name}
		t.flow = q.flows.Add(defaultWeight, t)
		t.rate = q.forecast.all.rate(0, defaultWeight)
		t.longRate = q.forecast.long.rate(0, defaultWeight)
		t.index = len(q.order)
		q.order = append(q.order, t)
		q.teams[name] = t
	}
	return t
}

// forget drops a team if it has no request in the queue.
func (q *Queue) forget(t *team) {
	if !t.idle() {
		return
	}
	delete(q.teams, t.name)
	last := q.order[len(q.order)-1]
	last.index = t.index
	q.order[t.index] = last
	q.order = q.order[:len(q.order)-1]
}

func (q *Queue) newItem(now time.Time, r Request) *item {
	it := q.spare
	if it == nil {
		it = new(item)
	} else {
		q.spare = it.next
	}
	r.Class = min(r.Class, Batch)
	if !(r.Cost >= 1) {
		r.Cost = 1
	}
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(q.cfg.DefaultWait)
	}
	*it = item{Request: r, team: q.team(r.Team), offered: now}
	if r.Cost >= q.cfg.LongCost && r.Class != Order {
		it.length = long
	}
	return it
}

// drop returns an item that neither waits nor runs.
func (q *Queue) drop(it *item) {
	delete(q.items, it.ID)
	*it = item{next: q.spare}
	q.spare = it
}

// take hands the verdicts over. They are the caller's own.
func (q *Queue) take() []Verdict {
	if len(q.out) == 0 {
		return nil
	}
	out := make([]Verdict, len(q.out))
	copy(out, q.out)
	q.out = q.out[:0]
	return out
}
