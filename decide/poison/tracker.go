package poison

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// sameCrash is the time within which crashes of a replica are one if its incarnation is not
// known. Nodes see a crash within some tenths of a second, and a start takes longer.
const sameCrash = time.Second

// crash is a Crash with times in place of ages.
type crash struct {
	process   Process
	version   string
	at        time.Time
	exposed   map[Part]exposure
	uncertain bool
	refuted   bool
	// answersBefore are the answers of the replica's service that this node had seen when it learned
	// of the crash.
	answersBefore answerCounts
	// cause is the part that has been found to be the cause, if it was held back before.
	cause Part
}

// Tracker holds the evidence about parts at one node. It is not safe for concurrent use.
type Tracker struct {
	crashes map[Process]*crash
	// suspects are the parts that crashes have exposed since their last answer, with all crashes
	// that have exposed them.
	suspects map[Part][]*crash
	// parts are the answered parts of prompts, requests the answered requests.
	parts, requests answeredTable
	answers         map[string]*serviceAnswers // by service
	// ids yields the IDs of this node's answers.
	ids rand.Source
	// turnSeed is another number at each node; see turn.
	turnSeed uint64
	// toShare are the answered parts that other nodes are told of, with the time since when.
	toShare map[Part]time.Time
	// nextUnnamed is the incarnation that stands for the next unknown one; see process.
	nextUnnamed int64

	isolated map[Part]*isolation
	lifted   map[Part]time.Time
}

// New returns a Tracker without evidence. ids must yield other numbers at each node and at each start.
func New(ids rand.Source) *Tracker {
	return &Tracker{
		ids: ids, turnSeed: ids.Uint64(),
		crashes: map[Process]*crash{}, suspects: map[Part][]*crash{}, answers: map[string]*serviceAnswers{},
		toShare: map[Part]time.Time{}, isolated: map[Part]*isolation{}, lifted: map[Part]time.Time{},
	}
}

// Answered records that this node has seen a complete answer to a request with the parts. It returns
// those of the parts that were isolated.
func (t *Tracker) Answered(now time.Time, parts []Part) (wereIsolated []Part) {
	t.Begun(now, parts)
	return t.Completed(now, parts)
}

// Begun records that an answer to a request with the parts has gone on for ProvenAfter.
func (t *Tracker) Begun(now time.Time, parts []Part) {
	if len(parts) > 0 {
		a := t.answersOf(parts[0].Service)
		a.counts.begun++
		a.begun.add(recentAnswer{id: t.ids.Uint64(), at: now})
	}
	for _, p := range parts {
		if !p.Own() {
			times := t.answeredAt(p)
			times.begunHere++
			t.parts.put(p, times)
			t.answered(p, now, false)
		}
	}
}

// Completed records that an answer for which Begun was called is complete. It returns those of the
// parts that were isolated.
func (t *Tracker) Completed(now time.Time, parts []Part) (wereIsolated []Part) {
	if len(parts) > 0 {
		a := t.answersOf(parts[0].Service)
		a.counts.complete++
		a.complete.add(recentAnswer{id: t.ids.Uint64(), at: now})
	}
	for _, p := range parts {
		if t.isolated[p] != nil {
			wereIsolated = append(wereIsolated, p)
		}
		t.answered(p, now, true)
	}
	return wereIsolated
}

// answered records an answer to a part, and that other nodes are told of it if the part is suspect.
func (t *Tracker) answered(p Part, now time.Time, complete bool) {
	if len(t.suspects[p]) > 0 {
		t.toShare[p] = now
	}
	t.clear(p, now, complete)
}

// clear records that a part was answered at a time.
func (t *Tracker) clear(p Part, at time.Time, complete bool) {
	known := t.answeredAt(p)
	times := known
	if at.After(times.begun) {
		times.begun = at
	}
	if complete && at.After(times.complete) {
		times.complete = at
	}
	if times == known {
		return
	}
	t.tableOf(p).put(p, times)
	if len(t.suspects[p]) > 0 && !t.isExposed(p) {
		delete(t.suspects, p)
	}
}

// answeredAt is when a part was last answered; the times are zero if that is not known.
func (t *Tracker) answeredAt(p Part) answerTimes { return t.tableOf(p).get(p) }

func (t *Tracker) tableOf(p Part) *answeredTable {
	if p.Own() {
		return &t.requests
	}
	return &t.parts
}

// Crashed records a crash that this node has seen, or has been told of. It reports whether this
// node did not know of the crash, or of a part that was exposed to it.
func (t *Tracker) Crashed(now time.Time, c Crash) bool {
	at := now.Add(-c.Age)
	id := t.process(now, c)
	known := t.crashes[id]
	isNew := known == nil
	if isNew {
		known = &crash{process: id, at: at, exposed: map[Part]exposure{}, uncertain: c.Uncertain}
		t.crashes[id] = known
		t.dropOldest()
	}
	if at.Before(known.at) {
		known.at = at
	}
	known.version = cmp.Or(known.version, c.Version)
	if c.Refuted && !known.refuted {
		known.refuted, isNew = true, true
	}
	if !c.Uncertain && known.uncertain {
		known.uncertain, isNew = false, true
	}
	for _, e := range c.Exposed {
		if t.expose(known, e.Part, exposure{sentAt: now.Add(-e.SentAge), progress: e.Progress}) {
			isNew = true
		}
	}
	if isNew {
		t.shareAnswers(now, c)
	}
	return isNew
}

// refuteAfter is the time after a crash from which an event shows that there was none. A busy node may
// read an event late that the replica sent before it crashed.
const refuteAfter = 500 * time.Millisecond

// mayBe reports whether two processes may be the same one. Incarnations that are not known are not
// positive.
func (p Process) mayBe(other Process) bool {
	known := p.Incarnation > 0 && other.Incarnation > 0
	return p.Replica == other.Replica && (!known || p.Incarnation == other.Incarnation)
}

// WentOn records that a process goes on with a request that was sent at a time. It reports whether
// this refutes a crash: the process that answers has lived all the while.
func (t *Tracker) WentOn(now time.Time, p Process, sentAt time.Time) bool {
	found := false
	for id, c := range t.crashes {
		if id.mayBe(p) && !c.refuted && c.at.After(sentAt) && now.Sub(c.at) > refuteAfter {
			c.refuted, found = true, true
		}
	}
	return found
}

// process returns the identity under which a crash is kept. If the incarnation is not known, the
// crashes of a replica within sameCrash are one.
func (t *Tracker) process(now time.Time, c Crash) Process {
	named := c.Process.Incarnation != 0 && !t.isOutdated(now, c)
	if named && t.crashes[c.Process] != nil {
		return c.Process
	}
	for id, known := range t.crashes {
		isNear := id.Replica == c.Process.Replica && known.at.Sub(now.Add(-c.Age)).Abs() < sameCrash
		if isNear && (!named || id.Incarnation < 0) {
			return id
		}
	}
	if named {
		return c.Process
	}
	t.nextUnnamed--
	return Process{Replica: c.Process.Replica, Incarnation: t.nextUnnamed}
}

// isOutdated reports whether the process that is known to have crashed under a crash's identity was an
// earlier one. A list that is behind shows a replica that has started again under its former incarnation;
// what was sent long after the end of that one has reached the next. Both ends must be certain: a port that
// closes connections takes requests as well.
func (t *Tracker) isOutdated(now time.Time, c Crash) bool {
	known := t.crashes[c.Process]
	if known == nil || known.uncertain || c.Uncertain {
		return false
	}
	startedBy := known.at.Add(sameCrash)
	return slices.ContainsFunc(c.Exposed, func(e Exposure) bool { return now.Add(-e.SentAge).After(startedBy) })
}

// expose records that a part was at a replica that crashed, and reports whether that is new.
func (t *Tracker) expose(c *crash, p Part, x exposure) bool {
	before, known := c.exposed[p]
	switch {
	case known:
		x = before.with(x)
	case !t.makeRoom(c, p, x):
		return false
	case len(c.exposed) == 0:
		c.answersBefore = t.answerCounts(p.Service)
	}
	if !known {
		x.begunBefore = t.answeredAt(p).begunHere
	}
	c.exposed[p] = x
	if t.countsAgainst(c, p) && !slices.Contains(t.suspects[p], c) {
		t.suspects[p] = append(t.suspects[p], c)
	}
	return !known || x.progress != before.progress
}

// makeRoom reports whether a crash may expose one part more. It may take the place of one that is less
// likely to be the cause.
func (t *Tracker) makeRoom(c *crash, p Part, x exposure) bool {
	limit, count := MaxExposed, 0
	if p.Own() {
		limit = MaxOwnExposed
	}
	lowest, victim := t.likelihood(c, p, x), Part{}
	for other, known := range c.exposed {
		if other.Own() != p.Own() {
			continue
		}
		count++
		if l := t.likelihood(c, other, known); l < lowest {
			lowest, victim = l, other
		}
	}
	if count < limit {
		return true
	}
	if victim == (Part{}) {
		return false
	}
	delete(c.exposed, victim)
	return true
}

// likelihood orders the exposed parts of a crash by how likely they are its cause. A request that was
// at another crash, or a part that was never answered, is the most likely.
func (t *Tracker) likelihood(c *crash, p Part, x exposure) int {
	times := t.answeredAt(p)
	switch {
	case p.Own() && slices.ContainsFunc(t.suspects[p], func(other *crash) bool { return other != c }):
		return 2
	case p.Own() && (c.uncertain || x.progress == Begun):
		return 0
	case p.Own():
		return 1
	case !times.complete.IsZero():
		return 0
	case !times.begun.IsZero():
		return 1
	}
	return 2
}

// dropOldest keeps the number of crashes at its bound.
func (t *Tracker) dropOldest() {
	if len(t.crashes) <= maxCrashes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(t.crashes)), func(a, b *crash) int { return a.at.Compare(b.at) })
	delete(t.crashes, oldest.process)
}

// forget drops evidence that is too old.
func (t *Tracker) forget(now time.Time) {
	maps.DeleteFunc(t.crashes, func(_ Process, c *crash) bool { return now.Sub(c.at) >= Window })
	for p := range t.suspects {
		t.suspects[p] = slices.DeleteFunc(t.suspects[p], func(c *crash) bool { return t.crashes[c.process] != c })
		if !t.isExposed(p) {
			delete(t.suspects, p)
		}
	}
	maps.DeleteFunc(t.toShare, func(_ Part, since time.Time) bool { return now.Sub(since) >= ShareFor })
	maps.DeleteFunc(t.lifted, func(_ Part, at time.Time) bool { return now.Sub(at) >= Window })
	maps.DeleteFunc(t.isolated, func(_ Part, i *isolation) bool { return i.Revision == 0 && now.Sub(i.since) >= Window })
}
