package balance

import "time"

// leavingState records which sources report that a replica is leaving.
type leavingState struct {
	sources             uint8     // bit set, indexed by Source
	saidLeavingAt       time.Time // when an answer of the replica last said that it is shutting down
	leavingReportMadeAt time.Time // when the replica made its latest report with the leaving flag
}

func (l leavingState) has(s Source) bool { return l.sources&(1<<s) != 0 }

// SetLeaving records whether the platform's list of VMs says that a replica is
// leaving.
func (b *Balancer) SetLeaving(now time.Time, id string, leaving bool) {
	b.MarkLeaving(now, id, SourcePlatform, leaving)
}

// MarkLeaving records whether one source says that a replica is leaving. A replica
// gets no new requests while any source says that it is leaving. Each source can
// withdraw only its own statement. If the latest statement won regardless of its
// source, the platform's list, which lags, could withdraw the replica's own report
// of its shutdown. The leaving replica would then receive requests again.
func (b *Balancer) MarkLeaving(now time.Time, id string, source Source, leaving bool) {
	state := b.leavingStates[id]
	state.sources &^= 1 << source
	if leaving {
		state.sources |= 1 << source
	}
	b.setLeavingState(now, id, state)
}

// Leaving reports whether some source says that a replica is leaving.
func (b *Balancer) Leaving(id string) bool { return b.leavingStates[id].sources != 0 }

func (b *Balancer) setLeavingState(now time.Time, id string, state leavingState) {
	leaving := state.sources != 0
	if leaving {
		b.leavingStates[id] = state
	} else {
		delete(b.leavingStates, id)
	}
	if m := b.members[id]; m != nil && m.leaving != leaving {
		m.leaving = leaving
		b.groupByHealthState(now)
	}
}

// RecordLeavingAnswer marks a replica as leaving because an answer says so: a refusal
// that gives the shutdown as its reason, or any answer. A later load report does not
// withdraw the mark, because some engines do not report their shutdown. The mark ends
// when the replica disappears from the replica list, or after leavingAnswerTTL.
func (b *Balancer) RecordLeavingAnswer(now time.Time, id string) {
	state := b.leavingStates[id]
	state.sources |= 1 << sourceAnswer
	state.saidLeavingAt = now
	b.setLeavingState(now, id, state)
}

func (b *Balancer) expireLeavingAnswers(now time.Time) {
	for id, state := range b.leavingStates {
		if state.has(sourceAnswer) && now.Sub(state.saidLeavingAt) >= leavingAnswerTTL {
			b.MarkLeaving(now, id, sourceAnswer, false)
		}
	}
}

// updateLeavingFromReport applies the leaving flag of a load report. Reports from
// polls and from answers can arrive out of order. A report without the flag therefore
// withdraws the flag only if it was made after the latest report with the flag.
func (b *Balancer) updateLeavingFromReport(now time.Time, id string, report LoadReport) {
	state := b.leavingStates[id]
	madeAt := now.Add(-report.Age)
	switch {
	case report.Leaving:
		state.sources |= 1 << SourceEndpoint
		state.leavingReportMadeAt = madeAt
	case state.has(SourceEndpoint) && madeAt.After(state.leavingReportMadeAt):
		state.sources &^= 1 << SourceEndpoint
	default:
		return
	}
	b.setLeavingState(now, id, state)
}
