package admission

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/fairness"
)

// The lanes of the fairness scheduler: orders, other short requests and long jobs. A team
// is active in each lane in which one of its requests waits.
const (
	laneOrder = iota
	laneShort
	laneLong
	laneCount
)

// defaultWeight is the weight of a team for which SetTeam was not called.
const defaultWeight = 1

// Queue decides which requests of one service run, wait or are refused on one node. It
// is not safe for concurrent use; the caller locks.
type Queue struct {
	cfg        Config
	scheduler  *fairness.Scheduler[*team]
	teams      map[string]*team
	teamList   []*team // the same teams in a deterministic order
	items      map[uint64]*item
	freeItems  *item // unused items, linked by next
	meter      rateMeter
	silence    silence
	demandStep stepDetector
	forecast   forecast

	nodeSlots
	runningLongJobs int
	longJobSlots    int
	waitingCount    int
	waitingWork     float64   // expected tokens of the waiting requests
	nextReview      time.Time // time of the next review; set while requests wait

	verdicts []Verdict
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:       cfg,
		scheduler: fairness.New[*team](laneCount, cfg.credit()),
		teams:     make(map[string]*team),
		items:     make(map[uint64]*item),
		meter:     rateMeter{assumedSlotRate: max(cfg.SlotRate, 0)},
	}
	q.nodeSlots.setFixed(time.Time{}, cfg.Slots)
	q.longJobSlots = cfg.Slots
	return q
}

// AssumeSlotRate replaces Config.SlotRate, the slot rate that is used until a slot rate is
// measured. Zero means unknown. A node that starts during a rush gets the slot rate from
// the endpoints' reports before the node's first request finishes.
func (q *Queue) AssumeSlotRate(tokensPerSecond float64) {
	q.meter.assumedSlotRate = max(tokensPerSecond, 0)
}

// SetTeam sets the weight of a team. A team for which SetTeam was not called has weight 1.
func (q *Queue) SetTeam(name string, weight float64) {
	t := q.getOrAddTeam(name)
	t.configured = true
	t.flow.SetWeight(weight)
}

// RemoveTeam removes the team and refuses its waiting requests. Its running requests
// continue.
func (q *Queue) RemoveTeam(now time.Time, name string) []Verdict {
	t, ok := q.teams[name]
	if !ok {
		return nil
	}
	t.configured = false
	t.each(func(it *item) {
		q.dequeue(it)
		q.refuse(now, it, TeamRemoved, 0, 0)
	})
	q.removeIfIdle(t)
	q.dispatch(now)
	return q.takeVerdicts()
}

// Offer offers a new request to the queue. It returns the verdicts that this call causes,
// on the new request or on waiting requests. If the new request has to wait, a later call
// of any method returns its verdict.
func (q *Queue) Offer(now time.Time, r Request) []Verdict {
	if _, known := q.items[r.ID]; known {
		return []Verdict{{ID: r.ID, Team: r.Team, Class: r.Class, Kind: Refuse, Reason: DuplicateID, QueueLength: q.waitingCount}}
	}
	q.recomputeForecastIfStale(now)
	it := q.newItem(now, r)
	it.team.offeredWork[it.jobLength].add(now, it.Cost)
	q.demandStep.add(now, it.Cost)
	if q.admit(now, it) {
		q.enqueue(now, it)
		q.dispatch(now)
	}
	return q.takeVerdicts()
}

// Finish frees the slot of a running request. cost is the actual cost in tokens. It is zero
// if no work was done, for example because the endpoint refused the connection. Unknown IDs
// are ignored.
//
// Requests with zero cost do not count in the measured slot rate. Otherwise endpoints that
// refuse connections would look very fast. When these endpoints accept connections again,
// requests would be admitted at the high slot rate and miss their deadlines.
func (q *Queue) Finish(now time.Time, id uint64, cost float64) []Verdict {
	it, ok := q.items[id]
	if !ok || !it.running {
		return nil
	}
	cost = max(cost, 0)
	if cost > 0 {
		q.meter.recordFinished(now, it.Cost, q.silence.slotTime(now).Sub(it.startedAt))
	}
	q.release(now, it, cost)
	q.dispatch(now)
	return q.takeVerdicts()
}

// FinishTruncated frees the slot of a running request whose response ended early, at the
// deadline of its caller or because of a failure. cost is the actual cost in tokens.
//
// Truncated responses do not count in the measured slot rate. Otherwise each truncated
// response would add its whole expected cost for the short time that it ran, and the
// service would look faster than it is. The queue would then admit more requests, these
// requests would start later, and more responses would be truncated at the deadline, until
// hardly any response is complete.
func (q *Queue) FinishTruncated(now time.Time, id uint64, cost float64) []Verdict {
	it, ok := q.items[id]
	if !ok || !it.running {
		return nil
	}
	q.release(now, it, max(cost, 0))
	q.dispatch(now)
	return q.takeVerdicts()
}

// Cancel removes a request whose caller has left. The request gets no verdict. If it is
// running, the actual cost is not known. The team is then charged the tokens that a slot
// finishes in the time for which the request ran, up to the expected cost.
func (q *Queue) Cancel(now time.Time, id uint64) []Verdict {
	it, ok := q.items[id]
	if !ok {
		return nil
	}
	if it.running {
		finishedTokens := q.slotRate(now) * q.silence.slotTime(now).Sub(it.startedAt).Seconds()
		q.release(now, it, min(finishedTokens, it.Cost))
	} else {
		q.dequeue(it)
		q.recycle(it)
	}
	q.dispatch(now)
	return q.takeVerdicts()
}

// SetCapacity sets the number of slots of a node that does not share its replicas.
// Running requests are never stopped: while more requests run than there are slots, no
// other request starts.
func (q *Queue) SetCapacity(now time.Time, slots int) []Verdict {
	q.nodeSlots.setFixed(now, max(slots, 0))
	q.review(now)
	return q.takeVerdicts()
}

// SetShare sets the number of slots that this node may use now, and the total number of
// slots of the replicas that the node shares with other nodes. The number of slots of the
// node may change with each report of a replica. Waits are therefore predicted from the
// recent mean of this number. The waiting requests are reviewed only if the total has
// decreased or the node has no slots.
func (q *Queue) SetShare(now time.Time, slots, total int) []Verdict {
	if q.nodeSlots.update(now, max(slots, 0), max(slots, total, 0)) {
		q.review(now)
	} else {
		q.dispatch(now)
	}
	return q.takeVerdicts()
}

// Tick refuses the waiting requests that will miss their deadlines, and returns the time at
// which Tick must be called again. An earlier call has no effect. The zero time means that
// no request waits. An Offer may move the time of the next call.
func (q *Queue) Tick(now time.Time) (verdicts []Verdict, next time.Time) {
	if q.waitingCount > 0 && !now.Before(q.nextReview) {
		q.review(now)
	}
	if q.waitingCount == 0 {
		return q.takeVerdicts(), time.Time{}
	}
	return q.takeVerdicts(), q.nextReview
}

// review recomputes the forecast, refuses the waiting requests that will miss their
// deadlines and starts requests in the free slots.
func (q *Queue) review(now time.Time) {
	q.recomputeForecast(now)
	earliest := q.refuseLateRequests(now)
	q.dispatch(now)
	q.nextReview = now.Add(TickInterval)
	if earliest.After(now) {
		q.nextReview = earlier(q.nextReview, earliest)
	}
}

// Stats returns the current state of the queue, for logs and metrics.
func (q *Queue) Stats(now time.Time) Stats {
	return Stats{
		Slots:           q.slots,
		Running:         q.meter.runningCount,
		Waiting:         q.waitingCount,
		RunningLongJobs: q.runningLongJobs,
		LongJobSlots:    q.longJobSlots,
		DrainRate:       q.drainRate(now),
	}
}

func (q *Queue) drainRate(now time.Time) float64 {
	return q.slotRate(now) * q.nodeSlots.meanAt(now)
}

func (q *Queue) getOrAddTeam(name string) *team {
	t, ok := q.teams[name]
	if !ok {
		t = &team{name: name}
		t.flow = q.scheduler.Add(defaultWeight, t)
		t.forecastRate = q.forecast.allJobsAllocation.rate(0, defaultWeight)
		t.longJobForecastRate = q.forecast.longJobsAllocation.rate(0, defaultWeight)
		t.listIndex = len(q.teamList)
		q.teamList = append(q.teamList, t)
		q.teams[name] = t
	}
	return t
}

// removeIfIdle removes the team if none of its requests waits or runs.
func (q *Queue) removeIfIdle(t *team) {
	if !t.idle() {
		return
	}
	delete(q.teams, t.name)
	last := q.teamList[len(q.teamList)-1]
	last.listIndex = t.listIndex
	q.teamList[t.listIndex] = last
	q.teamList = q.teamList[:len(q.teamList)-1]
}

func (q *Queue) newItem(now time.Time, r Request) *item {
	it := q.freeItems
	if it == nil {
		it = new(item)
	} else {
		q.freeItems = it.next
	}
	r.Class = min(r.Class, Batch)
	if !(r.Cost >= 1) {
		r.Cost = 1
	}
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(q.cfg.DefaultWait)
	}
	*it = item{Request: r, team: q.getOrAddTeam(r.Team), offeredAt: now}
	if r.Cost >= q.cfg.LongCost && r.Class != Order {
		it.jobLength = long
	}
	return it
}

// recycle removes an item that is neither waiting nor running from the queue, and keeps the
// memory of the item for a new request.
func (q *Queue) recycle(it *item) {
	delete(q.items, it.ID)
	*it = item{next: q.freeItems}
	q.freeItems = it
}

// takeVerdicts returns a copy of the collected verdicts and empties the collection.
func (q *Queue) takeVerdicts() []Verdict {
	if len(q.verdicts) == 0 {
		return nil
	}
	out := make([]Verdict, len(q.verdicts))
	copy(out, q.verdicts)
	q.verdicts = q.verdicts[:0]
	return out
}
