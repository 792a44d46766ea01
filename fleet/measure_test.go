package fleet

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/fleet/drainnotice"
)

// measureTime is how long a fleet is measured once it has settled.
const measureTime = 30 * time.Second

// quietTime lets the last rumors and the first round of exchanges pass. With
// TLS the latter costs handshakes, which is the start's cost and not a rate.
const (
	quietTime       = 15 * time.Second
	quietTimeSecure = 130 * time.Second
)

// changeEvery is the pace of 15,000 changes of configuration a day.
const changeEvery = 24 * time.Hour / 15000

// BenchmarkControl measures what control costs a node at the real interval of
// a second, in fleets of 3 to 100 nodes over loopback:
//
//	go test -run '^$' -bench Control -benchtime 1x ./fleet
//
// B/s/node counts what a node sends and receives, in both roles, with HTTP
// headers and without TCP and IP. The process holds all nodes and the store;
// its processor time and memory are divided by the nodes.
func BenchmarkControl(b *testing.B) {
	for _, secure := range []bool{false, true} {
		for _, changes := range []bool{false, true} {
			for _, n := range []int{3, 10, 30, 100} {
				b.Run(fmt.Sprintf("tls=%v/changes=%v/nodes=%d", secure, changes, n), func(b *testing.B) {
					for range b.N {
						measureControl(b, n, changes, secure)
					}
				})
			}
		}
	}
}

func measureControl(b *testing.B, n int, changes, secure bool) {
	text := documentText(50_000)
	store := newFakeStore(record(1, text))
	if secure {
		store.peers = newPeerTLS(b)
	}
	empty := memory()
	nodes := startNodes(b, store, n, 3, time.Second)
	for _, each := range nodes {
		each.awaitRevision(b, 1, 30*time.Second)
		await(b, "all live", 2*time.Minute, func() bool { return each.count("live") == n })
	}
	awaitQuiet(b, nodes, secure)
	bytes, cpu, start := traffic(nodes), processorTime(), time.Now()
	slowest := time.Duration(0)
	for revision := int64(2); time.Since(start) < measureTime; revision++ {
		next := time.Now().Add(changeEvery)
		if changes {
			slowest = max(slowest, changeOnce(b, store, nodes, revision, text))
		}
		time.Sleep(time.Until(next))
	}
	seconds := time.Since(start).Seconds()
	perNode := seconds * float64(n)
	b.ReportMetric(2*float64(traffic(nodes)-bytes)/perNode, "B/s/node")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()/perNode, "%core/node")
	b.ReportMetric((memory()-empty)/float64(n)/(1<<20), "MB/node")
	if changes {
		b.ReportMetric(float64(slowest.Milliseconds()), "ms-to-last-node")
	}
	b.ReportMetric(0, "ns/op")
	for _, each := range nodes {
		each.kill()
	}
}

// changeOnce puts a small change in force and returns when the last node had it.
func changeOnce(b *testing.B, store *fakeStore, nodes []*node, revision int64, text string) time.Duration {
	start := time.Now()
	store.set(record(revision, fmt.Sprintf("{\"revision\":%d}%s", revision, text)))
	for _, each := range nodes {
		each.awaitRevision(b, revision, 10*time.Second)
	}
	return time.Since(start)
}

// awaitQuiet waits until all nodes have the same view and its news has been
// passed on.
func awaitQuiet(b *testing.B, nodes []*node, secure bool) {
	await(b, "equal views", 2*time.Minute, func() bool {
		first := nodes[0].digest()
		return !slices.ContainsFunc(nodes, func(n *node) bool { return n.digest() != first })
	})
	if secure {
		time.Sleep(quietTimeSecure)
	} else {
		time.Sleep(quietTime)
	}
}

// leaveEvery is the pace of BenchmarkLeaving; 660 VMs replaced a day are one in
// 131 s.
const leaveEvery = 3 * time.Second

// BenchmarkLeaving measures what it costs to tell all nodes that an endpoint
// leaves, and how long it takes from one node's look at the list to the last node:
//
//	go test -run '^$' -bench Leaving -benchtime 1x ./fleet
//
// B/s/node is as in Control, with a notice each 3 s; B/notice/node is what a
// notice adds to the same fleet without.
func BenchmarkLeaving(b *testing.B) {
	for _, secure := range []bool{false, true} {
		for _, n := range []int{3, 10, 30, 100} {
			b.Run(fmt.Sprintf("tls=%v/nodes=%d", secure, n), func(b *testing.B) {
				for range b.N {
					measureLeaving(b, n, secure)
				}
			})
		}
	}
}

func measureLeaving(b *testing.B, n int, secure bool) {
	store := newFakeStore(record(1, "first"))
	if secure {
		store.peers = newPeerTLS(b)
	}
	nodes := startNodes(b, store, n, 3, time.Second)
	for _, each := range nodes {
		each.EndpointsListed(drainnotice.Listed{Revision: 1})
		await(b, "all live", 2*time.Minute, func() bool { return each.count("live") == n })
	}
	awaitQuiet(b, nodes, secure)
	quiet := perSecond(nodes, measureTime, func() {})
	slowest, notices := time.Duration(0), 0
	busy := perSecond(nodes, measureTime, func() {
		notices++
		slowest = max(slowest, leaveOnce(b, nodes, notices))
	})
	b.ReportMetric(quiet, "quiet-B/s/node")
	b.ReportMetric(busy, "B/s/node")
	b.ReportMetric((busy-quiet)*leaveEvery.Seconds(), "B/notice/node")
	b.ReportMetric(float64(slowest.Milliseconds()), "ms-to-last-node")
	b.ReportMetric(0, "ns/op")
	for _, each := range nodes {
		each.kill()
	}
}

// perSecond returns the bytes a second of a node while something happens each
// leaveEvery.
func perSecond(nodes []*node, whole time.Duration, happens func()) float64 {
	bytes, start := traffic(nodes), time.Now()
	for time.Since(start) < whole {
		next := time.Now().Add(leaveEvery)
		happens()
		time.Sleep(time.Until(next))
	}
	return 2 * float64(traffic(nodes)-bytes) / time.Since(start).Seconds() / float64(len(nodes))
}

// leaveOnce has one node read that an endpoint leaves and returns when the last
// node knows.
func leaveOnce(b *testing.B, nodes []*node, i int) time.Duration {
	start := time.Now()
	revision := int64(i + 1)
	nodes[i*7%len(nodes)].EndpointsListed(drainnotice.Listed{
		VMs:      []drainnotice.VM{{Name: fmt.Sprintf("gpu-%05d", i), Revision: revision, Leaving: true}},
		Revision: revision,
	})
	for _, each := range nodes {
		await(b, "the notice", 30*time.Second, func() bool { return len(each.LeavingEndpoints()) == i })
	}
	return time.Since(start)
}

const (
	// churnEvery is the pace of BenchmarkChurn: thirteen times that of 745 VMs a day
	// in all, so that a few minutes see enough of them.
	churnEvery = 9 * time.Second
	churnTime  = 4 * time.Minute
	// One in failedOf of these fails and stays away for failedTime, as 85 of 745 do.
	failedOf   = 9
	failedTime = 45 * time.Second
)

// BenchmarkChurn measures the news of nodes that are replaced or fail:
//
//	go test -run '^$' -bench Churn -benchtime 1x ./fleet
//
// B/event/node is what one of them costs each node over the quiet fleet, the
// newcomer's whole view included; wrong counts members that a node held for gone
// though they ran, at the end of each pause.
func BenchmarkChurn(b *testing.B) {
	for _, n := range []int{30, 100} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for range b.N {
				measureChurn(b, n)
			}
		})
	}
}

func measureChurn(b *testing.B, n int) {
	store := newFakeStore(record(1, "first"))
	nodes := startNodes(b, store, n, 3, time.Second)
	for _, each := range nodes {
		await(b, "all live", 2*time.Minute, func() bool { return each.count("live") == n })
	}
	awaitQuiet(b, nodes, false)
	c := &churn{b: b, store: store, nodes: nodes, all: slices.Clone(nodes), back: map[int]time.Time{}}
	quiet := c.rate(measureTime, func() {})
	busy := c.rate(churnTime, c.next)
	b.ReportMetric(quiet, "quiet-B/s/node")
	b.ReportMetric(busy, "B/s/node")
	b.ReportMetric((busy-quiet)*churnEvery.Seconds(), "B/event/node")
	b.ReportMetric(float64(c.wrong), "wrong")
	b.ReportMetric(0, "ns/op")
	for _, each := range c.all {
		each.kill()
	}
}

// churn replaces nodes one after the other.
type churn struct {
	b     *testing.B
	store *fakeStore
	// nodes run; all has those that were replaced too, for their bytes.
	nodes, all []*node
	// back is when a failed node returns.
	back          map[int]time.Time
	events, wrong int
}

// rate returns the bytes a second of a node while something happens each churnEvery.
func (c *churn) rate(whole time.Duration, happens func()) float64 {
	bytes, start := traffic(c.all), time.Now()
	for time.Since(start) < whole {
		next := time.Now().Add(churnEvery)
		happens()
		time.Sleep(time.Until(next))
		c.check()
	}
	return 2 * float64(traffic(c.all)-bytes) / time.Since(start).Seconds() / float64(len(c.nodes))
}

// next replaces a node, or lets it fail, and brings failed ones back.
func (c *churn) next() {
	for i, at := range c.back {
		if time.Now().After(at) {
			delete(c.back, i)
			c.start(i)
		}
	}
	c.events++
	i := c.events * 7 % len(c.nodes)
	if _, down := c.back[i]; down {
		return
	}
	if c.events%failedOf == 0 {
		c.nodes[i].kill()
		c.back[i] = time.Now().Add(failedTime)
		return
	}
	c.start(i)
}

// start puts a new node in the place of one.
func (c *churn) start(i int) {
	l := c.nodes[i].replace(c.b)
	c.nodes[i] = startNode(c.b, c.store, l, c.nodes[i].cfg.Name, c.nodes[i].cfg.FailureDomain, time.Second)
	c.all = append(c.all, c.nodes[i])
}

// check counts running members that a running node holds for gone.
func (c *churn) check() {
	for i, each := range c.nodes {
		if _, down := c.back[i]; down {
			continue
		}
		for j, other := range c.nodes {
			if _, down := c.back[j]; down {
				continue
			}
			if m, known := each.lookup(other.cfg.Name); known && m.State.String() == "gone" {
				c.wrong++
			}
		}
	}
}

func (n *node) digest() uint64 {
	n.view.Lock()
	defer n.view.Unlock()
	return n.view.machine.Digest()
}

func traffic(nodes []*node) int64 {
	total := int64(0)
	for _, n := range nodes {
		total += n.counters.in.Load() + n.counters.out.Load()
	}
	return total
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory is what heap and stacks hold after a collection, in bytes.
func memory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func documentText(size int) string {
	text := make([]byte, 0, size+200)
	for i := 0; len(text) < size; i++ {
		text = fmt.Appendf(text, `{"name":"gpu-%05d","address":"10.%d.%d.%d:9000","failure_domain":"fd-%02d"},`,
			i, i%7, i*31%256, i*17%256, i%23)
	}
	return string(text)
}
