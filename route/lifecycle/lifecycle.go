// Package lifecycle is what calls of all kinds of service have in common: a call
// is let in, or refused at once; its decisions are recorded; its end is counted.
//
//	visit, refusal := desk.Visit(c)
//	pass, err := visit.Enter(ctx, cost)
//	if err != nil { visit.Refuse(w, ...) }
//	defer pass.Leave(used)
package lifecycle

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/route/admissionqueue"
	"github.com/cicadatack/cicadatack/route/callparser"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/service"
	"github.com/cicadatack/cicadatack/route/teamlimiter"
)

// setupRetry is when a caller may ask again for a service that the document
// names and this node is just setting up.
const setupRetry = time.Second

// Figures is told what became of calls; metrics implement it.
type Figures interface {
	Request(service, team, outcome string)
	Refused(service, reason string)
	Waited(service string, d time.Duration)
}

// Desk lets calls in. Safe for concurrent use.
type Desk struct {
	Services *service.Registry
	Limits   *teamlimiter.Limiter
	Record   decisionlog.Recorder
	Figures  Figures
	Now      func() time.Time
}

// Visit is one call on its way through the node. It is for one goroutine.
type Visit struct {
	*callparser.Call
	// At is the service as this node has it; Spec, in the Call, is the
	// document's.
	At   *service.Service
	desk *Desk
}

// Pass is a call's right to run.
type Pass struct {
	visit  *Visit
	ticket *admissionqueue.Permit
	cost   float64
	since  time.Time
}

// Visit begins a call.
func (d *Desk) Visit(c *callparser.Call) (*Visit, *outcome.Refusal) {
	v := &Visit{Call: c, At: d.Services.Get(c.Service.Name), desk: d}
	if v.At != nil {
		return v, nil
	}
	return v, &outcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       "not_ready",
		Message:    "the service is being set up",
		Outcome:    outcome.NotRun,
		RetryAfter: setupRetry,
	}
}

// Enter books the expected cost, in tokens, against the team's limit and waits
// for room. It fails with an *outcome.Refusal, or with the context's error if
// the caller left.
func (v *Visit) Enter(ctx context.Context, cost float64) (*Pass, error) {
	share, refusal := v.desk.Limits.Allow(v.Team.Name, cost)
	if refusal != nil {
		v.Decide(decisionlog.Refuse, "", "team limit used up", map[string]float64{
			"limit_tokens_per_s": share.Limit,
			"share_tokens_per_s": share.Rate,
			"cost_tokens":        cost,
			"retry_after_ms":     float64(refusal.RetryAfter.Milliseconds()),
		})
		v.desk.Figures.Refused(v.Service.Name, refusal.Code)
		return nil, refusal
	}
	ticket, err := v.At.Gate.Acquire(ctx, admissionqueue.Request{
		Team: v.Team.Name, Class: v.Class, Cost: cost, Deadline: v.latestStart(cost),
	})
	if err != nil {
		v.desk.Limits.Correct(v.Team.Name, -cost)
		return nil, v.notEntered(err)
	}
	v.entered(ticket, cost)
	return &Pass{visit: v, ticket: ticket, cost: cost, since: v.Now()}, nil
}

// latestStart is when the call must start to be of use. A caller that stops
// waiting at its deadline has no use of an answer that starts just before it: in
// overload nearly all starts are late ones, so that without the time that the
// answer itself takes a part of the work done is for callers who have gone.
func (v *Visit) latestStart(cost float64) time.Time {
	if v.Deadline.IsZero() {
		return v.Start
	}
	latest := v.Deadline.Add(-v.At.Expected(cost))
	if latest.Before(v.Start) {
		return latest
	}
	return v.Start
}

func (v *Visit) entered(t *admissionqueue.Permit, cost float64) {
	v.desk.Figures.Waited(v.Service.Name, t.Verdict.Waited)
	v.Decide(decisionlog.Admit, "", t.Verdict.Reason.String(), map[string]float64{
		"waited_ms":   float64(t.Verdict.Waited.Microseconds()) / 1000,
		"waiting":     float64(t.Verdict.QueueLength),
		"cost_tokens": cost,
	})
}

func (v *Visit) notEntered(err error) error {
	var refused *admissionqueue.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	verdict := refused.Verdict
	v.Decide(decisionlog.Refuse, "", verdict.Reason.String(), map[string]float64{
		"predicted_ms":       float64(verdict.Predicted.Milliseconds()),
		"waiting":            float64(verdict.QueueLength),
		"drain_tokens_per_s": verdict.DrainRate,
		"retry_after_ms":     float64(verdict.RetryAfter.Milliseconds()),
	})
	v.desk.Figures.Refused(v.Service.Name, verdict.Reason.String())
	return refused.Refusal()
}

// Now reads the desk's clock.
func (v *Visit) Now() time.Time {
	return v.desk.Now()
}

// Leave gives the room back. used is the work that was really done, in tokens.
func (p *Pass) Leave(used float64) {
	p.ticket.Release(used)
	p.visit.At.Served(p.cost, used, p.visit.Now().Sub(p.since))
	p.visit.desk.Limits.Correct(p.visit.Team.Name, used-p.cost)
}

// Cut gives the room back of a call whose answer ended early.
func (p *Pass) Cut(used float64) {
	p.ticket.ReleaseTruncated(used)
	p.visit.desk.Limits.Correct(p.visit.Team.Name, used-p.cost)
}

// NotEntered answers a call that Enter failed with err. A caller who has left
// gets nothing; the call still counts as not run.
func (v *Visit) NotEntered(w http.ResponseWriter, err error) {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		v.Refuse(w, refusal)
		return
	}
	v.Finished(outcome.NotRun)
}

// Refuse answers the call with a refusal.
func (v *Visit) Refuse(w http.ResponseWriter, refusal *outcome.Refusal) {
	refusal.Write(w)
	v.Finished(refusal.Outcome)
}

// Finished counts the call's end.
func (v *Visit) Finished(o outcome.Outcome) {
	v.desk.Figures.Request(v.Service.Name, v.Team.Name, string(o))
}

// Decide records a decision about the call.
func (v *Visit) Decide(kind decisionlog.Kind, chosen, reason string, figures map[string]float64) {
	v.desk.Record.Record(v.decision(kind, chosen, reason, figures))
}

// Chose records the balancer's choice, with what it was chosen over.
func (v *Visit) Chose(kind decisionlog.Kind, choice balance.Choice, figures map[string]float64) {
	weighed := decisionlog.Weighed(&choice)
	maps.Copy(figures, weighed.Figures)
	d := v.decision(kind, choice.Replica, weighed.Reason, figures)
	d.Alternatives = weighed.Alternatives
	v.desk.Record.Record(d)
}

func (v *Visit) decision(kind decisionlog.Kind, chosen, reason string, figures map[string]float64) decisionlog.Decision {
	return decisionlog.Decision{
		At:       v.desk.Now(),
		Request:  v.ID,
		Kind:     kind,
		Team:     v.Team.Name,
		Service:  v.Service.Name,
		Chosen:   chosen,
		Reason:   reason,
		Figures:  figures,
		Revision: v.Directory.Revision,
	}
}
