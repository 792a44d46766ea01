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

// runningRequests is how many requests hold a slot.
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
	ticket, err := q.Acquire(context.Background(), request())
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

// The caller is refused while others could wait: the answer comes at once, says
// that nothing was run and when to come back.
func TestFullQueueRejectsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(0)
		defer q.Close()
		begun := time.Now()
		_, err := q.Acquire(context.Background(), request())
		var refused *RefusedError
		if !errors.As(err, &refused) {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(begun); took != 0 {
			t.Errorf("held back for %s", took)
		}
		w := httptest.NewRecorder()
		refused.Refusal().Write(w)
		if w.Code != 429 || w.Header().Get("Retry-After") == "" || w.Header().Get(outcome.Header) != string(outcome.NotRun) {
			t.Errorf("answered %d %v", w.Code, w.Header())
		}
	})
}

// The caller waits behind a request that does not end. At its deadline, or
// before it once that is foreseen, it is told so; it does not wait on.
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
			t.Errorf("told %s after its deadline", late)
		}
		first.Release(1)
		if n := q.runningRequests(); n != 0 {
			t.Errorf("%d still hold a slot", n)
		}
	})
}

// The caller leaves while it waits. Its place is given up: the slot goes to the
// next caller, not to the one who left.
func TestCanceledWaiterGetsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		defer q.Close()
		first := acquire(t, q)
		ctx, leave := context.WithCancel(context.Background())
		left := make(chan error)
		go func() {
			_, err := q.Acquire(ctx, request())
			left <- err
		}()
		synctest.Wait()
		leave()
		if err := <-left; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v", err)
		}
		first.Release(1)
		acquire(t, q).Release(1)
		if n := q.runningRequests(); n != 0 {
			t.Errorf("%d still hold a slot", n)
		}
	})
}

// The caller leaves at the moment at which the slot becomes free. Whichever
// comes first, the slot is free afterwards: a verdict that crossed with the
// caller's leaving would else keep it for good, and after as many as there are
// slots the service would stand still.
func TestCancelDuringAdmissionFreesSlot(t *testing.T) {
	const rounds = 2000
	q := newQueue(1)
	defer q.Close()
	letIn := 0
	for range rounds {
		first := acquire(t, q)
		ctx, leave := context.WithCancel(context.Background())
		var both sync.WaitGroup
		begin := make(chan struct{})
		both.Go(func() {
			<-begin
			first.Release(1)
		})
		both.Go(func() {
			<-begin
			leave()
		})
		close(begin)
		ticket, err := q.Acquire(ctx, request())
		if err == nil {
			letIn++
			ticket.Release(1)
		}
		both.Wait()
		if n := q.runningRequests(); n != 0 {
			t.Fatalf("%d still hold the slot", n)
		}
	}
	t.Logf("let in %d of %d", letIn, rounds)
}

// A ticket given back twice must not free the slot of another request.
func TestReleaseCountsOnce(t *testing.T) {
	q := newQueue(1)
	defer q.Close()
	first := acquire(t, q)
	first.Release(1)
	second := acquire(t, q)
	first.Release(1)
	if n := q.runningRequests(); n != 1 {
		t.Errorf("%d run, want the second alone", n)
	}
	second.Release(1)
}
