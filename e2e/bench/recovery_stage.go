package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
)

const (
	// recoverySlots hold all streams on the nearest replica.
	recoverySlots  = 160
	recoveryTokens = 100
	// recoveryStep is of each of the two stages.
	recoveryStep = 10 * time.Millisecond
	// faultToken is the token after which the fault comes.
	faultToken = 30
)

// stageFault is what happens to the second stage of the chain in use.
type stageFault struct {
	name string
	do   func(*harness.Process) error
}

// stageRecovery kills or freezes a stage, a process of its own, under streams
// that all run along it.
func stageRecovery(ctx context.Context, s *suite) error {
	result := table{
		title:   "A stage fails under streams",
		columns: []string{"fault", "streams", "whole", "longest gap p50", "p95", "max", "usual gap"},
		note:    fmt.Sprintf("Longest gap between two tokens as each caller saw it, over answers of %d tokens. Two chains of two engines; all streams run along the nearest, whose second stage fails after token %d of the last stream. Usual gap: p50 of the longest gaps of the same number of streams without a fault.", recoveryTokens, faultToken),
	}
	for _, fault := range []stageFault{
		{"killed", func(p *harness.Process) error { p.Kill(); return nil }},
		{"frozen", (*harness.Process).Freeze},
	} {
		for _, n := range []int{1, 10, 100} {
			if err := s.failStage(ctx, fault, n, &result); err != nil {
				return err
			}
		}
	}
	s.add(result)
	return nil
}

func (s *suite) failStage(ctx context.Context, fault stageFault, n int, result *table) error {
	t, err := s.newSite()
	if err != nil {
		return err
	}
	defer t.close()
	second, err := t.stageProcesses()
	if err != nil {
		return err
	}
	t.doc.Policy.ConcurrentPerReplica = recoverySlots
	if err := t.start(ctx, 1); err != nil {
		return err
	}
	usual, _, err := t.gaps(ctx, n, nil)
	if err != nil {
		return err
	}
	gaps, whole, err := t.gaps(ctx, n, func() error { return fault.do(second) })
	if err != nil {
		return err
	}
	result.row(fault.name, n, whole, gaps.at(50), gaps.at(95), gaps.max(), usual.at(50))
	return nil
}

// stageProcesses starts two chains and returns the second stage of that which
// is nearest to the first node.
func (t *site) stageProcesses() (*harness.Process, error) {
	var chains [][]place
	var second *harness.Process
	for i := range 2 {
		var chain []place
		for stage := range 2 {
			first, last := stageLayers(stage, 2)
			name := fmt.Sprintf("chain-%d-%d", i, stage)
			p, err := harness.StartStandin(t.suite.cfg.Bin, "standin-engine", name,
				"--name", name, "--model", "pastry-llm", "--version", "0", "--batch-cost", "0",
				"--first", fmt.Sprint(first), "--last", fmt.Sprint(last),
				"--slots", fmt.Sprint(recoverySlots), "--queue", fmt.Sprint(recoverySlots),
				"--step-us", fmt.Sprint(recoveryStep.Microseconds()))
			if err != nil {
				return nil, err
			}
			t.closers = append(t.closers, p.Kill)
			chain = append(chain, place{name, p.Address, domains[i]})
			if i == 0 {
				second = p
			}
		}
		chains = append(chains, chain)
	}
	t.addModel("pastry-llm", chains)
	return second, nil
}

// gaps has n streams run at once; fault comes when the last of them has passed
// faultToken. It returns each stream's longest gap and how many were whole.
func (t *site) gaps(ctx context.Context, n int, fault func() error) (*times, int, error) {
	passed := make(chan struct{}, n)
	answers := make(chan answer, n)
	for i := range n {
		q := question{address: t.nodes[0].addresses.Callers, key: teamKey(i), model: "pastry-llm", tokens: recoveryTokens}
		q.onToken = func(token int) {
			if token == faultToken {
				passed <- struct{}{}
			}
		}
		go func() { answers <- ask(ctx, q) }()
	}
	if fault != nil {
		for range n {
			select {
			case <-passed:
			case a := <-answers:
				return nil, 0, Error.New("a stream ended early: status %d, %d tokens, %v", a.status, a.tokens, a.err)
			}
		}
		if err := fault(); err != nil {
			return nil, 0, err
		}
	}
	longest, whole := newTimes(), 0
	for range n {
		a := <-answers
		longest.record(a.gap)
		if a.whole && a.tokens == recoveryTokens {
			whole++
		}
	}
	return longest, whole, nil
}
