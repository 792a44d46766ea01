package balance

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
)

// maxKeptChanges bounds the changes that are kept if the caller does not fetch them.
// The oldest changes are dropped first.
const maxKeptChanges = 64

// Change records that a replica was ejected, is being probed or returned to use.
// The caller logs it.
type Change struct {
	At       time.Time
	Replica  string
	From, To health.State
	// Cause is the cause of the replica's last ejection.
	Cause health.Cause
}

// Changes returns the changes since the last call, oldest first. Call it after Pick
// and Finished.
func (b *Balancer) Changes() []Change {
	changes := b.changes
	b.changes = nil
	return changes
}

func (b *Balancer) recordChange(now time.Time, m *member, to health.State) {
	if len(b.changes) == maxKeptChanges {
		b.changes = b.changes[1:]
	}
	b.changes = append(b.changes, Change{At: now, Replica: m.ID, From: m.healthState, To: to, Cause: m.health.Cause()})
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
	// OtherNodeRequests estimates the number of requests of other nodes there, from
	// the last report and the mean load.
	InFlight          int
	OtherNodeRequests float64
	// ReportAge is the age of the last load report; it is negative without a
	// report.
	ReportAge time.Duration
	// Utilization is the replica's load per unit of effective capacity. Slowness is
	// its delay relative to the median delay of the replicas. SlowStartFraction is
	// the fraction of its capacity that it may use now.
	Utilization       float64
	Slowness          float64
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
