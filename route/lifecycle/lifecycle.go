// Package lifecycle holds what calls of all kinds of service have in common: a call is
// admitted or refused, its decisions are recorded, and its outcome is counted.
//
//	active, refusal := manager.Begin(call)
//	if refusal != nil { active.Refuse(w, refusal); return }
//	permit, err := active.Admit(ctx, expectedCost)
//	if err != nil { active.RespondNotAdmitted(w, err); return }
//	defer permit.Release(work)
//
// Costs and work are in tokens.
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

// setupRetryAfter is the Retry-After of calls to a service that the document names and
// that this node is still setting up.
const setupRetryAfter = time.Second

// Metrics counts calls by outcome and refusals by reason, and measures waiting times in
// the admission queue.
type Metrics interface {
	Request(service, team, outcome string)
	Refused(service, reason string)
	Waited(service string, d time.Duration)
}

// Manager admits calls. Safe for concurrent use.
type Manager struct {
	Services    *service.Registry
	TeamLimiter *teamlimiter.Limiter
	Recorder    decisionlog.Recorder
	Metrics     Metrics
	Now         func() time.Time
}

// ActiveCall is a call that this node is serving. It is used by one goroutine.
type ActiveCall struct {
	*callparser.Call
	// Local is this node's state of the service. Call.Service is the document's
	// definition of the service.
	Local   *service.Service
	manager *Manager
}

// Permit is the right of an admitted call to run.
type Permit struct {
	call         *ActiveCall
	queuePermit  *admissionqueue.Permit
	expectedCost float64
	admittedAt   time.Time
}

// Begin returns the call as an ActiveCall. It also returns a refusal if this node has
// not set up the service yet.
func (m *Manager) Begin(c *callparser.Call) (*ActiveCall, *outcome.Refusal) {
	call := &ActiveCall{Call: c, Local: m.Services.Get(c.Service.Name), manager: m}
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

// Admit charges the expected cost, in tokens, to the team's limit and waits for a slot.
// It fails with an *outcome.Refusal, or with the context's error if the caller cancels.
func (c *ActiveCall) Admit(ctx context.Context, cost float64) (*Permit, error) {
	usage, refusal := c.manager.TeamLimiter.Allow(c.Team.Name, cost)
	if refusal != nil {
		c.RecordDecision(decisionlog.Refuse, "", "team limit used up", map[string]float64{
			"limit_tokens_per_s": usage.Limit,
			"share_tokens_per_s": usage.Rate,
			"cost_tokens":        cost,
			"retry_after_ms":     float64(refusal.RetryAfter.Milliseconds()),
		})
		c.manager.Metrics.Refused(c.Service.Name, refusal.Code)
		return nil, refusal
	}
	queuePermit, err := c.Local.Admission.Acquire(ctx, admissionqueue.Request{
		Team: c.Team.Name, Class: c.Class, Cost: cost, Deadline: c.latestStart(cost),
	})
	if err != nil {
		c.manager.TeamLimiter.Correct(c.Team.Name, -cost)
		return nil, c.recordRejection(err)
	}
	c.recordAdmission(queuePermit, cost)
	return &Permit{call: c, queuePermit: queuePermit, expectedCost: cost, admittedAt: c.Now()}, nil
}

// latestStart returns the time by which the call must leave the admission queue: the
// deadline less the expected run time, but at most Call.LatestStart. In overload,
// nearly all calls start just before that time. If the run time were not subtracted,
// part of the work would be for callers that have stopped waiting.
func (c *ActiveCall) latestStart(cost float64) time.Time {
	if c.Deadline.IsZero() {
		return c.LatestStart
	}
	latest := c.Deadline.Add(-c.Local.ExpectedRunTime(cost))
	if latest.Before(c.LatestStart) {
		return latest
	}
	return c.LatestStart
}

func (c *ActiveCall) recordAdmission(permit *admissionqueue.Permit, cost float64) {
	c.manager.Metrics.Waited(c.Service.Name, permit.Verdict.Waited)
	c.RecordDecision(decisionlog.Admit, "", permit.Verdict.Reason.String(), map[string]float64{
		"waited_ms":   float64(permit.Verdict.Waited.Microseconds()) / 1000,
		"waiting":     float64(permit.Verdict.QueueLength),
		"cost_tokens": cost,
	})
}

func (c *ActiveCall) recordRejection(err error) error {
	var refused *admissionqueue.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	verdict := refused.Verdict
	c.RecordDecision(decisionlog.Refuse, "", verdict.Reason.String(), map[string]float64{
		"predicted_ms":       float64(verdict.Predicted.Milliseconds()),
		"waiting":            float64(verdict.QueueLength),
		"drain_tokens_per_s": verdict.DrainRate,
		"slots":              float64(verdict.Slots),
		"silent_ms":          float64(verdict.Silent.Milliseconds()),
		"retry_after_ms":     float64(verdict.RetryAfter.Milliseconds()),
	})
	c.manager.Metrics.Refused(c.Service.Name, verdict.Reason.String())
	return refused.Refusal()
}

// Now returns the time of the manager's clock.
func (c *ActiveCall) Now() time.Time {
	return c.manager.Now()
}

// Progress records that the call got a part of its answer.
func (p *Permit) Progress() { p.queuePermit.Progress() }

// Release frees the slot of a call whose answer is complete. work is the work done, in
// tokens.
func (p *Permit) Release(work float64) {
	p.queuePermit.Release(work)
	p.call.Local.RecordRun(p.expectedCost, work, p.call.Now().Sub(p.admittedAt))
	p.call.manager.TeamLimiter.Correct(p.call.Team.Name, work-p.expectedCost)
}

// ReleaseTruncated frees the slot of a call whose answer ended early. The run time of
// this call does not change the expected run time of others.
func (p *Permit) ReleaseTruncated(work float64) {
	p.queuePermit.ReleaseTruncated(work)
	p.call.manager.TeamLimiter.Correct(p.call.Team.Name, work-p.expectedCost)
}

// RespondNotAdmitted ends a call for which Admit returned err. A caller that has
// canceled gets no answer, and its call counts as not run.
func (c *ActiveCall) RespondNotAdmitted(w http.ResponseWriter, err error) {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		c.Refuse(w, refusal)
		return
	}
	c.CountOutcome(outcome.NotRun)
}

// Refuse answers the call with a refusal and counts its outcome.
func (c *ActiveCall) Refuse(w http.ResponseWriter, refusal *outcome.Refusal) {
	refusal.Write(w)
	c.CountOutcome(refusal.Outcome)
}

// CountOutcome counts the call by its outcome.
func (c *ActiveCall) CountOutcome(callOutcome outcome.Outcome) {
	c.manager.Metrics.Request(c.Service.Name, c.Team.Name, string(callOutcome))
}

// RecordDecision records a decision about the call.
func (c *ActiveCall) RecordDecision(kind decisionlog.Kind, chosen, reason string, values map[string]float64) {
	c.manager.Recorder.Record(c.newDecision(kind, chosen, reason, values))
}

// RecordChoice records a choice of the balancer with the alternatives that it
// considered.
func (c *ActiveCall) RecordChoice(kind decisionlog.Kind, choice balance.Choice, values map[string]float64) {
	choiceDecision := decisionlog.FromChoice(&choice)
	maps.Copy(values, choiceDecision.Values)
	d := c.newDecision(kind, choice.ReplicaID, choiceDecision.Reason, values)
	d.Alternatives = choiceDecision.Alternatives
	c.manager.Recorder.Record(d)
}

func (c *ActiveCall) newDecision(kind decisionlog.Kind, chosen, reason string, values map[string]float64) decisionlog.Decision {
	return decisionlog.Decision{
		At:       c.manager.Now(),
		Request:  c.ID,
		Kind:     kind,
		Team:     c.Team.Name,
		Service:  c.Service.Name,
		Chosen:   chosen,
		Reason:   reason,
		Values:   values,
		Revision: c.DocumentIndex.Revision,
	}
}
