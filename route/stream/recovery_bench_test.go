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

// steadyEngine is a stage with a step of 10 ms, so a two-stage chain produces a token
// about every 21 ms.
var steadyEngine = standin.Config{Step: 10 * time.Millisecond, Slots: 256, PrefillToken: 50 * time.Microsecond}

// BenchmarkRecovery makes the second stage of a chain fail when each of its streams has
// delivered five tokens. It reports the times of detection and resume as percentiles and
// maxima in milliseconds over all runs.
func BenchmarkRecovery(b *testing.B) {
	faults := map[string]func(*standin.Server){
		"killed": func(srv *standin.Server) { srv.Kill() },
		"frozen": func(srv *standin.Server) { srv.Engine.SetFaults(standin.Faults{Freeze: true}) },
	}
	for _, name := range []string{"killed", "frozen"} {
		for _, streams := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/streams=%d", name, streams), func(b *testing.B) {
				var all []Recovery
				for b.Loop() {
					all = append(all, failDuringStreams(b, streams, faults[name])...)
				}
				reportPercentiles(b, "detect", all, func(r Recovery) time.Duration { return r.DetectionTime })
				reportPercentiles(b, "resume", all, func(r Recovery) time.Duration { return r.ResumeTime })
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
	var all []Recovery
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
			all = append(all, summary.Recoveries...)
		})
	}
	running.Wait()
	fail(f.chains[0][1])
	finished.Wait()
	return all
}

func reportPercentiles(b *testing.B, name string, all []Recovery, of func(Recovery) time.Duration) {
	if len(all) == 0 {
		return
	}
	times := make([]float64, 0, len(all))
	for _, r := range all {
		times = append(times, float64(of(r))/float64(time.Millisecond))
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2], name+"-p50-ms")
	b.ReportMetric(times[len(times)*95/100], name+"-p95-ms")
	b.ReportMetric(times[len(times)-1], name+"-max-ms")
}

// BenchmarkResume moves one stream from a chain with healthy stages to another one, by
// recomputing, by importing, and by the method that the runner chooses from its
// measurements.
func BenchmarkResume(b *testing.B) {
	forceMethod := map[string]func(*resumeCosts){
		"recompute": func(c *resumeCosts) { c.setAll(methodImport, time.Hour) },
		"import":    func(c *resumeCosts) { c.setAll(methodRecompute, time.Hour) },
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
				var all []Recovery
				importCount := 0
				for i := range b.N + 2 {
					forceMethod[method](f.runner.costs)
					recovery := f.resumeOnce(b, words, i)
					if i < 2 { // the runner measures both methods
						continue
					}
					all = append(all, recovery)
					if recovery.Imported {
						importCount++
					}
				}
				reportPercentiles(b, "resume", all, func(r Recovery) time.Duration { return r.ResumeTime })
				b.ReportMetric(float64(importCount)/float64(len(all)), "imported")
			})
		}
	}
}

// setAll sets the cost of a method in all buckets.
func (r *resumeCosts) setAll(method int, elapsed time.Duration) {
	for i := range r.buckets[method] {
		r.buckets[method][i] = cost{meanNanos: float64(elapsed), known: true}
	}
}

// resumeOnce closes a stream's connection after a few tokens. The prompt's first word is
// unique, so that no chain has a prefix of the prompt cached.
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

// BenchmarkFirstTokenLost opens streams on a chain that produces no token, with a healthy
// chain to move to. It reports how long detection takes, in milliseconds over all runs.
func BenchmarkFirstTokenLost(b *testing.B) {
	faults := map[string]func(f *fleet){
		"link":   func(f *fleet) { f.chains[0][0].Engine.SetFaults(standin.Faults{CutNext: true}) },
		"frozen": func(f *fleet) { f.chains[0][1].Engine.SetFaults(standin.Faults{Freeze: true}) },
	}
	for _, name := range []string{"link", "frozen"} {
		for _, streams := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/streams=%d", name, streams), func(b *testing.B) {
				var all []Recovery
				for b.Loop() {
					all = append(all, openOnLostChain(b, streams, faults[name])...)
				}
				reportPercentiles(b, "detect", all, func(r Recovery) time.Duration { return r.DetectionTime })
			})
		}
	}
}

// openOnLostChain opens streams on a chain right after fail is applied to it, and returns
// the recoveries.
func openOnLostChain(b *testing.B, streams int, fail func(*fleet)) []Recovery {
	f := newFleet(b, 2, steadyEngine, Options{})
	defer f.stop()
	if _, _, err := f.collect(context.Background(), request("before"), nil); err != nil {
		b.Fatal(err)
	}
	fail(f)
	var finished sync.WaitGroup
	var mu sync.Mutex
	var all []Recovery
	for i := range streams {
		finished.Go(func() {
			req := request(fmt.Sprint("stream-", i))
			answer, summary, err := f.collect(context.Background(), req, nil)
			if err != nil || answer != expectedAnswer(req) {
				b.Errorf("answer incomplete or wrong: %v %+v", err, summary)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, summary.Recoveries...)
		})
	}
	finished.Wait()
	return all
}
