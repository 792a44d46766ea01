package httpapi_test

import (
	"bytes"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// heapPeak measures the largest heap until stop is called, in bytes.
func heapPeak() (stop func() uint64) {
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		var most uint64
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			most = max(most, now.HeapAlloc)
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(done)
		return <-peak
	}
}

// Guards against answers without end that take the node's memory: each is bounded, and their sum was not. What a
// refusal says takes none, and all memory is free again afterwards.
func TestAnswersWithoutEndTakeLittleMemory(t *testing.T) {
	const (
		calls = 200
		// collected is what the collector may leave beside the budget, and what the calls take by themselves.
		collected = 2
		calm      = 32 << 20
		budget    = 64 << 20
	)
	for name, header := range map[string][2]string{
		"a failure": {"Content-Type", "text/plain"}, "a refusal": {engineapi.HeaderNotRun, "1"}, "a length": {"Content-Length", "1000000000000000"},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, testNodeConfig{})
			chunk := bytes.Repeat([]byte("not an answer "), 1<<10)
			n.respond = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(header[0], header[1])
				w.WriteHeader(http.StatusServiceUnavailable)
				for {
					if _, err := w.Write(chunk); err != nil {
						return
					}
				}
			}
			stop := heapPeak()
			var group sync.WaitGroup
			for range calls {
				group.Go(func() { n.send(apiRequest{method: http.MethodPost, path: ordersPath, key: teamKey, body: "flour"}) })
			}
			group.Wait()
			if peak := stop(); peak > collected*budget+calm {
				t.Errorf("the heap had up to %d MB", peak>>20)
			} else {
				t.Logf("the heap had up to %d MB", peak>>20)
			}
			if n.answers.Used() != 0 {
				t.Errorf("%d bytes stay charged", n.answers.Used())
			}
		})
	}
}
