package server

import (
	"cmp"
	"hash/fnv"
	"net"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/forwarding"
	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/fleet/membership"
	"github.com/cicadatack/cicadatack/route/callforward"
	"github.com/cicadatack/cicadatack/route/catchup"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/forwarder"
	"github.com/cicadatack/cicadatack/route/reachability"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/httpanswer"
)

// buildForwarding builds what finds out that this node reaches no endpoint of a service, and
// chooses the nodes that serve its calls then.
func (s *Server) buildForwarding() {
	name := fnv.New64a()
	_, _ = name.Write([]byte(s.settings.Name)) // a hash takes any write
	seed := name.Sum64()
	s.reach = reachability.New(seed, s.log)
	s.pool.OnDial = s.reach.ObserveDial
	s.prober = connprobe.New(s.pool, time.Now)
	s.forwarder = forwarder.New(s.settings.Name, s.settings.FailureDomain, seed, s.reach, time.Now)
}

// forwardDialTimeout is a hundred round trips between failure domains of a region.
const forwardDialTimeout = 300 * time.Millisecond

// forwardKeepAlive finds within five seconds that the VM of a node which serves a call is gone. An
// answer can be silent for longer than that, so only probes tell. No TCP_USER_TIMEOUT is set: it
// would end the probes early.
var forwardKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// newCallForwarder returns what forwards calls over connections like those of the exchange between
// nodes, with certificates on both sides where the settings name them.
func (s *Server) newCallForwarder(peers fleet.Config) *callforward.Server {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: forwardDialTimeout, KeepAliveConfig: forwardKeepAlive}).DialContext,
		// A transport that reuses connections may send a call again when one breaks.
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	if s.peerFiles != nil {
		transport.TLSClientConfig = s.peerFiles.MutualClient()
	}
	return &callforward.Server{
		Forwarder: s.forwarder, Transport: httpanswer.Checked(transport, s.pool.OnFault), Scheme: cmp.Or(peers.Scheme, "http"),
		Revisions: catchup.New(s.revision, s.fleet.Refresh, s.metrics.CatchUp),
		Recorder:  s.decisions, Metrics: s.metrics, Now: time.Now,
	}
}

// peersHandler serves the exchange between nodes and the calls that other nodes forward.
func (s *Server) peersHandler() http.Handler {
	exchange, forwarded := s.fleet.Handler(), callforward.Handler(s.closeWhenDraining(s.front.Handler()))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if callforward.IsForwarded(r.URL.Path) {
			forwarded.ServeHTTP(w, r)
			return
		}
		exchange.ServeHTTP(w, r)
	})
}

// followForwarding tells the forwarder which nodes there are, and sets the figures of services out
// of reach.
func (s *Server) followForwarding() {
	var nodes []forwarding.Node
	for _, m := range s.fleet.Members() {
		if s.fleet.SameSlot(m) && m.State == membership.Live {
			nodes = append(nodes, forwarding.Node{Name: m.Name, Domain: m.FailureDomain, Address: m.Address})
		}
	}
	s.forwarder.SetNodes(nodes)
	for _, each := range s.registry.All() {
		s.metrics.CutOff(each.Name, s.reach.CutOff(each.Name))
	}
}

// endpointAddresses returns the addresses of the services' endpoints, by service and endpoint.
func endpointAddresses(d *docindex.Index) map[string]map[string]string {
	services := map[string]map[string]string{}
	for i := range d.Document.Services {
		spec := &d.Document.Services[i]
		addresses := map[string]string{}
		for _, name := range callEndpointsOf(spec) {
			if e, ok := d.Endpoint(name); ok {
				addresses[name] = e.Address
			}
		}
		services[spec.Name] = addresses
	}
	return services
}

// callEndpointsOf returns the endpoints that calls of a service are sent to: those of a plain service,
// and the first ones of a model's chains.
func callEndpointsOf(spec *document.Service) []string {
	if spec.Kind != document.KindModel {
		return spec.Plain.Endpoints
	}
	var names []string
	for _, r := range spec.Model.Replicas {
		names = append(names, r.Stages[0].Endpoint)
	}
	return names
}
