package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/standin/engine"
)

// The replicas of the overload: their slots over the time of an answer are the
// bound.
const (
	overloadReplicas = 6
	overloadSlots    = 16
	overloadStep     = 20 * time.Millisecond
	overloadTokens   = 25
	overloadNodes    = 3
	// patience is how long callers wait for a whole answer.
	patience = 4 * time.Second
	// overloadWarm passes before answers count, as the first queue has to fill.
	overloadWarm = 3 * time.Second
	overloadTime = 5 * time.Second
	// entryRefresh is how often the teams ask entry again.
	entryRefresh = time.Second
	// maxOpen bounds the calls that are open at once.
	maxOpen = 8192
	// engineQueue holds all that callers may send to an engine at once.
	engineQueue = 1 << 16
)

// overloadBound is what the replicas can answer, in calls a second.
const overloadBound = float64(overloadReplicas*overloadSlots) / (overloadTokens * float64(overloadStep) / float64(time.Second))

// overload offers one, two and four times what the replicas can answer, through
// the nodes and, as the baseline, from the callers to the engines in turn.
func overload(ctx context.Context, s *suite) error {
	t, err := s.newSite()
	if err != nil {
		return err
	}
	defer t.close()
	engines, err := t.engines("pastry-llm", overloadReplicas, engine.Config{Slots: overloadSlots, Queue: engineQueue, Step: overloadStep})
	if err != nil {
		return err
	}
	t.doc.Policy.ConcurrentPerReplica = overloadSlots
	if err := t.start(ctx, overloadNodes); err != nil {
		return err
	}
	result := table{
		title: "Throughput against its bound",
		columns: []string{"offered", "way", "goodput / bound", "whole answers/s", "whole in the window / bound", "slots filled", "a token took", "first token p50", "p95", "refused",
			"refused after p50", "p99", "waited in vain", "nodes' cores", "bench's cores"},
		note: fmt.Sprintf("Bound: %d replicas of %d slots, %d tokens of %v each: %.0f answers (%.0f tokens) a second. Poisson arrivals of %d teams; callers wait %v for a whole answer; %v measured after %v. Goodput: whole answers to calls sent in the window; it is off by the change of the waits from its begin to its end. In the window: whole answers that came in it. Round robin: callers take the engines in turn, without a limit.",
			overloadReplicas, overloadSlots, overloadTokens, overloadStep, overloadBound, overloadBound*overloadTokens, teamCount, patience, overloadTime, overloadWarm),
	}
	for _, factor := range []float64{1, 2, 4} {
		for _, way := range []struct {
			name string
			pick func() func(int) string
		}{
			{"nodes", func() func(int) string { return t.byEntry(ctx) }},
			{"round robin", func() func(int) string { return inTurn(engines) }},
		} {
			l, err := t.offer(ctx, factor, way.pick())
			if err != nil {
				return err
			}
			l.row(&result, factor, way.name)
		}
	}
	s.add(result)
	return nil
}

func inTurn(addresses []string) func(int) string {
	var next atomic.Int64
	return func(int) string { return addresses[int(next.Add(1))%len(addresses)] }
}

// byEntry picks addresses as entry says, asking again from time to time.
func (t *site) byEntry(ctx context.Context) func(int) string {
	e := &entries{}
	asked := time.Time{}
	return func(team int) string {
		if time.Since(asked) > entryRefresh {
			// Without an answer the callers keep the one that they have.
			_ = e.ask(ctx, t.nodes[0].addresses.Callers)
			asked = time.Now()
		}
		return e.pick(team)
	}
}

// offered is what callers received of one load.
type offered struct {
	mu                sync.Mutex
	sent, unsent      int
	whole, vain       int
	inWindow          int // whole answers that came in the window, whenever sent
	filled            filled
	first, refused    *times
	nodes, bench      float64
	began             time.Time
	measured, stopped time.Time
}

// offer sends calls at random times at a multiple of the bound. Only those sent
// after the warm-up count.
func (t *site) offer(ctx context.Context, factor float64, pick func(int) string) (*offered, error) {
	o := &offered{first: newTimes(), refused: newTimes(), began: time.Now()}
	o.measured = o.began.Add(overloadWarm)
	o.stopped = o.measured.Add(overloadTime)
	nodes, err := beginUsage(t.pids()...)
	if err != nil {
		return nil, err
	}
	own, err := beginUsage(os.Getpid())
	if err != nil {
		return nil, err
	}
	used := watchFilled(ctx, t.standins, o.measured, o.stopped)
	var open sync.WaitGroup
	free := make(chan struct{}, maxOpen)
	next := o.began
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / (factor * overloadBound) * float64(time.Second)))
		if next.After(o.stopped) || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(next))
		sent, team := next, rand.IntN(teamCount)
		q := question{address: pick(team), key: teamKey(team), model: "pastry-llm", tokens: overloadTokens, timeout: patience}
		select {
		case free <- struct{}{}:
			open.Go(func() {
				defer func() { <-free }()
				o.take(sent, ask(ctx, q))
			})
		default:
			o.unsent++
		}
	}
	if o.nodes, err = nodes.cores(); err != nil {
		return nil, err
	}
	o.bench, err = own.cores()
	open.Wait()
	o.filled = <-used
	return o, err
}

func (o *offered) take(sent time.Time, a answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	whole := a.whole && a.total <= patience
	if came := sent.Add(a.total); whole && !came.Before(o.measured) && came.Before(o.stopped) {
		o.inWindow++
	}
	if sent.Before(o.measured) {
		return
	}
	o.sent++
	switch {
	case whole:
		o.whole++
		o.first.record(a.firstToken)
	case a.status >= 400:
		o.refused.record(a.total)
	default:
		o.vain++
	}
}

func (o *offered) row(t *table, factor float64, way string) {
	rate := float64(o.whole) / overloadTime.Seconds()
	inWindow := float64(o.inWindow) / overloadTime.Seconds()
	vain := fmt.Sprint(o.vain)
	if o.unsent > 0 {
		vain += fmt.Sprintf(" (+%d not sent)", o.unsent)
	}
	t.row(fmt.Sprintf("%gx", factor), way, rate/overloadBound, rate, inWindow/overloadBound,
		o.filled.slots/(overloadReplicas*overloadSlots), o.filled.token, o.first.at(50), o.first.at(95), o.refused.count(), o.refused.at(50), o.refused.at(99), vain, o.nodes, o.bench)
}
