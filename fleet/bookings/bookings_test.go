package bookings

import (
	"context"
	"maps"
	"math"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/endpointrate"
	"github.com/cicadatack/cicadatack/decide/peerreports"
	"github.com/cicadatack/cicadatack/fleet/bookings/bookingspb"
)

type node struct {
	*Exchange
	peer   Peer
	server *httptest.Server
}

// limits are rate limits that a node knows or has heard of.
type limits struct {
	mu    sync.Mutex
	known map[string]endpointrate.Statement
}

func (l *limits) Statements() []endpointrate.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.known))
}

func (l *limits) Observe(list []endpointrate.Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range list {
		if l.known == nil {
			l.known = map[string]endpointrate.Statement{}
		}
		l.known[s.Replica] = s
	}
}

func start(t *testing.T, name string, booked float64, seen ...peerreports.Observation) node {
	t.Helper()
	e := New(name, time.Now, func() map[string]float64 { return map[string]float64{"r": booked} }, func() []peerreports.Observation { return seen }, &limits{})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(e.Close)
	return node{e, Peer{name, strings.TrimPrefix(server.URL, "http://")}, server}
}

// Two hubs and a node that asks the second: after their exchanges each knows what the
// other two have booked. When the node's hub dies it asks the other one and goes on.
func TestExchange(t *testing.T) {
	ctx := context.Background()
	a, b, c := start(t, "a", 1), start(t, "b", 10), start(t, "c", 100)
	round := func() {
		if err := c.AsLeaf(ctx, []Peer{b.peer, a.peer}); err != nil {
			t.Fatal(err)
		}
		for _, hub := range [][2]node{{a, b}, {b, a}} {
			// The other hub may be dead; the first round has no error.
			_ = hub[0].AsHub(ctx, []Peer{hub[1].peer})
		}
	}
	round()
	round()
	for _, n := range []struct {
		node
		want float64
	}{{a, 110}, {b, 101}, {c, 11}} {
		if got := n.Others(); got.NodeCount != 2 || got.ReservedByReplica["r"] != n.want {
			t.Errorf("%s: %+v, want %v of two", n.name, got, n.want)
		}
	}
	b.server.Close()
	round()
	if got := c.Others(); got.ReservedByReplica["r"] < 1 {
		t.Errorf("after its hub died c knows of %+v", got)
	}
	if err := c.AsLeaf(ctx, []Peer{b.peer}); !Error.Has(err) {
		t.Errorf("%v", err)
	}
}

// Another version, or a fault, writes what no node does: nothing comes of it that would
// take all room away for good, or give some back that was taken.
func TestOddMessages(t *testing.T) {
	for name, wire := range map[string]*bookingspb.Held{
		"nothing":          nil,
		"lists differ":     {Nodes: 1, Replicas: []string{"r", "s"}, Amounts: []float32{5}},
		"negative":         {Nodes: -3, Replicas: []string{"r"}, Amounts: []float32{-5}},
		"infinite":         {Nodes: math.MaxInt32, Replicas: []string{"r"}, Amounts: []float32{float32(math.Inf(1))}},
		"no number":        {Nodes: 1, Replicas: []string{"r"}, Amounts: []float32{float32(math.NaN())}},
		"the same replica": {Nodes: 1, Replicas: []string{"r", "r"}, Amounts: []float32{2, 3}},
	} {
		held := fromWire(wire)
		if held.NodeCount < 0 || held.ReservedByReplica["r"] < 0 || held.ReservedByReplica["r"] > 5 || held.ReservedByReplica["s"] != 0 {
			t.Errorf("%s: %+v", name, held)
		}
	}
}

// Two nodes that ask one hub have seen a replica lost, the hub another one slow: a third
// node hears of both, with how many have seen them, and none hears its own word.
func TestClaimsAreTold(t *testing.T) {
	ctx := context.Background()
	lost := peerreports.Observation{Replica: "r", Unreachable: true, Observers: 1}
	away := peerreports.Observation{Replica: "u", Refusing: true, Observers: 1}
	reached := peerreports.Observation{Replica: "v", Reached: true, Observers: 1}
	hub := start(t, "hub", 1, peerreports.Observation{Replica: "s", Slowdown: 4, Observers: 1})
	a, b, c := start(t, "a", 1, lost), start(t, "b", 1, lost, away, reached), start(t, "c", 1)
	for _, leaf := range []node{a, b, c} {
		if err := leaf.AsLeaf(ctx, []Peer{hub.peer}); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range []struct {
		node
		lost, slow, away, reached int
	}{{c, 2, 1, 1, 1}, {hub, 2, 0, 1, 1}, {a, 0, 1, 0, 0}} {
		claims, dropped := n.Claims()
		got := map[string]int{}
		for _, claim := range claims {
			got[claim.Replica] = claim.Observers
			if claim.Refusing != (claim.Replica == "u") || claim.Reached != (claim.Replica == "v") {
				t.Errorf("%s: %+v", n.name, claim)
			}
		}
		if got["r"] != n.lost || got["s"] != n.slow || got["u"] != n.away || got["v"] != n.reached || dropped != 0 {
			t.Errorf("%s: %+v, %d dropped", n.name, claims, dropped)
		}
	}
}

// Guards against nodes that send a replica more than the limit that it has stated to another
// node: a node tells its hub, the hub tells the other nodes, and the age only grows.
func TestRateLimitsAreTold(t *testing.T) {
	ctx := context.Background()
	stated := endpointrate.Statement{Replica: "r", Limited: true, RequestsPerSecond: 4.2, Age: time.Second}
	hub, other, a, b := start(t, "hub", 1), start(t, "other", 1), start(t, "a", 1), start(t, "b", 1)
	a.limits.Observe([]endpointrate.Statement{stated})
	if err := a.AsLeaf(ctx, []Peer{hub.peer}); err != nil {
		t.Fatal(err)
	}
	if err := b.AsLeaf(ctx, []Peer{hub.peer}); err != nil {
		t.Fatal(err)
	}
	if err := hub.AsHub(ctx, []Peer{other.peer}); err != nil {
		t.Fatal(err)
	}
	for _, n := range []node{hub, other, b} {
		got := n.limits.Statements()
		if len(got) != 1 || !got[0].Limited || got[0].RequestsPerSecond != 4.2 || got[0].Age <= time.Second {
			t.Errorf("%s: %+v", n.peer.Name, got)
		}
	}
}
