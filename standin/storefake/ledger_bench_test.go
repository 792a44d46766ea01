package storefake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/platform/kv"
	"github.com/cicadatack/cicadatack/state/ledger"
	"github.com/cicadatack/cicadatack/state/store"
)

// storeMillis is how long the stand-in takes for a call; the platform's
// service answers in milliseconds.
const storeMillis = 5

// idle is a load of one order at a time with a pause in between.
const (
	idle      = 1
	idlePause = 60 * time.Millisecond
)

// BenchmarkOrders claims and records orders through the store's protocol; the
// first node writes for the others. It
// reports orders a second, store writes a second, orders a write and the delay
// that the claim adds to an order.
func BenchmarkOrders(b *testing.B) {
	for _, c := range []struct{ nodes, callers int }{{1, idle}, {1, 100}, {1, 1000}, {1, 4000}, {3, 1000}, {8, 1000}} {
		b.Run(fmt.Sprintf("nodes=%d/callers=%d", c.nodes, c.callers), func(b *testing.B) {
			benchOrders(b, c.nodes, c.callers)
		})
	}
}

func benchOrders(b *testing.B, nodes, callers int) {
	fake, address := benchStore(b)
	var ledgers []*ledger.Ledger
	for i := range nodes {
		client, err := kv.Open(address, store.Config{CallsPerSecond: 1e6, Burst: 1e6})
		if err != nil {
			b.Fatal(err)
		}
		orders := ledger.New(client, "dawn", ledger.Config{Peers: &toFirst{nodes: &ledgers, first: i == 0}})
		b.Cleanup(func() { orders.Close(); client.Close() })
		ledgers = append(ledgers, orders)
	}
	var next, refused atomic.Int64
	delays := make([][]time.Duration, callers)
	var wg sync.WaitGroup
	b.ResetTimer()
	began := time.Now()
	for i := range callers {
		wg.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				delays[i] = append(delays[i], placeOrder(b, ledgers[n%int64(nodes)], n, &refused))
				if callers == idle {
					time.Sleep(idlePause)
				}
			}
		})
	}
	wg.Wait()
	took := time.Since(began).Seconds()
	b.StopTimer()
	writes := float64(fake.Status().ByPath[PathTxn])
	all := slices.Concat(delays...)
	slices.Sort(all)
	b.ReportMetric(float64(b.N)/took, "orders/s")
	b.ReportMetric(writes/took, "writes/s")
	b.ReportMetric(float64(b.N)/writes, "orders/write")
	b.ReportMetric(float64(fake.Status().ByPath[PathRange])/writes, "reads/write")
	reportKept(b, address, b.N)
	b.ReportMetric(float64(refused.Load()), "refused")
	b.ReportMetric(all[len(all)/2].Seconds()*1e3, "p50-claim-ms")
	b.ReportMetric(all[len(all)*99/100].Seconds()*1e3, "p99-claim-ms")
}

// BenchmarkManyTeams places orders of many teams, whose shards belong to as many
// nodes as there are owners.
func BenchmarkManyTeams(b *testing.B) {
	const owners, teams, callers = 16, 240, 4000
	fake, address := benchStore(b)
	var ledgers []*ledger.Ledger
	for range owners {
		client, err := kv.Open(address, store.Config{CallsPerSecond: 1e6, Burst: 1e6})
		if err != nil {
			b.Fatal(err)
		}
		orders := ledger.New(client, "dawn", ledger.Config{})
		b.Cleanup(func() { orders.Close(); client.Close() })
		ledgers = append(ledgers, orders)
	}
	var next, refused atomic.Int64
	var wg sync.WaitGroup
	b.ResetTimer()
	began := time.Now()
	for range callers {
		wg.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				key := ledger.Key{Team: fmt.Sprint("team-", n%teams), Service: "stock-ledger", Key: fmt.Sprint("reorder-", n)}
				placeUnder(b, ledgers[key.Shard()*owners/ledger.Shards], key, &refused)
			}
		})
	}
	wg.Wait()
	took := time.Since(began).Seconds()
	writes := float64(fake.Status().ByPath[PathTxn])
	b.ReportMetric(float64(b.N)/took, "orders/s")
	b.ReportMetric(writes/took, "writes/s")
	b.ReportMetric(float64(b.N)/writes, "orders/write")
	b.ReportMetric(float64(refused.Load()), "refused")
}

// BenchmarkOwnerWithoutStore places orders at two nodes, whose shard's owner
// alone is cut off from the store; with the hint, the first of them owns the
// shard from the first refusal on.
func BenchmarkOwnerWithoutStore(b *testing.B) {
	for _, hint := range []bool{false, true} {
		b.Run(fmt.Sprint("hint=", hint), func(b *testing.B) {
			fake, address := benchStore(b)
			var ledgers []*ledger.Ledger
			for i, at := range []string{"127.0.0.1:1", address, address} {
				client, err := kv.Open(at, store.Config{CallsPerSecond: 1e6, Burst: 1e6})
				if err != nil {
					b.Fatal(err)
				}
				orders := ledger.New(client, "dawn", ledger.Config{Peers: &toNext{nodes: &ledgers, self: i, hint: hint}})
				b.Cleanup(func() { orders.Close(); client.Close() })
				ledgers = append(ledgers, orders)
			}
			var next, refused atomic.Int64
			var wg sync.WaitGroup
			b.ResetTimer()
			began := time.Now()
			for range 256 {
				wg.Go(func() {
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						placeOrder(b, ledgers[1+n%2], n, &refused)
					}
				})
			}
			wg.Wait()
			took := time.Since(began).Seconds()
			b.ReportMetric(float64(b.N)/took, "orders/s")
			b.ReportMetric(float64(b.N)/float64(fake.Status().ByPath[PathTxn]), "orders/write")
			b.ReportMetric(float64(refused.Load()), "refused")
		})
	}
}

// toNext sends operations to the first node that is not known to do nothing.
type toNext struct {
	nodes *[]*ledger.Ledger
	self  int
	hint  bool
	owner atomic.Int64
}

func (p *toNext) Owner(int) string {
	if owner := int(p.owner.Load()); owner != p.self {
		return fmt.Sprint(owner)
	}
	return ""
}

func (p *toNext) Routed(ledger.Way) {}

func (p *toNext) Refused(string) {
	if p.hint {
		p.owner.Store(1)
	}
}

func (p *toNext) Forward(ctx context.Context, node string, shard int, operations []ledger.Operation) ([]ledger.Reply, error) {
	return (*p.nodes)[node[0]-'0'].Serve(ctx, shard, operations)
}

// reportKept reports what the orders take in the store, and how long a node that
// knows nothing of the shards takes for its first claim.
func reportKept(b *testing.B, address string, orders int) {
	client, err := kv.Open(address, store.Config{CallsPerSecond: 1e6, Burst: 1e6})
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	kept, err := client.List(context.Background(), "/cicadatack/dawn/ledger/")
	if err != nil {
		b.Fatal(err)
	}
	bytes := 0
	for _, entry := range kept {
		bytes += len(entry.Value)
	}
	node := ledger.New(client, "dawn", ledger.Config{})
	defer node.Close()
	var refused atomic.Int64
	b.ReportMetric(float64(bytes)/float64(orders), "kept-bytes/order")
	b.ReportMetric(float64(len(kept)), "values")
	b.ReportMetric(placeOrder(b, node, int64(orders)+1, &refused).Seconds()*1e3, "takeover-ms")
}

// toFirst sends all operations to the first node, in process: no hop is counted.
type toFirst struct {
	nodes *[]*ledger.Ledger
	first bool
}

func (p *toFirst) Owner(int) string {
	if p.first {
		return ""
	}
	return "first"
}

func (p *toFirst) Routed(ledger.Way) {}

func (p *toFirst) Refused(string) {}

func (p *toFirst) Forward(ctx context.Context, _ string, shard int, operations []ledger.Operation) ([]ledger.Reply, error) {
	return (*p.nodes)[0].Serve(ctx, shard, operations)
}

// placeOrder claims and records one order and returns the claim's delay.
func placeOrder(b *testing.B, orders *ledger.Ledger, n int64, refused *atomic.Int64) time.Duration {
	return placeUnder(b, orders, ledger.Key{Team: "bogor", Service: "stock-ledger", Key: fmt.Sprint("reorder-", n)}, refused)
}

func placeUnder(b *testing.B, orders *ledger.Ledger, key ledger.Key, refused *atomic.Int64) time.Duration {
	began := time.Now()
	claim, err := orders.Claim(context.Background(), key, "20 kg")
	delay := time.Since(began)
	if err != nil {
		refused.Add(1)
		return delay
	}
	if claim.State != ledger.Fresh {
		b.Errorf("claim of %s: %v", key.Key, claim.State)
	}
	if err := orders.Record(context.Background(), key, claim, ledger.Result{Status: 201, Body: []byte(`{"order":17}`)}); err != nil {
		refused.Add(1)
	}
	return delay
}

// BenchmarkOneWrite is the bare write that the claim's delay is held against.
func BenchmarkOneWrite(b *testing.B) {
	_, address := benchStore(b)
	client, err := kv.Open(address, store.Config{CallsPerSecond: 1e6, Burst: 1e6})
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	for n := range b.N {
		if _, err := client.CompareAndSwap(context.Background(), fmt.Sprint("/", n), 0, []byte("v")); err != nil {
			b.Fatal(err)
		}
	}
}

func benchStore(b *testing.B) (*Server, string) {
	s := serve(b)
	s.fake.SetFaults(Faults{SlowMillis: storeMillis})
	return s.fake, s.address
}
