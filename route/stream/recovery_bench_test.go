package stream

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	standin "github.com/cicadatack/cicadatack/standin/engine"
)

// steadyEngine is a stage that takes 10 ms for each token. A chain of two such stages
// produces a token about every 21 ms.
var steadyEngine = standin.Config{Step: 10 * time.Millisecond, Slots: 256, PrefillToken: 50 * time.Microsecond}

// BenchmarkRecovery makes the second stage of a chain fail when each of the chain's streams
// has delivered five tokens. The benchmark reports percentiles and the maximum of the recoveries'
// DetectionTime and ResumeTime, in milliseconds over all runs.
func BenchmarkRecovery(b *testing.B) {
	faults := map[string]func(*standin.Server){
		"killed": func(srv *standin.Server) { srv.Kill() },
		"frozen": func(srv *standin.Server) { srv.Engine.SetFaults(standin.Faults{Freeze: true}) },
	}
	for _, name := range []string{"killed", "frozen"} {
		for _, streams := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/streams=%d", name, streams), func(b *testing.B) {
				var recoveries []Recovery
				for b.Loop() {
					recoveries = append(recoveries, failDuringStreams(b, streams, faults[name])...)
				}
				reportPercentiles(b, "detect", recoveries, func(r Recovery) time.Duration { return r.DetectionTime })
				reportPercentiles(b, "resume", recoveries, func(r Recovery) time.Duration { return r.ResumeTime })
			})
		}
	}
}

// failDuringStreams runs streams on one chain, makes the chain fail and returns the
// recoveries.
func failDuringStreams(b *testing.B, streams int, fail func(*standin.Server)) []Recovery {
	f := newFleet(b, 2, steadyEngine, Options{})
	defer f.stop()
	var running, finished sync.WaitGroup
	running.Add(streams)
	var mu sync.Mutex
	var recoveries []Recovery
	for i := range streams {
		finished.Go(func() {
			req := request(fmt.Sprint("stream-", i))
			answer, summary, err := f.collect(context.Background(), req, func(position int) {
				if position == failAt {
					running.Done()
				}
			})
			if err != nil || answer != expectedAnswer(req) || len(summary.Recoveries) != 1 {
				b.Errorf("answer incomplete or wrong, or not one recovery: %v %+v", err, summary)
			}
			mu.Lock()
			defer mu.Unlock()
			recoveries = append(recoveries, summary.Recoveries...)
		})
	}
	running.Wait()
	fail(f.chains[0][1])
	finished.Wait()
	return recoveries
}

func reportPercentiles(b *testing.B, name string, recoveries []Recovery, of func(Recovery) time.Duration) {
	if len(recoveries) == 0 {
		return
	}
	times := make([]float64, 0, len(recoveries))
	for _, r := range recoveries {
		times = append(times, float64(of(r))/float64(time.Millisecond))
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2], name+"-p50-ms")
	b.ReportMetric(times[len(times)*95/100], name+"-p95-ms")
	b.ReportMetric(times[len(times)-1], name+"-max-ms")
}

// BenchmarkResume moves one stream from a chain with healthy stages to another chain. The
// second chain recomputes the context, imports the KV cache, or uses the method that
// the runner chooses from its measurements.
func BenchmarkResume(b *testing.B) {
	forceMethod := map[string]func(*resumeCosts){
		"recompute": func(c *resumeCosts) { c.setAll(resumeByImport, time.Hour) },
		"import":    func(c *resumeCosts) { c.setAll(resumeByRecompute, time.Hour) },
		"chosen":    func(c *resumeCosts) {},
	}
	cfg := standin.Config{
		Step: time.Millisecond, PrefillToken: 50 * time.Microsecond,
		ImportToken: 5 * time.Microsecond, ImportFixed: 5 * time.Millisecond,
	}
	for _, words := range []int{64, 512, 4096, 16384} {
		for _, method := range []string{"recompute", "import", "chosen"} {
			b.Run(fmt.Sprintf("tokens=%d/%s", words, method), func(b *testing.B) {
				f := newFleet(b, 2, cfg, Options{})
				defer f.stop()
				var recoveries []Recovery
				importCount := 0
				for i := range b.N + 2 {
					forceMethod[method](f.runner.costs)
					recovery := f.resumeOnce(b, words, i)
					if i < 2 { // warm-up: the runner measures both methods
						continue
					}
					recoveries = append(recoveries, recovery)
					if recovery.Imported {
						importCount++
					}
				}
				reportPercentiles(b, "resume", recoveries, func(r Recovery) time.Duration { return r.ResumeTime })
				b.ReportMetric(float64(importCount)/float64(len(recoveries)), "imported")
			})
		}
	}
}

// setAll sets the measured time of a method in all buckets.
func (r *resumeCosts) setAll(method int, elapsed time.Duration) {
	for i := range r.buckets[method] {
		r.buckets[method][i] = cost{meanNanos: float64(elapsed), known: true}
	}
}

// resumeOnce runs a stream, closes its connection after a few tokens, and returns the
// recovery. The prompt's first word is unique, so that no chain has a prefix of the prompt
// cached.
func (f *fleet) resumeOnce(b *testing.B, words, run int) Recovery {
	req := request(fmt.Sprint("moved-", run))
	req.Chat.Messages = question(fmt.Sprint("run", run, " ") + strings.Repeat("oat ", words-1))
	answer, summary, err := f.collect(context.Background(), req, func(position int) {
		if position == failAt {
			f.chains[0][0].CutConnections()
		}
	})
	if err != nil || answer != expectedAnswer(req) || len(summary.Recoveries) != 1 {
		b.Fatalf("answer incomplete or wrong, or not one recovery: %v %+v", err, summary)
	}
	return summary.Recoveries[0]
}

// BenchmarkFirstTokenLost opens streams on a chain that produces no token, while another
// chain is healthy. The benchmark reports percentiles and the maximum of the recoveries'
// DetectionTime, in milliseconds over all runs.
func BenchmarkFirstTokenLost(b *testing.B) {
	faults := map[string]func(f *fleet){
		"link":   func(f *fleet) { f.chains[0][0].Engine.SetFaults(standin.Faults{CutNext: true}) },
		"frozen": func(f *fleet) { f.chains[0][1].Engine.SetFaults(standin.Faults{Freeze: true}) },
	}
	for _, name := range []string{"link", "frozen"} {
		for _, streams := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/streams=%d", name, streams), func(b *testing.B) {
				var recoveries []Recovery
				for b.Loop() {
					recoveries = append(recoveries, openOnLostChain(b, streams, faults[name])...)
				}
				reportPercentiles(b, "detect", recoveries, func(r Recovery) time.Duration { return r.DetectionTime })
			})
		}
	}
}

// openOnLostChain makes a chain fail, then opens streams on it and returns the streams'
// recoveries.
func openOnLostChain(b *testing.B, streams int, fail func(*fleet)) []Recovery {
	f := newFleet(b, 2, steadyEngine, Options{})
	defer f.stop()
	if _, _, err := f.collect(context.Background(), request("before"), nil); err != nil {
		b.Fatal(err)
	}
	fail(f)
	var finished sync.WaitGroup
	var mu sync.Mutex
	var recoveries []Recovery
	for i := range streams {
		finished.Go(func() {
			req := request(fmt.Sprint("stream-", i))
			answer, summary, err := f.collect(context.Background(), req, nil)
			if err != nil || answer != expectedAnswer(req) {
				b.Errorf("answer incomplete or wrong: %v %+v", err, summary)
			}
			mu.Lock()
			defer mu.Unlock()
			recoveries = append(recoveries, summary.Recoveries...)
		})
	}
	finished.Wait()
	return recoveries
}
