package site

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/readers"
	"github.com/cicadatack/cicadatack/fleet/bookings"
	"github.com/cicadatack/cicadatack/fleet/bookings/bookingspb"
	"github.com/cicadatack/cicadatack/keep/wait"
)

// peersDoor serves the other nodes of the failure domain.
func (n *Node) peersDoor() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(bookingspb.BookingsPathPrefix, n.bookings.Handler())
	mux.Handle("/", n.copy.Handler())
	return mux
}

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
		for _, model := range n.services.allModels() {
			model.SetOthers(held)
		}
	}
}

func (n *Node) exchangeBookings(ctx context.Context) error {
	var hubs []bookings.Peer
	may := readers.Of(n.settings.Domain, n.members.readers())
	for _, m := range readers.Peers(n.settings.Node, int(n.seed%readers.PerDomain), may) {
		hubs = append(hubs, bookings.Peer{Name: m.Name, Address: m.Address})
	}
	if n.reads() {
		return n.bookings.AsHub(ctx, hubs)
	}
	return n.bookings.AsLeaf(ctx, hubs)
}

// booked is what this node has booked on all models' replicas.
func (s *services) booked() map[string]float64 {
	all := map[string]float64{}
	for _, model := range s.allModels() {
		maps.Copy(all, model.Booked())
	}
	return all
}
