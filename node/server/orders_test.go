package server

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/shardowner"
	"github.com/cicadatack/cicadatack/fleet/exchange"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/state/ledger"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// A node sends its orders' claims to a node of another environment, after a VM
// was given a new role. Were they taken, they would stand in the other
// environment's ledger, where nobody looks for them, and the order would be
// placed again by the next node that is asked.
func TestClaimsOfAnotherEnvironmentAreNotTaken(t *testing.T) {
	memory := storetest.NewMemory()
	t.Cleanup(memory.Close)
	s := &Server{settings: settings.Settings{Environment: "java"}}
	s.orders = ledger.New(storetest.NewClient(memory), "java", ledger.Config{})
	t.Cleanup(s.orders.Close)
	request := &exchange.OrdersRequest{
		Environment: "salish",
		Operations:  operationsToWire([]ledger.Operation{{Kind: ledger.KindClaim, ID: "aaaa", Attempt: "b"}}),
	}
	if _, err := newOrderPeers(s).Orders(context.Background(), request); err == nil {
		t.Error("a claim of salish was taken by a node of java")
	}
	request.Environment = "java"
	answer, err := newOrderPeers(s).Orders(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	if got := repliesFromWire(answer.GetReplies()); len(got) != 1 || got[0].Claim.State != ledger.Fresh {
		t.Errorf("replies %+v", got)
	}
}

// What a node learns over the wire is what the owner said; above all no failure
// arrives as a claim, and none that may have been written as one that was not.
func TestOperationsAndRepliesOverTheWire(t *testing.T) {
	result := &ledger.Result{Status: 201, ContentType: "text/plain", Body: []byte("17"), Truncated: true}
	operations := []ledger.Operation{
		{Kind: ledger.KindClaim, ID: "a", Fingerprint: "f", Attempt: "x", ClaimedMs: 3, UntilMs: 4},
		{Kind: ledger.KindRecord, ID: "a", Attempt: "x", Result: result},
		{Kind: ledger.KindRelease, ID: "a", Attempt: "x"},
	}
	if got := operationsFromWire(operationsToWire(operations)); !reflect.DeepEqual(got, operations) {
		t.Errorf("operations %+v, want %+v", got, operations)
	}
	replies := []ledger.Reply{
		{Claim: ledger.Claim{State: ledger.Fresh, ClaimedAt: time.UnixMilli(3)}},
		{Claim: ledger.Claim{State: ledger.Done, ClaimedAt: time.UnixMilli(3), Result: result}},
		{Err: ledger.NotDone("down")},
		{Err: ledger.NotDone("down"), Untouched: true},
		{Err: ledger.Error.Wrap(ledger.ErrNotHolder)},
	}
	for i, got := range repliesFromWire(repliesToWire(replies)) {
		want := replies[i]
		if !reflect.DeepEqual(got.Claim, want.Claim) || got.Untouched != want.Untouched ||
			(got.Err == nil) != (want.Err == nil) || errors.Is(got.Err, ledger.ErrNotHolder) != errors.Is(want.Err, ledger.ErrNotHolder) {
			t.Errorf("reply %d: %+v, want %+v", i, got, want)
		}
	}
	if got := replyFromWire(&exchange.OrderReply{Outcome: 9, State: 1}); got.Err == nil || got.Untouched {
		t.Errorf("an outcome of a later version was read as %+v", got)
	}
}

// An owner that alone is cut off from the store is passed over: it refuses what
// it is asked for, the asking node does it, and from then on asks the next in
// rank. An answer that did nothing does not bring it back; one that did, does.
func TestOwnerWithoutStoreIsPassedOver(t *testing.T) {
	p := newOrderPeers(&Server{settings: settings.Settings{Name: "near"}, log: hclog.NewNullLogger()})
	p.owners.SetLive([]string{"far", "other"})
	now := time.Now()
	first := p.owners.Pick(now, shardowner.ShardName(0))
	p.Refused(first)
	second := p.owners.Pick(now, shardowner.ShardName(0))
	if second == first || second == "" {
		t.Fatalf("%q refused, and %q is asked next", first, second)
	}
	later := now.Add(shardowner.MinBackoff + time.Second)
	if got := p.owners.Pick(later, shardowner.ShardName(0)); got != first {
		t.Fatalf("after its pause %q is asked, not %q", got, first)
	}
	p.Refused(first)
	if got := p.owners.Pick(now.Add(shardowner.MinBackoff+shardowner.MinBackoff/2), shardowner.ShardName(0)); got != second {
		t.Errorf("it refused again, and after as short a pause %q is asked", got)
	}
	p.answered(first)
	if got := p.owners.Pick(later, shardowner.ShardName(0)); got != first {
		t.Errorf("it answered, and %q is asked", got)
	}
}
