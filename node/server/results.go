package server

import (
	"context"
	"time"
)

const (
	// settleInterval is between two tries to write results of orders that the
	// store did not take. One try costs the store at most a read and a write for
	// each of the ledger's shards that owes something, and nothing if none does.
	settleInterval = time.Second
	// settleTimeout bounds one try, and the last one of a node that leaves: a
	// store that is down must not keep it for good.
	settleTimeout = 5 * time.Second
)

// settleLoop writes the results of orders that the store did not take when they
// came. Without it they would wait for the next order that falls into the same
// shard, and a caller who asks again at another node would be told that the
// order is in doubt, long after the store is back.
func (s *Server) settleLoop(ctx context.Context) {
	every(ctx, settleInterval, func() { s.settle(ctx) })
}

// settle returns how many results are still owed to the store.
func (s *Server) settle(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return s.orders.Flush(ctx)
}

// settleLast writes what is owed before the node ends, as it goes with the
// node's memory.
func (s *Server) settleLast() {
	if owed := s.settle(context.Background()); owed > 0 {
		s.log.Error("results of orders not kept, their callers will be told that they are in doubt", "orders", owed)
	}
}
