package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/standin/storefake"
)

const (
	orderTime  = 3 * time.Second
	orderNodes = 8
	orderSlots = 1024
	orderBody  = `{"item":"butter","kg":40}`
)

// order places one order under a key and returns the status and the time that
// the answer took.
func order(ctx context.Context, node, key string) (int, time.Duration) {
	reply, took := post(ctx, "http://"+node+"/services/stock-ledger/orders", key, teamKey(0))
	return reply.status, took
}

// orderReply is the answer to an order; status zero: there was none.
type orderReply struct {
	status  int
	outcome outcome.Outcome
	// back is set if it names a time to come back.
	back bool
}

func post(ctx context.Context, url, key, team string) (orderReply, time.Duration) {
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(strings.NewReader(orderBody)))
	if err != nil {
		return orderReply{}, 0
	}
	request.Header.Set("Authorization", "Bearer "+team)
	request.Header.Set(outcome.HeaderIdempotencyKey, key)
	response, err := client.Do(request)
	if err != nil {
		return orderReply{}, time.Since(began)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the status is what counts
	reply := orderReply{
		status:  response.StatusCode,
		outcome: outcome.Outcome(response.Header.Get(outcome.Header)),
		back:    response.Header.Get("Retry-After") != "",
	}
	return reply, time.Since(began)
}

// orders measures non-idempotent orders by the number of callers who each place
// one after the other, at the default budget of store calls and at a large one.
func orders(ctx context.Context, s *suite) error {
	result := table{
		title: "Orders that may not be repeated",
		columns: []string{"a node's store calls/s", "nodes", "callers", "pause", "orders/s", "not placed", "p50", "p95", "p99", "store writes/s", "orders a write",
			"store reads/s", "nodes' CPU an order", "store bytes an order"},
	}
	for _, run := range []struct {
		budget int
		rows   []orderLoad
	}{
		{settings.DefaultStoreCalls, []orderLoad{{1, 1, idlePause}, {1, 1, 0}, {1, 16, 0}, {1, 256, 0}, {3, 256, 0}, {8, 256, 0}}},
		{largeBudget, []orderLoad{{1, 256, 0}, {3, 256, 0}, {8, 256, 0}}},
	} {
		if err := s.ordersAt(ctx, run.budget, run.rows, &result); err != nil {
			return err
		}
	}
	s.add(result)
	return nil
}

// largeBudget of store calls leaves the ledger's own pace of writes as the limit.
const largeBudget = 400

// orderLoad is who orders; pause passes between two orders of a caller.
type orderLoad struct {
	nodes, callers int
	pause          time.Duration
}

// idlePause keeps the writes of one caller far below any pace.
const idlePause = 200 * time.Millisecond

func (s *suite) ordersAt(ctx context.Context, budget int, rows []orderLoad, result *table) error {
	t, err := s.newSite()
	if err != nil {
		return err
	}
	defer t.close()
	t.storeCalls = budget
	service := plain.New("ledger", orderSlots)
	address, err := t.serve(service, &t.endpointTraffic)
	if err != nil {
		return err
	}
	t.addPlain("stock-ledger", place{"ledger", address, domains[0]})
	t.doc.Policy.ConcurrentPerReplica = orderSlots
	if err := t.start(ctx, orderNodes); err != nil {
		return err
	}
	t.store.SetFaults(storefake.Faults{SlowMillis: storeDelay})
	result.note = fmt.Sprintf("The store takes %d ms a call. Directly at the plain service: p50 %s for one caller. Each order is a claim and a result in the store; store bytes: of all shards after the row, over the orders kept.", storeDelay, duration(directOrder(ctx, address)))
	total := int64(0)
	for _, load := range rows {
		if err := t.orderRow(ctx, load, &total, result); err != nil {
			return err
		}
	}
	return nil
}

// ledgerBytes is what the shards take in the store.
func (t *site) ledgerBytes(ctx context.Context) (int, error) {
	shards, err := t.client.List(ctx, "/cicadatack/"+environment+"/ledger/")
	if err != nil {
		return 0, err
	}
	sum := 0
	for _, shard := range shards {
		sum += len(shard.Value)
	}
	return sum, nil
}

func directOrder(ctx context.Context, address string) time.Duration {
	took := newTimes()
	for i := range probes {
		_, d := post(ctx, "http://"+address+"/orders", fmt.Sprint("direct-", i), teamKey(0))
		took.record(d)
	}
	return took.at(50)
}

func (t *site) orderRow(ctx context.Context, load orderLoad, total *int64, result *table) error {
	use, err := beginUsage(t.pids()...)
	if err != nil {
		return err
	}
	before := t.store.Status().ByPath
	took, failed := t.placeOrders(ctx, load)
	seconds := time.Since(use.began).Seconds()
	after := t.store.Status().ByPath
	used, err := use.total()
	if err != nil {
		return err
	}
	writes := after[storefake.PathTxn] - before[storefake.PathTxn]
	placed := took.count()
	*total += placed
	kept, err := t.ledgerBytes(ctx)
	if err != nil {
		return err
	}
	result.row(t.storeCalls, load.nodes, load.callers, load.pause, float64(placed)/seconds, failed, took.at(50), took.at(95), took.at(99),
		float64(writes)/seconds, float64(placed)/float64(max(writes, 1)),
		float64(after[storefake.PathRange]-before[storefake.PathRange])/seconds, used/time.Duration(max(placed, 1)), kept/int(max(*total, 1)))
	return nil
}

// placeOrders has callers place orders one after the other for orderTime.
func (t *site) placeOrders(ctx context.Context, load orderLoad) (took *times, failed int) {
	took = newTimes()
	var mu sync.Mutex
	var open sync.WaitGroup
	end := time.Now().Add(orderTime)
	for i := range load.callers {
		node := t.nodes[i%load.nodes].addresses.Callers
		open.Go(func() {
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				status, d := order(ctx, node, fmt.Sprintf("order-%d-%d-%d-%d", load.nodes, load.callers, i, n))
				mu.Lock()
				if status == http.StatusCreated {
					took.record(d)
				} else {
					failed++
				}
				mu.Unlock()
				time.Sleep(load.pause)
			}
		})
	}
	open.Wait()
	return took, failed
}
