package server

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cicadatack/cicadatack/decide/shardowner"
	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/fleet/exchange"
	"github.com/cicadatack/cicadatack/fleet/membership"
	"github.com/cicadatack/cicadatack/state/ledger"
)

// orderPeers carries the ledger's operations to the nodes that write its shards
// and does those that peers send here.
type orderPeers struct {
	server *Server

	mu     sync.Mutex
	owners *shardowner.Picker
	// stamp is of the members that owners was last given; so many were live, and
	// this node owned so many shards.
	stamp        *fleet.Member
	live, shards int
}

func newOrderPeers(s *Server) *orderPeers {
	return &orderPeers{server: s, owners: shardowner.New()}
}

// Owner implements ledger.Peers.
func (p *orderPeers) Owner(shard int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followLive()
	picked := p.owners.Pick(time.Now(), shardowner.ShardName(shard))
	if picked == p.server.settings.Name {
		return ""
	}
	return picked
}

// liveMembers are the nodes of this slot that serve and have been heard lately.
func (s *Server) liveMembers() []string {
	var live []string
	for _, m := range s.fleet.Members() {
		if m.State == membership.Live && s.fleet.SameSlot(m) {
			live = append(live, m.Name)
		}
	}
	return live
}

// Routed implements ledger.Peers.
func (p *orderPeers) Routed(way ledger.Way) { p.server.metrics.OrderOperation(string(way)) }

// Forward implements ledger.Peers.
func (p *orderPeers) Forward(ctx context.Context, node string, shard int, operations []ledger.Operation) ([]ledger.Reply, error) {
	answer, err := p.server.fleet.Orders(ctx, node, &exchange.OrdersRequest{
		Environment: p.server.settings.Environment,
		Shard:       int32(shard),
		Operations:  operationsToWire(operations),
	})
	if err != nil {
		p.failed(node, err)
		return nil, Error.Wrap(err)
	}
	replies := repliesFromWire(answer.GetReplies())
	// A node that did nothing is not back yet, though it answers.
	if slices.ContainsFunc(replies, func(r ledger.Reply) bool { return !r.Untouched }) {
		p.answered(node)
	}
	return replies, nil
}

// Refused implements ledger.Peers. A node that alone is cut off from the store
// refuses what it is asked for; were it asked on and on, all others would write
// its shards side by side, and most of their writes would lose to each other.
// Left out like a silent one, it has the next in rank take its shards. That it
// alone is cut off is no more than a hint; who is wrong asks another node.
func (p *orderPeers) Refused(node string) { p.failed(node, errRefused) }

var errRefused = errors.New("it did nothing that it was asked for: its store is out of reach")

func (p *orderPeers) failed(node string, err error) {
	p.mu.Lock()
	pause := p.owners.RecordFailure(time.Now(), node)
	p.mu.Unlock()
	if pause > 0 {
		p.server.log.Warn("orders not taken by a peer, it is left out", "node", node, "pause", pause, "error", err)
	}
}

func (p *orderPeers) answered(node string) {
	p.mu.Lock()
	back := p.owners.RecordAnswer(node)
	p.mu.Unlock()
	if back {
		p.server.log.Info("orders taken by a peer again", "node", node)
	}
}

// Orders implements fleet.OrderServer.
func (p *orderPeers) Orders(ctx context.Context, request *exchange.OrdersRequest) (*exchange.OrdersResponse, error) {
	// A claim in another environment's ledger would not keep the sender's from
	// being claimed again in its own, and the order would be placed twice.
	if request.GetEnvironment() != p.server.settings.Environment {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this node serves another environment")
	}
	replies, err := p.server.orders.Serve(ctx, int(request.GetShard()), operationsFromWire(request.GetOperations()))
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	return &exchange.OrdersResponse{Replies: repliesToWire(replies)}, nil
}

func operationsToWire(operations []ledger.Operation) []*exchange.OrderOperation {
	wire := make([]*exchange.OrderOperation, 0, len(operations))
	for _, o := range operations {
		wire = append(wire, &exchange.OrderOperation{
			Kind:        exchange.OrderOperation_Kind(o.Kind),
			Id:          o.ID,
			Fingerprint: o.Fingerprint,
			Attempt:     o.Attempt,
			Claimed:     o.ClaimedMs,
			Until:       o.UntilMs,
			Result:      resultToWire(o.Result),
		})
	}
	return wire
}

func operationsFromWire(wire []*exchange.OrderOperation) []ledger.Operation {
	operations := make([]ledger.Operation, 0, len(wire))
	for _, o := range wire {
		operations = append(operations, ledger.Operation{
			Kind:        ledger.Kind(o.GetKind()),
			ID:          o.GetId(),
			Fingerprint: o.GetFingerprint(),
			Attempt:     o.GetAttempt(),
			ClaimedMs:   o.GetClaimed(),
			UntilMs:     o.GetUntil(),
			Result:      resultFromWire(o.GetResult()),
		})
	}
	return operations
}

func repliesToWire(replies []ledger.Reply) []*exchange.OrderReply {
	wire := make([]*exchange.OrderReply, 0, len(replies))
	for _, r := range replies {
		wire = append(wire, replyToWire(r))
	}
	return wire
}

func replyToWire(r ledger.Reply) *exchange.OrderReply {
	switch {
	case r.Err == nil:
	case errors.Is(r.Err, ledger.ErrNotHolder):
		return &exchange.OrderReply{Outcome: exchange.OrderReply_NOT_HOLDER}
	case r.Untouched:
		return &exchange.OrderReply{Outcome: exchange.OrderReply_UNTOUCHED, Detail: r.Err.Error()}
	default:
		return &exchange.OrderReply{Outcome: exchange.OrderReply_FAILED, Detail: r.Err.Error()}
	}
	return &exchange.OrderReply{
		Outcome: exchange.OrderReply_DONE,
		State:   int32(r.Claim.State),
		Claimed: r.Claim.ClaimedAt.UnixMilli(),
		Result:  resultToWire(r.Claim.Result),
	}
}

func repliesFromWire(wire []*exchange.OrderReply) []ledger.Reply {
	replies := make([]ledger.Reply, 0, len(wire))
	for _, r := range wire {
		replies = append(replies, replyFromWire(r))
	}
	return replies
}

// replyFromWire takes an outcome that this program does not know for a failure:
// the operation is then done here, whatever became of it there.
func replyFromWire(r *exchange.OrderReply) ledger.Reply {
	switch r.GetOutcome() {
	case exchange.OrderReply_NOT_HOLDER:
		return ledger.Reply{Err: ledger.Error.Wrap(ledger.ErrNotHolder)}
	case exchange.OrderReply_UNTOUCHED:
		return ledger.Reply{Err: ledger.NotDone(r.GetDetail()), Untouched: true}
	case exchange.OrderReply_DONE:
		return ledger.Reply{Claim: ledger.Claim{
			State:     ledger.State(r.GetState()),
			ClaimedAt: time.UnixMilli(r.GetClaimed()),
			Result:    resultFromWire(r.GetResult()),
		}}
	}
	return ledger.Reply{Err: ledger.NotDone(r.GetDetail())}
}

func resultToWire(r *ledger.Result) *exchange.OrderResult {
	if r == nil {
		return nil
	}
	return &exchange.OrderResult{
		Status:      int32(r.Status),
		ContentType: r.ContentType,
		Body:        r.Body,
		Truncated:   r.Truncated,
	}
}

func resultFromWire(r *exchange.OrderResult) *ledger.Result {
	if r == nil {
		return nil
	}
	return &ledger.Result{
		Status:      int(r.GetStatus()),
		ContentType: r.GetContentType(),
		Body:        r.GetBody(),
		Truncated:   r.GetTruncated(),
	}
}
