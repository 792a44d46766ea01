package site

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

// leavingSettles is for requests whose replica was chosen before the answer arrived. The
// platform allows 2 s.
const leavingSettles = 200 * time.Millisecond

// untilToldLeaving asks until replicas have said in an answer to the node that they leave.
func (p *platform) untilToldLeaving(n *running, method, path string, ids ...string) {
	p.t.Helper()
	p.until("the node has passed on answers that say so", func() bool {
		n.ask(method, path, fmt.Sprint("first-", time.Now().UnixNano()), goodKey)
		leaving := n.services.leavingReplicas()
		for _, id := range ids {
			if !leaving[id] {
				return false
			}
		}
		return true
	})
}

// arrivals counts the calls that have reached replicas.
func (p *platform) arrivals(ids ...string) int {
	count := 0
	for _, id := range ids {
		count += len(p.Fleet.Arrivals(id))
	}
	return count
}

// Guards against requests to a replica that says in its answers that it leaves, while the list
// of replicas shows it as ready: as the list lags, as the node is cut off from the store, or as
// the entry was missing for a moment. Started anew, the replica serves again.
func TestReplicaThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for _, c := range []struct{ service, method, path string }{
		{site.PlainService, "GET", "/open/1"},
		{site.ModelService, "POST", "/ask/x"},
	} {
		for name, then := range map[string]func(*platform, *running, *link.Link, string){
			"listed as ready": func(p *platform, n *running, _ *link.Link, _ string) { p.untilRead(n) },
			"cut off":         func(p *platform, _ *running, toStore *link.Link, _ string) { toStore.Freeze() },
			"entry missing for a moment": func(p *platform, n *running, _ *link.Link, id string) {
				p.Forget(id)
				p.until("the replica is no longer listed", func() bool { return !n.lists(id) })
				p.Beat()
				p.until("the replica is listed again", func() bool { return n.lists(id) })
			},
		} {
			t.Run(c.service+", "+name, func(t *testing.T) {
				p := newPlatform(t)
				p.chains(3, time.Millisecond)
				node, toStore := p.isolated("front-1")
				id := "i-plain-0"
				if c.service == site.ModelService {
					id = firstReplica(p)
				}
				p.Replica(id).SetFault(replica.Fault{Leaving: true})
				p.untilToldLeaving(node, c.method, c.path, id)
				then(p, node, toStore, id)
				time.Sleep(leavingSettles)
				before := p.arrivals(id)
				for i := range 40 {
					if got := node.ask(c.method, c.path, fmt.Sprint("later-", i), goodKey); got.status != http.StatusOK {
						t.Errorf("request %d: status %d, %v", i, got.status, got.err)
					}
				}
				if got := p.arrivals(id) - before; got > 0 {
					t.Errorf("%s got %d requests after it had said that it leaves", id, got)
				}
				p.Replica(id).Restart()
				toStore.Heal()
				p.until("the replica serves again once it has started anew", func() bool {
					p.Beat()
					node.ask(c.method, c.path, fmt.Sprint("last-", time.Now().UnixNano()), goodKey)
					return p.arrivals(id) > before
				})
			})
		}
	}
}

// Guards against requests to replicas that leave because no other replica is left.
func TestServiceWhoseReplicasSayTheyLeave(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node := p.node(p.settings("front-1"))
	ids := []string{"i-plain-0", "i-plain-1"}
	for _, id := range ids {
		p.Replica(id).SetFault(replica.Fault{Leaving: true})
	}
	p.untilToldLeaving(node, "GET", "/read/1", ids...)
	time.Sleep(leavingSettles)
	before := p.arrivals(ids...)
	for i := range 20 {
		if got := node.ask("GET", "/read/1", fmt.Sprint("later-", i), goodKey); got.status != http.StatusServiceUnavailable {
			t.Errorf("request %d: status %d, %v; want a refusal", i, got.status, got.err)
		}
	}
	if got := p.arrivals(ids...) - before; got > 0 {
		t.Errorf("the replicas got %d requests after they had said that they leave", got)
	}
}

// untilRead waits until the node has read the store once more.
func (p *platform) untilRead(n *running) {
	p.t.Helper()
	begun := time.Now()
	p.until("the node has read the store", func() bool {
		p.Beat()
		return n.Age() < time.Since(begun)
	})
}

// lists reports whether a node lists a replica.
func (n *Node) lists(id string) bool {
	for _, r := range n.replicas() {
		if r.ID == id {
			return true
		}
	}
	return false
}
