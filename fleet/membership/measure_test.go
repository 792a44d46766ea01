package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkView measures what one node's view costs at the sizes of today and
// of the target: an interval's work (a tick and an exchange in both roles, no
// news) and the memory of the view:
//
//	go test -run '^$' -bench View ./fleet/membership
func BenchmarkView(b *testing.B) {
	for _, n := range []int{9, 100, 2200} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			before := heap()
			m, table := viewOf(n, now)
			size := heap() - before
			peer := Message{Sender: table[1], Digest: m.Digest()}
			for b.Loop() {
				now = now.Add(interval)
				m.Step(now, Tick{})
				m.Step(now, Received{Message: peer})
				m.Step(now, Answered{Message: peer})
			}
			b.ReportMetric(size/1024, "KB")
			runtime.KeepAlive(m)
		})
	}
}

func viewOf(n int, now time.Time) (*Machine, []Member) {
	table := make([]Member, n)
	vms := make([]VM, n)
	for i := range table {
		domain := fmt.Sprintf("fd-%02d", i%23)
		table[i] = Member{Name: nodeName(i), Address: fmt.Sprintf("10.0.%d.%d:7401", i/250, i%250),
			CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), FailureDomain: domain, Incarnation: 1, State: Live}
		vms[i] = VM{Name: table[i].Name, Address: table[i].Address, FailureDomain: domain}
	}
	m := New(Config{Self: table[0], Interval: interval, Seed: 1}, now)
	m.Step(now, Listed{VMs: vms})
	m.Step(now, Answered{AskedTable: true, Message: Message{Sender: table[1], Table: table}})
	return m, table
}

func heap() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
