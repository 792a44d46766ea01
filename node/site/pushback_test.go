package site

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

const (
	// pushbackGrace and pushbackTolerance are the platform's bound: between pushbackGrace after
	// the refusal and the end of the pushback, no more requests reach the replica.
	pushbackGrace     = 500 * time.Millisecond
	pushbackTolerance = 2
	// testPushback is what replicas state in these tests.
	testPushback = 3 * time.Second
	// refusedAtOnce is well below the 600 ms for which a request may wait for capacity.
	refusedAtOnce = 100 * time.Millisecond
)

// withinPushback counts the calls that reached a replica although a refusal had said that it
// wants none, for the refusal with the most of them.
func (p *platform) withinPushback(id string) int {
	most := 0
	arrivals := p.Fleet.Arrivals(id)
	for i, refused := range arrivals {
		seconds, err := strconv.ParseFloat(refused.RetryAfter, 64)
		if err != nil {
			continue // no pushback is stated
		}
		end := refused.At.Add(time.Duration(seconds * float64(time.Second)))
		count := 0
		for _, a := range arrivals[i+1:] {
			if a.At.After(refused.At.Add(pushbackGrace)) && a.At.Before(end) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// refuseAll lets replicas refuse requests and state a pushback.
func (p *platform) refuseAll(ids ...string) {
	for _, id := range ids {
		p.Replica(id).SetFault(replica.Fault{Refuse: true, RetryAfter: fmt.Sprint(testPushback.Seconds())})
	}
}

// call is one caller's request with how long its answer took.
type call struct {
	answer
	took time.Duration
}

// askFor lets callers ask in parallel for a time, and returns their requests.
func (r *running) askFor(d time.Duration, method, path string) []call {
	const (
		callers  = 8
		interval = 20 * time.Millisecond
	)
	var mu sync.Mutex
	var calls []call
	var group sync.WaitGroup
	begun := time.Now()
	for caller := range callers {
		group.Go(func() {
			for i := 0; time.Since(begun) < d; i++ {
				began := time.Now()
				got := r.ask(method, path, fmt.Sprint(method, path, caller, "-", i, began.UnixNano()), goodKey)
				mu.Lock()
				calls = append(calls, call{got, time.Since(began)})
				mu.Unlock()
				time.Sleep(interval)
			}
		})
	}
	group.Wait()
	return calls
}

// Guards against requests to a replica that has refused one and stated for how long it wants
// none: a node that guesses this time keeps trying, and so does one that has no other replica.
func TestReplicasThatWantNoRequestsGetNone(t *testing.T) {
	for _, c := range []struct{ service, method, path string }{
		{site.PlainService, "GET", "/read/1"},
		{site.ModelService, "POST", "/ask/x"},
	} {
		t.Run("one of "+c.service, func(t *testing.T) {
			p, node, ids := pushbackSite(t, c.service)
			p.refuseAll(ids[0])
			for _, got := range node.askFor(testPushback, c.method, c.path) {
				if got.status != http.StatusOK {
					t.Errorf("status %d, %v; want an answer of another replica", got.status, got.err)
				}
			}
			p.checkPushback(ids[0])
		})
		t.Run("all of "+c.service, func(t *testing.T) {
			p, node, ids := pushbackSite(t, c.service)
			p.refuseAll(ids...)
			begun := time.Now()
			p.until("all replicas have refused a request", func() bool {
				node.ask(c.method, c.path, fmt.Sprint("first-", time.Now().UnixNano()), goodKey)
				return len(node.pushbacks()[c.service]) == len(ids)
			})
			checkRefusedAtOnce(t, node.askFor(testPushback-time.Since(begun)-pushbackGrace, c.method, c.path))
			p.checkPushback(ids...)
			for _, id := range ids {
				p.Replica(id).SetFault(replica.Fault{})
			}
			p.until("a request is answered once the replicas want some", func() bool {
				return node.ask(c.method, c.path, fmt.Sprint("last-", time.Now().UnixNano()), goodKey).status == http.StatusOK
			})
			if waited := time.Since(begun); waited < testPushback {
				t.Errorf("a request was answered after %v, want none within %v", waited, testPushback)
			}
		})
	}
}

// pushbackSite starts a node, and returns the replicas of a service to which it may send a
// request.
func pushbackSite(t *testing.T, service string) (*platform, *running, []string) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node := p.node(p.settings("front-1"))
	if service == site.PlainService {
		return p, node, []string{"i-plain-0", "i-plain-1"}
	}
	var ids []string
	for id, r := range p.Replicas() {
		if from, to := r.Holds(); r.Model && from == 0 && to > 0 {
			ids = append(ids, id)
		}
	}
	return p, node, ids
}

// checkPushback fails the test if replicas got requests while they wanted none.
func (p *platform) checkPushback(ids ...string) {
	p.t.Helper()
	for _, id := range ids {
		if count := p.withinPushback(id); count > pushbackTolerance {
			p.t.Errorf("%s got %d requests while it wanted none, at most %d are allowed", id, count, pushbackTolerance)
		}
	}
}

// checkRefusedAtOnce fails the test if callers whom nobody can serve wait for capacity, or are
// not told when to return.
func checkRefusedAtOnce(t *testing.T, calls []call) {
	t.Helper()
	var took []time.Duration
	for _, got := range calls {
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("status %d with Retry-After %q, %v; want a refusal with a time to return", got.status, got.header.Get("Retry-After"), got.err)
		}
		took = append(took, got.took)
	}
	slices.Sort(took)
	if median := took[len(took)/2]; median > refusedAtOnce {
		t.Errorf("half of the callers were refused after %v or more, want %v at most", median, refusedAtOnce)
	}
}
