package site

import (
	"github.com/cicadatack/cicadatack/decide/endpointrate"
	"github.com/cicadatack/cicadatack/route/endpointlimits"
)

// senders are the nodes that divide the rate limits of replicas.
func (n *Node) senders() []endpointrate.Node {
	list := n.members.get()
	nodes := make([]endpointrate.Node, 0, len(list))
	for _, m := range list {
		nodes = append(nodes, endpointrate.Node{Name: m.Name, Domain: m.Domain})
	}
	return nodes
}

// allLimits are the rate limits of each service's replicas.
func (s *services) allLimits() map[string]*endpointlimits.Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]*endpointlimits.Limits, len(s.models)+len(s.plain))
	for name, m := range s.models {
		all[name] = m.Limits()
	}
	for name, p := range s.plain {
		all[name] = p.Limits()
	}
	return all
}

// sharedLimits passes rate limits on between the nodes of a failure domain. It implements
// bookings.RateLimits.
type sharedLimits struct{ node *Node }

// Statements implements bookings.RateLimits.
func (s sharedLimits) Statements() []endpointrate.Statement {
	var list []endpointrate.Statement
	for _, limits := range s.node.services.allLimits() {
		list = append(list, limits.Statements()...)
	}
	return list
}

// Observe implements bookings.RateLimits. Each service takes the statements about its own
// replicas.
func (s sharedLimits) Observe(list []endpointrate.Statement) {
	if len(list) == 0 {
		return
	}
	for service, limits := range s.node.services.allLimits() {
		for _, statement := range list {
			if limits.Observe(statement) {
				s.node.log.Info("replica's rate limit", "service", service, "replica", statement.Replica, "limited", statement.Limited,
					"requests_per_second", statement.RequestsPerSecond, "told_by_node", true, "age_ms", statement.Age.Milliseconds())
			}
		}
	}
}

// rateLimits are the limits in force by service and replica, in requests per second.
func (n *Node) rateLimits() map[string]map[string]float64 {
	all := map[string]map[string]float64{}
	for service, limits := range n.services.allLimits() {
		for _, s := range limits.InForce() {
			if all[service] == nil {
				all[service] = map[string]float64{}
			}
			all[service][s.Replica] = s.RequestsPerSecond
		}
	}
	return all
}
