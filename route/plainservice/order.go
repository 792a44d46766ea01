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
	// recordTimeout bounds the write of a result. The order itself is placed;
	// a result that can't be written leaves the claim in doubt, which is safe.
	recordTimeout = 5 * time.Second
	// claimRetryAfter is when a caller may try an order again that could not be
	// claimed.
	claimRetryAfter = 2 * time.Second
	// inProgressTime is how long after its claim an order counts as underway. Most
	// have their result within a second, and a paused node goes on when it wakes;
	// one that has none after this time is thought lost with its node.
	inProgressTime = 10 * time.Second
	// inProgressRetryAfter is when a caller may ask again for an order that is underway.
	// Each question costs a read of the shard, which others share.
	inProgressRetryAfter = time.Second
)

var badKeyMessage = fmt.Sprintf("%s: longer than %d bytes", outcome.HeaderIdempotencyKey, ledger.MaxKeyBytes)

// placeOrder places a call that may run at most once.
//
// With a key, the claim is written before the placeOrder is sent, so that no node,
// also one that was paused for long, sends an placeOrder that another has claimed:
// compare-and-swap lets only one claim through. Without a key there is nothing
// to claim by, and the placeOrder is sent once and never again.
func (e *plainCall) placeOrder(ctx context.Context, w http.ResponseWriter) {
	if e.idempotencyKey == "" {
		e.server.Metrics.Order(e.Service.Name, "without key")
		e.respond(w)(e.send(ctx))
		return
	}
	// The ledger keeps of an answer its status, type and body. A compressed body
	// would be replayed without the header that says how to read it.
	e.header = e.header.Clone()
	e.header.Set("Accept-Encoding", "identity")
	key := ledger.Key{Team: e.Team.Name, Service: e.Service.Name, Key: e.idempotencyKey}
	claim, err := e.server.Claims.Claim(ctx, key, e.fingerprint())
	if err != nil {
		e.handleClaimError(ctx, w, err)
		return
	}
	e.server.Metrics.Order(e.Service.Name, claim.State.String())
	e.RecordDecision(decisionlog.PlaceOrder, claim.Node, "claim is "+claim.State.String(), nil)
	switch claim.State {
	case ledger.Fresh:
		e.sendClaimedOrder(ctx, w, key, claim)
	case ledger.Done:
		e.replayResult(w, claim.Result)
	case ledger.Mismatch:
		e.respond(w)(nil, &outcome.Refusal{Status: http.StatusUnprocessableEntity, Code: "key_reused", Message: "the key was used for another order", Outcome: outcome.NotRun})
	default:
		e.respond(w)(nil, noResultRefusal(e.Now().Sub(claim.ClaimedAt)))
	}
}

// noResultRefusal is the answer to an order that was claimed before and has no result.
//
// A caller who heard nothing for a second and asks again, at another node too,
// mostly comes upon its own first request, still underway. Were it told "in
// doubt" for good, someone would have to look at the booking side for an order
// whose result is there a moment later. So a young claim has a time to come back.
// Nothing is sent in either case, and clocks that differ only shift the moment.
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

// fingerprint tells an order from another under the same key.
func (e *plainCall) fingerprint() string {
	sum := sha256.Sum256(e.body)
	return e.method + " " + e.path + " " + hex.EncodeToString(sum[:])
}

// handleClaimError answers an order whose claim could not be written. If every
// endpoint of the service checks keys itself, it may be sent all the same.
func (e *plainCall) handleClaimError(ctx context.Context, w http.ResponseWriter, err error) {
	if errors.Is(err, ledger.ErrBadKey) {
		e.respond(w)(nil, &outcome.Refusal{Status: http.StatusBadRequest, Code: "bad_key", Message: badKeyMessage, Outcome: outcome.NotRun})
		return
	}
	if e.allEndpointsCheckKeys() {
		e.server.Metrics.Order(e.Service.Name, "endpoint checks")
		e.RecordDecision(decisionlog.PlaceOrder, "", "no claim, endpoints check keys: "+err.Error(), nil)
		e.respond(w)(e.send(ctx))
		return
	}
	e.server.Metrics.Order(e.Service.Name, "not claimed")
	e.respond(w)(nil, &outcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       "not_claimed",
		Message:    "this request was not sent; try again with the same key: " + err.Error(),
		Outcome:    outcome.NotRun,
		RetryAfter: claimRetryAfter,
	})
}

func (e *plainCall) allEndpointsCheckKeys() bool {
	for _, name := range e.Service.Plain.Endpoints {
		endpoint, known := e.Directory.Endpoint(name)
		if !known || !endpoint.ChecksKeys {
			return false
		}
	}
	return true
}

// sendClaimedOrder sends a claimed order and keeps its result.
func (e *plainCall) sendClaimedOrder(ctx context.Context, w http.ResponseWriter, key ledger.Key, claim ledger.Claim) {
	a, refusal := e.send(ctx)
	switch {
	case a != nil:
		e.recordResult(ctx, key, claim, a)
	case refusal.Outcome == outcome.NotRun:
		e.releaseClaim(ctx, key, claim)
	}
	e.respond(w)(a, refusal)
}

// inDoubtRefusal is the answer to an order that may have been placed. It carries no
// Retry-After: asking again with this key does not send it again.
func inDoubtRefusal(message string) *outcome.Refusal {
	return &outcome.Refusal{
		Status:  http.StatusConflict,
		Code:    "in_doubt",
		Message: message + "; it will not be sent again",
		Outcome: outcome.Unknown,
	}
}

// recordResult writes the result, so that a caller who asks again gets the same answer.
func (e *plainCall) recordResult(ctx context.Context, key ledger.Key, claim ledger.Claim, a *relay.Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	err := e.server.Claims.Record(ctx, key, claim, ledger.Result{
		Status:      a.Status,
		ContentType: a.Header.Get("Content-Type"),
		Body:        a.Body,
	})
	if err != nil {
		e.RecordDecision(decisionlog.PlaceOrder, "", "result not kept yet: "+err.Error(), nil)
	}
}

// releaseClaim gives the key free after an order that provably was not run.
func (e *plainCall) releaseClaim(ctx context.Context, key ledger.Key, claim ledger.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := e.server.Claims.Release(ctx, key, claim); err != nil {
		e.RecordDecision(decisionlog.PlaceOrder, "", "claim not released yet: "+err.Error(), nil)
	}
}

// replayResult answers a caller who asks again for an order that is placed. Where the
// answer's body was not kept it says so: an empty one would look like the whole.
func (e *plainCall) replayResult(w http.ResponseWriter, r *ledger.Result) {
	if r.Truncated {
		w.Header().Set(outcome.HeaderReplayed, "1")
		e.respond(w)(nil, &outcome.Refusal{
			Status:  r.Status,
			Code:    "answer_not_kept",
			Message: "the order was placed; its answer was too long to keep",
			Outcome: outcome.Done,
		})
		return
	}
	header := http.Header{}
	if r.ContentType != "" {
		header.Set("Content-Type", r.ContentType)
	}
	header.Set(outcome.HeaderReplayed, "1")
	e.writeAnswer(w, &relay.Answer{Status: r.Status, Header: header, Body: r.Body})
}
