package balance

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
)

// maxKeptStateChanges is the largest number of state changes that are kept until the
// caller fetches them. If more changes occur, the oldest changes are dropped.
const maxKeptStateChanges = 64

// ReplicaStateChange records that a replica was ejected, is being probed or returned
// to use. The caller should log each change.
type ReplicaStateChange struct {
	At        time.Time
	ReplicaID string
	From, To  health.State
	// Cause is the cause of the replica's last ejection.
	Cause health.Cause
}

// Changes returns the state changes since the last call of Changes, oldest first.
// Callers should call Changes after Pick and after Finished.
func (b *Balancer) Changes() []ReplicaStateChange {
	changes := b.stateChanges
	b.stateChanges = nil
	return changes
}

func (b *Balancer) recordStateChange(now time.Time, m *member, to health.State) {
	if len(b.stateChanges) == maxKeptStateChanges {
		b.stateChanges = b.stateChanges[1:]
	}
	b.stateChanges = append(b.stateChanges, ReplicaStateChange{At: now, ReplicaID: m.ID, From: m.healthState, To: to, Cause: m.health.Cause()})
}

// Status is what the node knows of a replica in its subset.
type Status struct {
	Replica
	// InNearestDomain is set if the replica is in the nearest failure domain.
	InNearestDomain bool
	Leaving         bool
	State           health.State
	Cause           health.Cause
	// InFlight is the number of this node's in-flight requests at the replica.
	InFlight int
	// OtherNodeRequests estimates the number of other nodes' requests at the
	// replica, from its last load report and the load reports of the other
	// replicas in its tier.
	OtherNodeRequests float64
	// ReportAge is the age of the replica's last load report. It is negative if no
	// report has arrived.
	ReportAge time.Duration
	// Utilization is the replica's load per unit of effective capacity.
	Utilization float64
	// Slowness is the replica's delay relative to the median delay of all replicas
	// in the subset.
	Slowness float64
	// SlowStartFraction is the fraction of the replica's capacity that slow start
	// allows now.
	SlowStartFraction float64
}

// Status returns, for operators, what the node knows of each replica in its subset.
func (b *Balancer) Status(now time.Time) []Status {
	var statuses []Status
	for _, t := range []*tier{&b.nearTier, &b.spillTier} {
		for _, m := range t.members {
			statuses = append(statuses, b.statusOf(now, m))
		}
	}
	return statuses
}

func (b *Balancer) statusOf(now time.Time, m *member) Status {
	s := Status{
		Replica:           m.Replica,
		InNearestDomain:   m.tier == &b.nearTier,
		Leaving:           m.leaving,
		State:             m.health.State(),
		Cause:             m.health.Cause(),
		InFlight:          int(m.inflightRequests),
		OtherNodeRequests: b.estimatedOtherNodeRequests(now, m),
		ReportAge:         -1,
		Utilization:       b.utilization(now, m),
		Slowness:          m.health.Slowness(),
		SlowStartFraction: b.slowStartFraction(now, m),
	}
	if !m.lastReportMadeAt.IsZero() {
		s.ReportAge = now.Sub(m.lastReportMadeAt)
	}
	return s
}
