package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cicadatack/cicadatack/fleet/exchange"
)

const (
	// orderConnections to one peer are kept: as many batches as a node has
	// underway for a team's four shards.
	orderConnections = 32
	// orderIdle closes those that were for a burst.
	orderIdle = 10 * time.Second
)

// OrderServer does operations of the order ledger for a peer. It is called by
// several goroutines.
type OrderServer interface {
	Orders(ctx context.Context, request *exchange.OrdersRequest) (*exchange.OrdersResponse, error)
}

// noOrders is a node that keeps no ledger.
type noOrders struct{}

func (noOrders) Orders(context.Context, *exchange.OrdersRequest) (*exchange.OrdersResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "this node keeps no order ledger")
}

// ordersTransport is the peers' transport with more connections to each.
func ordersTransport(peers http.RoundTripper) http.RoundTripper {
	t, ok := peers.(*http.Transport)
	if !ok {
		return peers
	}
	t = t.Clone()
	t.MaxIdleConnsPerHost = orderConnections
	t.IdleConnTimeout = orderIdle
	return t
}

// Orders has a peer do operations of the order ledger. After an error they may
// have been done all the same.
func (f *Fleet) Orders(ctx context.Context, peer string, request *exchange.OrdersRequest) (*exchange.OrdersResponse, error) {
	to, known := f.lookup(peer)
	if !known {
		return nil, Error.Wrap(fmt.Errorf("%w: %s", ErrNoPeer, peer))
	}
	answer, err := f.newPeer(to, f.orders).Orders(ctx, request)
	return answer, Error.Wrap(err)
}

// Orders implements exchange.Peer. It is served without regard to membership:
// what keeps an order from being placed twice does not rest on who asks.
func (s peerServer) Orders(ctx context.Context, request *exchange.OrdersRequest) (*exchange.OrdersResponse, error) {
	if s.f.running.Err() != nil {
		return nil, twirp.NewError(twirp.Unavailable, "this node has stopped")
	}
	return s.f.cfg.Orders.Orders(ctx, request)
}
