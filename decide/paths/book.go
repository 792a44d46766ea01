package paths

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

const (
	// fullPause is how long a refusal for want of room makes a replica the last
	// choice: the time in which some streams of a few seconds end.
	fullPause = 150 * time.Millisecond
	// fullStep is what a refusal for want of room leaves of the room that is reckoned
	// with, and roomPerSecond the part that comes back each second: what other nodes
	// have booked ends within the seconds that streams last.
	fullStep      = 0.85
	roomPerSecond = 0.1
	// leastRoom is the smallest part of a replica's room that is reckoned with.
	leastRoom = 0.1
	// emptyUse: a replica that refuses although no more than this part of its room is
	// booked does so for another reason.
	emptyUse = 0.6
)

// learned is the part of its share of a replica's room that a node can use. Nodes
// book without knowing of one another; where they together book more than there is,
// the replica refuses, and each takes less until it no longer does.
type learned struct {
	part float64
	at0  time.Time
}

func (l *learned) at(now time.Time) float64 {
	if l.part >= 1 {
		return 1
	}
	return min(1, l.part+roomPerSecond*now.Sub(l.at0).Seconds())
}

// refused lowers the part. Refusals that come together are one sign.
func (l *learned) refused(now time.Time) {
	if now.Sub(l.at0) < fullPause {
		return
	}
	l.part, l.at0 = max(leastRoom, l.at(now)*fullStep), now
}

// Hold books tokens of memory along a path.
func (b *Book) Hold(path Path, tokens float64) {
	for _, part := range path {
		if n, ok := b.nodes[part.Replica]; ok {
			n.booked += tokens * float64(part.Run.Len())
		}
	}
}

// Release gives back what Hold booked.
func (b *Book) Release(path Path, tokens float64) {
	for _, part := range path {
		if n, ok := b.nodes[part.Replica]; ok {
			n.booked = max(0, n.booked-tokens*float64(part.Run.Len()))
		}
	}
}

// Booked is what this node has booked on each replica, in tokens times layers.
func (b *Book) Booked() map[string]float64 {
	booked := map[string]float64{}
	for _, n := range b.order {
		if n.booked > 0 {
			booked[n.ID] = n.booked
		}
	}
	return booked
}

// Suspect leaves a replica out after a sign that it is gone, until Alive. silent says
// that its machine does not answer either. It says whether the suspicion is new.
func (b *Book) Suspect(now time.Time, id string, silent bool) bool {
	n, ok := b.nodes[id]
	if !ok {
		return false
	}
	n.silent = n.silent || silent
	if n.suspected {
		return false
	}
	n.suspected, n.since = true, now
	return true
}

// Misheld notes that a replica does not hold what it is listed with: it was started
// anew, or its address is another's now. That its machine answers says nothing then;
// it is left out until it has told what it holds.
func (b *Book) Misheld(id string) {
	if n, ok := b.nodes[id]; ok {
		n.misheld = true
	}
}

// Alive notes a sign that a replica lives. It says whether it was suspected.
func (b *Book) Alive(id string) bool {
	n, ok := b.nodes[id]
	if !ok || !n.suspected {
		return false
	}
	n.suspected, n.silent = false, false
	return true
}

// Suspected says whether a replica is left out.
func (b *Book) Suspected(id string) bool {
	n, ok := b.nodes[id]
	return ok && n.suspected
}

// Silent says whether a replica is left out because its machine does not answer.
func (b *Book) Silent(id string) bool {
	n, ok := b.nodes[id]
	return ok && n.silent
}

// Len is how many replicas are listed.
func (b *Book) Len() int { return len(b.nodes) }

// Replica returns a replica that is listed.
func (b *Book) Replica(id string) (Replica, bool) {
	n, ok := b.nodes[id]
	if !ok {
		return Replica{}, false
	}
	return n.Replica, true
}

// Suspects returns the replicas that are suspected.
func (b *Book) Suspects() []Replica {
	var list []Replica
	for _, n := range b.order {
		if n.suspected {
			list = append(list, n.Replica)
		}
	}
	return list
}

// SetPace notes how much slower than its kind a replica says it is, 1 for not at all.
// It says whether that has changed what the replica counts as.
func (b *Book) SetPace(id string, pace float64) bool {
	n, ok := b.nodes[id]
	if !ok {
		return false
	}
	was := n.pace
	n.pace = max(1, pace)
	return (was >= SlowPace) != (n.pace >= SlowPace)
}

// Pace is how much slower than its kind a replica is known to be, 1 for not at all.
func (b *Book) Pace(id string) float64 {
	if n, ok := b.nodes[id]; ok {
		return n.pace
	}
	return 1
}

// SlowPace is the pace from which a replica is asked again until it is well.
const SlowPace = 1.5

// Slow returns the replicas that are slower than their kind.
func (b *Book) Slow() []Replica {
	var list []Replica
	for _, n := range b.order {
		if n.pace >= SlowPace && !n.suspected {
			list = append(list, n.Replica)
		}
	}
	return list
}

// Lost says whether a replica has been suspected for at least the given time.
func (b *Book) Lost(now time.Time, id string, after time.Duration) bool {
	n, ok := b.nodes[id]
	return ok && n.suspected && now.Sub(n.since) >= after
}

// Full notes that a replica has refused as if for want of room. It says whether it turns
// requests away for another reason: as far as is known here it has room.
func (b *Book) Full(now time.Time, id string) (turnsAway bool) {
	n, ok := b.nodes[id]
	if !ok {
		return false
	}
	if b.use(now, n, 0) <= emptyUse {
		n.away.refused(now)
		return true
	}
	n.room.refused(now)
	n.full = now.Add(fullPause)
	return false
}

// TurnsAway notes the word of others that a replica turns requests away.
func (b *Book) TurnsAway(now time.Time, id string) {
	if n, ok := b.nodes[id]; ok {
		n.away.refused(now)
	}
}

// Away returns the replicas that turn requests away.
func (b *Book) Away(now time.Time) []string {
	var list []string
	for _, n := range b.order {
		if n.away.at(now) {
			list = append(list, n.ID)
		}
	}
	return list
}

// Avoid makes a replica the last choice for a moment, without a lesson about its room.
func (b *Book) Avoid(now time.Time, id string) {
	if n, ok := b.nodes[id]; ok {
		n.full = now.Add(fullPause)
	}
}

// Leaving says whether a replica that is listed is about to leave, or no longer holds
// the span.
func (b *Book) Leaving(id string, span layers.Span) bool {
	n, ok := b.nodes[id]
	return ok && (n.Replica.Leaving || !n.Holds.Covers(span))
}

// ByAddress returns the id of the replica at an address, or "".
func (b *Book) ByAddress(address string) string {
	for _, n := range b.order {
		if n.Address == address {
			return n.ID
		}
	}
	return ""
}

// Used is the part of the room that is booked on the fullest replica of each failure
// domain.
func (b *Book) Used(now time.Time) map[string]float64 {
	used := map[string]float64{}
	for _, n := range b.order {
		if !n.Holds.Empty() && n.Room > 0 {
			used[n.Domain] = max(used[n.Domain], b.use(now, n, 0))
		}
	}
	return used
}

// Known says whether a replica is in the list.
func (b *Book) Known(id string) bool {
	_, ok := b.nodes[id]
	return ok
}
