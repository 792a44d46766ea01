package site

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
	"github.com/cicadatack/cicadatack/standin/site"
)

// viewed starts a node in a failure domain, whose ways to replicas can fail alone.
func (p *platform) viewed(name, domain string) (*running, *site.View) {
	p.t.Helper()
	view := p.NewView()
	p.t.Cleanup(view.Close)
	settings := p.settings(name)
	settings.Domain = domain
	settings.Store = netip.MustParseAddrPort(view.Address())
	return p.start(settings, quick, free), view
}

// Guards against an on-call engineer who can't tell a node that reaches no replica from one whose
// belief outlasts the cut.
func TestNodeTellsThatItReachesNoReplica(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node, view := p.viewed("front-1", "bandung")
	view.Cut((*link.Link).Reset)
	for i := range 20 {
		node.ask("GET", "/read/1", fmt.Sprint("read-", i), goodKey)
		node.ask("POST", "/ask/1", fmt.Sprint("stream-", i), goodKey)
	}
	p.until("both services count as out of reach", func() bool { return len(node.status().CutOff) == 2 })
	if !strings.Contains(p.log(), "no replica is reached") {
		t.Error("the log does not say that no replica is reached")
	}
	view.Heal()
	p.until("both services are reached", func() bool { return len(node.status().CutOff) == 0 })
	if !strings.Contains(p.log(), "replicas are reached again") {
		t.Error("the log does not say that replicas are reached again")
	}
}
