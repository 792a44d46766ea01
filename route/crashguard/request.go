package crashguard

import (
	"context"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/state/wait"
)

// Replica is the destination of an attempt. Incarnation and Version are 0 and "" if they are not
// known. A replica that consists of several engines has an address for each.
type Replica struct {
	ID          string
	Incarnation int64
	Version     string
	Addresses   []string
}

// Request is one request with what it brings along. Only one goroutine uses it.
type Request struct {
	guard       *Guard
	id, service string
	// parts are the parts of its prompt that other requests may share, shared in number, and then
	// what identifies the request itself.
	parts  []poison.Part
	shared int
	// trial is set if this request finds out whether an isolated part still crashes replicas.
	trial bool
	// replica is that of the attempt in progress. sentAt and firstEventAt are the times of this
	// attempt; proven is set once the attempt has cleared the parts.
	replica              Replica
	sentAt, firstEventAt time.Time
	events               int
	proven               bool
	// resumed is set if the replica has to give only a part of the answer. If each replica gives a part
	// and then crashes, the answer becomes complete all the same.
	resumed bool
	// mustClear is set if a replica has crashed before it answered this request: the request may
	// be the cause, and is tried again only if its parts are cleared.
	mustClear bool
}

// Check returns a *Refusal if the request must not be sent to any replica.
func (r *Request) Check() error {
	if r == nil {
		return nil
	}
	part, verdict := r.guard.worst(r.parts)
	if verdict < poison.Held || r.trial || r.guard.isolations.trialDue(part) {
		return nil
	}
	return refuse(part, verdict)
}

// Begin asks for an attempt at a replica, and returns a *Refusal if there must be none. Otherwise
// End must follow.
func (r *Request) Begin(ctx context.Context) error {
	if r == nil {
		return nil
	}
	if part, verdict := r.guard.worst(r.parts); verdict == poison.Isolated && !r.trial {
		r.trial = r.guard.isolations.claimTrial(ctx, part, r.id)
	}
	var refusal *Refusal
	r.waitFor(ctx, func() bool {
		refusal = r.guard.takeTurn(r)
		return refusal == nil || r.stopped()
	})
	if refusal != nil {
		return refusal
	}
	return nil
}

const (
	// clearWait is how long a request waits for its suspect parts to be cleared. Other nodes that
	// have seen answers to them tell so within two exchanges.
	clearWait = 600 * time.Millisecond
	// clearPoll is the time between two looks.
	clearPoll = 25 * time.Millisecond
)

// waitFor waits until a condition holds, at most for clearWait.
func (r *Request) waitFor(ctx context.Context, holds func() bool) {
	until := r.guard.Now().Add(clearWait)
	for !holds() && r.guard.Now().Before(until) && wait.For(ctx, clearPoll) {
	}
}

// Sent records that the attempt is sent to a replica.
func (r *Request) Sent(replica Replica) {
	if r == nil {
		return
	}
	r.replica, r.sentAt, r.firstEventAt, r.events, r.proven = replica, r.guard.Now(), time.Time{}, 0, false
}

// Event records that an event of the answer has arrived.
func (r *Request) Event() {
	if r == nil {
		return
	}
	r.guard.wentOn(r.replica, r.sentAt)
	if r.proven {
		return
	}
	r.events++
	now := r.guard.Now()
	if r.firstEventAt.IsZero() {
		r.firstEventAt = now
	}
	if r.events >= poison.ProvenEvents && now.Sub(r.firstEventAt) >= poison.ProvenAfter {
		r.prove()
	}
}

// Answered records that the answer is complete.
func (r *Request) Answered() {
	if r == nil {
		return
	}
	if !r.proven {
		r.prove()
	}
	if !r.resumed {
		r.guard.answered(r)
	}
}

// Resume records that a replica has to give only a part of the answer, from now on.
func (r *Request) Resume() {
	if r != nil {
		r.resumed = true
	}
}

// prove records that the answer has gone on for a while. Parts that are suspect all the same have
// crashed replicas later in their answers, so they keep their turn.
func (r *Request) prove() {
	r.proven = true
	r.guard.begun(r)
	if _, verdict := r.guard.worst(r.parts); verdict == poison.Clear {
		r.guard.endTurn(r)
	}
}

// BrokenOff finds out whether the replica's process ended before the answer was complete.
func (r *Request) BrokenOff(ctx context.Context) {
	if r == nil {
		return
	}
	end := r.findEnd(ctx)
	if end == stillRuns {
		go r.guard.lookAgain(*r)
		return
	}
	r.recordCrash(end, 0)
	r.mustClear = end == hasEnded && !r.proven && r.events < provenEvents
	r.resumed = r.resumed || r.events > 0
	r.trial = false
}

// Join records what another attempt at the same request, which has ended, has found out: if its
// replica crashed before it answered, this request is not tried again either.
func (r *Request) Join(other *Request) {
	if r != nil && other != nil {
		r.mustClear = r.mustClear || other.mustClear
		r.resumed = r.resumed || other.resumed
		r.trial = r.trial || other.trial
	}
}

// MayHedge reports whether the request may run at a second replica beside the present one. A request
// that may crash its replica runs at one at a time.
func (r *Request) MayHedge() bool {
	if r == nil {
		return true
	}
	_, verdict := r.guard.worst(r.parts)
	return verdict == poison.Clear
}

// Crashed reports whether a replica has crashed before it answered this request.
func (r *Request) Crashed() bool { return r != nil && r.mustClear }

// Left finds out later whether the process of a replica that was left has ended.
func (r *Request) Left() {
	if r != nil {
		go r.guard.lookAgain(*r)
	}
}

// provenEvents is the number of events after which a request whose replica crashed may be tried
// again at once. Replicas that crash on a part have written one event at most.
const provenEvents = 2

// lookAgainAfter is the time after which a replica that has broken off and still accepts connections
// is probed once more. The connections of a process that ends may be closed before its listener is.
const lookAgainAfter = 150 * time.Millisecond

// lookAgain probes the replica of a request, of which it has a copy, once more.
func (g *Guard) lookAgain(r Request) {
	leftAt := g.Now()
	time.Sleep(lookAgainAfter)
	end := r.findEnd(context.Background())
	if end == stillRuns && g.listShowsEnd(r.replica) {
		end = mayHaveEnded
	}
	if end != stillRuns {
		r.recordCrash(end, g.Now().Sub(leftAt))
	}
}

const (
	// listShowsEndWithin is the time in which the list of replicas shows that a silent replica is gone,
	// or that one has started again.
	listShowsEndWithin = 6 * time.Second
	listPoll           = 250 * time.Millisecond
	// maxAwaitingList bounds the requests that wait for the list at a time.
	maxAwaitingList = 64
)

// listShowsEnd waits for a while until the list of replicas shows that a replica's process has ended: it
// is gone or has another incarnation. A host that is out of reach looks the same to a probe whether it
// has failed or the link to it has.
func (g *Guard) listShowsEnd(replica Replica) bool {
	if g.Incarnation == nil || replica.Incarnation == 0 {
		return false
	}
	defer g.awaitingList.Add(-1)
	if g.awaitingList.Add(1) > maxAwaitingList {
		return false
	}
	for until := g.Now().Add(listShowsEndWithin); g.Now().Before(until); time.Sleep(listPoll) {
		if incarnation, listed := g.Incarnation(replica.ID); !listed || incarnation != replica.Incarnation {
			return true
		}
	}
	return false
}

// processEnd is what is known of the end of a replica's process.
type processEnd uint8

const (
	// stillRuns also stands for a host that is out of reach.
	stillRuns processEnd = iota
	// mayHaveEnded means that the port closes connections as it accepts them, or that the list shows
	// that the replica is gone or has started again.
	mayHaveEnded
	// hasEnded means that the host refuses connections.
	hasEnded
)

// findEnd finds out whether the replica's process has ended. A replica that keeps a connection has
// only lost some, and a host that does not answer is out of reach.
func (r *Request) findEnd(ctx context.Context) processEnd {
	end := stillRuns
	for _, e := range r.guard.Prober.FindUnreachable(ctx, connprobe.ReasonBrokenOff, r.replica.Addresses) {
		switch {
		case e.Resets:
			end = max(end, mayHaveEnded)
		case !e.HostUnreachable:
			end = hasEnded
		}
	}
	return end
}

// recordCrash records the end of the replica's process some time ago.
func (r *Request) recordCrash(end processEnd, age time.Duration) {
	g := r.guard
	g.Metrics.ReplicaEnded(r.service)
	c := poison.Crash{Process: poison.Process{Replica: r.replica.ID, Incarnation: r.replica.Incarnation}, Version: r.replica.Version, Age: age, Uncertain: end == mayHaveEnded}
	progress := poison.Waiting
	if r.proven {
		progress = poison.Begun
	}
	for _, p := range r.parts {
		c.Exposed = append(c.Exposed, poison.Exposure{Part: p, SentAge: g.Now().Sub(r.sentAt), Progress: progress})
	}
	g.Log.Info("replica ended", "service", r.service, "replica", r.replica.ID, "incarnation", r.replica.Incarnation,
		"request", r.id, "events", r.events, "proven", r.proven, "certain", end == hasEnded, "parts", strings.Join(r.partIDs(), ","))
	g.crashed(c)
}

func (r *Request) partIDs() []string {
	ids := make([]string, 0, len(r.parts))
	for _, p := range r.parts {
		ids = append(ids, p.ID)
	}
	return ids
}

// End ends the attempt.
func (r *Request) End() {
	if r != nil {
		r.guard.endTurn(r)
	}
}

// stopped reports whether the request must be sent to no replica.
func (r *Request) stopped() bool {
	_, verdict := r.guard.worst(r.parts)
	return verdict >= poison.Held && !r.trial
}

// HoldBack returns a *Refusal if the request must not be tried again: it is isolated, or a replica has
// crashed before it answered the request, and other nodes do not clear the shared parts of the request
// in time. No other node can clear what is the request's own.
func (r *Request) HoldBack(ctx context.Context) *Refusal {
	if r == nil {
		return nil
	}
	if _, verdict := r.guard.worst(r.parts[r.shared:]); verdict == poison.Suspect {
		// Other nodes may know of more crashes under the same request.
		r.waitFor(ctx, r.stopped)
	}
	if r.stopped() {
		return refuseAgain(r.guard.worst(r.parts))
	}
	if !r.mustClear {
		return nil
	}
	var part poison.Part
	var verdict poison.Verdict
	r.waitFor(ctx, func() bool {
		part, verdict = r.guard.worst(r.parts[:r.shared])
		return verdict != poison.Suspect
	})
	if verdict == poison.Clear {
		r.mustClear = false
		return nil
	}
	return refuseAgain(part, verdict)
}

// refuseAgain refuses another attempt. The request may have run, so its caller is not told to come back.
func refuseAgain(part poison.Part, verdict poison.Verdict) *Refusal {
	refusal := refuse(part, verdict)
	refusal.RetryAfter = 0
	return refusal
}
