package promotion

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/internal/historytest"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// inForce is what stands in production, and the state of the specification.
type inForce struct {
	revision int64
	id       string
}

// request is a promotion, or a read if id is empty.
type request struct {
	base int64
	id   string
}

// answer is the record in force, as read or after the promotion; for one that
// lost, the winner's. failed says that the call wrote nothing.
type answer struct {
	now          inForce
	lost, failed bool
}

// specification says what operators may see: a line of revisions, each of one
// promotion, each replacing the one before.
var specification = porcupine.Model{
	Init: func() any { return inForce{} },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(inForce), input.(request), output.(answer)
		switch {
		case out.failed:
			return true, now
		case in.id == "":
			return out.now == now, now
		case out.lost:
			return out.now == now && now.revision > in.base, now
		}
		next := inForce{in.base + 1, in.id}
		return now.revision == in.base && out.now == next, next
	},
}

// history collects the calls of all operators.
type history struct{ *historytest.History }

func (h history) record(client int, in request, call func() answer) answer {
	return historytest.Record(h.History, client, in, call, func(answer) bool { return false })
}

// begin promotes the first text, at a store without faults.
func (h history) begin(t *testing.T, p *Promoter) {
	ctx := context.Background()
	if _, err := p.Trial(ctx, "dawn", textOf(1), "siti"); err != nil {
		t.Fatal(err)
	}
	in := request{id: "first"}
	out := h.record(0, in, func() answer { return answerOf(p.attempt(ctx, in, true)) })
	if out.failed || out.lost {
		t.Fatalf("the first promotion: %+v", out)
	}
}

// operator reads what is in force and promotes on top of it.
func (h history) operator(client int, p *Promoter, rng *rand.Rand) {
	ctx := context.Background()
	for range 8 {
		seen := h.record(client, request{}, func() answer { return answerOfRead(p.Current(ctx, "dawn")) })
		if seen.failed {
			continue
		}
		in := request{base: seen.now.revision, id: NewID()}
		h.record(client, in, func() answer { return promoteAnyway(ctx, p, in, rng.IntN(2) == 0) })
	}
}

// maxRepeats is far more than a store that loses every fifth call needs.
const maxRepeats = 200

// promoteAnyway repeats a promotion whose outcome is unknown, as an operator
// does, until it is known.
func promoteAnyway(ctx context.Context, p *Promoter, in request, onTrial bool) answer {
	doubt := false
	for range maxRepeats {
		patience, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		index, err := p.attempt(patience, in, onTrial)
		cancel()
		doubt = doubt || errors.Is(err, ErrUnknown)
		out := answerOf(index, err)
		if !doubt || !out.failed {
			return out
		}
	}
	panic("the promotion was never settled, though the store answers most calls")
}

func (p *Promoter) attempt(ctx context.Context, in request, onTrial bool) (document.Index, error) {
	if !onTrial {
		return p.Rollforward(ctx, "dawn", 1, in.base, in.id, "agus")
	}
	tried, err := p.Tried(ctx, "dawn")
	if err != nil {
		return tried, err
	}
	return p.Promote(ctx, "dawn", tried.Digest, in.base, in.id, "siti")
}

func answerOfRead(record document.Record, err error) answer { return answerOf(record.Index, err) }

func answerOf(index document.Index, err error) answer {
	var conflict *ConflictError
	switch {
	case err == nil:
		return answer{now: inForce{index.Revision, index.PromotionID}}
	case errors.As(err, &conflict):
		return answer{lost: true, now: inForce{conflict.Winner.Revision, conflict.Winner.PromotionID}}
	}
	return answer{failed: true}
}

// play runs four operators whose store loses every fifth call in some way, and
// checks what they saw.
func play(t *testing.T, seed uint64) porcupine.CheckResult {
	s := newSite(t)
	first, _ := s.operator()
	h := history{historytest.New()}
	h.begin(t, first)
	var wg sync.WaitGroup
	for i := range 4 {
		p, client := s.operator()
		client.SetFault(historytest.RandomFaults(seed*10 + uint64(i)))
		wg.Go(func() { h.operator(i, p, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	wg.Wait()
	return h.Check(specification)
}

// Four operators promote at once over a store that loses replies and requests
// and fails. What each is told, and what each reads in between, fits one line
// of revisions: none twice, none lost after it was reported, none falsely
// reported failed.
func TestHistoriesOfPromotions(t *testing.T) {
	for seed := range uint64(20) {
		if got := play(t, seed); got != porcupine.Ok {
			t.Fatalf("seed %d: the history is not linearizable: %s", seed, got)
		}
	}
}

// Two operators promote on the same base; each writes once both have read. Of a
// store that compares one is told that it lost. One that writes without
// comparing tells both that they won, and the check rejects that, so it can tell.
func TestHistoriesWithoutComparisonAreRejected(t *testing.T) {
	for blind, want := range map[bool]porcupine.CheckResult{false: porcupine.Ok, true: porcupine.Illegal} {
		if got := race(t, blind); got != want {
			t.Errorf("blind writes %t: the history is %s, want %s", blind, got, want)
		}
	}
}

// race runs two promotions whose writes wait for each other.
func race(t *testing.T, blind bool) porcupine.CheckResult {
	s := newSite(t)
	first, _ := s.operator()
	h := history{historytest.New()}
	h.begin(t, first)
	var haveRead, wg sync.WaitGroup
	haveRead.Add(2)
	for i := range 2 {
		p, client := s.operator()
		onProduction(client, storetest.Fault{Blind: blind, Before: func() { haveRead.Done(); haveRead.Wait() }})
		in := request{base: 1, id: NewID()}
		wg.Go(func() {
			h.record(i, in, func() answer { return answerOf(p.attempt(context.Background(), in, true)) })
		})
	}
	wg.Wait()
	return h.Check(specification)
}
