package paths

import (
	"math"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

const (
	// avoidDuration is how long avoidFactor raises the cost of a replica, for example after
	// the replica refused a request for lack of capacity. Streams last a few
	// seconds, so some of them end within this time.
	avoidDuration = 150 * time.Millisecond
	// Each refusal for lack of capacity multiplies the usable fraction of the capacity by
	// refusalFactor. The fraction then rises by recoveryPerSecond each second: streams last
	// seconds, and when streams of peers end, their reservations end too.
	refusalFactor     = 0.85
	recoveryPerSecond = 0.1
	// minUsableFraction is the lower bound of the usable fraction of the capacity.
	minUsableFraction = 0.1
	// A replica with a utilization of at most lowUtilization is assumed to refuse a request for
	// another reason than lack of capacity.
	lowUtilization = 0.6
)

// usableFraction is the fraction of a replica's capacity that this node counts as
// available, from minUsableFraction to 1. Nodes reserve without knowing each other's latest
// reservations. When they together reserve more than the capacity, the replica refuses
// requests, and each node lowers its own fraction until the refusals stop.
type usableFraction struct {
	value     float64 // usable fraction at updatedAt
	updatedAt time.Time
}

// at returns the usable fraction at the time now: the last stored value and its recovery
// since then.
func (f *usableFraction) at(now time.Time) float64 {
	if f.value >= 1 {
		return 1
	}
	return min(1, f.value+recoveryPerSecond*now.Sub(f.updatedAt).Seconds())
}

// reduce lowers the usable fraction after a refusal. Further refusals within avoidDuration
// don't lower the fraction again.
func (f *usableFraction) reduce(now time.Time) {
	if now.Sub(f.updatedAt) < avoidDuration {
		return
	}
	f.value, f.updatedAt = max(minUsableFraction, f.at(now)*refusalFactor), now
}

// Reserve reserves the capacity that a request of the given number of tokens takes on each
// replica of its path.
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
	for _, r := range s.sortedByID {
		if r.reserved > 0 {
			reserved[r.ID] = r.reserved
		}
	}
	return reserved
}

// Suspect records that a replica looks dead. The replica is excluded from paths until MarkAlive
// is called or the replica restarts. hostUnreachable means that the machine of the replica
// doesn't answer either. Suspect reports whether the replica was not suspected before.
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
// with: it was restarted, or another replica has its address now. The replica is excluded
// from paths until it has reported its layers again. MarkAlive doesn't end this exclusion,
// because probes of the replica's machine succeed in both cases.
func (s *Selector) MarkLayersMissing(id string) {
	if r, ok := s.replicas[id]; ok {
		r.layersMissing = true
	}
}

// MarkDraining records that a replica accepts no new requests, until Update says otherwise.
func (s *Selector) MarkDraining(id string) {
	if r, ok := s.replicas[id]; ok {
		r.Replica.Draining = true
	}
}

// MarkAlive records that a replica answers and is no longer suspected to be dead. MarkAlive
// reports whether the replica was suspected before.
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

// HostUnreachable reports whether a replica is suspected to be dead and the machine of the
// replica doesn't answer either.
func (s *Selector) HostUnreachable(id string) bool {
	r, ok := s.replicas[id]
	return ok && r.hostUnreachable
}

// Len returns the number of listed replicas.
func (s *Selector) Len() int { return len(s.replicas) }

// Replica returns a replica as it is listed, and false if it is not listed.
func (s *Selector) Replica(id string) (Replica, bool) {
	r, ok := s.replicas[id]
	if !ok {
		return Replica{}, false
	}
	return r.Replica, true
}

// Suspects returns the replicas that are suspected to be dead.
func (s *Selector) Suspects() []Replica {
	var list []Replica
	for _, r := range s.sortedByID {
		if r.suspected {
			list = append(list, r.Replica)
		}
	}
	return list
}

// SetSlowdown records the slowdown that a replica reports: its step time divided by the
// usual step time of its kind of card. SetSlowdown reports whether the replica has become
// slow or is no longer slow (SlowThreshold). A slowdown that is not a number changes nothing.
func (s *Selector) SetSlowdown(id string, slowdown float64) bool {
	r, ok := s.replicas[id]
	if !ok || math.IsNaN(slowdown) {
		return false
	}
	previousSlowdown := r.slowdown
	r.slowdown = min(max(1, slowdown), MaxSlowdown)
	return (previousSlowdown >= SlowThreshold) != (r.slowdown >= SlowThreshold)
}

// Slowdown returns the last reported slowdown of a replica, at least 1.
func (s *Selector) Slowdown(id string) float64 {
	if r, ok := s.replicas[id]; ok {
		return r.slowdown
	}
	return 1
}

// SlowThreshold is the lowest slowdown at which a replica counts as slow. The node asks a slow
// replica for its slowdown repeatedly, until the slowdown is below SlowThreshold.
const SlowThreshold = 1.5

// MaxSlowdown stands for any higher slowdown. The cost of a path must stay finite, or a replica
// could not be used even if no other holds its layers.
const MaxSlowdown = 1e4

// Slow returns the slow replicas (SlowThreshold) that are not suspected to be dead.
func (s *Selector) Slow() []Replica {
	var list []Replica
	for _, r := range s.sortedByID {
		if r.slowdown >= SlowThreshold && !r.suspected {
			list = append(list, r.Replica)
		}
	}
	return list
}

// SuspectedFor reports whether a replica has been suspected to be dead for at least minDuration.
func (s *Selector) SuspectedFor(now time.Time, id string, minDuration time.Duration) bool {
	r, ok := s.replicas[id]
	return ok && r.suspected && now.Sub(r.suspectedSince) >= minDuration
}

// RecordRefusal records that a replica refused a request. If the utilization of the replica
// is at most lowUtilization as far as this node knows, the replica must have another reason
// than lack of capacity: a backoff period starts, and RecordRefusal returns true. Otherwise
// RecordRefusal lowers the usable fraction of the capacity and returns false.
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

// BackOff starts a backoff period for a replica after another node has reported that the
// replica refuses requests although it has capacity.
func (s *Selector) BackOff(now time.Time, id string) {
	if r, ok := s.replicas[id]; ok {
		r.backoff.extend(now)
	}
}

// BackedOff returns the IDs of the replicas in a backoff period.
func (s *Selector) BackedOff(now time.Time) []string {
	var list []string
	for _, r := range s.sortedByID {
		if r.backoff.active(now) {
			list = append(list, r.ID)
		}
	}
	return list
}

// Avoid makes a replica the last choice in its failure domain for avoidDuration, without
// lowering the usable fraction of its capacity.
func (s *Selector) Avoid(now time.Time, id string) {
	if r, ok := s.replicas[id]; ok {
		r.avoidUntil = now.Add(avoidDuration)
	}
}

// NeedsReroute reports whether requests that run the span on a replica must be rerouted: the
// replica is listed, and it is draining or doesn't hold all layers of the span.
func (s *Selector) NeedsReroute(id string, span layers.Span) bool {
	r, ok := s.replicas[id]
	return ok && (r.Replica.Draining || !r.Holds.Covers(span))
}

// ByAddress returns the ID of the replica that is listed with an address, or "" if none
// is.
func (s *Selector) ByAddress(address string) string {
	for _, r := range s.sortedByID {
		if r.Address == address {
			return r.ID
		}
	}
	return ""
}

// PeakUtilization returns the highest utilization of a replica in each failure domain.
func (s *Selector) PeakUtilization(now time.Time) map[string]float64 {
	peakUtilization := map[string]float64{}
	for _, r := range s.sortedByID {
		if !r.Holds.Empty() && r.Capacity > 0 {
			peakUtilization[r.Domain] = max(peakUtilization[r.Domain], s.utilization(now, r, 0))
		}
	}
	return peakUtilization
}

// Known reports whether a replica is listed.
func (s *Selector) Known(id string) bool {
	_, ok := s.replicas[id]
	return ok
}
