package site

import (
	"net/http"
	"net/netip"

	"github.com/cicadatack/cicadatack/route/roster"
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
	n.gaugeReplicas(n.replicas())
	for service, model := range n.services.allModels() {
		waiting, underway := model.Waiting()
		n.metrics.Queue(service, waiting, underway)
		for domain, used := range model.Used() {
			n.metrics.Room(service, domain, used)
		}
	}
}

func (n *Node) gaugeReplicas(list []*roster.Replica) {
	type kind struct{ service, state string }
	counts := map[kind]int{}
	for _, r := range list {
		state := "ready"
		switch {
		case r.Draining:
			state = "draining"
		case r.Kind != "" && r.Holds.Empty():
			state = "empty"
		}
		counts[kind{r.Service, state}]++
	}
	for _, service := range n.serviceNames() {
		for _, state := range []string{"ready", "draining", "empty"} {
			n.metrics.Replicas(service, state, counts[kind{service, state}])
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
