package site

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

// Bounds on the requests that a replica with a limit gets: the platform's tolerance, and the
// requests above it that don't count.
const (
	limitTolerance = 1.5
	limitSlack     = 5
)

// load calls all nodes in parallel until the fleet has answered count requests, and returns
// how long that took. Answers of other kinds than 200, 429 and 503 are errors.
func (p *platform) load(nodes []*running, method, path string, count int64) time.Duration {
	p.t.Helper()
	begun := time.Now()
	var answered, asked atomic.Int64
	var callers sync.WaitGroup
	for _, n := range nodes {
		for range 2 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				for answered.Load() < count {
					got := n.ask(method, path, fmt.Sprint(method, path, asked.Add(1)), goodKey)
					switch got.status {
					case http.StatusOK:
						answered.Add(1)
					case http.StatusTooManyRequests, http.StatusServiceUnavailable:
					default:
						p.t.Errorf("%s: status %d, %v", path, got.status, got.err)
						return
					}
				}
			}()
		}
	}
	callers.Wait()
	return time.Since(begun)
}

// arrivedAt counts the requests that a replica has got.
func (p *platform) arrivedAt(id string) int {
	count := 0
	for _, run := range p.Fleet.Runs("") {
		if run.Replica == id {
			count++
		}
	}
	return count
}

// Guards against a replica in need that gets several times the limit which it states in its
// answers: nodes that don't read the limit, or each keep to it on their own.
func TestReplicasGetNoMoreThanTheLimitsTheyState(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	nodes := p.fleet(3)
	p.until("each node names all", allNamed(t, nodes, nodes))
	const limit = 2.0
	for _, c := range []struct{ service, replica, method, path string }{
		{site.PlainService, "i-plain-0", "GET", "/read/1"},
		{site.ModelService, firstReplica(p), "POST", "/ask/x"},
	} {
		p.Replica(c.replica).SetFault(replica.Fault{RateLimit: fmt.Sprint(limit)})
		p.until("all nodes know the limit of "+c.replica, func() bool {
			p.load(nodes, c.method, c.path, 1)
			return p.knowingLimit(nodes, c.service, c.replica) == len(nodes)
		})
		before := p.arrivedAt(c.replica)
		took := p.load(nodes, c.method, c.path, 600)
		got := float64(p.arrivedAt(c.replica) - before)
		if allowed := limitTolerance*limit*took.Seconds() + limitSlack; got > allowed {
			t.Errorf("%s got %v requests in %v, allowed %v", c.replica, got, took, allowed)
		}
		p.Replica(c.replica).SetFault(replica.Fault{})
		p.until("all nodes know that the limit of "+c.replica+" has ended", func() bool {
			p.load(nodes, c.method, c.path, 1)
			return p.knowingLimit(nodes, c.service, c.replica) == 0
		})
	}
}

// firstReplica is a model replica that holds the first layer.
func firstReplica(p *platform) string {
	for id, r := range p.Replicas() {
		if from, to := r.Holds(); r.Model && from == 0 && to > 0 {
			return id
		}
	}
	return ""
}

// knowingLimit counts the nodes that tell their operators of a replica's limit.
func (p *platform) knowingLimit(nodes []*running, service, id string) int {
	count := 0
	for _, n := range nodes {
		var status operators.Status
		n.operator(p.t, operators.PathStatus, &status)
		if _, limited := status.RateLimits[service][id]; limited {
			count++
		}
	}
	return count
}
