package site

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

// headCuts are numbers of bytes after which connections end: in the status line, between the lines of
// the head, within them, and in the line that ends it.
var headCuts = []int{1, 9, 12, 15, 16, 17, 30, 61, 90, 110, 130}

// fewCuts are some of them.
var fewCuts = []int{1, 12, 17, 61, 110}

const cutEvents = 3

// checkCut fails if the answer to a request looks complete and is not the whole answer of a replica.
func (p *platform) checkCut(got answer, path, id string) {
	p.t.Helper()
	if got.err != nil || got.status >= http.StatusInternalServerError {
		return
	}
	whole := got.body == "answer to "+id
	if path == "/ask/1" {
		whole = wholeStream(got.body, id, cutEvents) == nil
	}
	if got.status != http.StatusOK || !whole {
		p.t.Errorf("%s %s: status %d with %q, framed as whole", path, id, got.status, got.body)
	}
}

var cutRequests = []struct{ method, path string }{{"POST", "/order/1"}, {"GET", "/read/1"}, {"POST", "/ask/1"}}

// playCuts lets answers be cut by cut, after various numbers of bytes, and sends requests meanwhile.
func (p *platform) playCuts(node *running, cuts []int, cut func(bytes int), heal func()) {
	p.t.Helper()
	for _, bytes := range cuts {
		for _, q := range cutRequests {
			p.until("the node serves", func() bool {
				p.Beat()
				return node.ask(q.method, q.path, fmt.Sprint("before-", time.Now().UnixNano()), goodKey).status == http.StatusOK
			})
			cut(bytes)
			id := fmt.Sprint(q.path, "-", bytes)
			p.checkCut(node.ask(q.method, q.path, id, goodKey), q.path, id)
			if runs := len(p.Fleet.Runs(id)); runs == 0 || q.path == "/order/1" && runs > 1 {
				p.t.Errorf("%s ran %d times", id, runs)
			}
			heal()
		}
	}
}

// Guards against an answer that a replica has stopped in the middle of its head, and that callers get
// as a whole one with an empty or a short body.
func TestAnswersCutInTheirHeadAreNeverWhole(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault replica.Fault
		cuts  []int
	}{
		{"framed", replica.Fault{}, headCuts},
		{"unframed", replica.Fault{Unframed: true}, headCuts[:len(headCuts)-2]}, // these heads are shorter
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlatform(t)
			p.chains(cutEvents, time.Millisecond)
			for _, r := range p.Replicas() {
				r.SetFault(c.fault)
			}
			node, view := p.viewed("front-1", "bandung")
			p.playCuts(node, c.cuts, func(bytes int) { view.Cut(func(l *link.Link) { l.EndAfter(bytes) }) }, view.Heal)
		})
	}
}

// Guards against the same where the request is forwarded, and the replica or the node that serves it
// stops in the head.
func TestForwardedAnswersCutInTheirHeadAreNeverWhole(t *testing.T) {
	for _, byNode := range []bool{false, true} {
		t.Run(fmt.Sprint("by the node: ", byNode), func(t *testing.T) {
			p := newPlatform(t)
			p.chains(cutEvents, time.Millisecond)
			replicas := p.NewView()
			t.Cleanup(replicas.Close)
			settings := p.settings("front-2")
			settings.Store = addressOf(replicas)
			_, toNode := p.helperOn(settings)
			node, _ := p.cutOffNode("front-1")
			p.awaitHelpers(node, 1)
			if byNode {
				p.playCuts(node, fewCuts, toNode.EndAfter, toNode.Heal)
				return
			}
			p.playCuts(node, fewCuts, func(bytes int) { replicas.Cut(func(l *link.Link) { l.EndAfter(bytes) }) }, replicas.Heal)
		})
	}
}

// addressOf is where a node reaches the store through a view.
func addressOf(v *site.View) netip.AddrPort { return netip.MustParseAddrPort(v.Address()) }
