package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/state/store"
)

// world runs the machines of several nodes against one value, one event at a
// time, with every loss and delay that a network allows. What a caller was told
// is held against what the value says.
type world struct {
	t        *rapid.T
	fatal    func(format string, args ...any)
	value    []byte
	revision int64
	// archives are the shard's, by name.
	archives map[int64][]byte
	nodes    []*simNode
	// ids are the orders that callers place.
	ids []string
	// late holds writes that were sent and may still arrive.
	late []step
	// held is the attempt that was told to send, by order; done orders were
	// placed.
	held map[string]*operation
	done map[string]bool
	// replayed is the last claim of an order that was told its result.
	replayed map[string]*operation
	// asked are claims that a node has asked another for.
	asked []*askedClaim
	now   int64
	// crashed says that a node forgot what it owed.
	crashed bool
	count   int
}

// askedClaim is a claim that a node asked another for: foreign is the other's
// operation, own the one that the node makes by itself if it hears nothing.
type askedClaim struct {
	node, other  *simNode
	own, foreign *operation
}

type simNode struct {
	machine  *machine
	underway *step
	claims   []*operation
}

func newWorld(fatal func(format string, args ...any)) *world {
	w := &world{fatal: fatal, ids: []string{"a", "b"}, archives: map[int64][]byte{}, held: map[string]*operation{}, done: map[string]bool{}, replayed: map[string]*operation{}}
	for range 3 {
		w.nodes = append(w.nodes, &simNode{machine: newSimMachine()})
	}
	return w
}

// newSimMachine archives each order as soon as it is done, and has room for two
// or three of them in an archive.
func newSimMachine() *machine {
	m := newMachine(time.Hour)
	m.limits = archiveLimits{shardBytes: 1, archiveBytes: 100, archives: 4}
	return m
}

func (w *world) node() *simNode { return rapid.SampledFrom(w.nodes).Draw(w.t, "node") }

func (w *world) claim() {
	w.count++
	op := &operation{
		kind:    opClaim,
		id:      rapid.SampledFrom(w.ids).Draw(w.t, "order"),
		attempt: fmt.Sprint("attempt-", w.count),
		at:      int64(w.count),
	}
	n := w.node()
	n.machine.add(op)
	n.claims = append(n.claims, op)
}

// ask is a claim that one node asks another for.
func (w *world) ask() {
	w.count++
	own := &operation{
		kind:    opClaim,
		id:      rapid.SampledFrom(w.ids).Draw(w.t, "order"),
		attempt: fmt.Sprint("attempt-", w.count),
		at:      int64(w.count),
		astray:  true,
	}
	foreign := *own
	foreign.astray = false
	foreign.foreign = true
	foreign.until = w.now + patienceMs
	a := &askedClaim{node: w.node(), other: w.node(), own: own, foreign: &foreign}
	a.other.machine.add(a.foreign)
	w.asked = append(w.asked, a)
}

// patienceMs is how long a node waits for another.
const patienceMs = 3

// giveUp is a node that makes a claim by itself: its time is over, or the
// connection to the other node broke, of which the other hears.
func (w *world) giveUp() {
	if len(w.asked) == 0 {
		return
	}
	a := rapid.SampledFrom(w.asked).Draw(w.t, "asked")
	if rapid.Bool().Draw(w.t, "connection breaks") {
		a.other.machine.withdraw(a.foreign)
	} else {
		w.now = max(w.now, a.foreign.until+1)
	}
	w.resume(a)
}

func (w *world) resume(a *askedClaim) {
	w.asked = slices.DeleteFunc(w.asked, func(other *askedClaim) bool { return other == a })
	a.node.machine.add(a.own)
	a.node.claims = append(a.node.claims, a.own)
}

// answered takes the outcome of a claim that another node was asked for. The
// answer may be lost; the node then gives up at some later time.
func (w *world) answered(s settled) {
	for _, a := range w.asked {
		if a.foreign != s.op || s.outcome.err != nil || rapid.Bool().Draw(w.t, "answer lost") {
			continue
		}
		w.asked = slices.DeleteFunc(w.asked, func(other *askedClaim) bool { return other == a })
		a.own.astray = false
		w.hold(a.own, s.outcome)
		return
	}
}

// leave is a caller who hangs up before the outcome.
func (w *world) leave() {
	n := w.node()
	if len(n.claims) == 0 {
		return
	}
	op := rapid.SampledFrom(n.claims).Draw(w.t, "claim")
	n.forget(op)
	n.machine.withdraw(op)
}

func (n *simNode) forget(op *operation) {
	n.claims = slices.DeleteFunc(n.claims, func(other *operation) bool { return other == op })
}

// finish records or releases an order that a caller was told to send.
func (w *world) finish() {
	id := rapid.SampledFrom(w.ids).Draw(w.t, "order")
	holder := w.held[id]
	if holder == nil {
		return
	}
	op := &operation{kind: opRecord, id: id, attempt: holder.attempt, result: &Result{Status: 201}, astray: holder.astray}
	if rapid.Bool().Draw(w.t, "not run") {
		op.kind = opRelease
		op.result = nil
	} else {
		w.done[id] = true
	}
	delete(w.held, id)
	w.node().machine.add(op)
}

// start lets a node begin its next call.
func (w *world) start() {
	n := w.node()
	w.begin(n)
}

func (w *world) begin(n *simNode) {
	if n.underway != nil {
		return
	}
	next := n.machine.next(time.UnixMilli(w.now))
	w.tell(n, next.settled)
	if next.kind != stepIdle {
		n.underway = &next
	}
}

// reply ends a node's call in one of the ways that the store and network know.
func (w *world) reply() {
	n := w.node()
	how := rapid.SampledFrom([]string{"ok", "ok", "lost reply", "lost request", "late", "down"}).Draw(w.t, "reply")
	w.end(n, how)
}

func (w *world) end(n *simNode, how string) {
	if n.underway == nil {
		return
	}
	call := *n.underway
	n.underway = nil
	switch call.kind {
	case stepRead:
		w.tell(n, w.read(n, how))
	case stepLoad:
		w.tell(n, w.load(n, call, how))
	case stepArchive:
		w.archive(n, call, how)
	default:
		w.tell(n, w.write(n, call, how))
	}
}

func (w *world) load(n *simNode, call step, how string) []settled {
	if how != "ok" {
		return n.machine.onLoad(call.archive, store.Entry{}, store.ErrUnavailable)
	}
	found := store.Entry{Value: w.archives[call.archive]}
	if found.Value != nil {
		found.Revision = 1
	}
	return n.machine.onLoad(call.archive, found, nil)
}

// archive ends the write of an archive, which creates it.
func (w *world) archive(n *simNode, call step, how string) {
	switch how {
	case "ok":
		n.machine.onArchive(w.create(call))
	case "lost reply":
		_ = w.create(call)
		n.machine.onArchive(store.ErrUnknown)
	case "late":
		w.late = append(w.late, call)
		n.machine.onArchive(store.ErrUnknown)
	case "lost request":
		n.machine.onArchive(store.ErrUnknown)
	default:
		n.machine.onArchive(store.ErrUnavailable)
	}
}

func (w *world) create(call step) error {
	if w.archives[call.archive] != nil {
		return store.ErrConflict
	}
	w.archives[call.archive] = call.value
	return nil
}

// sweep removes what a node takes for garbage.
func (w *world) sweep() {
	for _, name := range w.node().machine.takeGarbage() {
		delete(w.archives, name)
	}
}

func (w *world) read(n *simNode, how string) []settled {
	if how != "ok" {
		return n.machine.onRead(store.Entry{}, store.ErrUnavailable)
	}
	return n.machine.onRead(store.Entry{Value: w.value, Revision: w.revision}, nil)
}

func (w *world) write(n *simNode, call step, how string) []settled {
	switch how {
	case "ok":
		return n.machine.onWrite(w.swap(call))
	case "lost reply":
		// Whether it won or lost, the node does not hear of it.
		_, _ = w.swap(call)
		return n.machine.onWrite(0, store.ErrUnknown)
	case "late":
		w.late = append(w.late, call)
		return n.machine.onWrite(0, store.ErrUnknown)
	case "lost request":
		return n.machine.onWrite(0, store.ErrUnknown)
	}
	return n.machine.onWrite(0, store.ErrUnavailable)
}

func (w *world) swap(call step) (int64, error) {
	if call.revision != w.revision {
		return 0, store.ErrConflict
	}
	w.value = call.value
	w.revision++
	return w.revision, nil
}

// land lets one delayed write arrive.
func (w *world) land() {
	if len(w.late) == 0 {
		return
	}
	call := w.late[0]
	w.late = w.late[1:]
	if call.kind == stepArchive {
		_ = w.create(call)
		return
	}
	_, _ = w.swap(call)
}

// crash replaces a node; its call underway may still arrive.
func (w *world) crash() {
	n := w.node()
	if n.underway != nil && (n.underway.kind == stepWrite || n.underway.kind == stepArchive) {
		w.late = append(w.late, *n.underway)
	}
	*n = simNode{machine: newSimMachine()}
	w.crashed = true
}

// tell takes what callers are told. A second holder of an order, or a holder
// of one that was placed, is an order placed twice.
func (w *world) tell(n *simNode, ended []settled) {
	for _, s := range ended {
		w.answered(s)
		if s.op.kind != opClaim || !slices.Contains(n.claims, s.op) {
			continue
		}
		n.forget(s.op)
		w.hold(s.op, s.outcome)
	}
}

// hold notes who was told to send an order.
func (w *world) hold(op *operation, result outcome) {
	if result.err == nil && result.claim.State == Done {
		w.replayed[op.id] = op
	}
	if result.err != nil || result.claim.State != Fresh {
		return
	}
	if w.held[op.id] != nil || w.done[op.id] {
		w.fatal("order %q would be placed twice", op.id)
	}
	w.held[op.id] = op
}

// quiesce lets every node finish without further faults.
func (w *world) quiesce() {
	w.now += patienceMs + 1
	for len(w.asked) > 0 {
		w.resume(w.asked[0])
	}
	for range 3 {
		for _, n := range w.nodes {
			n.machine.flush()
			for range 10 * flightAttempts {
				w.begin(n)
				w.end(n, "ok")
			}
		}
	}
}

// What callers are told about an order is held against every other caller,
// over all interleavings of three nodes that rapid tries: replies lost,
// requests lost or late, nodes that die, callers who leave, claims made twice
// under one attempt id because the node that was asked for them was not heard. No order is given
// to two callers. And if no node died, an order that was never sent can be
// claimed once the store answers again; without the release of abandoned
// claims, and a write that voids those still on their way, it would stay "in
// doubt" for a day. One that was placed is answered with its result, from
// whichever archive it has moved to.
func TestMachineUnderAllLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t.Fatalf)
		t.Repeat(map[string]func(*rapid.T){
			"claim":  func(t *rapid.T) { w.t = t; w.claim() },
			"ask":    func(t *rapid.T) { w.t = t; w.ask() },
			"giveUp": func(t *rapid.T) { w.t = t; w.giveUp() },
			"leave":  func(t *rapid.T) { w.t = t; w.leave() },
			"finish": func(t *rapid.T) { w.t = t; w.finish() },
			"start":  func(t *rapid.T) { w.t = t; w.start() },
			"start2": func(t *rapid.T) { w.t = t; w.start() },
			"reply":  func(t *rapid.T) { w.t = t; w.reply() },
			"reply2": func(t *rapid.T) { w.t = t; w.reply() },
			"land":   func(t *rapid.T) { w.t = t; w.land() },
			"sweep":  func(t *rapid.T) { w.t = t; w.sweep() },
			"crash": func(t *rapid.T) {
				w.t = t
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					w.crash()
				}
			},
		})
		w.quiesce()
		for len(w.late) > 0 {
			w.land()
		}
		w.checkLive()
	})
}

// Orders are placed one after the other, so that there is much to be moved into
// archives, by nodes that go on from what they knew before the others moved it.
// Archives and the shards that name them are written with lost replies, lost and
// late requests, and what a node takes for garbage is removed at any time. Each
// order placed is answered with its result afterwards and none is placed twice.
func TestArchivesUnderAllLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t.Fatalf)
		w.ids = []string{"a", "b", "c", "d", "e", "f"}
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) { w.t = t; w.place() },
			"work":  func(t *rapid.T) { w.t = t; w.work(w.node()) },
			"start": func(t *rapid.T) { w.t = t; w.start() },
			"reply": func(t *rapid.T) { w.t = t; w.reply() },
			"land":  func(t *rapid.T) { w.t = t; w.land() },
			"sweep": func(t *rapid.T) { w.t = t; w.sweep() },
		})
		w.quiesce()
		for len(w.late) > 0 {
			w.land()
		}
		w.checkLive()
	})
}

// place claims an order at a node and, if it may, sends and records it there.
func (w *world) place() {
	n := w.node()
	w.count++
	op := &operation{kind: opClaim, id: rapid.SampledFrom(w.ids).Draw(w.t, "order"), attempt: fmt.Sprint("attempt-", w.count), at: int64(w.count)}
	n.machine.add(op)
	n.claims = append(n.claims, op)
	w.work(n)
	if w.held[op.id] != op {
		return
	}
	delete(w.held, op.id)
	w.done[op.id] = true
	n.machine.add(&operation{kind: opRecord, id: op.id, attempt: op.attempt, result: &Result{Status: 201}})
	w.work(n)
}

// work drives a node through some calls, most of which succeed.
func (w *world) work(n *simNode) {
	for range rapid.IntRange(0, 8).Draw(w.t, "calls") {
		w.begin(n)
		w.end(n, rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "ok", "lost reply", "lost request", "late"}).Draw(w.t, "reply"))
	}
}

// checkLive claims each order once more.
func (w *world) checkLive() {
	if w.crashed {
		return
	}
	for _, id := range w.ids {
		if w.held[id] != nil {
			continue
		}
		n := w.nodes[0]
		op := &operation{kind: opClaim, id: id, attempt: "last-" + id}
		n.machine.add(op)
		n.claims = append(n.claims, op)
		w.quiesce()
		switch {
		case w.done[id] && w.replayed[id] != op:
			w.fatal("order %q was placed, yet its result is not found", id)
		case !w.done[id] && w.held[id] != op:
			w.fatal("order %q was never sent, yet cannot be claimed", id)
		}
	}
}

// The caller whose claim was refused may place the order later, although the
// refused claim's write is still on its way. The write is delayed, the shard
// cannot be read back and the claim is refused; after the outage the node
// finds nothing to release, yet writes, so that the delayed claim compares a
// revision that is gone. Without that write it would land and leave an order
// in doubt that nobody sent.
func TestDelayedClaimIsVoided(t *testing.T) {
	w := newWorld(t.Fatalf)
	n := w.nodes[0]
	n.machine.add(&operation{kind: opClaim, id: "a", attempt: "first"})
	for _, how := range []string{"ok", "late", "down"} {
		w.begin(n)
		w.end(n, how)
	}
	w.quiesce()
	w.land()
	w.checkLive()
}

// The same for a claim that another node was asked for and whose write is
// delayed: neither node can read the shard back, and the asked one may not give
// the claim back. The one that asked was refused by itself too; it finds nothing
// to release, yet writes, and the delayed claim compares a revision that is gone.
func TestDelayedForeignClaimIsVoided(t *testing.T) {
	w := newWorld(t.Fatalf)
	near, far := w.nodes[0], w.nodes[1]
	far.machine.add(&operation{kind: opClaim, id: "a", attempt: "first", foreign: true, until: w.now + patienceMs})
	for _, how := range []string{"ok", "late", "down"} {
		w.begin(far)
		w.end(far, how)
	}
	near.machine.add(&operation{kind: opClaim, id: "a", attempt: "first", astray: true})
	w.begin(near)
	w.end(near, "down")
	w.quiesce()
	w.land()
	w.checkLive()
}

// A caller whose claim met another one may place the order later. The node that
// was asked for the claim is writing it together with the release of the claim
// that stands; the node that asked gives up waiting, still finds the old claim
// and tells its caller "in doubt". Then the write lands. Without a release by the
// node that asked, the claim that nobody uses would stand for a day.
func TestClaimBehindAReleaseIsVoided(t *testing.T) {
	w := newWorld(t.Fatalf)
	near, far := w.nodes[0], w.nodes[1]
	run := func(n *simNode, op *operation) {
		n.machine.add(op)
		for n.machine.busy() {
			w.begin(n)
			w.end(n, "ok")
		}
	}
	run(far, &operation{kind: opClaim, id: "a", attempt: "standing"})
	far.machine.add(&operation{kind: opRelease, id: "a", attempt: "standing"})
	far.machine.add(&operation{kind: opClaim, id: "a", attempt: "first", foreign: true, until: w.now + patienceMs})
	w.begin(far)
	if far.underway == nil || far.underway.kind != stepWrite {
		t.Fatal("the release and the claim are not in one write")
	}
	w.now += patienceMs + 1
	run(near, &operation{kind: opClaim, id: "a", attempt: "first", astray: true})
	w.end(far, "ok")
	w.quiesce()
	w.checkLive()
}

// A node that keeps losing a shard to others is not starved by them: those who
// got through leave growing gaps, and a batch underway ignores its own. Without
// the gap three nodes at full load refused whole batches after a dozen
// conflicts each.
func TestGapBetweenBatchesOfAContendedShard(t *testing.T) {
	w := newWorld(t.Fatalf)
	n := w.nodes[0]
	batch := func(conflicts int) {
		w.count++
		n.machine.add(&operation{kind: opClaim, id: fmt.Sprint(w.count), attempt: fmt.Sprint(w.count)})
		for n.machine.busy() {
			w.begin(n)
			if n.underway != nil && n.underway.kind == stepWrite && conflicts > 0 {
				conflicts--
				w.revision++
			}
			w.end(n, "ok")
		}
	}
	for i, c := range []struct {
		conflicts int
		want      time.Duration
	}{{0, 0}, {1, minGap}, {3, 2 * minGap}, {0, minGap}, {0, 0}} {
		batch(c.conflicts)
		if n.machine.gap != c.want {
			t.Fatalf("batch %d: the gap is %v, want %v", i, n.machine.gap, c.want)
		}
	}
}
