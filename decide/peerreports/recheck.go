package peerreports

import "time"

const (
	// soloInterval is the time between two tries to reach a suspected replica by a node that is
	// not one of the replica's Verifiers, while other nodes report the replica as lost.
	soloInterval = 2 * time.Second
	// tryInterval is the shortest time between two tries of a node.
	tryInterval = 400 * time.Millisecond
	// tryMargin lets a try begin early by the inaccuracy of the caller's timer.
	tryMargin = 50 * time.Millisecond
)

// Suspect is what a node knows about a replica that it suspects to be lost.
type Suspect struct {
	// Verifier is set if the node is one of the Verifiers of the replica.
	Verifier bool
	// TriedAt is when the node last tried to reach the replica. ReachedByPeerAt and LostAtPeerAt
	// are when another node has reached it, or has failed to. Zero if not known.
	TriedAt, ReachedByPeerAt, LostAtPeerAt time.Time
}

// TryDue reports whether the node should try to reach the replica now. The Verifiers try again
// and again and report the result. The other nodes try as soon as one of them has reached the
// replica. They try seldom while others report the loss, in case that the Verifiers are lost too or
// have other links, and as often as the Verifiers if no other node knows of the loss.
func (s Suspect) TryDue(now time.Time) bool {
	interval := soloInterval
	switch {
	case s.Verifier, s.ReachedByPeerAt.After(s.TriedAt), now.Sub(s.LostAtPeerAt) >= ValidFor:
		interval = tryInterval
	}
	return now.Sub(s.TriedAt) >= interval-tryMargin
}
