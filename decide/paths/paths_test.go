package paths

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/decide/layers"
)

var (
	start     = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)
	allLayers = layers.Span{To: 80}
)

func replica(id, domain string, from, to int) Replica {
	return Replica{
		ID: id, Address: id, Domain: domain, Holds: layers.Span{From: from, To: to},
		Capacity: 100000 * float64(to-from), LayerMillis: 0.17,
	}
}

// twoDomains returns a Selector with two failure domains that each hold all layers. In the
// domain "near" the layers 25 to 61 have two holders.
func twoDomains() *Selector {
	s := New(1)
	s.Update([]Replica{
		replica("n1", "near", 0, 30), replica("n2", "near", 30, 60), replica("n3", "near", 60, 80),
		replica("n4", "near", 25, 62),
		replica("f1", "far", 0, 40), replica("f2", "far", 40, 80),
	})
	return s
}

func choosePath(t *testing.T, s *Selector, q Query) Path {
	t.Helper()
	q.Layers = allLayers
	path, outcome := s.Choose(start, q)
	if outcome != Found {
		t.Fatalf("no path: %v", outcome)
	}
	if !path.Covers(allLayers) {
		t.Fatalf("path %v does not run each layer once and in order", path)
	}
	return path
}

func domainsIn(path Path) map[string]bool {
	domains := map[string]bool{}
	for _, stage := range path {
		domains[stage.Domain] = true
	}
	return domains
}

// A path stays in the node's own domain while the replicas of that domain hold all layers.
// The data that passes between layers is many times the size of the answer, and all
// requests share the links between domains.
func TestPathStaysInDomain(t *testing.T) {
	path := choosePath(t, twoDomains(), Query{Domain: "near", Tokens: 1000})
	if domains := domainsIn(path); len(domains) != 1 || !domains["near"] {
		t.Errorf("path %v leaves the domain of the node", path)
	}
}

// If some layers of a domain have no holder, the requests of this domain run completely in
// another domain. If they ran there only for these layers, every token would cross to the other
// domain and back.
func TestLostLayersMoveWholePathToOtherDomain(t *testing.T) {
	s := twoDomains()
	s.Suspect(start, "n3", false)
	path := choosePath(t, s, Query{Domain: "near", Tokens: 1000})
	if domains := domainsIn(path); len(domains) != 1 || !domains["far"] {
		t.Errorf("path %v, want a path in the far domain", path)
	}
}

// If no domain holds all layers, a path crosses domains: a slow answer is better than a
// refused request.
func TestPathCrossesWhenNoDomainHoldsAllLayers(t *testing.T) {
	s := twoDomains()
	s.Suspect(start, "n3", false)
	s.Suspect(start, "f1", false)
	path := choosePath(t, s, Query{Domain: "near", Tokens: 1000})
	if len(domainsIn(path)) != 2 {
		t.Errorf("path %v, want a path through both domains", path)
	}
}

// A replica that reports a slowdown is avoided while another replica holds its layers.
func TestSlowReplicaIsAvoided(t *testing.T) {
	s := twoDomains()
	s.SetSlowdown("n2", 12)
	for _, stage := range choosePath(t, s, Query{Domain: "near", Tokens: 1000}) {
		if stage.Replica == "n2" {
			t.Errorf("path goes through the slow replica")
		}
	}
}

// Selection by speed alone would fill a fast replica until it preempts its newest request,
// while a slow replica with the same layers is empty. So requests fill both replicas at
// about the same rate.
func TestFastAndSlowReplicasFillEvenly(t *testing.T) {
	s := New(1)
	fast, slow := replica("fast", "d", 0, 80), replica("slow", "d", 0, 80)
	fast.LayerMillis = 0.015
	s.Update([]Replica{fast, slow})
	requestsByReplica := map[string]int{}
	for range 120 {
		path := choosePath(t, s, Query{Domain: "d", Tokens: 1000})
		s.Reserve(path, 1000)
		requestsByReplica[path[0].Replica]++
	}
	if requestsByReplica["slow"] < 30 || requestsByReplica["fast"] < requestsByReplica["slow"] {
		t.Errorf("fast replica got %d requests, slow replica %d", requestsByReplica["fast"], requestsByReplica["slow"])
	}
}

// Choose returns no path for a request that doesn't fit into the free capacity. After other
// requests have ended and released their capacity, it returns a path again.
func TestFullReplicasAreNotChosen(t *testing.T) {
	s := New(1)
	s.Update([]Replica{replica("r", "d", 0, 80)})
	var reservedPaths []Path
	for range 200 {
		path, outcome := s.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 1000})
		if outcome == NoCapacity {
			break
		}
		s.Reserve(path, 1000)
		reservedPaths = append(reservedPaths, path)
	}
	if len(reservedPaths) < 100 || len(reservedPaths) > 115 {
		t.Fatalf("%d requests of 1,000 tokens fit into a capacity of 100,000", len(reservedPaths))
	}
	for _, path := range reservedPaths {
		s.Release(path, 1000)
	}
	choosePath(t, s, Query{Domain: "d", Tokens: 1000})
}

// Two nodes fill one replica, and neither sees the reservations of the other. Refusals lower
// the capacity that each node counts as usable; without further refusals this capacity
// recovers within seconds.
func TestRefusalsLowerUsableCapacity(t *testing.T) {
	s := New(1)
	s.Update([]Replica{replica("r", "d", 0, 80)})
	now := start
	fits := func(now time.Time) bool {
		_, outcome := s.Choose(now, Query{Domain: "d", Layers: allLayers, Tokens: 30000})
		return outcome == Found
	}
	s.Reserve(choosePath(t, s, Query{Domain: "d", Tokens: 70000}), 70000)
	if !fits(now) {
		t.Fatal("the request does not fit before the refusals")
	}
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		s.RecordRefusal(now, "r")
	}
	if fits(now) {
		t.Error("the usable capacity is not lower after ten refusals")
	}
	if !fits(now.Add(10 * time.Second)) {
		t.Error("the usable capacity has not recovered after ten seconds without a refusal")
	}
}

// A rerouted request keeps its first replica, so Choose is asked only for a path through the
// remaining layers. That path must not use the replicas in Query.Exclude.
func TestChooseRemainingLayers(t *testing.T) {
	s := twoDomains()
	path, outcome := s.Choose(start, Query{Domain: "near", Layers: layers.Span{From: 30, To: 80}, Tokens: 10, Exclude: []string{"n1", "n2"}})
	if outcome != Found || !path.Covers(layers.Span{From: 30, To: 80}) || path[0].Replica != "n4" {
		t.Errorf("path %v, outcome %v, want a path that begins at n4", path, outcome)
	}
}

// A path begins at one of Query.FirstReplicas although a path that begins at another
// replica is cheaper.
func TestFirstReplicasRestrictsFirstStage(t *testing.T) {
	s := twoDomains()
	if path := choosePath(t, s, Query{Domain: "near", Tokens: 10, FirstReplicas: []string{"f1"}}); path[0].Replica != "f1" {
		t.Errorf("path %v does not begin at f1", path)
	}
}

// Guards against requests above the rate limit of a replica: a replica that this node may send
// no request runs no first stage. If all first stages are blocked, the request waits.
func TestNotFirstReplicaRunsOnlyLaterStages(t *testing.T) {
	s := twoDomains()
	q := Query{Domain: "near", Tokens: 10, NotFirst: []string{"n1", "n3"}}
	path := choosePath(t, s, q)
	if path[0].Replica == "n1" {
		t.Errorf("path %v begins at a replica that may not be first", path)
	}
	if path, outcome := s.Choose(start, Query{Domain: "near", Layers: allLayers, Tokens: 10, FirstReplicas: []string{"n1"}, NotFirst: []string{"n3"}}); outcome != Found || path[len(path)-1].Replica != "n3" {
		t.Errorf("path %v, outcome %v, want a path that ends at n3", path, outcome)
	}
	all := []string{"n1", "f1"}
	if path, outcome := s.Choose(start, Query{Domain: "near", Layers: allLayers, Tokens: 10, NotFirst: all}); outcome != NoCapacity {
		t.Errorf("path %v, outcome %v, want none for lack of capacity", path, outcome)
	}
}

// A replica is suspected until it answers. A replica that restarted under the same ID is
// not suspected.
func TestSuspicionEnds(t *testing.T) {
	s := New(1)
	r := replica("r", "d", 0, 80)
	s.Update([]Replica{r})
	if !s.Suspect(start, "r", false) || s.Suspect(start, "r", false) {
		t.Error("want the first suspicion reported as new, and the second not")
	}
	if !s.SuspectedFor(start.Add(time.Second), "r", 600*time.Millisecond) || s.SuspectedFor(start, "r", 600*time.Millisecond) {
		t.Error("want the replica reported as suspected for 600 ms after a second, and not at once")
	}
	if _, outcome := s.Choose(start, Query{Domain: "d", Layers: allLayers}); outcome != LayersUnavailable {
		t.Errorf("outcome %v", outcome)
	}
	s.MarkAlive("r")
	choosePath(t, s, Query{Domain: "d", Tokens: 1})
	s.Suspect(start, "r", false)
	r.Incarnation++
	s.Update([]Replica{r})
	choosePath(t, s, Query{Domain: "d", Tokens: 1})
}

// A replica has restarted under its address and holds no layers, while the list still shows
// its former layers. The replica refuses requests but answers probes. A successful probe
// must not make the replica usable again. Only the next report of the replica does.
func TestReplicaMissingListedLayersIsSkipped(t *testing.T) {
	s := New(1)
	r := replica("r", "d", 0, 80)
	s.Update([]Replica{r})
	s.MarkLayersMissing("r")
	s.MarkAlive("r")
	s.Update([]Replica{r})
	if _, outcome := s.Choose(start, Query{Domain: "d", Layers: allLayers}); outcome != LayersUnavailable {
		t.Errorf("outcome %v", outcome)
	}
	r.Revision++
	s.Update([]Replica{r})
	choosePath(t, s, Query{Domain: "d", Tokens: 1})
}

// A path that skips or repeats a layer, or gives a replica layers that it doesn't hold,
// produces a wrong answer, and engines don't detect such a path. For any set of replicas, a
// chosen path runs every layer once and in order, contains no replica twice, and gives each
// replica only layers that it holds.
func TestEveryPathIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(7)
		heldSpans := map[string]layers.Span{}
		var replicas []Replica
		for i := range rapid.IntRange(1, 25).Draw(t, "replicas") {
			from := rapid.IntRange(0, 75).Draw(t, "from")
			to := rapid.IntRange(from+1, 80).Draw(t, "to")
			r := replica(fmt.Sprint("r", i), []string{"a", "b", "c"}[rapid.IntRange(0, 2).Draw(t, "domain")], from, to)
			r.LayerMillis = rapid.SampledFrom([]float64{0.015, 0.03, 0.17}).Draw(t, "layer time")
			r.Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
			heldSpans[r.ID] = r.Holds
			replicas = append(replicas, r)
		}
		s.Update(replicas)
		for range 20 {
			path, outcome := s.Choose(start, Query{Domain: "a", Layers: allLayers, Tokens: 3000})
			if outcome != Found {
				return
			}
			if !path.Covers(allLayers) || len(path) > MaxStages {
				t.Fatalf("invalid path %v", path)
			}
			for _, stage := range path {
				if !heldSpans[stage.Replica].Covers(stage.Layers) {
					t.Fatalf("stage %v runs layers outside of the held %v", stage, heldSpans[stage.Replica])
				}
			}
			s.Reserve(path, 3000)
		}
	})
}

// simulateNodes runs n nodes of one failure domain that share one replica with capacity
// for 100 requests of 1,000 tokens. In every round the first node tries to reserve capacity
// for one request, and so does one of the other nodes in turn. With reportReservations all
// nodes report their reservations to each other after each round. simulateNodes returns the
// number of requests with a reservation, of all nodes and of the first node.
func simulateNodes(n int, reportReservations bool) (reservedRequests float64, firstNodeRequests float64) {
	selectors := make([]*Selector, n)
	for i := range selectors {
		selectors[i] = New(uint64(i + 1))
		selectors[i].Update([]Replica{replica("r", "d", 0, 80)})
		selectors[i].SetShare("d", 1/float64(n))
	}
	nodeSendsInRound := func(i, round int) bool { return i == 0 || round%(n-1) == i-1 }
	for round := range 40 * n {
		for i, s := range selectors {
			if !nodeSendsInRound(i, round) {
				continue
			}
			if path, outcome := s.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 1000}); outcome == Found {
				s.Reserve(path, 1000)
			}
		}
		if !reportReservations {
			continue
		}
		for i, s := range selectors {
			peerReserved := 0.0
			for j, other := range selectors {
				if j != i {
					peerReserved += other.Reserved()["r"]
				}
			}
			s.SetPeerReservations("d", n-1, map[string]float64{"r": peerReserved})
		}
	}
	for _, s := range selectors {
		reservedRequests += s.Reserved()["r"] / 80000
	}
	return reservedRequests, selectors[0].Reserved()["r"] / 80000
}

// Nine nodes share a replica, and one of the nodes gets half of all requests. With fixed
// equal shares, requests of this busy node are refused while the shares of the other nodes
// are half empty. If the nodes report their reservations, the busy node uses the free
// capacity, and the total of all reservations stays near the capacity.
func TestSharedReservationsGiveBusyNodeMoreCapacity(t *testing.T) {
	totalWithFixedShares, busyNodeWithFixedShares := simulateNodes(9, false)
	totalWithReports, busyNodeWithReports := simulateNodes(9, true)
	t.Logf("even shares: %.0f requests, %.0f of the busy node; shared reservations: %.0f and %.0f", totalWithFixedShares, busyNodeWithFixedShares, totalWithReports, busyNodeWithReports)
	if busyNodeWithReports < 3*busyNodeWithFixedShares {
		t.Errorf("the busy node has %.0f requests, %.0f with even shares", busyNodeWithReports, busyNodeWithFixedShares)
	}
	if totalWithReports < 95 || totalWithReports > 112 {
		t.Errorf("%.0f requests reserved, want 100 to 110", totalWithReports)
	}
}

// All nodes see the same free capacity at the same time. If each node reserved all of it
// before the next reports, replicas would refuse many requests. Until the nodes have
// reported their new reservations, they together reserve at most about twice the free
// capacity (maxSharesPerReport).
func TestNodesDoNotOverfillFreeCapacity(t *testing.T) {
	const n = 20
	reservedTokens := 0.0
	for i := range n {
		s := New(uint64(i + 1))
		s.Update([]Replica{replica("r", "d", 0, 80)})
		s.SetShare("d", 1.0/n)
		s.SetPeerReservations("d", n-1, map[string]float64{"r": 60000 * 80})
		for range 100 {
			if path, outcome := s.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 1000}); outcome == Found {
				s.Reserve(path, 1000)
			}
		}
		reservedTokens += s.Reserved()["r"] / 80
	}
	if reservedTokens > 110000 {
		t.Errorf("%.0f tokens reserved where 50,000 were free", reservedTokens)
	}
	// A request that needs more than the node may reserve between reports
	// (maxSharesPerReport) fits if it takes at most half of the free capacity.
	s := New(1)
	s.Update([]Replica{replica("r", "d", 0, 80)})
	s.SetShare("d", 1.0/n)
	s.SetPeerReservations("d", n-1, map[string]float64{"r": 60000 * 80})
	if _, outcome := s.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 20000}); outcome != Found {
		t.Errorf("a large request is refused: %v", outcome)
	}
	if _, outcome := s.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 60000}); outcome != NoCapacity {
		t.Errorf("a request larger than the free capacity is not refused for lack of capacity: %v", outcome)
	}
}

// requestsToRefusingReplica simulates a replica that refuses all requests for three seconds,
// while a request arrives every 20 ms. The function returns the number of requests that were
// sent to the refusing replica. With useBackoff each refusal is recorded with RecordRefusal,
// otherwise with Avoid.
func requestsToRefusingReplica(useBackoff bool) (sentRequests int) {
	s := twoDomains()
	for ms := 0; ms < 3000; ms += 20 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		path, outcome := s.Choose(now, Query{Domain: "near", Layers: allLayers, Tokens: 1000})
		if outcome != Found {
			continue
		}
		for _, stage := range path {
			if stage.Replica != "n3" {
				continue
			}
			sentRequests++
			if useBackoff {
				s.RecordRefusal(now, "n3")
			} else {
				s.Avoid(now, "n3")
			}
		}
	}
	return sentRequests
}

// A replica is about to leave, but nodes don't see this because the store is unreachable.
// The replica refuses all requests but answers probes. Without the backoff, every node sends
// the replica a request each 150 ms during the outage of the store, and each such request
// costs a try.
func TestRefusingReplicaIsBackedOff(t *testing.T) {
	sentWithBackoff, sentWithoutBackoff := requestsToRefusingReplica(true), requestsToRefusingReplica(false)
	t.Logf("%d requests sent, %d without the backoff", sentWithBackoff, sentWithoutBackoff)
	if sentWithBackoff > 6 || sentWithoutBackoff < 3*sentWithBackoff {
		t.Errorf("%d requests sent, %d without the backoff", sentWithBackoff, sentWithoutBackoff)
	}
}

// A replica whose capacity is reserved refuses requests for lack of capacity. Such a refusal
// starts no backoff period.
func TestFullReplicaIsNotBackedOff(t *testing.T) {
	s := New(1)
	s.Update([]Replica{replica("r", "d", 0, 80)})
	if !s.RecordRefusal(start, "r") {
		t.Error("a replica that refuses although it is empty is not backed off")
	}
	later := start.Add(time.Second)
	s.Reserve(choosePathForLargeRequest(t, s, later), 80000)
	if s.RecordRefusal(later, "r") {
		t.Error("a full replica is backed off")
	}
}

func choosePathForLargeRequest(t *testing.T, s *Selector, now time.Time) Path {
	t.Helper()
	path, outcome := s.Choose(now, Query{Domain: "d", Layers: allLayers, Tokens: 80000})
	if outcome != Found {
		t.Fatalf("no path: %v", outcome)
	}
	return path
}

// The only holder of some layers is in a backoff period. The outcome must be NoCapacity, on
// which requests wait, and not LayersUnavailable.
func TestChooseReturnsNoCapacityWhenOnlyHolderInBackoff(t *testing.T) {
	s := New(1)
	s.Update([]Replica{replica("r", "d", 0, 80)})
	s.RecordRefusal(start, "r")
	if _, outcome := s.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 1000}); outcome != NoCapacity {
		t.Errorf("outcome %v, want %v", outcome, NoCapacity)
	}
	choosePathForLargeRequest(t, s, start.Add(backoffBase))
}
