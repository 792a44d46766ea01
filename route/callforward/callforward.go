// Package callforward forwards calls of the product's own API to another node while this node
// reaches no endpoint of their service. The other node handles a call from the beginning: it
// checks the key, counts the call against the team's limit and claims orders, so none of this
// happens here. What that node answers is judged here before it is passed on (answer.go). The data path of
// the platform's callers (route/relay) forwards by itself.
package callforward

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/forwarding"
	"github.com/cicadatack/cicadatack/route/callparser"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/state/httpanswer"
)

// Metrics counts forwarded calls by what came of them.
type Metrics interface {
	Forwarded(service, result string)
}

// Server forwards calls. Safe for concurrent use.
type Server struct {
	Forwarder relay.Forwarder
	// Transport opens a connection for each call. A transport that reuses connections may send
	// a call again by itself after a connection breaks.
	Transport http.RoundTripper
	// Scheme is that of the nodes' own listeners.
	Scheme string
	// Revisions tells the version of the document that this node has in force.
	Revisions relay.Revisions
	Recorder  decisionlog.Recorder
	Metrics   Metrics
	Now       func() time.Time
}

const (
	// retryAfter is the Retry-After of a call that no node can serve: about the time in which
	// a node finds out that it reaches endpoints again.
	retryAfter = 500 * time.Millisecond
	// maxRefusalBytes bounds the body of a refusal that is kept while other nodes are asked.
	maxRefusalBytes = 16 << 10
)

// Error is the class of the errors of this package.
var Error = errs.Class("callforward")

// Codes of refusals.
const (
	codeUnreachable   = "unreachable"
	codeOlderDocument = "older_document"
	codeNewerDocument = "newer_document"
	codeNoAnswer      = "no_answer"
	codeRefused       = "refused"
)

// Forward serves a call through another node, if this node reaches no endpoint of its service. It
// returns false if the call must be served here. body is the body of the call, which was read.
func (s *Server) Forward(w http.ResponseWriter, r *http.Request, c *callparser.Call, body []byte) bool {
	if forward, forwarded := forwardOf(r.Context()); forwarded {
		return s.refuseForwarded(r.Context(), w, c, forward)
	}
	if !s.Forwarder.CutOff(c.Service.Name) {
		return false
	}
	f := &forwardedCall{server: s, w: w, r: r, call: c, body: body}
	return f.run()
}

// refuseForwarded refuses a call that another node forwards, if this node can't serve it either
// or has another document. It reports whether it has refused the call.
func (s *Server) refuseForwarded(ctx context.Context, w http.ResponseWriter, c *callparser.Call, forward headers.Forward) bool {
	s.Forwarder.Observe(c.Service.Name, forward.Node, forward.CutOffFromAll)
	refusal := &outcome.Refusal{Status: http.StatusServiceUnavailable, Outcome: outcome.NotRun, RetryAfter: retryAfter}
	switch inForce := c.DocumentIndex.Revision; {
	case inForce < forward.Revision:
		refusal.Code, refusal.Message = codeOlderDocument, "this node has an older document"
		go s.Revisions.CatchUp(context.WithoutCancel(ctx), forward.Revision)
	case inForce > forward.Revision:
		refusal.Code, refusal.Message = codeNewerDocument, "this node has a newer document"
		headers.ForwardResult{Revision: inForce}.Set(w.Header())
	case s.Forwarder.CutOff(c.Service.Name):
		refusal.Code, refusal.Message = codeUnreachable, "this node reaches no endpoint of the service either"
		headers.ForwardResult{Serving: s.Forwarder.Serving(c.Service.Name)}.Set(w.Header())
	default:
		return false
	}
	refusal.Write(w)
	return true
}

// forwardedCall is a call that is being forwarded.
type forwardedCall struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	call   *callparser.Call
	body   []byte
	// sentRevision is the version of the document that the call was last sent with.
	sentRevision int64
}

// run asks nodes until one of them serves the call or may have run it. It returns false if none
// could be asked.
func (f *forwardedCall) run() bool {
	var asked []string
	var refusal *refusedAnswer
	for len(asked) < forwarding.MaxAsked {
		node, ok := f.server.Forwarder.Choose(f.call.Service.Name, asked)
		if !ok {
			break
		}
		asked = append(asked, node.Name)
		refused, result := f.attempt(node)
		f.server.Forwarder.Finish(f.call.Service.Name, node, result)
		f.server.Metrics.Forwarded(f.call.Service.Name, result.String())
		if result != forwarding.NoCapacity && result != forwarding.CannotServe && result != forwarding.NoAnswer {
			return true
		}
		if refused == nil && result == forwarding.NoAnswer {
			continue // nothing was sent
		}
		refusal = refused
	}
	if refusal == nil {
		return false
	}
	refusal.write(f.w)
	return true
}

// attempt sends the call to a node. It passes on the answer if it is one, unless the node refused the call and
// another node may serve it: then it returns the refusal. It returns no refusal and
// forwarding.NoAnswer if the call was not sent.
func (f *forwardedCall) attempt(node forwarding.Node) (*refusedAnswer, forwarding.Result) {
	s := f.server
	f.record(node.Name, "no endpoint is reached", decisionlog.TextValue{Name: "address", Text: node.Address})
	answer, result, sent, err := f.sendInStep(node)
	if err != nil {
		if f.r.Context().Err() != nil {
			return nil, forwarding.Canceled
		}
		if !sent {
			return nil, forwarding.NoAnswer
		}
		f.refuseUnknown(err)
		return nil, forwarding.Canceled // answered: another node must not be asked
	}
	defer answer.Body.Close()
	s.Forwarder.Named(f.call.Service.Name, result.Serving)
	refused, err := refusalOf(answer)
	if refused != nil {
		if refused.Status == http.StatusTooManyRequests {
			return refused, forwarding.NoCapacity
		}
		return refused, forwarding.CannotServe
	}
	if err == nil {
		err = f.passOn(answer)
	}
	if err != nil {
		f.refuseUnknown(err)
		return nil, forwarding.Canceled // answered: another node must not be asked
	}
	return nil, forwarding.Served
}

// maxSends bounds how often a call is sent to the same node, which refuses it each time as a newer
// document comes into force.
const maxSends = 3

// sendInStep sends the call, and sends it again if the node has refused it because of a newer document
// and this node now has that one as well. Otherwise a node with an older document could handle a later
// call of the same caller.
func (f *forwardedCall) sendInStep(node forwarding.Node) (answer *http.Response, result headers.ForwardResult, sent bool, err error) {
	for sends := 1; ; sends++ {
		if answer, sent, err = f.send(node); err != nil {
			return nil, headers.ForwardResult{}, sent, err
		}
		result, _ = headers.TakeForwardResult(answer.Header) // a node that serves the call states none
		if !saysNotRun(answer) || result.Revision <= f.sentRevision || sends == maxSends {
			return answer, result, sent, nil
		}
		if f.server.Revisions.CatchUp(f.r.Context(), result.Revision) < result.Revision {
			return answer, result, sent, nil
		}
		_, err = readRefusal(answer)
		answer.Body.Close()
		if err != nil {
			return nil, headers.ForwardResult{}, sent, err
		}
	}
}

// send sends the call. sent reports whether the node may have read a part of it.
func (f *forwardedCall) send(node forwarding.Node) (answer *http.Response, sent bool, err error) {
	ctx, dialed := traceConnection(f.r.Context())
	url := f.server.Scheme + "://" + node.Address + relay.ForwardPath + f.r.URL.RequestURI()
	q, err := http.NewRequestWithContext(ctx, f.r.Method, url, bytes.NewReader(f.body))
	if err != nil {
		return nil, false, err
	}
	q.GetBody = nil // the transport must not send the body again
	q.Header = headers.EndToEnd(f.r.Header)
	if !f.call.Deadline.IsZero() {
		remaining := max(time.Millisecond, f.call.Deadline.Sub(f.server.Now()))
		q.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	}
	f.sentRevision = f.server.Revisions.Revision()
	headers.Forward{
		Node: f.server.Forwarder.Name(), Revision: f.sentRevision, Service: f.call.Service.Name,
		CutOffFromAll: f.server.Forwarder.CutOffFromAll(), ElapsedMicros: f.server.Now().Sub(f.call.ArrivedAt).Microseconds(),
	}.Set(q.Header)
	answer, err = f.server.Transport.RoundTrip(q)
	if err == nil && f.r.Method != http.MethodHead && httpanswer.EndsWithConnection(answer) {
		answer.Body.Close()
		return nil, true, errUnframed
	}
	return answer, dialed.Load(), err
}

// errUnframed means that an answer states neither a length nor chunks. Nodes send no such answers. The
// end of the connection would be its end, so that an answer that is cut would look whole.
var errUnframed = Error.New("the answer states neither a length nor chunks")

// refuseUnknown answers a call that another node may have run. The error is for the log: it may have bytes
// of the other node.
func (f *forwardedCall) refuseUnknown(err error) {
	f.recordFault(err)
	refusal := &outcome.Refusal{
		Status: http.StatusBadGateway, Code: codeNoAnswer, Outcome: outcome.Unknown,
		Message: "the node that was to serve the call did not answer it",
	}
	refusal.Write(f.w)
}

// recordFault records why an answer of another node was not passed on, or cut.
func (f *forwardedCall) recordFault(err error) {
	f.record("", "no answer: "+err.Error())
}

func (f *forwardedCall) record(chosen, reason string, values ...decisionlog.TextValue) {
	s := f.server
	s.Recorder.Record(decisionlog.Decision{
		At: s.Now(), Request: f.call.ID, Team: f.call.Team.Name, Service: f.call.Service.Name, Revision: f.call.DocumentIndex.Revision,
		Kind: decisionlog.Forward, Chosen: chosen, Reason: reason, TextValues: values,
	})
}

// forwardKey is the key of a forwarded call's headers.Forward in its context.
type forwardKey struct{}

func forwardOf(ctx context.Context) (headers.Forward, bool) {
	forward, ok := ctx.Value(forwardKey{}).(headers.Forward)
	return forward, ok
}

// Handler serves the calls that other nodes forward, by the handler of the callers' listener.
func Handler(next http.Handler) http.Handler {
	return http.StripPrefix(relay.ForwardPath, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		forward, ok := headers.TakeForward(r.Header)
		if !ok {
			refusal := &outcome.Refusal{Status: http.StatusBadRequest, Code: "not_forwarded", Message: "the call does not say which node forwards it", Outcome: outcome.NotRun}
			refusal.Write(w)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), forwardKey{}, forward)))
	}))
}

// IsForwarded reports whether a path is that of a forwarded call.
func IsForwarded(path string) bool { return strings.HasPrefix(path, relay.ForwardPath+"/") }
