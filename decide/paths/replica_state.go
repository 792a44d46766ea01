package paths

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

const (
	// avoidDuration is how long a refusal for want of room makes a replica the last
	// choice: the time in which some streams of a few seconds end.
	avoidDuration = 150 * time.Millisecond
	// rejectionFactor is what a refusal for want of room leaves of the room that is reckoned
	// with, and roomPerSecond the part that comes back each second: what other nodes
	// have booked ends within the seconds that streams last.
	rejectionFactor   = 0.85
	recoveryPerSecond = 0.1
	// minUsable is the smallest part of a replica's room that is reckoned with.
	minUsable = 0.1
	// lowUtilization: a replica that refuses although no more than this part of its room is
	// booked does so for another reason.
	lowUtilization = 0.6
)

// usableFraction is the part of its share of a replica's room that a node can use. Nodes
// book without knowing of one another; where they together book more than there is,
// the replica refuses, and each takes less until it no longer does.
type usableFraction struct {
	value   float64
	updated time.Time
}

func (f *usableFraction) at(now time.Time) float64 {
	if f.value >= 1 {
		return 1
	}
	return min(1, f.value+recoveryPerSecond*now.Sub(f.updated).Seconds())
}

// reduce lowers the part. Refusals that come together are one sign.
func (f *usableFraction) reduce(now time.Time) {
	if now.Sub(f.updated) < avoidDuration {
		return
	}
	f.value, f.updated = max(minUsable, f.at(now)*rejectionFactor), now
}

// Reserve books tokens of memory along a path.
func (s *Selector) Reserve(path Path, tokens float64) {
	for _, part := range path {
		if n, ok := s.replicas[part.Replica]; ok {
			n.reserved += tokens * float64(part.Layers.Len())
		}
	}
}

// Release gives back what Hold booked.
func (s *Selector) Release(path Path, tokens float64) {
	for _, part := range path {
		if n, ok := s.replicas[part.Replica]; ok {
			n.reserved = max(0, n.reserved-tokens*float64(part.Layers.Len()))
		}
	}
}

// Reserved is what this node has booked on each replica, in tokens times layers.
func (s *Selector) Reserved() map[string]float64 {
	reserved := map[string]float64{}
	for _, n := range s.sorted {
		if n.reserved > 0 {
			reserved[n.ID] = n.reserved
		}
	}
	return reserved
}

// Suspect leaves a replica out after a sign that it is gone, until Alive. silent says
// that its machine does not answer either. It says whether the suspicion is new.
func (s *Selector) Suspect(now time.Time, id string, hostUnreachable bool) bool {
	n, ok := s.replicas[id]
	if !ok {
		return false
	}
	n.hostUnreachable = n.hostUnreachable || hostUnreachable
	if n.suspected {
		return false
	}
	n.suspected, n.suspectedSince = true, now
	return true
}

// MarkLayersMissing notes that a replica does not hold what it is listed with: it was started
// anew, or its address is another's now. That its machine answers says nothing then;
// it is left out until it has told what it holds.
func (s *Selector) MarkLayersMissing(id string) {
	if n, ok := s.replicas[id]; ok {
		n.layersMissing = true
	}
}

// MarkAlive notes a sign that a replica lives. It says whether it was suspected.
func (s *Selector) MarkAlive(id string) bool {
	n, ok := s.replicas[id]
	if !ok || !n.suspected {
		return false
	}
	n.suspected, n.hostUnreachable = false, false
	return true
}

// Suspected says whether a replica is left out.
func (s *Selector) Suspected(id string) bool {
	n, ok := s.replicas[id]
	return ok && n.suspected
}

// HostUnreachable says whether a replica is left out because its machine does not answer.
func (s *Selector) HostUnreachable(id string) bool {
	n, ok := s.replicas[id]
	return ok && n.hostUnreachable
}

// Len is how many replicas are listed.
func (s *Selector) Len() int { return len(s.replicas) }

// Replica returns a replica that is listed.
func (s *Selector) Replica(id string) (Replica, bool) {
	n, ok := s.replicas[id]
	if !ok {
		return Replica{}, false
	}
	return n.Replica, true
}

// Suspects returns the replicas that are suspected.
func (s *Selector) Suspects() []Replica {
	var list []Replica
	for _, n := range s.sorted {
		if n.suspected {
			list = append(list, n.Replica)
		}
	}
	return list
}

// SetSlowdown notes how much slower than its kind a replica says it is, 1 for not at all.
// It says whether that has changed what the replica counts as.
func (s *Selector) SetSlowdown(id string, slowdown float64) bool {
	n, ok := s.replicas[id]
	if !ok {
		return false
	}
	before := n.slowdown
	n.slowdown = max(1, slowdown)
	return (before >= SlowThreshold) != (n.slowdown >= SlowThreshold)
}

// Slowdown is how much slower than its kind a replica is known to be, 1 for not at all.
func (s *Selector) Slowdown(id string) float64 {
	if n, ok := s.replicas[id]; ok {
		return n.slowdown
	}
	return 1
}

// SlowThreshold is the pace from which a replica is asked again until it is well.
const SlowThreshold = 1.5

// Slow returns the replicas that are slower than their kind.
func (s *Selector) Slow() []Replica {
	var list []Replica
	for _, n := range s.sorted {
		if n.slowdown >= SlowThreshold && !n.suspected {
			list = append(list, n.Replica)
		}
	}
	return list
}

// SuspectedFor says whether a replica has been suspected for at least the given time.
func (s *Selector) SuspectedFor(now time.Time, id string, least time.Duration) bool {
	n, ok := s.replicas[id]
	return ok && n.suspected && now.Sub(n.suspectedSince) >= least
}

// RecordRejection notes that a replica has refused as if for want of room. It says whether it turns
// requests away for another reason: as far as is known here it has room.
func (s *Selector) RecordRejection(now time.Time, id string) (backedOff bool) {
	n, ok := s.replicas[id]
	if !ok {
		return false
	}
	if s.utilization(now, n, 0) <= lowUtilization {
		n.backoff.extend(now)
		return true
	}
	n.usable.reduce(now)
	n.avoidUntil = now.Add(avoidDuration)
	return false
}

// BackOff notes the word of others that a replica turns requests away.
func (s *Selector) BackOff(now time.Time, id string) {
	if n, ok := s.replicas[id]; ok {
		n.backoff.extend(now)
	}
}

// BackedOff returns the replicas that turn requests away.
func (s *Selector) BackedOff(now time.Time) []string {
	var list []string
	for _, n := range s.sorted {
		if n.backoff.active(now) {
			list = append(list, n.ID)
		}
	}
	return list
}

// Avoid makes a replica the last choice for a moment, without a lesson about its room.
func (s *Selector) Avoid(now time.Time, id string) {
	if n, ok := s.replicas[id]; ok {
		n.avoidUntil = now.Add(avoidDuration)
	}
}

// NeedsReroute says whether a replica that is listed is about to leave, or no longer holds
// the span.
func (s *Selector) NeedsReroute(id string, span layers.Span) bool {
	n, ok := s.replicas[id]
	return ok && (n.Replica.Draining || !n.Holds.Covers(span))
}

// ByAddress returns the id of the replica at an address, or "".
func (s *Selector) ByAddress(address string) string {
	for _, n := range s.sorted {
		if n.Address == address {
			return n.ID
		}
	}
	return ""
}

// PeakUtilization is the part of the room that is booked on the fullest replica of each failure
// domain.
func (s *Selector) PeakUtilization(now time.Time) map[string]float64 {
	peak := map[string]float64{}
	for _, n := range s.sorted {
		if !n.Holds.Empty() && n.Capacity > 0 {
			peak[n.Domain] = max(peak[n.Domain], s.utilization(now, n, 0))
		}
	}
	return peak
}

// Known says whether a replica is in the list.
func (s *Selector) Known(id string) bool {
	_, ok := s.replicas[id]
	return ok
}
