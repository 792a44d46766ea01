package bench

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/node/server"
	"github.com/cicadatack/cicadatack/proof/harness"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/standin/storefake"
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

const (
	nodeKills  = 3
	nodeTokens = 1500
	// tryAgain is a caller's pause between two tries of all its addresses.
	tryAgain = 10 * time.Millisecond
	// tryTimeout bounds a caller's try of one address.
	tryTimeout = time.Second
	// recoveryPace is the engines' time for a token.
	recoveryPace = 20 * time.Millisecond
)

// nodeRecovery kills the node that a caller streams from, who then asks another
// node for addresses and begins anew.
func nodeRecovery(ctx context.Context, s *suite) error {
	t, err := s.newSite()
	if err != nil {
		return err
	}
	defer t.close()
	if _, err := t.engines("pastry-llm", 6, engine.Config{Step: recoveryPace}); err != nil {
		return err
	}
	if err := t.start(ctx, 3); err != nil {
		return err
	}
	result := table{
		title:   "A node is killed",
		columns: []string{"kill", "caller saw the break after", "first token elsewhere after", "tries", "first entry answer without it after"},
		note:    fmt.Sprintf("Three nodes, the default interval of a second. The caller asks the other nodes for addresses in turn and tries these in the order given; an engine's first token takes %v.", recoveryPace),
	}
	for i := range nodeKills {
		if err := t.killNode(ctx, i, &result); err != nil {
			return err
		}
	}
	s.add(result)
	return nil
}

func (t *site) killNode(ctx context.Context, i int, result *table) error {
	victim, other := t.nodes[0], t.nodes[1]
	begun := make(chan struct{}, nodeTokens)
	broken := make(chan time.Time, 1)
	go func() {
		ask(ctx, question{address: victim.addresses.Callers, key: teamKey(0), model: "pastry-llm", tokens: nodeTokens, onToken: func(int) { begun <- struct{}{} }})
		broken <- time.Now()
	}()
	select {
	case <-begun:
	case <-broken:
		return Error.New("the stream ended before the kill")
	}
	killed := time.Now()
	victim.kill()
	saw := (<-broken).Sub(killed)
	tries, err := reconnect(ctx, other.addresses.Callers)
	if err != nil {
		return err
	}
	first := time.Since(killed)
	if err := awaitLeftOut(ctx, other, victim.addresses.Callers); err != nil {
		return err
	}
	result.row(i+1, saw, first, tries, time.Since(killed))
	return t.replace(ctx, i)
}

// reconnect asks a node for addresses and tries them until a first token comes.
func reconnect(ctx context.Context, node string) (tries int, err error) {
	for ctx.Err() == nil {
		answer, err := askEntry(ctx, node, teamKey(0))
		if err != nil {
			return tries, err
		}
		for _, a := range answer.Addresses {
			tries++
			if ask(ctx, question{address: a.Address, key: teamKey(0), model: "pastry-llm", tokens: 1, timeout: tryTimeout}).whole {
				return tries, nil
			}
		}
		time.Sleep(tryAgain)
	}
	return tries, Error.Wrap(ctx.Err())
}

func awaitLeftOut(ctx context.Context, node *node, address string) error {
	for ctx.Err() == nil {
		answer, err := askEntry(ctx, node.addresses.Callers, teamKey(0))
		if err != nil {
			return err
		}
		named := false
		for _, a := range answer.Addresses {
			named = named || a.Address == address
		}
		if !named {
			return nil
		}
		time.Sleep(tryAgain)
	}
	return Error.Wrap(ctx.Err())
}

// replace starts a new VM for the one that was killed.
func (t *site) replace(ctx context.Context, killed int) error {
	t.nodes = t.nodes[1:]
	if _, err := t.addNode(ctx, killed+3); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return t.waitAll(ctx, func(s server.Status) bool { return s.Ready && liveMembers(s) == len(t.nodes) })
}

const (
	outage       = 5 * time.Second
	storeStreams = 50
	// storeTokens outlast the outage.
	storeTokens = 400
	orderPause  = 20 * time.Millisecond
)

// storeRecovery takes the store away for a while, under streams and orders.
func storeRecovery(ctx context.Context, s *suite) error {
	t, err := s.newSite()
	if err != nil {
		return err
	}
	defer t.close()
	if _, err := t.engines("pastry-llm", 4, engine.Config{Step: recoveryPace}); err != nil {
		return err
	}
	service := plain.New("ledger", recoverySlots)
	address, err := t.serve(service, &t.endpointTraffic)
	if err != nil {
		return err
	}
	t.addPlain("stock-ledger", place{"ledger", address, domains[0]})
	if err := t.start(ctx, 3); err != nil {
		return err
	}
	t.store.SetFaults(storefake.Faults{SlowMillis: storeDelay})
	node := t.nodes[0].addresses.Callers
	var open sync.WaitGroup
	answers := make([]answer, storeStreams)
	for i := range answers {
		open.Go(func() {
			answers[i] = ask(ctx, question{address: node, key: teamKey(i), model: "pastry-llm", tokens: storeTokens})
		})
	}
	if status, _ := order(ctx, node, "before"); status != http.StatusCreated {
		return Error.New("an order before the outage: status %d", status)
	}
	t.store.SetFaults(storefake.Faults{Outage: true})
	refused, placed := ordersDuring(ctx, node)
	t.store.SetFaults(storefake.Faults{SlowMillis: storeDelay})
	back := time.Now()
	if err := awaitOrder(ctx, node); err != nil {
		return err
	}
	recovered := time.Since(back)
	open.Wait()
	s.add(storeTable(answers, refused, placed, recovered))
	return nil
}

// ordersDuring places orders one after the other while the store is down.
func ordersDuring(ctx context.Context, node string) (refused *times, placed int) {
	refused = newTimes()
	end := time.Now().Add(outage)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		status, took := order(ctx, node, fmt.Sprint("during-", i))
		if status == http.StatusCreated {
			placed++
		} else {
			refused.record(took)
		}
		time.Sleep(orderPause)
	}
	return refused, placed
}

func awaitOrder(ctx context.Context, node string) error {
	for i := 0; ctx.Err() == nil; i++ {
		if status, _ := order(ctx, node, fmt.Sprint("after-", i)); status == http.StatusCreated {
			return nil
		}
		time.Sleep(orderPause)
	}
	return Error.Wrap(ctx.Err())
}

func storeTable(answers []answer, refused *times, placed int, recovered time.Duration) table {
	whole, longest := 0, time.Duration(0)
	for _, a := range answers {
		longest = max(longest, a.gap)
		if a.whole && a.tokens == storeTokens {
			whole++
		}
	}
	result := table{
		title:   fmt.Sprintf("The store is down for %v", outage),
		columns: []string{"streams whole", "their longest gap", "orders refused", "placed meanwhile", "refused after p50", "p95", "max", "first order after the outage"},
		note:    fmt.Sprintf("%d streams on one node with a token each %v, begun before and ended after the outage; one caller who orders again %v after each answer.", storeStreams, recoveryPace, orderPause),
	}
	result.row(whole, longest, refused.count(), placed, refused.at(50), refused.at(95), refused.max(), recovered)
	return result
}
