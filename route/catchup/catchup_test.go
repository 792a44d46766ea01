package catchup

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// store holds a version that reads put in force.
type store struct {
	newest, inForce, reads atomic.Int64
	// hold, if not nil, delays reads until it is closed.
	hold chan struct{}
	err  error
}

func (s *store) revision() int64 { return s.inForce.Load() }

func (s *store) read(ctx context.Context) error {
	s.reads.Add(1)
	if s.hold != nil {
		select {
		case <-s.hold:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if s.err == nil {
		s.inForce.Store(s.newest.Load())
	}
	return s.err
}

// Guards against a read of the store for each request that waits for the same version.
func TestRequestsShareARead(t *testing.T) {
	s := &store{hold: make(chan struct{})}
	s.newest.Store(7)
	r := New(s.revision, s.read, nil)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			if got := r.CatchUp(context.Background(), 7); got != 7 {
				t.Errorf("version %d is in force, want 7", got)
			}
		})
	}
	time.AfterFunc(20*time.Millisecond, func() { close(s.hold) })
	group.Wait()
	if got := s.reads.Load(); got != 1 {
		t.Errorf("%d reads", got)
	}
	if r.CatchUp(context.Background(), 6); s.reads.Load() != 1 {
		t.Error("an older version is read for")
	}
}

// Guards against requests that are held, and a store that is read without end, while the store is away
// or does not have the version that another node names.
func TestWaitIsBounded(t *testing.T) {
	for name, err := range map[string]error{"store away": errors.New("away"), "unknown version": nil} {
		s := &store{err: err}
		begun := time.Now()
		var group sync.WaitGroup
		reported := atomic.Int64{}
		r := New(s.revision, s.read, func(error) { reported.Add(1) })
		for range 10 {
			group.Go(func() {
				if got := r.CatchUp(context.Background(), 9); got != 0 {
					t.Errorf("%s: version %d is in force", name, got)
				}
			})
		}
		group.Wait()
		if took := time.Since(begun); took < pauseAfterUselessRead || took > 5*maxWait {
			t.Errorf("%s: the requests waited for %v", name, took)
		}
		if reads := s.reads.Load(); reads < readsPerRequest || reads > 2*readsPerRequest {
			t.Errorf("%s: %d reads", name, reads)
		}
		if reported.Load() == 0 {
			t.Errorf("%s: no read is reported", name)
		}
	}
}

// Guards against a request that waits for its whole time although its caller has left.
func TestCallerWhoLeavesEndsTheWait(t *testing.T) {
	s := &store{hold: make(chan struct{})}
	defer close(s.hold)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	begun := time.Now()
	New(s.revision, s.read, nil).CatchUp(ctx, 1)
	if took := time.Since(begun); took >= maxWait {
		t.Errorf("waited for %v", took)
	}
}
