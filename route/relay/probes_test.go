package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/replicareport"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// silentReplica accepts connections, never answers on them, and counts them.
type silentReplica struct {
	net.Listener
	accepted, open atomic.Int64
}

func listenSilently(t *testing.T) *silentReplica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silentReplica{Listener: listener}
	t.Cleanup(func() { s.Close() })
	go func() {
		for {
			conn, err := s.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			s.open.Add(1)
			go func() {
				defer s.open.Add(-1)
				defer conn.Close()
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return s
}

// noReports is a source of reports that no replica makes.
type noReports struct{}

func (noReports) Report(context.Context, string, string) (replicareport.Report, error) {
	return replicareport.Report{}, io.EOF
}

// streamsThrough starts the monitors of streams of three routes through one replica. The streams have
// events at different intervals and are silent from then on. Every fifth has had no event. They end
// with the test.
func streamsThrough(t *testing.T, address string, streams int, onDial func(address string, connected bool)) *upstream.Pool {
	t.Helper()
	const begin = 600 * time.Millisecond
	m := twoReplicaModel()
	replicas := testReplicas("a")
	replicas[0].Address = address
	m.Update(testModel(), replicas, targets.NodeShare{CapacityShare: func(string) float64 { return 1 }, MaxConns: 2 * streams, DomainNodeCount: 1})
	server := streamServer()
	server.Pool.OnDial = onDial
	server.Reports = replicareport.New(noReports{}, time.Now)
	t.Cleanup(server.Pool.Close)
	silentFrom := time.Now().Add(begin)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			gap := time.Duration(20+2*i) * time.Millisecond
			first := gap * time.Duration(i) / time.Duration(streams)
			if i%5 == 0 {
				first = begin - first // has no event
			}
			time.Sleep(first)
			silent, cancel := silentStream(t, m, retrybudget.New(retry.Config{Burst: 10}, time.Now), 0)
			req := silent.attempt.req
			req.server = server
			req.Route.LatencyObjective, req.Route.MaxEventGap = 500*time.Millisecond, 200*time.Millisecond<<(i%3)
			ctx, end := context.WithCancel(silent.ctx)
			monitor := silent.attempt.monitor(ctx, end)
			t.Cleanup(func() { monitor.stop(); end(); cancel() })
			for time.Now().Add(gap).Before(silentFrom) {
				time.Sleep(gap)
				monitor.recordEvents()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Until(silentFrom))
	return server.Pool
}

// Guards against probes that fill the queue of a silent replica's new connections, or make it exceed
// the number that it accepts: it then resets connections that carry requests, and counts as lost.
func TestStreamsShareTheProbesOfASilentReplica(t *testing.T) {
	const streams, silence, most = 30, 1200 * time.Millisecond, 9
	replica := listenSilently(t)
	pool := streamsThrough(t, replica.Addr().String(), streams, nil)
	before := replica.accepted.Load()
	time.Sleep(silence)
	opened := replica.accepted.Load() - before
	t.Logf("%d connections opened, %d still open", opened, replica.open.Load())
	if opened < 3 || opened > most {
		t.Errorf("%d connections for %d streams that were silent for %v, want 3 to %d", opened, streams, silence, most)
	}
	if open := pool.OpenConns(); open > 1 {
		t.Errorf("%d connections are still open", open)
	}
}

// Guards against a replica that is found lost late because the probe before its end is still shared.
func TestReplicaThatEndsDuringASilence(t *testing.T) {
	const streams, within = 30, 800 * time.Millisecond
	for _, silence := range []time.Duration{70 * time.Millisecond, 200 * time.Millisecond, 450 * time.Millisecond} {
		replica := listenSilently(t)
		refused := make(chan time.Time, 1000)
		streamsThrough(t, replica.Addr().String(), streams, func(_ string, connected bool) {
			if !connected {
				refused <- time.Now()
			}
		})
		time.Sleep(silence)
		endedAt := time.Now()
		replica.Close()
		select {
		case at := <-refused:
			t.Logf("silent for %v: found %v after the end", silence, at.Sub(endedAt))
		case <-time.After(within):
			t.Errorf("silent for %v: not found within %v", silence, within)
		}
	}
}
