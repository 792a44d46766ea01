package admissionqueue

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/route/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const team = "menteng"

func newQueue(slots int) *Queue {
	q := admission.New(admission.Config{Slots: slots})
	q.SetTeam(team, 1)
	return New(q, time.Now)
}

func request() Request { return Request{Team: team, Cost: 1} }

// runningRequests returns the number of requests that hold a slot.
func (q *Queue) runningRequests() int {
	n := 0
	q.Configure(func(now time.Time, q *admission.Queue) []admission.Verdict {
		n = q.Stats(now).Running
		return nil
	})
	return n
}

func acquire(t *testing.T, q *Queue) *Permit {
	t.Helper()
	permit, err := q.Acquire(context.Background(), request())
	if err != nil {
		t.Fatal(err)
	}
	return permit
}

// If requests that can't run were held, their callers would wait for nothing. The
// rejection comes at once, says that nothing was run and carries Retry-After.
func TestFullQueueRejectsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(0)
		defer q.Close()
		start := time.Now()
		_, err := q.Acquire(context.Background(), request())
		var refused *RefusedError
		if !errors.As(err, &refused) {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("rejected after %s, want at once", took)
		}
		w := httptest.NewRecorder()
		refused.Refusal().Write(w)
		if w.Code != 429 || w.Header().Get("Retry-After") == "" || w.Header().Get(outcome.Header) != string(outcome.NotRun) {
			t.Errorf("answered %d %v", w.Code, w.Header())
		}
	})
}

// A request waits behind one that does not end. Without a rejection at its deadline,
// the caller would go on waiting.
func TestWaitingRequestIsRejectedByItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		defer q.Close()
		first := acquire(t, q)
		r := request()
		r.Deadline = time.Now().Add(2 * time.Second)
		_, err := q.Acquire(context.Background(), r)
		var refused *RefusedError
		if !errors.As(err, &refused) {
			t.Fatalf("got %v", err)
		}
		if late := time.Since(r.Deadline); late > admission.TickInterval {
			t.Errorf("rejected %s after its deadline", late)
		}
		first.Release(1)
		if n := q.runningRequests(); n != 0 {
			t.Errorf("%d requests still hold a slot", n)
		}
	})
}

// If a canceled request kept its place, the next free slot would go to a caller that
// has left, and no other request could use the slot.
func TestCanceledWaiterGetsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		defer q.Close()
		first := acquire(t, q)
		ctx, cancel := context.WithCancel(context.Background())
		result := make(chan error)
		go func() {
			_, err := q.Acquire(ctx, request())
			result <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-result; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v", err)
		}
		first.Release(1)
		acquire(t, q).Release(1)
		if n := q.runningRequests(); n != 0 {
			t.Errorf("%d requests still hold a slot", n)
		}
	})
}

// A caller cancels while the slot becomes free. If a request that is admitted at that
// moment kept the slot, each such race would lose one slot, until the service runs
// nothing.
func TestCancelDuringAdmissionFreesSlot(t *testing.T) {
	const rounds = 2000
	q := newQueue(1)
	defer q.Close()
	admitted := 0
	for range rounds {
		first := acquire(t, q)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		startRace := make(chan struct{})
		wg.Go(func() {
			<-startRace
			first.Release(1)
		})
		wg.Go(func() {
			<-startRace
			cancel()
		})
		close(startRace)
		permit, err := q.Acquire(ctx, request())
		if err == nil {
			admitted++
			permit.Release(1)
		}
		wg.Wait()
		if n := q.runningRequests(); n != 0 {
			t.Fatalf("%d requests still hold the slot", n)
		}
	}
	t.Logf("admitted %d of %d requests", admitted, rounds)
}

// If a second release of a permit counted, it would free the slot of another request.
func TestReleaseCountsOnce(t *testing.T) {
	q := newQueue(1)
	defer q.Close()
	first := acquire(t, q)
	first.Release(1)
	second := acquire(t, q)
	first.Release(1)
	if n := q.runningRequests(); n != 1 {
		t.Errorf("%d requests run, want only the second", n)
	}
	second.Release(1)
}
