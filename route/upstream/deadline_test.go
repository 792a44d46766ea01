package upstream

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
)

// Guards against a host that counts as out of reach because callers' time ended while connections
// to it were being opened.
func TestCallersDeadlineWhileConnecting(t *testing.T) {
	const callers, each = 20, 10
	host, err := link.Listen("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	host.Partition(link.Both)
	var reported, unreachable atomic.Int64
	pool := New(time.Now)
	pool.OnDial = func(string, bool) { reported.Add(1) }
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range each {
				ctx, cancel := context.WithTimeout(context.Background(), dialTimeout/10)
				_, err := pool.Send(ctx, request(host.Address(), "a"))
				cancel()
				var f *Failure
				if !errors.As(err, &f) || !f.NotSent {
					t.Errorf("%v", err)
				} else if f.Unreachable {
					unreachable.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if reported.Load() > 0 || unreachable.Load() > 0 {
		t.Errorf("of %d requests whose time ended, %d reported a failed connection, %d an endpoint out of reach", callers*each, reported.Load(), unreachable.Load())
	}
}
