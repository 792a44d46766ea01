package bench

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/standin/storefake"
)

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
