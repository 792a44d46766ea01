package forwarding

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minPause and maxPause bound the time for which a node that can't serve is left out.
	minPause = 500 * time.Millisecond
	maxPause = 4 * time.Second
	// capacityPause is the time for which a node without capacity is left out. Some streams end
	// within this time.
	capacityPause = 100 * time.Millisecond
	// servingTTL is how long a node is known to serve after it has served a request or was named.
	servingTTL = 10 * time.Second
	// namedTTL is how long a node that has served a request is named to other nodes.
	namedTTL = 3 * time.Second
	// declinedTTL is how long a node that has declined counts as one that can't serve.
	declinedTTL = 10 * time.Second
	// enoughServing is the number of serving nodes beside which no further ones are looked for.
	// While fewer are known, one of tryOthersEvery requests is offered to another node first.
	enoughServing  = 4
	tryOthersEvery = 8
	// MaxNamed bounds the serving nodes that a node names to another one.
	MaxNamed = 3
	// MaxAsked bounds the nodes that are asked to serve one request. Each of them declines at once
	// if it reaches no replica either.
	MaxAsked = 5
)

// Node is a node that may serve requests on behalf of others.
type Node struct {
	Name, Domain string
	// Address is where other nodes reach it.
	Address string
}

// Result says how a node handled a forwarded request.
type Result uint8

// Results of a forwarded request.
const (
	// Served means that the node passed on an answer of a replica.
	Served Result = iota
	// NoCapacity means that the node or the replicas had no capacity.
	NoCapacity
	// CannotServe means that the node reaches no replica of the service either, or takes no
	// requests.
	CannotServe
	// NoAnswer means that the node can't be reached, or broke the connection off.
	NoAnswer
	// Canceled means that the request ended for a reason that says nothing about the node.
	Canceled
)

// String returns the result as logs and metrics show it.
func (r Result) String() string {
	return [...]string{"served", "no_room", "cannot_serve", "no_answer", "canceled"}[r]
}

// Selector chooses nodes for one node. It is not safe for concurrent use.
type Selector struct {
	domain string
	random *rand.Rand
	nodes  []Node
	// inFlight counts this node's requests at each node.
	inFlight map[string]int
	pauses   map[pauseKey]pause
	serving  map[pauseKey]serving
}

// pauseKey is a node and a service. The service is empty for a node that does not answer.
type pauseKey struct{ node, service string }

type pause struct {
	until  time.Time
	length time.Duration
	// declinedAt is when the node last said that it can't serve; zero for another reason.
	declinedAt time.Time
}

// serving says when a node has served a request of this node, and when it was last known to serve.
type serving struct{ servedAt, knownAt time.Time }

// New returns a Selector without nodes, for a node of a failure domain.
func New(domain string, seed uint64) *Selector {
	return &Selector{
		domain: domain, random: rand.New(rand.NewPCG(seed, seed)),
		inFlight: map[string]int{}, pauses: map[pauseKey]pause{}, serving: map[pauseKey]serving{},
	}
}

// SetNodes replaces the list of the other nodes.
func (s *Selector) SetNodes(nodes []Node) {
	s.nodes = slices.Clone(nodes)
	known := map[string]bool{}
	for _, n := range nodes {
		known[n.Name] = true
	}
	maps.DeleteFunc(s.pauses, func(key pauseKey, _ pause) bool { return !known[key.node] })
	maps.DeleteFunc(s.serving, func(key pauseKey, _ serving) bool { return !known[key.node] })
}

// Choose returns the node to which a request for a service is forwarded, and false if there is
// none. asked are the nodes that declined the request already. Each chosen node must be released
// with Finish.
func (s *Selector) Choose(now time.Time, service string, asked []string) (Node, bool) {
	candidates := slices.DeleteFunc(slices.Clone(s.nodes), func(n Node) bool {
		return slices.Contains(asked, n.Name) || s.paused(now, n.Name, service) || s.paused(now, n.Name, "")
	})
	candidates = s.preferred(now, service, candidates, asked)
	if len(candidates) == 0 {
		return Node{}, false
	}
	chosen := s.lessUsed(candidates)
	s.inFlight[chosen.Name]++
	return chosen, true
}

// preferred returns the candidates that are known to serve, if there are any and the request is not
// used to look for others, and of these the ones whose failure domain comes first.
func (s *Selector) preferred(now time.Time, service string, candidates []Node, asked []string) []Node {
	known, unknown := partition(candidates, func(n Node) bool { return s.serves(now, n.Name, service) })
	lookFurther := len(asked) == 0 && len(known) < enoughServing && s.random.IntN(tryOthersEvery) == 0
	if len(known) == 0 || lookFurther && len(unknown) > 0 {
		untried, _ := partition(unknown, func(n Node) bool { return !s.declinedLately(now, n.Name, service) })
		if len(untried) > 0 {
			return s.byDomain(untried, asked)
		}
		return s.byDomain(unknown, asked)
	}
	local, _ := partition(known, func(n Node) bool { return n.Domain == s.domain })
	if len(local) > 0 && !s.domainOverloaded(now, service) {
		return local
	}
	return known
}

// byDomain returns the nodes of the own failure domain. If a node of that domain was asked already,
// it returns those of the domains of which no node was asked. If these have none, it returns all.
func (s *Selector) byDomain(nodes []Node, asked []string) []Node {
	askedDomains := map[string]bool{}
	for _, n := range s.nodes {
		if slices.Contains(asked, n.Name) {
			askedDomains[n.Domain] = true
		}
	}
	preferred, _ := partition(nodes, func(n Node) bool {
		if askedDomains[s.domain] {
			return !askedDomains[n.Domain]
		}
		return n.Domain == s.domain
	})
	if len(preferred) == 0 {
		return nodes
	}
	return preferred
}

// domainOverloaded reports whether more than half of the nodes of the own failure domain can't
// serve. The others would get the requests of all of them.
func (s *Selector) domainOverloaded(now time.Time, service string) bool {
	all, declined := 0, 0
	for _, n := range s.nodes {
		if n.Domain != s.domain {
			continue
		}
		all++
		if s.declinedLately(now, n.Name, service) {
			declined++
		}
	}
	return 2*declined > all
}

// declinedLately reports whether a node has said within declinedTTL that it can't serve a service.
func (s *Selector) declinedLately(now time.Time, node, service string) bool {
	at := s.pauses[pauseKey{node, service}].declinedAt
	return !at.IsZero() && now.Sub(at) < declinedTTL
}

// CountServing returns the number of nodes that are known to serve a service.
func (s *Selector) CountServing(now time.Time, service string) int {
	known, _ := partition(s.nodes, func(n Node) bool { return s.serves(now, n.Name, service) })
	return len(known)
}

// serves reports whether a node is known to serve a service.
func (s *Selector) serves(now time.Time, node, service string) bool {
	known, ok := s.serving[pauseKey{node, service}]
	return ok && now.Sub(known.knownAt) < servingTTL
}

// partition returns the nodes that match, and the others.
func partition(nodes []Node, matches func(Node) bool) (matching, others []Node) {
	for _, n := range nodes {
		if matches(n) {
			matching = append(matching, n)
		} else {
			others = append(others, n)
		}
	}
	return matching, others
}

// Serving returns nodes that have lately served requests of this node, MaxNamed at most. A node
// that declines a request names them.
func (s *Selector) Serving(now time.Time, service string) []string {
	var names []string
	for _, n := range s.nodes {
		if at := s.serving[pauseKey{n.Name, service}].servedAt; !at.IsZero() && now.Sub(at) < namedTTL {
			names = append(names, n.Name)
		}
	}
	s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), MaxNamed)]
}

// Named records that another node has named nodes that serve it, so they are left out no longer.
// Nodes that are not listed, or that have declined a moment ago, are passed over.
func (s *Selector) Named(now time.Time, service string, names []string) {
	for _, name := range names[:min(len(names), MaxNamed)] {
		key := pauseKey{name, service}
		listed := slices.ContainsFunc(s.nodes, func(n Node) bool { return n.Name == name })
		if !listed || now.Sub(s.pauses[key].declinedAt) < minPause {
			continue
		}
		delete(s.pauses, key)
		s.serving[key] = serving{servedAt: s.serving[key].servedAt, knownAt: now}
	}
}

// ForwardsItself records that a node forwards requests for a service, so others are asked before it.
func (s *Selector) ForwardsItself(now time.Time, service, node string) {
	s.recordDecline(now, pauseKey{node, service})
}

// lessUsed returns the one of two random candidates that has fewer requests of this node.
func (s *Selector) lessUsed(candidates []Node) Node {
	first := candidates[s.random.IntN(len(candidates))]
	second := candidates[s.random.IntN(len(candidates))]
	if s.inFlight[second.Name] < s.inFlight[first.Name] {
		return second
	}
	return first
}

func (s *Selector) paused(now time.Time, node, service string) bool {
	return now.Before(s.pauses[pauseKey{node, service}].until)
}

// Finish releases a chosen node and records how it handled the request.
func (s *Selector) Finish(now time.Time, service, node string, r Result) {
	if s.inFlight[node]--; s.inFlight[node] <= 0 {
		delete(s.inFlight, node)
	}
	switch r {
	case Served:
		delete(s.pauses, pauseKey{node, service})
		delete(s.pauses, pauseKey{node, ""})
		s.serving[pauseKey{node, service}] = serving{servedAt: now, knownAt: now}
	case NoCapacity:
		s.pauses[pauseKey{node, service}] = pause{until: now.Add(capacityPause)}
	case CannotServe:
		s.extendPause(now, pauseKey{node, service})
		s.recordDecline(now, pauseKey{node, service})
	case NoAnswer:
		s.extendPause(now, pauseKey{node, ""})
		maps.DeleteFunc(s.serving, func(key pauseKey, _ serving) bool { return key.node == node })
	}
}

// recordDecline records that a node can't serve a service.
func (s *Selector) recordDecline(now time.Time, key pauseKey) {
	last := s.pauses[key]
	last.declinedAt = now
	s.pauses[key] = last
	delete(s.serving, key)
}

// extendPause doubles the pause of a node. Failures of requests that were sent before the pause
// began don't extend it.
func (s *Selector) extendPause(now time.Time, key pauseKey) {
	last := s.pauses[key]
	if now.Before(last.until) {
		return
	}
	length := max(minPause, min(maxPause, 2*last.length))
	s.pauses[key] = pause{until: now.Add(length), length: length}
}
