package membership

import (
	"hash/fnv"
	"time"
)

func (m *Machine) received(now time.Time, msg Message) {
	m.absorb(now, msg)
	reply := Message{Sender: m.Self(), Digest: m.digest}
	if msg.Digest != m.digest {
		reply = m.message(msg.Sender.Name)
		reply.Updates = append(m.corrections(msg), reply.Updates...)
	}
	if msg.WantTable {
		reply.Table = m.table()
	}
	m.batch.Reply = &reply
}

func (m *Machine) answered(now time.Time, in Answered) {
	joined := m.Joined()
	if in.AskedTable {
		m.repair.done(now)
	}
	m.absorb(now, in.Message)
	for _, u := range m.corrections(in.Message) {
		m.rumors.add(u)
	}
	if !joined && m.Joined() {
		// A newcomer is known to one peer; a few more make the rumor catch on at
		// once, and their records end a start without the store.
		m.relay(now, joinFanout)
	}
}

// corrections are what is held here of members of whom a peer told old news.
func (m *Machine) corrections(msg Message) []Member {
	var newer []Member
	for _, u := range msg.Updates {
		e := m.entries[u.Name]
		if e != nil && e.State != Gone && e.supersedes(u) {
			newer = append(newer, e.Member)
		}
	}
	return newer
}

func (m *Machine) absorb(now time.Time, msg Message) {
	m.lastContact = now
	m.mergeSender(now, msg.Sender)
	for _, u := range msg.Updates {
		m.merge(now, u)
	}
	for _, u := range msg.Table {
		m.merge(now, u)
	}
	equal := msg.Digest == m.digest
	m.repair.compare(equal)
	if equal {
		m.rumors.age(m.transmitLimit())
	}
}

// mergeSender takes the sender's word about itself, which is first-hand.
func (m *Machine) mergeSender(now time.Time, sender Member) {
	m.merge(now, sender)
	if e := m.entries[sender.Name]; e != nil {
		e.failedOnce = false
		e.retryAfter = time.Time{}
	}
}

// merge takes one piece of news.
func (m *Machine) merge(now time.Time, u Member) {
	if u.Incarnation > MaxIncarnation {
		return // no node has said that
	}
	if u.Name == m.cfg.Self.Name {
		m.mergeSelf(now, u)
		return
	}
	e := m.entries[u.Name]
	if e == nil {
		if u.State != Gone {
			m.put(now, u)
		}
		return
	}
	if !u.supersedes(e.Member) {
		return
	}
	if u.State == Gone {
		m.secondHandDeath(now, e, u)
		return
	}
	m.put(now, u)
	if u.State == Draining {
		m.relay(now, relayFanout)
	}
}

// secondHandDeath starts a suspicion, if none runs, and lets this node's own
// deadline decide. Two halves of a healed partition each hold the other half
// for gone; taken at its word, the first rumor across would make live members
// vanish from entry answers fleet-wide until each has refuted. This way they
// have the usual time for it, and a dead one goes a little later.
func (m *Machine) secondHandDeath(now time.Time, e *entry, u Member) {
	if u.Incarnation > e.Incarnation {
		u.State = Suspect
		m.put(now, u)
		return
	}
	m.suspect(now, e)
}

// mergeSelf refutes news about this node that is wrong: a suspicion, or a
// record of an earlier life that looks newer because the clock went back.
func (m *Machine) mergeSelf(now time.Time, u Member) {
	self := m.Self()
	if !u.supersedes(self) {
		return
	}
	if u.Incarnation == self.Incarnation && u.State == Draining {
		m.advanceSelf(now, Draining)
		return
	}
	self.Incarnation = u.Incarnation + 1
	m.put(now, self)
	m.relay(now, refuteFanout)
}

// put stores a member, keeps digest and deadlines in step and spreads the news.
func (m *Machine) put(now time.Time, u Member) {
	e := m.entries[u.Name]
	if e == nil {
		e = &entry{}
		m.entries[u.Name] = e
	} else {
		m.digest ^= fingerprint(e.Member)
	}
	old := e.Member
	e.Member = u
	m.digest ^= fingerprint(u)
	m.setDeadline(now, e)
	if u.Incarnation > 0 {
		m.rumors.add(u)
	}
	m.batch.Changes = append(m.batch.Changes, Change{Old: old, New: u})
}

func (m *Machine) setDeadline(now time.Time, e *entry) {
	switch e.State {
	case Suspect:
		e.deadline = now.Add(m.suspicionTime())
		m.suspects[e.Name] = true
	case Gone:
		e.goneAt = now
		m.suspects[e.Name] = true
	default:
		e.deadline = time.Time{}
		delete(m.suspects, e.Name)
	}
}

func (m *Machine) remove(e *entry) {
	m.digest ^= fingerprint(e.Member)
	delete(m.entries, e.Name)
	gone := e.Member
	gone.State = Gone
	m.batch.Changes = append(m.batch.Changes, Change{Old: e.Member, New: gone})
}

// failed notes that a peer did not answer. One failure is tried again at the
// next tick, the second makes a suspicion, so that one lost packet makes none. A
// refused connection is no lost packet: the VM answers and the node's process is
// gone. It makes a suspicion at once, or callers are sent there for an interval
// more. A node that is just restarting refutes it by its new incarnation.
func (m *Machine) failed(now time.Time, in Failed) {
	peer := in.Peer
	e := m.entries[peer]
	if e == nil || e.State == Gone {
		return
	}
	if e.Incarnation == 0 {
		e.retryAfter = now.Add(unheardBackoff * m.cfg.Interval)
		return
	}
	if !e.failedOnce && !in.Refused {
		e.failedOnce = true
		m.peers.retry = append(m.peers.retry, peer)
		return
	}
	e.failedOnce = false
	if m.isolated(now) {
		return
	}
	// Only the start of a suspicion is told, and once in an interval: an exchange
	// begun for it that fails would else start the next, and on a network that
	// loses much, where suspicions are refuted and begin anew, that has no end.
	if m.suspect(now, e) && now.Sub(m.toldSuspicion) >= m.cfg.Interval {
		m.toldSuspicion = now
		m.relay(now, suspectFanout)
	}
}

// suspect starts a suspicion. A draining member keeps its state, so that it is
// not mistaken for a live one once it refutes, but has the same deadline. It
// returns false if a suspicion was running.
func (m *Machine) suspect(now time.Time, e *entry) bool {
	if !e.deadline.IsZero() {
		return false
	}
	switch e.State {
	case Joining, Live:
		u := e.Member
		u.State = Suspect
		m.put(now, u)
		return true
	case Draining:
		e.deadline = now.Add(m.suspicionTime())
		m.suspects[e.Name] = true
		return true
	}
	return false
}

// list joins the platform's list, a hint, with what peers saw. A VM that only
// the list knows is joining; a member that peers saw stays although the list
// lost it.
func (m *Machine) list(now time.Time, vms []VM) {
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		seen[vm.Name] = true
		if vm.Name != m.cfg.Self.Name {
			m.listOne(now, vm)
		}
	}
	for name, e := range m.entries {
		if seen[name] || name == m.cfg.Self.Name {
			continue
		}
		e.listed = false
		if e.Incarnation == 0 {
			m.remove(e)
		}
	}
}

func (m *Machine) listOne(now time.Time, vm VM) {
	e := m.entries[vm.Name]
	if e == nil && vm.Leaving {
		return
	}
	if e == nil {
		m.put(now, Member{Name: vm.Name, Address: vm.Address, FailureDomain: vm.FailureDomain})
		e = m.entries[vm.Name]
	}
	// The list lags: after a restart it may still say that the predecessor is
	// leaving. Only a change to leaving within one incarnation counts; else
	// the new one would be drained for good.
	started := vm.Leaving && !e.leaving && e.listed && e.sameLife()
	if started && e.Incarnation > 0 && e.State < Draining {
		u := e.Member
		u.State = Draining
		m.put(now, u)
		m.relay(now, relayFanout)
	}
	e.listed = true
	e.leaving = vm.Leaving
	e.listedIncarnation = e.Incarnation
	e.listedAt = now
}

// sameLife says that the member already ran when the list was last read.
func (e *entry) sameLife() bool {
	if e.listedIncarnation == 0 {
		return e.Incarnation <= e.listedAt.UnixMilli()
	}
	return e.listedIncarnation == e.Incarnation
}

// table is the view without what only the list knows. Tombstones are in it: a
// node that missed both suspicion and death would hold the member for live.
func (m *Machine) table() []Member {
	all := m.Members()
	kept := all[:0]
	for _, u := range all {
		if u.Incarnation > 0 {
			kept = append(kept, u)
		}
	}
	return kept
}

// fingerprint of a member in the digest of a view. Members that only the list
// knows and tombstones count for nothing, as nodes drop them at their own time.
func fingerprint(u Member) uint64 {
	if u.Incarnation == 0 || u.State == Gone {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(u.Name))
	var tail [9]byte
	for i := range 8 {
		tail[i] = byte(u.Incarnation >> (8 * i))
	}
	tail[8] = byte(u.State)
	h.Write(tail[:])
	return h.Sum64()
}
