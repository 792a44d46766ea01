package placement

import "time"

// maxBusyAhead limits how far in the future LoadSchedule.BusyUntil may lie. A later BusyUntil
// is ignored. A node whose clock is hours fast sets BusyUntil hours ahead. Without the limit,
// the loads of all other nodes would wait for hours.
const maxBusyAhead = time.Hour

// LoadSchedule says until when loads have reserved the weight store. All plans and all nodes
// share one schedule.
//
// Load pattern: a rack comes back, or the configuration changes, and the engines of many
// replicas fetch their layers. If each plan had its own schedule, all loads would start at
// once, share the rate of the store, and end at about the same late time. With a common
// schedule each load gets the full rate in turn, and the first replica serves as soon as
// its own layers are loaded.
//
// The schedule is a hint: a node with a wrong clock makes loads overlap or wait, but causes
// no other failure.
type LoadSchedule struct {
	// BusyUntil is the end of the last reserved load.
	BusyUntil time.Time
}

// Free reports whether a load could start now without waiting for reserved loads.
func (s LoadSchedule) Free(now time.Time) bool {
	return !s.BusyUntil.After(now) || s.BusyUntil.Sub(now) > maxBusyAhead
}

// Reserve schedules loads of the given durations one after the other behind the last
// reserved load, and returns their start times and the new schedule. A load of zero
// duration starts at once: the engine already holds the layers that it is ordered to hold.
func (s LoadSchedule) Reserve(now time.Time, durations []time.Duration) ([]time.Time, LoadSchedule) {
	if s.Free(now) {
		s.BusyUntil = now
	}
	startTimes := make([]time.Time, len(durations))
	for i, d := range durations {
		startTimes[i] = now
		if d > 0 {
			startTimes[i] = s.BusyUntil
			s.BusyUntil = s.BusyUntil.Add(d)
		}
	}
	return startTimes, s
}

// ReplicaState tells whether the engines of a replica hold the layers of its plan.
type ReplicaState uint8

const (
	// Unknown means that some engine of the replica has not answered.
	Unknown ReplicaState = iota
	// Loading means that some engine of the replica doesn't hold the layers of the plan yet,
	// so the replica doesn't serve.
	Loading
	// Ready means that the replica holds the layers of its plan and serves.
	Ready
)

// MayReload reports whether a serving replica may be stopped to load the layers of a better
// plan. others are the states of the other replicas that serve the same callers. Only one
// replica reloads at a time, and only while at least half of the others are ready.
//
// Load pattern: one bad switch makes the hops of every replica slower, and the plans of all
// replicas change in the same second. Without the limit, all of them stop serving for the
// seconds of their loads, and callers find no replica.
func MayReload(others []ReplicaState) bool {
	readyCount := 0
	for _, s := range others {
		switch s {
		case Loading:
			return false
		case Ready:
			readyCount++
		}
	}
	return 2*readyCount >= len(others)
}
