package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/cicadatack/cicadatack/state/internal/historytest"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// request is a call of the ledger as the history records it.
type request struct {
	kind    opKind
	key     string
	attempt string
}

// answer is what the call returned. attempt is that of a fresh claim, or of
// the order whose result is replayed.
type answer struct {
	state   State
	attempt string
	failed  bool
}

// order is the state of one order in the specification. abandoned says that a
// claim has failed, so that its entry may stand until it is released.
type order struct {
	held, done string
	abandoned  bool
}

// specification says what one order may look like to its callers: it is free,
// held by one attempt, or done.
var specification = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(request).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return order{} },
	Step: func(state, input, output any) (bool, any) {
		o, in, out := state.(order), input.(request), output.(answer)
		switch in.kind {
		case opClaim:
			return o.claim(out)
		case opRecord:
			return o.finish(in, out, order{done: in.attempt, abandoned: o.abandoned})
		}
		return o.finish(in, out, order{abandoned: o.abandoned})
	},
}

func (o order) claim(out answer) (bool, any) {
	switch {
	case out.failed:
		o.abandoned = true
		return true, o
	case out.state == Fresh:
		return o.held == "" && o.done == "", order{held: out.attempt, abandoned: o.abandoned}
	case out.state == Done:
		return o.done == out.attempt, o
	}
	return o.held != "" || (o.done == "" && o.abandoned), o
}

// finish is a result or a release. One that failed takes effect at any later
// time or not at all.
func (o order) finish(in request, out answer, next order) (bool, any) {
	if o.held == in.attempt {
		return true, next
	}
	return out.failed, o
}

// history collects the calls of all callers.
type history struct{ *historytest.History }

func (h history) record(client int, in request, call func() answer) answer {
	return historytest.Record(h.History, client, in, call, func(out answer) bool {
		return out.failed && in.kind != opClaim
	})
}

// caller claims orders at random nodes and records or releases what it gets.
func (h history) caller(client int, nodes []*Ledger, rng *rand.Rand) {
	for range 12 {
		key := Key{Team: "bogor", Service: "stock-ledger", Key: string(rune('a' + rng.IntN(3)))}
		node := nodes[rng.IntN(len(nodes))]
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rng.IntN(20))*time.Millisecond)
		var claim Claim
		got := h.record(client, request{kind: opClaim, key: key.Key}, func() answer {
			var err error
			claim, err = node.Claim(ctx, key, "20 kg")
			return claimAnswer(claim, err)
		})
		cancel()
		if got.state == Fresh && !got.failed {
			h.end(client, node, key, claim, rng)
		}
	}
}

func claimAnswer(claim Claim, err error) answer {
	out := answer{state: claim.State, attempt: claim.Attempt, failed: err != nil}
	if claim.State == Done {
		out.attempt = string(claim.Result.Body)
	}
	return out
}

func (h history) end(client int, node *Ledger, key Key, claim Claim, rng *rand.Rand) {
	in := request{kind: opRelease, key: key.Key, attempt: claim.Attempt}
	call := func() error { return node.Release(context.Background(), key, claim) }
	if rng.IntN(10) == 0 {
		in.kind = opRecord
		result := Result{Status: 201, Body: []byte(claim.Attempt)}
		call = func() error { return node.Record(context.Background(), key, claim, result) }
	}
	h.record(client, in, func() answer { return answer{failed: call() != nil} })
}

// play runs eight callers at three nodes whose store loses every fifth call in
// some way, and checks what they saw. With forwarding, each node asks one that
// it takes for the owner at that moment, over links that break.
func play(t *testing.T, seed uint64, forwarding bool) porcupine.CheckResult {
	s := newSite(t)
	var nodes []*Ledger
	peers := map[string]*Ledger{}
	for i := range 3 {
		node, client := s.node()
		if forwarding {
			node.config.Peers = randomLink(peers, seed+uint64(i))
		}
		nodes = append(nodes, node)
		peers[fmt.Sprint(i)] = node
		client.SetFault(historytest.RandomFaults(seed + uint64(i)))
	}
	h := history{historytest.New()}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { h.caller(i, nodes, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	wg.Wait()
	return h.Check(specification)
}

// Callers at three nodes see each order as one thing that is free, held by one
// of them or done, in an order that fits what they saw when, although replies
// and requests are lost, the store fails and callers leave. The same holds if
// nodes claim for each other over links that lose requests and answers.
func TestHistoriesOfOrders(t *testing.T) {
	for _, forwarding := range []bool{false, true} {
		for seed := range uint64(20) {
			if got := play(t, seed, forwarding); got != porcupine.Ok {
				t.Fatalf("forwarding %v, seed %d: the history is not linearizable: %s", forwarding, seed, got)
			}
		}
	}
}

// Two nodes claim the same order; each writes once both have read. Of a store
// that compares one gets the order. One that writes without comparing gives it
// to both, and the check rejects that, so it can tell.
func TestHistoriesWithoutComparisonAreRejected(t *testing.T) {
	for blind, want := range map[bool]porcupine.CheckResult{false: porcupine.Ok, true: porcupine.Illegal} {
		if got := race(t, blind); got != want {
			t.Errorf("blind writes %t: the history is %s, want %s", blind, got, want)
		}
	}
}

// race runs two claims whose first writes wait for each other.
func race(t *testing.T, blind bool) porcupine.CheckResult {
	s := newSite(t)
	h := history{historytest.New()}
	key := Key{Team: "bogor", Service: "stock-ledger", Key: "a"}
	var haveRead, wg sync.WaitGroup
	haveRead.Add(2)
	for i := range 2 {
		node, client := s.node()
		onSwap(client, 1, storetest.Fault{Blind: blind, Before: func() { haveRead.Done(); haveRead.Wait() }})
		wg.Go(func() {
			h.record(i, request{kind: opClaim, key: key.Key}, func() answer {
				return claimAnswer(node.Claim(context.Background(), key, "20 kg"))
			})
		})
	}
	wg.Wait()
	return h.Check(specification)
}
