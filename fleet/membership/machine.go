package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// suspicionFloor intervals, and suspicionFactor times log2 of the fleet's
	// size more, is the time that a suspect has to refute: a rumor needs about
	// log2(n) intervals to reach it and as many to come back.
	suspicionFloor  = 4
	suspicionFactor = 2
	// isolationIntervals without any contact mean that this node, not its
	// peers, is cut off.
	isolationIntervals = 5
	// pauseIntervals between two ticks mean that this node was frozen.
	pauseIntervals = 4
	// goneRetention keeps a tombstone long enough that no late rumor of the
	// same incarnation can bring the member back.
	goneRetention = 10 * time.Minute
	// unheardBackoff intervals pass before a listed VM that did not answer is
	// tried again.
	unheardBackoff = 10
	// drainFanout peers are told of a drain at once, and each that learns of
	// it tells relayFanout more.
	drainFanout = 8
	joinFanout  = 4
	relayFanout = 2
	// suspectFanout peers hear of a suspicion at once from a node that finds a
	// peer silent: all others in fleets of up to nine. With relayFanout the last of
	// six nodes named a dead one for 3.6 intervals on average, so for 2.0.
	suspectFanout = 8
	// refuteFanout peers hear a refutation at once: a suspect gets no work.
	refuteFanout = 4
	// suspectsSent is how many suspects a message names beside its rumors.
	suspectsSent = 2
)

// entry is a member with what only this node knows of it.
type entry struct {
	Member
	// deadline for refuting a suspicion; zero: not suspected.
	deadline time.Time
	// retryAfter holds back exchanges with a VM that has never answered.
	retryAfter time.Time
	// goneAt is when this node learned that the member is gone.
	goneAt time.Time
	// failedOnce: the last exchange failed, the next tick tries once more.
	failedOnce bool
	listed     bool
	leaving    bool
	// listedIncarnation is the incarnation held when the list was last read,
	// at listedAt.
	listedIncarnation int64
	listedAt          time.Time
}

// Machine is one node's view. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	rand    *rand.Rand
	entries map[string]*entry
	// suspects holds the names of entries with a deadline.
	suspects map[string]bool
	digest   uint64
	rumors   rumors
	peers    peers
	repair   repair

	lastTick    time.Time
	lastContact time.Time
	// toldSuspicion is when this node last told others of a suspicion at once.
	toldSuspicion time.Time
	batch         Batch
}

// New returns the view of a node that knows only itself.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{
		cfg:         cfg,
		rand:        rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Self.Name)))),
		entries:     map[string]*entry{},
		suspects:    map[string]bool{},
		rumors:      rumors{news: map[string]*rumor{}},
		peers:       peers{near: ring{size: nearKept}, far: ring{size: farKept}},
		lastTick:    now,
		lastContact: now,
	}
	m.repair.whole = true
	m.put(now, cfg.Self)
	return m
}

// Step takes one input and returns what is to be done about it.
func (m *Machine) Step(now time.Time, in Input) Batch {
	m.batch = Batch{}
	switch in := in.(type) {
	case Tick:
		m.tick(now)
	case Received:
		m.received(now, in.Message)
	case Answered:
		m.answered(now, in)
	case Failed:
		m.failed(now, in)
	case Listed:
		m.list(now, in.VMs)
	case Serve:
		m.advanceSelf(now, Live)
	case Drain:
		m.advanceSelf(now, Draining)
	case Relay:
		m.relayKept(now)
	}
	return m.batch
}

// Self is this node's own record.
func (m *Machine) Self() Member { return m.entries[m.cfg.Self.Name].Member }

// Members returns the view in name order, tombstones included.
func (m *Machine) Members() []Member {
	list := make([]Member, 0, len(m.entries))
	for _, e := range m.entries {
		list = append(list, e.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// LastContact is when this node last heard from any peer.
func (m *Machine) LastContact() time.Time { return m.lastContact }

// Joined says that a peer's whole view was received since the start.
func (m *Machine) Joined() bool { return !m.repair.whole }

// Digest of the view; equal views have equal digests.
func (m *Machine) Digest() uint64 { return m.digest }

func (m *Machine) tick(now time.Time) {
	m.forgivePause(now)
	m.expire(now)
	for _, name := range m.peers.next(m, now) {
		m.send(now, name)
	}
}

// forgivePause moves every deadline by the time that this node was frozen.
// Without it a node that wakes finds every suspicion expired at once and
// declares members gone that refuted meanwhile. It is enough because the
// refutations wait in the peers' next exchanges.
func (m *Machine) forgivePause(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap <= pauseIntervals*m.cfg.Interval {
		return
	}
	m.lastContact = m.lastContact.Add(gap)
	for name := range m.suspects {
		e := m.entries[name]
		e.deadline = e.deadline.Add(gap)
	}
}

// expire declares suspects gone whose time is up, and drops old tombstones. A
// node that hears nobody holds its verdicts: it is the one cut off, and would
// otherwise declare the whole fleet gone.
func (m *Machine) expire(now time.Time) {
	if m.isolated(now) {
		return
	}
	for _, name := range m.sortedSuspects() {
		e := m.entries[name]
		if e.State == Gone {
			m.expireTombstone(now, e)
			continue
		}
		if now.After(e.deadline) {
			gone := e.Member
			gone.State = Gone
			m.put(now, gone)
		}
	}
}

func (m *Machine) expireTombstone(now time.Time, e *entry) {
	if e.listed || now.Sub(e.goneAt) < goneRetention {
		return
	}
	delete(m.suspects, e.Name)
	m.remove(e)
}

func (m *Machine) sortedSuspects() []string {
	if len(m.suspects) == 0 {
		return nil
	}
	names := make([]string, 0, len(m.suspects))
	for name := range m.suspects {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (m *Machine) isolated(now time.Time) bool {
	return now.Sub(m.lastContact) > isolationIntervals*m.cfg.Interval
}

// suspicionTime is how long a suspect has to refute.
func (m *Machine) suspicionTime() time.Duration {
	rounds := suspicionFloor + suspicionFactor*math.Log2(float64(len(m.entries)+1))
	return time.Duration(rounds * float64(m.cfg.Interval))
}

func (m *Machine) advanceSelf(now time.Time, state State) {
	self := m.Self()
	if self.State >= state {
		return
	}
	self.State = state
	m.put(now, self)
	if state == Draining {
		m.relay(now, drainFanout)
	}
}

// relay starts exchanges outside of the regular ones.
func (m *Machine) relay(now time.Time, fanout int) {
	for _, name := range m.peers.random(m, fanout) {
		m.send(now, name)
	}
}

// relayKept starts exchanges with peers that are kept anyway: with others each
// would cost a new connection, over TLS ten times the exchange's bytes. With a
// fanout of two four of five nodes hear so, the others with the next exchanges.
func (m *Machine) relayKept(now time.Time) {
	for _, name := range m.peers.randomKept(m, relayFanout) {
		m.send(now, name)
	}
}

func (m *Machine) send(now time.Time, name string) {
	e := m.entries[name]
	if e == nil {
		return
	}
	msg := m.message(name)
	msg.WantTable = m.repair.want(now, m.cfg.Interval, len(m.entries))
	m.batch.Sends = append(m.batch.Sends, Send{To: e.Member, Message: msg})
}

// message is this node's news for one peer. What is held about the peer
// itself goes first if it is not plain live: only the peer can refute it.
func (m *Machine) message(peer string) Message {
	msg := Message{Sender: m.Self(), Digest: m.digest}
	if e := m.entries[peer]; e != nil && e.Incarnation > 0 && e.State != Live && e.State != Joining {
		msg.Updates = append(msg.Updates, e.Member)
	}
	msg.Updates = m.addSuspects(msg.Updates, peer)
	msg.Updates = m.rumors.take(msg.Updates, peer, m.transmitLimit())
	return msg
}

// addSuspects names a few suspects with every message, taking turns. A peer
// that has heard the refutation answers with it. Left to the rumors alone, a
// refutation can die out before it reached a node with a bad link, which would
// declare a member gone that serves.
func (m *Machine) addSuspects(updates []Member, peer string) []Member {
	names := m.sortedSuspects()
	for i := range min(len(names), suspectsSent) {
		name := names[(m.peers.tick+i)%len(names)]
		if e := m.entries[name]; e.State == Suspect && name != peer {
			updates = append(updates, e.Member)
		}
	}
	return updates
}

// transmitLimit is how often one node passes on a piece of news.
func (m *Machine) transmitLimit() int {
	return transmitFactor * int(math.Ceil(math.Log2(float64(len(m.entries)+1))))
}

// Member returns what is known of one node.
func (m *Machine) Member(name string) (Member, bool) {
	e, ok := m.entries[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}
