package targets

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/peerreports"
)

// lookAgain is between two looks at a replica on the word of other nodes.
const lookAgain = time.Second

// sight is what this node has last seen of a replica itself.
type sight struct {
	at   time.Time
	lost bool
	// away is set for one that turns requests away.
	away bool
	// pace is of one that is not lost; 0 if it was only reached.
	pace float64
}

// knowledge is what this node has seen of replicas, and done on the word of others. The
// model's lock guards it.
type knowledge struct {
	seen map[string]sight
	// believed is when another node's word on a replica was last taken, looked when that
	// was a reason to look.
	believed, looked map[string]time.Time
}

func newKnowledge() knowledge {
	return knowledge{seen: map[string]sight{}, believed: map[string]time.Time{}, looked: map[string]time.Time{}}
}

// forget drops what is too old to matter.
func (k *knowledge) forget(now time.Time) {
	for id, s := range k.seen {
		if now.Sub(s.at) >= peerreports.ValidFor {
			delete(k.seen, id)
		}
	}
	for _, times := range []map[string]time.Time{k.believed, k.looked} {
		for id, at := range times {
			if now.Sub(at) >= peerreports.ValidFor {
				delete(times, id)
			}
		}
	}
}

// Seen is what this node has seen of replicas itself, of late.
func (m *Model) Seen() []peerreports.Observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.knowledge.forget(now)
	var claims []peerreports.Observation
	for id, s := range m.knowledge.seen {
		if !s.lost && !s.away && s.pace == 0 {
			continue
		}
		claims = append(claims, peerreports.Observation{Replica: id, Unreachable: s.lost, Refusing: s.away, Slowdown: s.pace, Age: now.Sub(s.at), Nodes: 1})
	}
	return claims
}

// StillLost notes that a suspected replica was tried in vain again.
func (m *Model) StillLost(replica string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knowledge.seen[replica] = sight{at: m.now(), lost: true}
}

// Judge decides on what other nodes have seen. It takes what it may believe, and returns
// that and the replicas that this node is to look at.
func (m *Model) Judge(node string, near []string, claims []peerreports.Observation) peerreports.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.knowledge.forget(now)
	verdict := peerreports.Evaluate(claims, peerreports.View{
		Node: node, DomainNodes: near, Known: m.book.Known, Suspected: m.book.Suspected,
		Replicas: m.book.Len(), SuspectedCount: len(m.book.Suspects()),
	})
	for _, c := range verdict.Accept {
		m.believe(now, c)
	}
	look := verdict.Verify[:0]
	for _, c := range verdict.Verify {
		seen := m.knowledge.seen[c.Replica]
		if now.Sub(m.knowledge.looked[c.Replica]) >= lookAgain && now.Sub(seen.at) >= lookAgain {
			m.knowledge.looked[c.Replica] = now
			look = append(look, c)
		}
	}
	verdict.Verify = look
	return verdict
}

// believe takes a claim. A replica that others have lost gets no new requests; those that
// run through it are led away once they go silent, as it may only be leaving, and go on
// with what it has. The caller holds the lock.
func (m *Model) believe(now time.Time, c peerreports.Observation) {
	if s, ok := m.knowledge.seen[c.Replica]; ok && now.Sub(s.at) <= c.Age {
		return // this node has seen it later
	}
	m.knowledge.believed[c.Replica] = now
	switch {
	case c.Unreachable:
		m.book.Suspect(now, c.Replica, false)
		return
	case c.Refusing:
		m.book.TurnsAway(now, c.Replica)
		return
	}
	m.book.SetPace(c.Replica, c.Slowdown)
}

// Followed says whether others have told of a replica of late, so that this node need not
// ask it.
func (m *Model) Followed(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.knowledge.believed[replica]
	return ok && m.now().Sub(at) < peerreports.ValidFor
}
