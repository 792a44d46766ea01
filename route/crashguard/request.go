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

// Request is one request whose prompt has parts that other requests may share. Only one goroutine
// uses it.
type Request struct {
	guard       *Guard
	id, service string
	parts       []poison.Part
	// trial is set if this request finds out whether an isolated part still crashes replicas.
	trial bool
	// replica is that of the attempt in progress. sentAt and firstEventAt are the times of this
	// attempt; proven is set once the attempt has cleared the parts.
	replica              Replica
	sentAt, firstEventAt time.Time
	events               int
	proven               bool
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
	if verdict != poison.Isolated || r.trial || r.guard.isolations.trialDue(part) {
		return nil
	}
	return &Refusal{Part: part, Verdict: verdict, RetryAfter: isolatedRetryAfter}
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
		return refusal == nil || refusal.Verdict == poison.Isolated
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
	r.guard.wentOn(r.replica.ID, r.sentAt)
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
	if r != nil && !r.proven {
		r.prove()
	}
}

func (r *Request) prove() {
	r.proven = true
	r.guard.endTurn(r)
	r.guard.answered(r)
}

// BrokenOff finds out whether the replica's process ended before the answer was complete.
func (r *Request) BrokenOff(ctx context.Context) {
	switch {
	case r == nil:
	case r.ended(ctx):
		r.recordCrash(0)
		r.mustClear = !r.proven && r.events < provenEvents
	case !r.proven:
		go r.guard.lookAgain(*r)
	}
}

// Join records what another attempt at the same request, which has ended, has found out: if its
// replica crashed before it answered, this request is not tried again either.
func (r *Request) Join(other *Request) {
	if r != nil && other != nil {
		r.mustClear = r.mustClear || other.mustClear
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
	if r != nil && !r.proven {
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
	time.Sleep(lookAgainAfter)
	if r.ended(context.Background()) {
		r.recordCrash(lookAgainAfter)
	}
}

// ended reports whether the replica's process has ended: the host refuses connections. A replica
// that accepts connections has only lost some, and a host that does not answer is out of reach.
func (r *Request) ended(ctx context.Context) bool {
	for _, e := range r.guard.Prober.FindUnreachable(ctx, connprobe.ReasonBrokenOff, r.replica.Addresses) {
		if !e.HostUnreachable {
			return true
		}
	}
	return false
}

// recordCrash records the end of the replica's process some time ago.
func (r *Request) recordCrash(age time.Duration) {
	g := r.guard
	g.Metrics.ReplicaEnded(r.service)
	c := poison.Crash{Process: poison.Process{Replica: r.replica.ID, Incarnation: r.replica.Incarnation}, Version: r.replica.Version, Age: age}
	if !r.proven {
		for _, p := range r.parts {
			c.Exposed = append(c.Exposed, poison.Exposure{Part: p, SentAge: g.Now().Sub(r.sentAt)})
		}
	}
	g.Log.Info("replica ended", "service", r.service, "replica", r.replica.ID, "incarnation", r.replica.Incarnation,
		"request", r.id, "events", r.events, "proven", r.proven, "parts", strings.Join(r.partIDs(), ","))
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

// HoldBack returns a *Refusal if the request must not be tried again: a replica has crashed before it
// answered the request, and other nodes do not clear the parts of the request in time.
func (r *Request) HoldBack(ctx context.Context) *Refusal {
	if r == nil || !r.mustClear {
		return nil
	}
	var part poison.Part
	var verdict poison.Verdict
	r.waitFor(ctx, func() bool {
		part, verdict = r.guard.worst(r.parts)
		return verdict != poison.Suspect
	})
	if verdict == poison.Clear {
		r.mustClear = false
		return nil
	}
	return &Refusal{Part: part, Verdict: verdict}
}
