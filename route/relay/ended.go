package relay

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// guardRequest returns what the guard keeps of an attempt at the request.
func (req *requestState) guardRequest() *crashguard.Request {
	return req.server.Guard.Request(req.Call.ID, req.Service, req.contents())
}

// contents are what the request brings along that may crash replicas. A request without a prompt is
// identified by all that is sent.
func (req *requestState) contents() crashguard.Contents {
	own := req.Call.OwnPart
	if own == "" {
		own = digest(req.Method, req.Target, string(req.Body))
	}
	return crashguard.Contents{Parts: req.Call.PromptParts, Own: []string{own}}
}

// digestBytes of a hash identify what was hashed.
const digestBytes = 12

func digest(texts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(texts, "\x00")))
	return hex.EncodeToString(sum[:digestBytes])
}

// refuseIsolated refuses a request at once if replicas crash on a part of its prompt.
func (req *requestState) refuseIsolated() *outcome.Refusal {
	err := req.guarded.Check()
	if err == nil {
		return nil
	}
	return req.refuseGuarded(err)
}

// refuseGuarded returns the refusal of a request that must not be sent to a replica because of a
// part of its prompt. If it may have run already, it is not refused as one that has not.
func (req *requestState) refuseGuarded(err error) *outcome.Refusal {
	var refusal *crashguard.Refusal
	if !errors.As(err, &refusal) {
		return req.expired()
	}
	req.guardRefusal = refusal
	reason := guardReason(refusal.Verdict)
	if len(req.mayHaveRunOn) > 0 {
		return outcomeUnknown(http.StatusBadGateway, reason, "the endpoint ended before it answered the request; "+err.Error())
	}
	return NotRun(http.StatusServiceUnavailable, reason, err.Error(), refusal.RetryAfter)
}

func guardReason(v poison.Verdict) string {
	if v == poison.Isolated {
		return ReasonIsolatedPart
	}
	return ReasonSuspectPart
}

// sentTo tells the guard to which replica the attempt is sent.
func (a *attempt) sentTo(guarded *crashguard.Request) {
	guarded.Sent(crashguard.Replica{
		ID: a.target.Replica, Incarnation: a.target.Incarnation, Version: a.target.Version, Addresses: []string{a.target.Address},
	})
	if a.req.resumePosition() != "" || a.req.Call.LastEventID != "" {
		guarded.Resume()
	}
}

// checkReplicaEnded tells the guard how the attempt ended. If the answer broke off, the guard finds
// out whether the replica's process has ended.
func (a *attempt) checkReplicaEnded(res attemptResult) {
	switch {
	case res.kind == resultComplete && (res.answer == nil || res.answer.Status < http.StatusMultipleChoices):
		a.req.guarded.Answered()
	case res.kind == resultUnknown && res.left:
		a.req.guarded.Left()
	case res.brokenOff():
		a.req.guarded.BrokenOff(a.req.ctx)
	}
}

// brokenOff reports whether the replica ended the attempt in the middle.
func (res attemptResult) brokenOff() bool {
	return res.kind == resultUnknown && res.feedback.Failure == health.BrokenResponse
}

// heldBack reports whether the request must not be tried again, because a replica has crashed
// before it answered the request. The replica of the next attempt would crash as well.
func (req *requestState) heldBack(res attemptResult) bool {
	refusal := req.guarded.HoldBack(req.ctx)
	if refusal == nil || res.notRun() {
		return false
	}
	req.guardRefusal = refusal
	req.record(decisionlog.Decision{
		Kind: decisionlog.Retry, Chosen: lastOf(req.failedReplicas), Reason: guardReason(refusal.Verdict),
		TextValues: []decisionlog.TextValue{{Name: "end", Text: res.detail}, {Name: "part", Text: refusal.Part.ID}},
		Values:     map[string]float64{"not_run": 0, "sends": float64(req.attemptCount), "again": 0},
	})
	return true
}
