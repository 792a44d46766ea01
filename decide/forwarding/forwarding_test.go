package forwarding

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func node(domain string, i int) Node {
	name := fmt.Sprint(domain, "-", i)
	return Node{Name: name, Domain: domain, Address: name + ":1"}
}

// fleetOf returns a Selector of a node of domain "a" with the given number of other nodes in each
// of the domains "a", "b" and "c".
func fleetOf(a, b, c int) *Selector {
	s := New("a", 1)
	var nodes []Node
	for domain, n := range map[string]int{"a": a, "b": b, "c": c} {
		for i := range n {
			nodes = append(nodes, node(domain, i))
		}
	}
	s.SetNodes(nodes)
	return s
}

// Guards against one helping node that carries all requests of a cut-off node, and against
// traffic between failure domains without need.
func TestRequestsAreSpreadOverTheOwnDomain(t *testing.T) {
	s := fleetOf(4, 4, 4)
	for range 400 {
		if _, ok := s.Choose(start, "llm", nil); !ok {
			t.Fatal("no node")
		}
	}
	for i := range 4 {
		if n := s.inFlight[node("a", i).Name]; n < 90 || n > 110 {
			t.Errorf("node %d of the own domain has %d of 400 requests", i, n)
		}
	}
}

// Guards against a request that asks one node of a cut-off domain after the other.
func TestAfterADeclineAnotherDomainIsAsked(t *testing.T) {
	s := fleetOf(40, 2, 2)
	var asked []string
	domains := map[string]int{}
	for range 3 {
		n, ok := s.Choose(start, "llm", asked)
		if !ok {
			t.Fatal("no node")
		}
		s.Finish(start, "llm", n.Name, CannotServe)
		asked = append(asked, n.Name)
		domains[n.Domain]++
	}
	if domains["a"] != 1 || domains["b"] != 1 || domains["c"] != 1 {
		t.Errorf("asked %v, want one node of each domain", asked)
	}
}

// Guards against nodes that are asked again and again although they can't serve, and against one
// that is never asked again after it can.
func TestNodesThatCannotServeAreLeftOutForAWhile(t *testing.T) {
	s := fleetOf(1, 0, 0)
	only := node("a", 0).Name
	now, tries := start, 0
	for now.Before(start.Add(20 * time.Second)) {
		if _, ok := s.Choose(now, "llm", nil); ok {
			tries++
			s.Finish(now, "llm", only, CannotServe)
		}
		now = now.Add(10 * time.Millisecond)
	}
	if tries < 5 || tries > 10 {
		t.Errorf("asked %d times in 20 s", tries)
	}
	if _, ok := s.Choose(now, "ledger", nil); !ok {
		t.Error("left out for another service too")
	}
	now = now.Add(maxPause)
	if _, ok := s.Choose(now, "llm", nil); !ok {
		t.Fatal("left out for longer than maxPause")
	}
	s.Finish(now, "llm", only, Served)
	if _, ok := s.Choose(now, "llm", nil); !ok {
		t.Error("left out after it has served")
	}
}

// Guards against two nodes left out for too long: one that is full for a moment, and one that
// broke off several requests at once.
func TestPausesFitTheirCause(t *testing.T) {
	s := fleetOf(2, 0, 0)
	s.Finish(start, "llm", "a-0", NoCapacity)
	for range 10 {
		s.Finish(start, "llm", "a-1", NoAnswer)
	}
	if _, ok := s.Choose(start, "llm", nil); ok {
		t.Error("a node that declined is chosen at once")
	}
	if n, ok := s.Choose(start.Add(capacityPause), "llm", nil); !ok || n.Name != "a-0" {
		t.Errorf("after %v: %v, %v", capacityPause, n, ok)
	}
	if _, ok := s.Choose(start.Add(minPause), "ledger", []string{"a-0"}); !ok {
		t.Errorf("ten requests that broke off together count as ten failures")
	}
}

// Guards against a node that is gone from the list.
func TestOnlyListedNodesAreChosen(t *testing.T) {
	s := fleetOf(1, 0, 0)
	s.SetNodes(nil)
	if n, ok := s.Choose(start, "llm", nil); ok {
		t.Errorf("chose %v", n)
	}
}

// Guards against capacity that nobody uses while some nodes are cut off, and against capacity that
// two nodes use after the cut.
func TestNodesThatForwardCountAsCutOffForAWhile(t *testing.T) {
	var c CutOffNodes
	c.Observe(start, "llm", "a-0", false)
	if !c.CutOff(start, "llm", "a-0") || c.CutOff(start, "ledger", "a-0") || c.CutOff(start, "llm", "a-1") {
		t.Error("not exactly the node that forwards counts as cut off")
	}
	if c.CutOff(start.Add(cutOffTTL), "llm", "a-0") {
		t.Error("it counts as cut off for longer than cutOffTTL")
	}
	c.Observe(start.Add(time.Minute), "llm", "a-1", false)
	if len(c.forwardedAt) != 1 || c.CutOffFromAll(start.Add(time.Minute), "a-1") {
		t.Errorf("remembered: %v", c.forwardedAt)
	}
	c.Observe(start.Add(time.Minute), "llm", "a-1", true)
	if !c.CutOffFromAll(start.Add(time.Minute), "a-1") {
		t.Error("it does not count as cut off from all services")
	}
}
