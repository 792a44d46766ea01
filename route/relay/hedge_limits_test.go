package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/replicareport"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// Guards against a stream that stays with a replica that is gone for good, because nothing checks it
// any more once the first tries to leave it have found no other replica.
func TestLostStreamGoesOnAtAReplicaThatComesLater(t *testing.T) {
	t.Parallel()
	first, other := newStreamReplica(2), newStreamReplica(hedgeEvents+1)
	server := streamServer()
	silent := &silentHost{Pool: server.Pool}
	server.Prober, server.Reports = connprobe.New(silent, time.Now), replicareport.New(noReports{}, time.Now)
	run := startStream(t, server, first, func(r *Request) { r.Route.MaxEventGap = defaultMaxPause })
	silent.address.Store(run.list[0].Address)
	run.loseFirst()
	time.Sleep((maxRerouteTries + 2) * rerouteRetryInterval)
	run.add("other", other.listen(t, false))
	began := time.Now()
	run.wait()
	run.wantWhole()
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("it went on after %v", took)
	}
}

// silentHost lets probes of one address find a host that does not answer.
type silentHost struct {
	*upstream.Pool
	address atomic.Value
}

func (s *silentHost) Reachable(ctx context.Context, address string, timeout time.Duration) (accepts, answers bool) {
	if s.address.Load() == address {
		return false, false
	}
	return s.Pool.Reachable(ctx, address, timeout)
}

// Guards against a hedge that is canceled and sent again to the same replica because it reads a long
// prompt, while nothing else goes on with the stream.
func TestSlowHedgeIsWaitedFor(t *testing.T) {
	t.Parallel()
	first, other := newStreamReplica(2), newStreamReplica(hedgeEvents+1)
	other.delay = hedgeInterval + 500*time.Millisecond
	run := startStream(t, streamServer(), first, func(*Request) {})
	run.add("other", other.listen(t, false))
	run.loseFirst()
	run.wait()
	run.wantWhole()
	if got := other.requests(); len(got) != 1 {
		t.Errorf("the other replica was asked %d times", len(got))
	}
}

// Guards against a silent stream that is sent to one replica after the other without a limit.
func TestHedgesAreLimited(t *testing.T) {
	t.Parallel()
	first := newStreamReplica(2)
	run := startStream(t, streamServer(), first, func(r *Request) { r.Route.MaxReplicas = 3 })
	var others []*streamReplica
	for i := range 2 * attemptLimit {
		others = append(others, &streamReplica{refuses: true})
		run.add(fmt.Sprint("other-", i), others[i].listen(t, false))
	}
	run.loseFirst()
	time.Sleep(2 * attemptLimit * rerouteRetryInterval)
	close(first.goOn)
	run.wait()
	run.wantWhole()
	arrivals := 0
	for _, other := range others {
		arrivals += len(other.requests())
	}
	if arrivals >= attemptLimit {
		t.Errorf("the stream was sent to %d other replicas, want fewer than %d", arrivals, attemptLimit)
	}
}

// Guards against a stream that is cut when its replica ends, although another one could go on, because
// hedges that were refused during an earlier silence have used up its attempts.
func TestRefusedHedgesLeaveAttemptsForALostReplica(t *testing.T) {
	t.Parallel()
	first, sound := newStreamReplica(2), newStreamReplica(hedgeEvents+1)
	run := startStream(t, streamServer(), first, func(*Request) {})
	var others []*streamReplica
	for i := range attemptLimit - 1 {
		others = append(others, &streamReplica{refuses: true})
		run.add(fmt.Sprint("other-", i), others[i].listen(t, false))
	}
	run.loseFirst()
	eventually(t, "all have refused", func() bool {
		arrivals := 0
		for _, other := range others {
			arrivals += len(other.requests())
		}
		return arrivals == len(others)
	})
	run.model.MarkAlive("first")
	time.Sleep(2 * rerouteRetryInterval) // no further hedge begins
	run.add("sound", sound.listen(t, false))
	close(first.breakOff)
	run.wait()
	run.wantWhole()
}

// Guards against a stream that ends too early because the replica of its hedge ended without an
// event, and against a sound attempt that is canceled for such a hedge.
func TestHedgeWithoutAnEventDoesNotTakeOver(t *testing.T) {
	t.Parallel()
	for _, begun := range []int{0, 2} {
		first, other := newStreamReplica(begun), &streamReplica{empty: true}
		run := startStream(t, streamServer(), first, func(*Request) {})
		run.add("other", other.listen(t, false))
		run.loseFirst()
		eventually(t, "the other replica is asked", func() bool { return len(other.requests()) > 0 })
		time.Sleep(50 * time.Millisecond)
		close(first.goOn)
		run.wait()
		run.wantWhole()
	}
}

// Guards against a hedge that works and is canceled because the silent replica fails.
func TestHedgeGoesOnAfterAFailureOfTheSilentReplica(t *testing.T) {
	t.Parallel()
	var asked atomic.Int64
	fail := make(chan struct{})
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		<-fail
		w.WriteHeader(http.StatusInternalServerError)
	}))
	t.Cleanup(failing.Close)
	other := newStreamReplica(0)
	run := newStreamRun(t, strings.TrimPrefix(failing.URL, "http://"))
	run.start(streamServer())
	eventually(t, "the stream is sent", func() bool { return asked.Load() == 1 })
	run.add("other", other.listen(t, false))
	run.loseFirst()
	eventually(t, "the other replica is asked", func() bool { return len(other.requests()) == 1 })
	close(fail)
	time.Sleep(50 * time.Millisecond)
	close(other.goOn)
	run.wait()
	run.wantWhole()
	if got := other.requests(); len(got) != 1 || other.cancellations() > 0 {
		t.Errorf("the other replica was asked %d times, and canceled %d times", len(got), other.cancellations())
	}
}

// Guards against a silent stream of a plain service that stays with its replica until the deadline.
func TestSilentStreamOfAPlainServiceGoesOn(t *testing.T) {
	t.Parallel()
	first, other := newStreamReplica(2), newStreamReplica(hedgeEvents+1)
	plain := targets.NewPlainTargets("entry-1", "d", 1, time.Now)
	list := []*replicalist.Replica{{ID: "first", Address: first.listen(t, false), Domain: "d", Slots: 4}}
	plain.Update(list, 10, []string{"entry-1"}, 1)
	run := newStreamRun(t, list[0].Address)
	run.request.Targets = plain
	run.start(streamServer())
	eventually(t, "the stream runs", func() bool { return len(first.requests()) == 1 })
	list = append(list, &replicalist.Replica{ID: "other", Address: other.listen(t, false), Domain: "d", Slots: 4})
	plain.Update(list, 10, []string{"entry-1"}, 1)
	run.wait()
	run.wantWhole()
}

// Guards against retries that are charged for hedges that are not sent, and against a hedge that
// nobody waits for.
func TestHedgeBeginsOnlyWhileItIsNeeded(t *testing.T) {
	for _, c := range []struct {
		name  string
		state func(*pathMonitor)
		want  bool
	}{
		{"the stream is silent", func(*pathMonitor) {}, true},
		{"an event is passed on", func(m *pathMonitor) { m.beginForward() }, false},
		{"the attempt waits for another hedge", func(m *pathMonitor) { m.beginEnd(brokenOff("")) }, false},
		{"the attempt has ended", func(m *pathMonitor) { m.stop() }, false},
	} {
		budget := retrybudget.New(retry.Config{Burst: 1, MinRetriesPerSecond: 1e-9}, time.Now)
		m := twoReplicaModel()
		monitor, cancel := silentStream(t, m, budget, time.Minute)
		monitor.timer = time.AfterFunc(time.Hour, func() {})
		c.state(monitor)
		h := monitor.beginHedge(monitor.attempt.target, "lost")
		if (h != nil) != c.want || budget.CanRetry() == c.want {
			t.Errorf("%s: begun %t, a retry is left: %t", c.name, h != nil, budget.CanRetry())
		}
		cancel()
	}
}
