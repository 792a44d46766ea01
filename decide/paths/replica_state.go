package paths

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

const (
	// avoidDuration is how long a replica is the last choice after it refused for lack of
	// capacity: the time in which some streams of a few seconds end.
	avoidDuration = 150 * time.Millisecond
	// refusalFactor scales the usable fraction of the capacity down at each refusal for
	// lack of capacity. recoveryPerSecond is the fraction that comes back each second:
	// reservations of other nodes end within the seconds that streams last.
	refusalFactor     = 0.85
	recoveryPerSecond = 0.1
	// minUsableFraction is the lower bound of the usable fraction.
	minUsableFraction = 0.1
	// lowUtilization: a replica that refuses a request although at most this fraction of its
	// capacity is reserved does so for another reason than lack of capacity.
	lowUtilization = 0.6
)

// usableFraction is the fraction of its share of a replica's capacity that a node can
// use. Nodes reserve without knowing each other's latest reservations. When they
// together reserve more than the capacity, the replica refuses requests, and each node
// lowers its fraction until the refusals stop.
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

// reduce lowers the fraction. Refusals within avoidDuration count as one.
func (f *usableFraction) reduce(now time.Time) {
	if now.Sub(f.updated) < avoidDuration {
		return
	}
	f.value, f.updated = max(minUsableFraction, f.at(now)*refusalFactor), now
}

// Reserve reserves memory for a number of tokens in all layers of a path.
func (s *Selector) Reserve(path Path, tokens float64) {
	for _, stage := range path {
		if r, ok := s.replicas[stage.Replica]; ok {
			r.reserved += tokens * float64(stage.Layers.Len())
		}
	}
}

// Release releases a reservation that was made with Reserve.
func (s *Selector) Release(path Path, tokens float64) {
	for _, stage := range path {
		if r, ok := s.replicas[stage.Replica]; ok {
			r.reserved = max(0, r.reserved-tokens*float64(stage.Layers.Len()))
		}
	}
}

// Reserved returns what this node has reserved on each replica, in tokens times layers.
func (s *Selector) Reserved() map[string]float64 {
	reserved := map[string]float64{}
	for _, r := range s.sorted {
		if r.reserved > 0 {
			reserved[r.ID] = r.reserved
		}
	}
	return reserved
}

// Suspect excludes a replica that looks dead, until MarkAlive. hostUnreachable means that
// its machine doesn't answer either. Suspect reports whether the suspicion is new.
func (s *Selector) Suspect(now time.Time, id string, hostUnreachable bool) bool {
	r, ok := s.replicas[id]
	if !ok {
		return false
	}
	r.hostUnreachable = r.hostUnreachable || hostUnreachable
	if r.suspected {
		return false
	}
	r.suspected, r.suspectedSince = true, now
	return true
}

// MarkLayersMissing records that a replica doesn't hold the layers that it is listed
// with: it was restarted, or another replica has its address now. A probe of its machine
// succeeds none the less, so the replica is excluded until it has reported its layers
// again.
func (s *Selector) MarkLayersMissing(id string) {
	if r, ok := s.replicas[id]; ok {
		r.layersMissing = true
	}
}

// MarkAlive records that a replica answers. It reports whether the replica was suspected.
func (s *Selector) MarkAlive(id string) bool {
	r, ok := s.replicas[id]
	if !ok || !r.suspected {
		return false
	}
	r.suspected, r.hostUnreachable = false, false
	return true
}

// Suspected reports whether a replica is suspected to be dead.
func (s *Selector) Suspected(id string) bool {
	r, ok := s.replicas[id]
	return ok && r.suspected
}

// HostUnreachable reports whether a replica is suspected and its machine doesn't answer.
func (s *Selector) HostUnreachable(id string) bool {
	r, ok := s.replicas[id]
	return ok && r.hostUnreachable
}

// Len returns the number of listed replicas.
func (s *Selector) Len() int { return len(s.replicas) }

// Replica returns a listed replica.
func (s *Selector) Replica(id string) (Replica, bool) {
	r, ok := s.replicas[id]
	if !ok {
		return Replica{}, false
	}
	return r.Replica, true
}

// Suspects returns the suspected replicas.
func (s *Selector) Suspects() []Replica {
	var list []Replica
	for _, r := range s.sorted {
		if r.suspected {
			list = append(list, r.Replica)
		}
	}
	return list
}

// SetSlowdown records the slowdown that a replica reports against its kind of card, 1 for
// none. It reports whether the replica has become slow or is no longer slow.
func (s *Selector) SetSlowdown(id string, slowdown float64) bool {
	r, ok := s.replicas[id]
	if !ok {
		return false
	}
	previous := r.slowdown
	r.slowdown = max(1, slowdown)
	return (previous >= SlowThreshold) != (r.slowdown >= SlowThreshold)
}

// Slowdown returns the last reported slowdown of a replica against its kind of card, 1 for
// none.
func (s *Selector) Slowdown(id string) float64 {
	if r, ok := s.replicas[id]; ok {
		return r.slowdown
	}
	return 1
}

// SlowThreshold is the slowdown from which a replica counts as slow and is asked for its
// slowdown again until it has recovered.
const SlowThreshold = 1.5

// Slow returns the slow replicas that are not suspected.
func (s *Selector) Slow() []Replica {
	var list []Replica
	for _, r := range s.sorted {
		if r.slowdown >= SlowThreshold && !r.suspected {
			list = append(list, r.Replica)
		}
	}
	return list
}

// SuspectedFor reports whether a replica has been suspected for at least the given time.
func (s *Selector) SuspectedFor(now time.Time, id string, minDuration time.Duration) bool {
	r, ok := s.replicas[id]
	return ok && r.suspected && now.Sub(r.suspectedSince) >= minDuration
}

// RecordRefusal records that a replica refused a request for lack of capacity. If the
// replica has capacity as far as this node knows, it refuses for another reason: it is
// backed off, and RecordRefusal returns true.
func (s *Selector) RecordRefusal(now time.Time, id string) (backedOff bool) {
	r, ok := s.replicas[id]
	if !ok {
		return false
	}
	if s.utilization(now, r, 0) <= lowUtilization {
		r.backoff.extend(now)
		return true
	}
	r.usableFraction.reduce(now)
	r.avoidUntil = now.Add(avoidDuration)
	return false
}

// BackOff records other nodes' reports that a replica refuses requests although it has
// capacity.
func (s *Selector) BackOff(now time.Time, id string) {
	if r, ok := s.replicas[id]; ok {
		r.backoff.extend(now)
	}
}

// BackedOff returns the replicas in a backoff period.
func (s *Selector) BackedOff(now time.Time) []string {
	var list []string
	for _, r := range s.sorted {
		if r.backoff.active(now) {
			list = append(list, r.ID)
		}
	}
	return list
}

// Avoid makes a replica the last choice for avoidDuration, without lowering its usable
// capacity.
func (s *Selector) Avoid(now time.Time, id string) {
	if r, ok := s.replicas[id]; ok {
		r.avoidUntil = now.Add(avoidDuration)
	}
}

// NeedsReroute reports whether a listed replica is draining or no longer holds the span,
// so that requests which run the span there must be rerouted.
func (s *Selector) NeedsReroute(id string, span layers.Span) bool {
	r, ok := s.replicas[id]
	return ok && (r.Replica.Draining || !r.Holds.Covers(span))
}

// ByAddress returns the id of the replica at an address, or "".
func (s *Selector) ByAddress(address string) string {
	for _, r := range s.sorted {
		if r.Address == address {
			return r.ID
		}
	}
	return ""
}

// PeakUtilization returns the utilization of the fullest replica of each failure domain.
func (s *Selector) PeakUtilization(now time.Time) map[string]float64 {
	peak := map[string]float64{}
	for _, r := range s.sorted {
		if !r.Holds.Empty() && r.Capacity > 0 {
			peak[r.Domain] = max(peak[r.Domain], s.utilization(now, r, 0))
		}
	}
	return peak
}

// Known reports whether a replica is listed.
func (s *Selector) Known(id string) bool {
	_, ok := s.replicas[id]
	return ok
}
