package plainservice

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/state/ledger"
)

const (
	// recordTimeout bounds the write of a result. The order itself has been sent. If
	// its result can't be written, the claim stays without a result, and the order is
	// not sent again.
	recordTimeout = 5 * time.Second
	// claimRetryAfter is the Retry-After of an order that could not be claimed.
	claimRetryAfter = 2 * time.Second
	// inProgressTime is how long after its claim an order without a result counts as in
	// progress. Most orders have their results within a second, and a paused node
	// continues when it wakes. After this time, the order is assumed to be lost with
	// its node.
	inProgressTime = 10 * time.Second
	// inProgressRetryAfter is the Retry-After of an order in progress. Each retry reads
	// the ledger's shard, which other orders share.
	inProgressRetryAfter = time.Second
)

var badKeyMessage = fmt.Sprintf("%s: longer than %d bytes", outcome.HeaderIdempotencyKey, ledger.MaxKeyBytes)

// placeOrder sends a call that may run at most once.
//
// With an idempotency key, the claim is written before the order is sent. Claims are
// written by compare-and-swap, so only one node can claim an order. Even a node that
// was paused for long sends no order that another node has claimed. Without a key no
// claim is possible, and the order is sent once and never again.
func (p *plainCall) placeOrder(ctx context.Context, w http.ResponseWriter) {
	if p.idempotencyKey == "" {
		p.server.Metrics.Order(p.Service.Name, "without key")
		p.respond(w)(p.send(ctx))
		return
	}
	// The ledger keeps only status, content type and body of an answer, so a compressed
	// answer would be replayed without its Content-Encoding header. The endpoint is
	// therefore asked for an uncompressed answer.
	p.header = p.header.Clone()
	p.header.Set("Accept-Encoding", "identity")
	key := ledger.Key{Team: p.Team.Name, Service: p.Service.Name, Key: p.idempotencyKey}
	claim, err := p.server.Claims.Claim(ctx, key, p.fingerprint())
	if err != nil {
		p.handleClaimError(ctx, w, err)
		return
	}
	p.server.Metrics.Order(p.Service.Name, claim.State.String())
	p.RecordDecision(decisionlog.PlaceOrder, claim.Node, "claim is "+claim.State.String(), nil)
	switch claim.State {
	case ledger.Fresh:
		p.sendClaimedOrder(ctx, w, key, claim)
	case ledger.Done:
		p.replayResult(w, claim.Result)
	case ledger.Mismatch:
		p.respond(w)(nil, &outcome.Refusal{Status: http.StatusUnprocessableEntity, Code: "key_reused", Message: "the key was used for another order", Outcome: outcome.NotRun})
	default:
		p.respond(w)(nil, noResultRefusal(p.Now().Sub(claim.ClaimedAt)))
	}
}

// noResultRefusal answers an order that was claimed before and has no result.
//
// A caller that gets no answer for a second and repeats its order, perhaps at another
// node, mostly finds its own first request still in progress. If the answer were "in
// doubt", a person would have to check an order whose result arrives a moment later. A
// recent claim therefore gets a Retry-After. The order is not sent in either case, so
// clocks that differ between nodes only shift the time at which the answer changes.
func noResultRefusal(age time.Duration) *outcome.Refusal {
	if age >= inProgressTime {
		return inDoubtRefusal("the order was sent before and its result is not known")
	}
	return &outcome.Refusal{
		Status:     http.StatusConflict,
		Code:       "in_progress",
		Message:    "the order was sent a moment ago and its result is not known yet; ask again with the same key",
		Outcome:    outcome.Unknown,
		RetryAfter: inProgressRetryAfter,
	}
}

// fingerprint distinguishes different orders under the same key.
func (p *plainCall) fingerprint() string {
	sum := sha256.Sum256(p.body)
	return p.method + " " + p.path + " " + hex.EncodeToString(sum[:])
}

// handleClaimError answers an order whose claim could not be written. If every endpoint
// of the service checks idempotency keys itself, the order is sent without a claim.
func (p *plainCall) handleClaimError(ctx context.Context, w http.ResponseWriter, err error) {
	if errors.Is(err, ledger.ErrBadKey) {
		p.respond(w)(nil, &outcome.Refusal{Status: http.StatusBadRequest, Code: "bad_key", Message: badKeyMessage, Outcome: outcome.NotRun})
		return
	}
	if p.allEndpointsCheckKeys() {
		p.server.Metrics.Order(p.Service.Name, "endpoint checks")
		p.RecordDecision(decisionlog.PlaceOrder, "", "no claim, endpoints check keys: "+err.Error(), nil)
		p.respond(w)(p.send(ctx))
		return
	}
	p.server.Metrics.Order(p.Service.Name, "not claimed")
	p.respond(w)(nil, &outcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       "not_claimed",
		Message:    "this request was not sent; try again with the same key: " + err.Error(),
		Outcome:    outcome.NotRun,
		RetryAfter: claimRetryAfter,
	})
}

func (p *plainCall) allEndpointsCheckKeys() bool {
	for _, name := range p.Service.Plain.Endpoints {
		endpoint, known := p.DocumentIndex.Endpoint(name)
		if !known || !endpoint.ChecksKeys {
			return false
		}
	}
	return true
}

// sendClaimedOrder sends a claimed order and records its result.
func (p *plainCall) sendClaimedOrder(ctx context.Context, w http.ResponseWriter, key ledger.Key, claim ledger.Claim) {
	a, refusal := p.send(ctx)
	switch {
	case a != nil:
		p.recordResult(ctx, key, claim, a)
	case refusal.Outcome == outcome.NotRun:
		p.releaseClaim(ctx, key, claim)
	}
	p.respond(w)(a, refusal)
}

// inDoubtRefusal answers an order that may have run. The answer has no Retry-After,
// because a retry with this key does not send the order again.
func inDoubtRefusal(message string) *outcome.Refusal {
	return &outcome.Refusal{
		Status:  http.StatusConflict,
		Code:    "in_doubt",
		Message: message + "; it will not be sent again",
		Outcome: outcome.Unknown,
	}
}

// recordResult writes the result to the ledger, so that a repeated order gets the same
// answer.
func (p *plainCall) recordResult(ctx context.Context, key ledger.Key, claim ledger.Claim, a *relay.Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	err := p.server.Claims.Record(ctx, key, claim, ledger.Result{
		Status:      a.Status,
		ContentType: a.Header.Get("Content-Type"),
		Body:        a.Body,
	})
	if err != nil {
		p.RecordDecision(decisionlog.PlaceOrder, "", "result not kept yet: "+err.Error(), nil)
	}
}

// releaseClaim frees the key of an order that provably was not run.
func (p *plainCall) releaseClaim(ctx context.Context, key ledger.Key, claim ledger.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := p.server.Claims.Release(ctx, key, claim); err != nil {
		p.RecordDecision(decisionlog.PlaceOrder, "", "claim not released yet: "+err.Error(), nil)
	}
}

// replayResult answers a repeated order with the recorded result. If the answer's body
// was too long to record, the refusal says so: an empty body would look like the whole
// answer.
func (p *plainCall) replayResult(w http.ResponseWriter, r *ledger.Result) {
	if refusal := notKeptRefusal(r); refusal != nil {
		w.Header().Set(outcome.HeaderReplayed, "1")
		p.respond(w)(nil, refusal)
		return
	}
	header := http.Header{}
	if r.ContentType != "" {
		header.Set("Content-Type", r.ContentType)
	}
	header.Set(outcome.HeaderReplayed, "1")
	p.writeAnswer(w, &relay.Answer{Status: r.Status, Header: header, Body: r.Body})
}

// notKeptRefusal answers an order that was placed and whose answer can't be given back. It returns
// nil if the answer was kept.
func notKeptRefusal(r *ledger.Result) *outcome.Refusal {
	refusal := &outcome.Refusal{
		Status:  r.Status,
		Code:    "answer_not_kept",
		Message: "the order was placed; its answer was too long to keep",
		Outcome: outcome.Done,
	}
	switch {
	case r.Status < http.StatusOK || r.Status > maxStatus:
		refusal.Status = http.StatusBadGateway
		refusal.Message = "the order was placed; what was kept of its answer can't be read"
	case !r.Truncated:
		return nil
	}
	return refusal
}

// maxStatus is the highest status of an answer. The HTTP server panics at one that has more digits,
// and takes one below 200 for no final answer.
const maxStatus = 599
