package site

import (
	"net/http"
	"net/netip"
)

// results of a store call, for metrics.
const (
	callDone   = "done"
	callFailed = "failed"
)

func resultOf(err error) string {
	if err != nil {
		return callFailed
	}
	return callDone
}

// gauge brings the figures of state up to date; it is called after each read of the
// store.
func (n *Node) gauge() {
	n.metrics.ProofAge(n.Age())
	if rules := n.rules.Load(); rules != nil {
		n.metrics.Version(rules.Version)
	}
	n.metrics.Underway(n.underway.Load())
	n.metrics.Connections(n.pool.Open())
	n.metrics.Members("live", len(n.members.get()))
	n.gaugeReplicas()
	for service, model := range n.services.allModels() {
		waiting, underway := model.Waiting()
		n.metrics.Queue(service, waiting, underway)
		for domain, used := range model.Used() {
			n.metrics.Room(service, domain, used)
		}
	}
}

// replicaStates are those that replicas are counted in.
var replicaStates = []string{"ready", "draining", "empty"}

// countReplicas counts the replicas of each service by state.
func (n *Node) countReplicas() map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, service := range n.serviceNames() {
		counts[service] = map[string]int{}
	}
	for _, r := range n.replicas() {
		state := "ready"
		switch {
		case r.Draining:
			state = "draining"
		case r.Kind != "" && r.Holds.Empty():
			state = "empty"
		}
		if counts[r.Service] != nil {
			counts[r.Service][state]++
		}
	}
	return counts
}

func (n *Node) gaugeReplicas() {
	for service, counts := range n.countReplicas() {
		for _, state := range replicaStates {
			n.metrics.Replicas(service, state, counts[state])
		}
	}
}

func (n *Node) serviceNames() []string {
	var names []string
	if rules := n.rules.Load(); rules != nil {
		for _, s := range rules.Services() {
			names = append(names, s.Name)
		}
	}
	return names
}

// metricsAddress is where the figures are served beside the operators' door, for
// collectors that know a port only; not valid if there is none.
func (n *Node) metricsAddress() netip.AddrPort {
	if n.MetricsPort == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(n.settings.IP, n.MetricsPort)
}

func (n *Node) metricsDoor() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", n.metrics.Handler())
	return mux
}
