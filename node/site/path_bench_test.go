package site

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/site"
)

// benchEvents is how many events a stream of the benchmarks has.
const benchEvents = 100

// benchPath is a path of the streams that the stand-in configuration allows.
const benchPath = "/ask/x"

// BenchmarkStream measures what an event of a stream costs on the users' platform, by how
// many streams are open at once: processor time, bytes and allocations of callers, node and
// stand-ins together, and of the same without a node between them. What the node costs is
// the difference.
func BenchmarkStream(b *testing.B) {
	for _, open := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("open=%d/direct", open), func(b *testing.B) { benchStreams(b, open, true) })
		b.Run(fmt.Sprintf("open=%d/node", open), func(b *testing.B) { benchStreams(b, open, false) })
	}
}

func benchStreams(b *testing.B, open int, direct bool) {
	p := newPlatform(b)
	p.chains(benchEvents, 0)
	n := p.node(p.settings("vm-1"))
	target := n.settings.Callers.String()
	path := ""
	if direct {
		target, path = p.whole()
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: open}}
	defer client.CloseIdleConnections()
	var number, failed atomic.Int64
	streams := max(1, b.N/benchEvents)
	b.ReportAllocs()
	b.ResetTimer()
	before := used()
	var wg sync.WaitGroup
	for range min(open, streams) {
		wg.Go(func() {
			for id := number.Add(1); id <= int64(streams); id = number.Add(1) {
				if err := readStream(client, target, path, fmt.Sprintf("bench-%d", id)); err != nil {
					failed.Add(1)
					b.Log(err)
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(used()-before)/float64(streams*benchEvents), "cpu-ns/event")
	if failed.Load() > 0 {
		b.Errorf("%d of %d streams failed", failed.Load(), streams)
	}
}

// whole is a replica that is sent streams without a node, and the path of all layers that
// begins there.
func (p *platform) whole() (address, path string) {
	rest := ""
	for _, r := range p.Replicas() {
		from, to := r.Holds()
		switch {
		case from == 0 && to > 0 && address == "":
			address, path = r.Address, fmt.Sprintf("%s=%d-%d", r.Address, from, to)
		case from > 0 && rest == "":
			rest = fmt.Sprintf(",%s=%d-%d", r.Address, from, to)
		}
	}
	return address, path + rest
}

func readStream(client *http.Client, address, path, id string) error {
	q, err := http.NewRequest(http.MethodPost, "http://"+address+benchPath, http.NoBody)
	if err != nil {
		return err
	}
	q.Host = site.Host
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", "60000")
	q.Header.Set("Token-Count", "10,20")
	q.Header.Set("Authorization", "Token "+goodKey)
	if path != "" {
		q.Header.Set("Hop-Count", path)
	}
	response, err := client.Do(q)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	events := 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if len(lines.Bytes()) == 0 {
			events++
		}
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if events != benchEvents {
		return fmt.Errorf("%d: %d events", response.StatusCode, events)
	}
	return nil
}

// used is the processor time of this process.
func used() time.Duration {
	runtime.GC()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
