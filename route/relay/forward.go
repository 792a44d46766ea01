package relay

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/forwarding"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
	"github.com/cicadatack/cicadatack/state/httpanswer"
)

// Forwarder finds nodes that serve requests on behalf of this node.
type Forwarder interface {
	// Name is the name of this node.
	Name() string
	// CutOff reports whether this node reaches no replica of a service.
	CutOff(service string) bool
	// Choose returns a node that may serve a request for a service, and false if there is none.
	// asked are the nodes that were asked already. Each node must be released with Finish.
	Choose(service string, asked []string) (forwarding.Node, bool)
	// CountServing returns the number of nodes that are known to serve a service.
	CountServing(service string) int
	// Serving returns nodes that have lately served requests for this one. This node names them
	// when it declines a request.
	Serving(service string) []string
	// Named records that another node has named nodes that serve it.
	Named(service string, nodes []string)
	// Finish releases a node and records how it handled the request.
	Finish(service string, node forwarding.Node, r forwarding.Result)
	// CutOffFromAll reports whether this node reaches no replica of any service.
	CutOffFromAll() bool
	// Observe records that another node has forwarded a request for a service to this one.
	// fromAll is set if that node reaches no replica of any service.
	Observe(service, node string, fromAll bool)
}

// Revisions tells which version of the configuration this node has in force.
type Revisions interface {
	// Revision returns the version in force.
	Revision() int64
	// CatchUp waits for a short time until a version or a newer one is in force, and returns the version
	// in force.
	CatchUp(ctx context.Context, revision int64) int64
}

// ForwardPath is prefixed to the path of a request that is forwarded to another node.
const ForwardPath = "/forward"

// forwardState is what a request knows of the nodes to which it was forwarded.
type forwardState struct {
	asked []string
	// refusal is the last refusal of a node; nil if none has refused the request. The request
	// has not run at that node.
	refusal *outcome.Refusal
	// final is set if the answer of a node ends the request: other nodes would give the same.
	final bool
}

// cutOff reports whether this node reaches no replica of the request's service.
func (req *requestState) cutOff() bool {
	return req.server.Forwarder != nil && req.server.Forwarder.CutOff(req.Service)
}

// chooseNode returns a node that may serve the request. There is none for a request that was
// forwarded already: two nodes that are both cut off would pass it to each other.
func (req *requestState) chooseNode() (forwarding.Node, bool) {
	if req.server.Forwarder == nil || req.Forwarded != nil || len(req.forwarding.asked) >= forwarding.MaxAsked {
		return forwarding.Node{}, false
	}
	node, ok := req.server.Forwarder.Choose(req.Service, req.forwarding.asked)
	if ok {
		req.forwarding.asked = append(req.forwarding.asked, node.Name)
	}
	return node, ok
}

// forward makes one attempt at another node. That node checks the key again and sends the request
// by its own limits, so this node only checks and passes on the answer.
func (req *requestState) forward(node forwarding.Node) attemptResult {
	a := req.attemptAtNode(node)
	req.lastTarget = a.target
	req.guarded.Sent(crashguard.Replica{}) // the other node finds out whether a replica ends
	res := a.runForwarded()
	res.forwarded = true
	req.lastResult = res
	a.endAtNode(node, res)
	return res
}

// attemptAtNode returns an attempt at another node, and records and counts it.
func (req *requestState) attemptAtNode(node forwarding.Node) *attempt {
	req.awaiting.Ended() // the other node counts it
	req.attemptCount++
	req.record(decisionlog.Decision{
		Kind: decisionlog.Forward, Chosen: node.Name, Reason: "no endpoint is reached",
		TextValues: req.withRoute(decisionlog.TextValue{Name: "address", Text: node.Address}),
		Values:     map[string]float64{"try": float64(req.attemptCount), "known_serving": float64(req.server.Forwarder.CountServing(req.Service))},
		SkipLog:    !req.sampled && req.attemptCount == 1,
	})
	return &attempt{
		req: req, target: targets.Target{Replica: node.Name, Address: node.Address}, startedAt: req.server.Now(),
		forwarded: true, ranElsewhere: slices.Clone(req.mayHaveRunOn),
	}
}

// endAtNode releases the node of an attempt and records where the request may have run.
func (a *attempt) endAtNode(node forwarding.Node, res attemptResult) {
	req := a.req
	result := a.forwardingResult(res)
	req.server.Forwarder.Finish(req.Service, node, result)
	req.server.Metrics.Forwarded(req.Service, result.String())
	req.forwarding.final = req.forwarding.final || res.kind == resultFailed
	if !res.notRun() && res.kind != resultComplete {
		req.mayHaveRunAnywhere(a.replicaAtNode)
	}
}

// mayHaveRunAnywhere records that the request may have run at a node that gave no complete answer.
// That node may have sent it to as many replicas as the route allows. A stream may go on only at
// replicas that have certainly begun it.
func (req *requestState) mayHaveRunAnywhere(replica string) {
	if replica != "" && !slices.Contains(req.mayHaveRunOn, replica) {
		req.mayHaveRunOn = append(req.mayHaveRunOn, replica)
	}
	for len(req.mayHaveRunOn) < req.Route.MaxReplicas {
		req.mayHaveRunOn = append(req.mayHaveRunOn, unknownReplica)
	}
}

// unknownReplica stands for a replica at which another node may have run the request. No replica
// has this id.
const unknownReplica = ""

func (a *attempt) runForwarded() attemptResult {
	if a.req.Route.Kind == ruleset.Stream {
		return a.runStream()
	}
	return a.runBuffered()
}

// maxSendsToNode bounds how often a request is sent to the same node, which refuses it each time as a
// newer configuration comes into force.
const maxSendsToNode = 3

// sendToNode sends the request to another node and decodes the head of the answer. If that node has a
// newer configuration, it sends the request again once this node has that version as well. Otherwise
// the node's older version could handle a later request of the same callers.
func (a *attempt) sendToNode(ctx context.Context, headTimeout time.Duration) (*upstream.Exchange, *attemptResult) {
	for sends := 1; ; sends++ {
		exchange, result, failed := a.sendOnceToNode(ctx, headTimeout)
		if failed == nil || !result.RefusedAs(ReasonNewerRules) || sends == maxSendsToNode {
			return exchange, failed
		}
		inForce := a.req.server.Revisions.CatchUp(ctx, result.Revision)
		a.recordCatchUp(result.Revision, inForce)
		if inForce < result.Revision {
			return nil, failed
		}
	}
}

// recordCatchUp records that the node of the attempt has a newer configuration, and the version that
// this node has in force after it has waited for that one.
func (a *attempt) recordCatchUp(revision, inForce int64) {
	a.req.record(decisionlog.Decision{
		Kind: decisionlog.Forward, Chosen: a.target.Replica, Reason: "the node has a newer configuration",
		TextValues: a.req.withRoute(),
		Values:     map[string]float64{"node_revision": float64(revision), "in_force": float64(inForce)},
	})
}

// sendOnceToNode sends the request to another node once.
func (a *attempt) sendOnceToNode(ctx context.Context, headTimeout time.Duration) (*upstream.Exchange, headers.ForwardResult, *attemptResult) {
	req := a.req
	a.refused, a.shed = false, false
	now := req.server.Now()
	remaining := req.Deadline.Sub(now)
	if remaining <= deadlineMargin {
		return nil, headers.ForwardResult{}, &attemptResult{kind: resultDeadline, detail: "deadline too near to forward the request"}
	}
	header := req.server.HeaderCodec.DownstreamHeader(req.Header)
	headers.Forward{
		Node: req.server.Forwarder.Name(), Revision: req.server.Revisions.Revision(), Service: req.Service,
		CutOffFromAll: req.server.Forwarder.CutOffFromAll(), ElapsedMicros: now.Sub(req.Arrived).Microseconds(), MayHaveRunOn: a.ranElsewhere, ResumeAfter: a.resumeAfter,
		Admitted: req.awaiting != nil,
	}.Set(header)
	exchange, err := req.server.PeerPool.Send(ctx, upstream.Request{
		Address: a.target.Address, Method: req.Method, Target: ForwardPath + req.Target, Host: cmp.Or(req.Host, a.target.Address),
		Header: header, Body: req.Body, NewConn: !req.Route.Idempotent(), Matches: a.matchesRequest,
		HeadTimeout: min(remaining, headTimeout),
	})
	if err != nil {
		res := a.resultOfError(err)
		return nil, headers.ForwardResult{}, &res
	}
	result, understood := headers.TakeForwardResult(exchange.Header)
	req.server.Forwarder.Named(req.Service, result.Serving)
	a.head, a.replicaAtNode = req.server.HeaderCodec.ParseResponse(exchange.StatusCode, exchange.Header), result.Replica
	if !understood || result.Refusal != nil {
		err := a.discardAndReuse(exchange)
		exchange.Close()
		if httpanswer.IsFault(err) {
			res := a.resultOfError(err)
			return nil, headers.ForwardResult{}, &res
		}
		res := a.refusedByNode(exchange.StatusCode, result.Refusal)
		return nil, result, &res
	}
	return exchange, result, nil
}

// refusedByNode classifies the refusal of another node. refusal is nil if the answer can't be
// understood, because a node of another version wrote it or no node did. With the status of a success
// it is none: the caller gets the status.
func (a *attempt) refusedByNode(status int, refusal *headers.ForwardRefusal) attemptResult {
	res := attemptResult{kind: resultUnknown, feedback: targets.Result{Failure: health.BrokenResponse}}
	if refusal == nil || status < http.StatusBadRequest {
		res.detail = fmt.Sprintf("status %d of %s is no answer to a forwarded request", status, a.target.Replica)
		return res
	}
	a.refused, res.detail = true, fmt.Sprintf("%d from %s: %s", status, a.target.Replica, refusal.Code)
	if refusal.Outcome != outcome.NotRun {
		return res
	}
	res.kind, res.feedback.Failure = resultNotSent, health.Unreachable
	res.feedback.NoCapacity = capacityReasons[refusal.Code]
	a.req.forwarding.refusal = &outcome.Refusal{
		Status: status, Code: refusal.Code, Message: refusal.Message, Outcome: outcome.NotRun,
		RetryAfter: time.Duration(refusal.RetryAfterMicros) * time.Microsecond,
	}
	// A node that sheds load decides for all nodes. Asking others as well would get a request
	// admitted more often than the others of its class.
	a.shed = refusal.Code == ReasonShed
	a.req.forwarding.final = !retriableStatus[status] || a.shed || refusal.Code == ReasonIsolatedPart
	return res
}

// capacityReasons are the codes of refusals for lack of capacity.
var capacityReasons = map[string]bool{ReasonNoCapacity: true, ReasonOverloaded: true, ReasonPushedBack: true}

// retriableStatus holds the statuses of refusals after which another node may serve the request.
var retriableStatus = map[int]bool{http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true}

// refusalResult is what the node that serves a forwarded request says of its refusal.
func refusalResult(r *outcome.Refusal) headers.ForwardResult {
	return headers.ForwardResult{Refusal: &headers.ForwardRefusal{
		Code: r.Code, Message: r.Message, Outcome: r.Outcome, RetryAfterMicros: r.RetryAfter.Microseconds(),
	}}
}

// forwardingResult says how the other node handled the request.
func (a *attempt) forwardingResult(res attemptResult) forwarding.Result {
	switch {
	case res.kind == resultComplete, res.kind == resultFailed, a.shed:
		return forwarding.Served
	case res.endedLocally():
		return forwarding.Canceled
	case res.feedback.NoCapacity:
		return forwarding.NoCapacity
	case a.refused && res.notRun():
		return forwarding.CannotServe
	case a.refused:
		return forwarding.Served // it has tried, and its replicas failed the request
	}
	return forwarding.NoAnswer
}

// mayAskNode reports whether another node can still be asked to serve the request.
func (req *requestState) mayAskNode() bool {
	return req.cutOff() && req.Forwarded == nil && len(req.forwarding.asked) < forwarding.MaxAsked
}
