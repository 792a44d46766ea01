package site

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/decide/peerreports"
	"github.com/cicadatack/cicadatack/decide/storereaders"
	"github.com/cicadatack/cicadatack/fleet/bookings"
	"github.com/cicadatack/cicadatack/fleet/bookings/bookingspb"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/state/wait"
)

// peersDoor serves the other nodes: exchanges within the failure domain, and requests that nodes
// of any domain forward.
func (n *Node) peersDoor() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(bookingspb.BookingsPathPrefix, n.bookings.Handler())
	mux.Handle("/", n.copy.Handler())
	exchanges := http.MaxBytesHandler(mux, maxMessageBytes)
	forwarded := n.counted(n.door.ForwardedHandler())
	// A mux would redirect paths that it does not find clean; requests are passed on as they are.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, relay.ForwardPath+"/") {
			forwarded.ServeHTTP(w, r)
			return
		}
		exchanges.ServeHTTP(w, r)
	})
}

// maxMessageBytes bounds a message of another node: some times what bookings on 10,000 replicas and
// evidence of crashes take.
const maxMessageBytes = 4 << 20

// shareEvery is between two exchanges of bookings: about the time in which a node of
// today's fleets is sent one request, so that little is booked unseen.
const shareEvery = 300 * time.Millisecond

// shareBookings exchanges bookings with the other nodes until the context ends. Those
// that read the store for the failure domain are the hubs.
func (n *Node) shareBookings(ctx context.Context) {
	if !n.peerDoor.IsValid() {
		return
	}
	for wait.For(ctx, shareEvery) {
		if err := n.exchangeBookings(ctx); err != nil && ctx.Err() == nil {
			n.log.Debug("bookings not exchanged", "error", err)
		}
		held := n.bookings.Others()
		claims, dropped := n.bookings.Claims()
		if dropped > 0 {
			n.log.Warn("claims on replicas passed over", "claims", dropped)
		}
		n.loans.report()
		for service, model := range n.services.allModels() {
			model.SetPeerReservations(held)
			n.heed(ctx, service, model, claims)
			n.tellAway(service, model.BackedOff())
		}
		n.shareLoads()
	}
}

func (n *Node) exchangeBookings(ctx context.Context) error {
	var hubs []bookings.Peer
	may := storereaders.ForDomain(n.settings.Domain, n.members.readers())
	for _, m := range storereaders.CallableFrom(n.settings.Node, int(n.seed%storereaders.PerDomain), may) {
		hubs = append(hubs, bookings.Peer{Name: m.Name, Address: m.Address})
	}
	if n.reads() {
		return n.bookings.AsHub(ctx, hubs)
	}
	return n.bookings.AsLeaf(ctx, hubs)
}

// heed does what is to be done about what other nodes have seen of a model's replicas.
func (n *Node) heed(ctx context.Context, service string, model *targets.ModelTargets, claims []peerreports.Observation) {
	near, _ := n.peers(n.settings.Domain)
	verdict := model.Evaluate(n.settings.Node, near, claims)
	for _, c := range verdict.Accept {
		if c.Unreachable {
			n.log.Info("replica out of reach of other nodes", "service", service, "replica", c.Replica, "nodes", c.Observers, "age_ms", c.Age.Milliseconds())
		}
	}
	for _, c := range verdict.Verify {
		go n.lookAt(ctx, service, model, c)
	}
}

// tellAway logs which replicas turn requests away that did not before, and which no longer
// do.
func (n *Node) tellAway(service string, ids []string) {
	known := n.away[service]
	n.away[service] = ids
	for _, id := range ids {
		if !slices.Contains(known, id) {
			n.log.Info("replica turns requests away", "service", service, "replica", id)
		}
	}
	for _, id := range known {
		if !slices.Contains(ids, id) {
			n.log.Info("replica is used again", "service", service, "replica", id)
		}
	}
}

// lookAt finds out for itself what another node has seen.
func (n *Node) lookAt(ctx context.Context, service string, model *targets.ModelTargets, c peerreports.Observation) {
	r, ok := model.Replica(c.Replica)
	if !ok {
		return // it is no longer listed
	}
	if c.Unreachable {
		lost := n.prober.FindUnreachable(ctx, connprobe.ReasonPeerReport, []string{r.Address})
		if len(lost) == 0 && ctx.Err() == nil {
			model.MarkAlive(r.ID)
		}
		for _, loss := range lost {
			if model.SuspectOnReport(r.ID, loss.HostUnreachable) {
				n.log.Info("replica out of reach", "service", service, "replica", r.ID, "address", r.Address, "silent", loss.HostUnreachable, "told_by", c.Observers)
			}
		}
		return
	}
	account, _, err := n.reports.Get(ctx, r.Address, r.ID)
	if err != nil {
		return // the next claim, or a request that meets it, tells
	}
	if model.SetSlowdown(r.ID, account.Slowdown) {
		n.log.Info("replica's pace", "service", service, "replica", r.ID, "domain", r.Domain, "pace", account.Slowdown, "told_by", c.Observers)
	}
}

// seen is what this node has seen of all models' replicas. Of a service that it does not reach at
// all it does not say that replicas accept no connection: that is evidence about its own links.
func (s *services) seen() []peerreports.Observation {
	var all []peerreports.Observation
	for service, model := range s.allModels() {
		list := model.Observations()
		if s.node.reach.CutOff(service) {
			list = slices.DeleteFunc(list, func(o peerreports.Observation) bool { return o.Unreachable })
		}
		all = append(all, list...)
	}
	return all
}

// booked is what this node has booked on all models' replicas.
func (s *services) booked() map[string]float64 {
	all := map[string]float64{}
	for _, model := range s.allModels() {
		maps.Copy(all, model.Reserved())
	}
	return all
}
