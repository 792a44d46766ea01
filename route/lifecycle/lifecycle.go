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

// setupRetryAfter is when a caller may ask again for a service that the document
// names and this node is just setting up.
const setupRetryAfter = time.Second

// Metrics is told what became of calls; metrics implement it.
type Metrics interface {
	Request(service, team, outcome string)
	Refused(service, reason string)
	Waited(service string, d time.Duration)
}

// Manager lets calls in. Safe for concurrent use.
type Manager struct {
	Services *service.Registry
	TeamLimiter   *teamlimiter.Limiter
	Recorder   decisionlog.Recorder
	Metrics  Metrics
	Now      func() time.Time
}

// ActiveCall is one call on its way through the node. It is for one goroutine.
type ActiveCall struct {
	*callparser.Call
	// Local is the service as this node has it; Spec, in the Call, is the
	// document's.
	Local   *service.Service
	manager *Manager
}

// Permit is a call's right to run.
type Permit struct {
	call  *ActiveCall
	queuePermit *admissionqueue.Permit
	expectedCost   float64
	admittedAt  time.Time
}

// Begin begins a call.
func (d *Manager) Begin(c *callparser.Call) (*ActiveCall, *outcome.Refusal) {
	call := &ActiveCall{Call: c, Local: d.Services.Get(c.Service.Name), manager: d}
	if call.Local != nil {
		return call, nil
	}
	return call, &outcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       "not_ready",
		Message:    "the service is being set up",
		Outcome:    outcome.NotRun,
		RetryAfter: setupRetryAfter,
	}
}

// Admit books the expected cost, in tokens, against the team's limit and waits
// for room. It fails with an *outcome.Refusal, or with the context's error if
// the caller left.
func (v *ActiveCall) Admit(ctx context.Context, cost float64) (*Permit, error) {
	usage, refusal := v.manager.TeamLimiter.Allow(v.Team.Name, cost)
	if refusal != nil {
		v.RecordDecision(decisionlog.Refuse, "", "team limit used up", map[string]float64{
			"limit_tokens_per_s": usage.Limit,
			"share_tokens_per_s": usage.Rate,
			"cost_tokens":        cost,
			"retry_after_ms":     float64(refusal.RetryAfter.Milliseconds()),
		})
		v.manager.Metrics.Refused(v.Service.Name, refusal.Code)
		return nil, refusal
	}
	queuePermit, err := v.Local.Gate.Acquire(ctx, admissionqueue.Request{
		Team: v.Team.Name, Class: v.Class, Cost: cost, Deadline: v.latestStart(cost),
	})
	if err != nil {
		v.manager.TeamLimiter.Correct(v.Team.Name, -cost)
		return nil, v.recordRejection(err)
	}
	v.recordAdmission(queuePermit, cost)
	return &Permit{call: v, queuePermit: queuePermit, expectedCost: cost, admittedAt: v.Now()}, nil
}

// latestStart is when the call must start to be of use. A caller that stops
// waiting at its deadline has no use of an answer that starts just before it: in
// overload nearly all starts are late ones, so that without the time that the
// answer itself takes a part of the work done is for callers who have gone.
func (v *ActiveCall) latestStart(cost float64) time.Time {
	if v.Deadline.IsZero() {
		return v.LatestStart
	}
	latest := v.Deadline.Add(-v.Local.Expected(cost))
	if latest.Before(v.LatestStart) {
		return latest
	}
	return v.LatestStart
}

func (v *ActiveCall) recordAdmission(t *admissionqueue.Permit, cost float64) {
	v.manager.Metrics.Waited(v.Service.Name, t.Verdict.Waited)
	v.RecordDecision(decisionlog.Admit, "", t.Verdict.Reason.String(), map[string]float64{
		"waited_ms":   float64(t.Verdict.Waited.Microseconds()) / 1000,
		"waiting":     float64(t.Verdict.QueueLength),
		"cost_tokens": cost,
	})
}

func (v *ActiveCall) recordRejection(err error) error {
	var refused *admissionqueue.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	verdict := refused.Verdict
	v.RecordDecision(decisionlog.Refuse, "", verdict.Reason.String(), map[string]float64{
		"predicted_ms":       float64(verdict.Predicted.Milliseconds()),
		"waiting":            float64(verdict.QueueLength),
		"drain_tokens_per_s": verdict.DrainRate,
		"retry_after_ms":     float64(verdict.RetryAfter.Milliseconds()),
	})
	v.manager.Metrics.Refused(v.Service.Name, verdict.Reason.String())
	return refused.Refusal()
}

// Now reads the desk's clock.
func (v *ActiveCall) Now() time.Time {
	return v.manager.Now()
}

// Release gives the room back. used is the work that was really done, in tokens.
func (p *Permit) Release(used float64) {
	p.queuePermit.Release(used)
	p.call.Local.Served(p.expectedCost, used, p.call.Now().Sub(p.admittedAt))
	p.call.manager.TeamLimiter.Correct(p.call.Team.Name, used-p.expectedCost)
}

// ReleaseTruncated gives the room back of a call whose answer ended early.
func (p *Permit) ReleaseTruncated(used float64) {
	p.queuePermit.ReleaseTruncated(used)
	p.call.manager.TeamLimiter.Correct(p.call.Team.Name, used-p.expectedCost)
}

// RespondNotAdmitted answers a call that Enter failed with err. A caller who has left
// gets nothing; the call still counts as not run.
func (v *ActiveCall) RespondNotAdmitted(w http.ResponseWriter, err error) {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		v.Refuse(w, refusal)
		return
	}
	v.CountOutcome(outcome.NotRun)
}

// Refuse answers the call with a refusal.
func (v *ActiveCall) Refuse(w http.ResponseWriter, refusal *outcome.Refusal) {
	refusal.Write(w)
	v.CountOutcome(refusal.Outcome)
}

// CountOutcome counts the call's end.
func (v *ActiveCall) CountOutcome(o outcome.Outcome) {
	v.manager.Metrics.Request(v.Service.Name, v.Team.Name, string(o))
}

// RecordDecision records a decision about the call.
func (v *ActiveCall) RecordDecision(kind decisionlog.Kind, chosen, reason string, figures map[string]float64) {
	v.manager.Recorder.Record(v.newDecision(kind, chosen, reason, figures))
}

// RecordChoice records the balancer's choice, with what it was chosen over.
func (v *ActiveCall) RecordChoice(kind decisionlog.Kind, choice balance.Choice, figures map[string]float64) {
	weighed := decisionlog.FromChoice(&choice)
	maps.Copy(figures, weighed.Values)
	d := v.newDecision(kind, choice.Replica, weighed.Reason, figures)
	d.Alternatives = weighed.Alternatives
	v.manager.Recorder.Record(d)
}

func (v *ActiveCall) newDecision(kind decisionlog.Kind, chosen, reason string, figures map[string]float64) decisionlog.Decision {
	return decisionlog.Decision{
		At:       v.manager.Now(),
		Request:  v.ID,
		Kind:     kind,
		Team:     v.Team.Name,
		Service:  v.Service.Name,
		Chosen:   chosen,
		Reason:   reason,
		Values:  figures,
		Revision: v.Directory.Revision,
	}
}
