// Package historytest records what callers of a store's users saw, and checks
// with porcupine that it fits one line of events.
package historytest

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// checkTimeout bounds the search of one history; an unfinished one is Unknown.
const checkTimeout = time.Minute

// never ends a call that takes effect at any later time or not at all.
const never = int64(1) << 62

// History collects the calls of all callers. It is safe for use by several
// goroutines.
type History struct {
	start time.Time

	mu  sync.Mutex
	ops []porcupine.Operation
}

// New returns an empty history.
func New() *History { return &History{start: time.Now()} }

// Record makes a call and keeps it. open says of its output that the call may
// yet take effect.
func Record[Out any](h *History, client int, in any, call func() Out, open func(Out) bool) Out {
	began := time.Since(h.start).Nanoseconds()
	out := call()
	ended := time.Since(h.start).Nanoseconds()
	if open(out) {
		ended = never
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: began, Output: out, Return: ended})
	return out
}

// Check holds the history against a specification.
func (h *History) Check(specification porcupine.Model) porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperationsTimeout(specification, h.ops, checkTimeout)
}

// RandomFaults fails every fifth call of a store in one of three ways.
func RandomFaults(seed uint64) func(storetest.Call) storetest.Fault {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 99))
	return func(storetest.Call) storetest.Fault {
		mu.Lock()
		defer mu.Unlock()
		fault := storetest.Fault{}
		switch rng.IntN(15) {
		case 0:
			fault.Unavailable = true
		case 1:
			fault.LoseReply = true
		case 2:
			fault.LoseRequest = true
		}
		return fault
	}
}
