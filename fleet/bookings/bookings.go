// Package bookings lets the nodes of a failure domain tell each other what they have
// booked on replicas, which of these they have seen lost, slow or turning requests away,
// and which rate limits replicas state. It is the driver of decide/reservations and
// decide/peerreports.
package bookings

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/endpointrate"
	"github.com/cicadatack/cicadatack/decide/loadshed"
	"github.com/cicadatack/cicadatack/decide/peerreports"
	"github.com/cicadatack/cicadatack/decide/reservations"
	"github.com/cicadatack/cicadatack/fleet/bookings/bookingspb"
	"github.com/cicadatack/cicadatack/fleet/evidence"
	"github.com/cicadatack/cicadatack/state/httpanswer"
)

// Error is the class of this layer's errors.
var Error = errs.Class("bookings")

// timeout bounds an exchange: some hundred round trips inside a failure domain.
const timeout = 150 * time.Millisecond

// Peer is another node.
type Peer struct{ Name, Address string }

// RateLimits are the rate limits of replicas that a node knows.
type RateLimits interface {
	// Statements returns what replicas have stated lately, with its age.
	Statements() []endpointrate.Statement
	// Observe records what another node passes on.
	Observe(list []endpointrate.Statement)
}

// Exchange tells and hears. Safe for concurrent use.
type Exchange struct {
	name   string
	now    func() time.Time
	own    func() map[string]float64
	seen   func() []peerreports.Observation
	limits RateLimits
	// ownLoads is nil if no loads are reported.
	ownLoads func() map[string]loadshed.Totals
	loans    RetryLoans // nil if no retries are lent
	// crashes is nil if no evidence about crashes is exchanged.
	crashes      evidence.Source
	onCrashError func(error)
	client       *http.Client

	mu       sync.Mutex
	board    reservations.Aggregator
	loads    loadBoard
	evidence peerreports.Aggregator
	dropped  int
	// droppedLoads counts the reports that loadBoard.record dropped.
	droppedLoads int
}

// New returns an Exchange of a node that knows nothing. own says what this node has
// booked now, seen which replicas it has seen lost or slow, limits which rate limits it
// knows.
func New(name string, now func() time.Time, own func() map[string]float64, seen func() []peerreports.Observation, limits RateLimits) *Exchange {
	return &Exchange{
		name: name, now: now, own: own, seen: seen, limits: limits,
		client: &http.Client{Timeout: timeout, Transport: httpanswer.Checked(&http.Transport{IdleConnTimeout: 30 * time.Second}, nil)},
	}
}

// Handler serves the calls of other nodes.
func (e *Exchange) Handler() http.Handler { return withToken(bookingspb.NewBookingsServer(server{e})) }

// Close ends the connections to other nodes.
func (e *Exchange) Close() { e.client.CloseIdleConnections() }

// Others is what other nodes have booked, as far as it is known.
func (e *Exchange) Others() reservations.Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.board.FromOthers(e.now())
}

// Claims are what other nodes have seen of replicas, and how many claims were passed over
// since the last call as no node would make them.
func (e *Exchange) Claims() (claims []peerreports.Observation, dropped int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	dropped, e.dropped = e.dropped, 0
	return e.evidence.FromOthers(e.now()), dropped
}

// AsHub tells the other hubs of the failure domain what is known here, and hears what
// they know. It fails with the first error; the other hubs are asked all the same.
func (e *Exchange) AsHub(ctx context.Context, hubs []Peer) error {
	var first error
	for _, hub := range hubs {
		own, seen, ownLoads := e.held(), e.seen(), e.localLoads()
		e.mu.Lock()
		local := e.board.HubTotals(e.now(), own)
		claims := e.evidence.ReplyTo(e.now(), seen, hub.Name, true)
		loads := e.loads.reply(e.now(), ownLoads, hub.Name, true)
		e.mu.Unlock()
		answer, err := e.call(ctx, hub, &bookingspb.ExchangeRequest{Hub: true, Held: toWire(local), Claims: claimsToWire(claims), Loads: loads})
		if err != nil {
			if first == nil {
				first = err
			}
			continue
		}
		e.take(hub, answer, false)
	}
	return first
}

// AsLeaf tells one hub what this node has booked and hears what all others have. It
// takes the first of the hubs that answers.
func (e *Exchange) AsLeaf(ctx context.Context, hubs []Peer) error {
	var last error
	for _, hub := range hubs {
		answer, err := e.call(ctx, hub, &bookingspb.ExchangeRequest{
			Held: toWire(e.held()), Claims: claimsToWire(e.seen()), Loads: loadsToWire(e.localLoads()),
		})
		if err == nil {
			e.take(hub, answer, true)
			return nil
		}
		last = err
	}
	return last
}

func (e *Exchange) held() reservations.Totals {
	return reservations.Totals{NodeCount: 1, ReservedByReplica: e.own()}
}

// call adds to a request what is sent to every node, and sends it.
func (e *Exchange) call(ctx context.Context, to Peer, request *bookingspb.ExchangeRequest) (*bookingspb.ExchangeResponse, error) {
	request.Node, request.Limits, request.Evidence = e.name, limitsToWire(e.limits.Statements()), e.ownEvidence()
	ctx, loans, err := e.askLoans(ctx, to, request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	peer := bookingspb.NewBookingsProtobufClient("http://"+to.Address, loans)
	answer, err := peer.Exchange(ctx, request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	loans.receive(answer)
	e.limits.Observe(limitsFromWire(answer.GetLimits()))
	e.mergeEvidence(to.Name, answer.GetEvidence())
	return answer, nil
}

func (e *Exchange) take(from Peer, answer *bookingspb.ExchangeResponse, alone bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if alone {
		e.board.KeepOnlyFrom(from.Name)
		e.evidence.KeepOnlyFrom(from.Name)
		e.loads.keepOnlyFrom(from.Name)
	}
	e.board.Record(e.now(), from.Name, true, fromWire(answer.GetHeld()))
	e.dropped += e.evidence.Record(e.now(), from.Name, true, claimsFromWire(answer.GetClaims()))
	e.droppedLoads += e.loads.record(e.now(), from.Name, true, answer.GetLoads())
}

// server answers other nodes.
type server struct{ e *Exchange }

// Exchange implements bookingspb.Bookings.
func (s server) Exchange(ctx context.Context, request *bookingspb.ExchangeRequest) (*bookingspb.ExchangeResponse, error) {
	e := s.e
	e.limits.Observe(limitsFromWire(request.GetLimits()))
	e.mergeEvidence(request.GetNode(), request.GetEvidence())
	limits := limitsToWire(e.limits.Statements())
	loans, err := e.replyLoans(ctx, request)
	if err != nil {
		return nil, err
	}
	own, seen, ownLoads := e.held(), e.seen(), e.localLoads()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.droppedLoads += e.loads.record(now, request.GetNode(), request.GetHub(), request.GetLoads())
	loads := e.loads.reply(now, ownLoads, request.GetNode(), request.GetHub())
	e.dropped += e.evidence.Record(now, request.GetNode(), request.GetHub(), claimsFromWire(request.GetClaims()))
	e.board.Record(now, request.GetNode(), request.GetHub(), fromWire(request.GetHeld()))
	answer := e.board.ReplyTo(now, own, request.GetNode(), request.GetHub())
	claims := e.evidence.ReplyTo(now, seen, request.GetNode(), request.GetHub())
	return &bookingspb.ExchangeResponse{Held: toWire(answer), Claims: claimsToWire(claims), Limits: limits, Loads: loads, Loans: loans, Evidence: e.ownEvidence()}, nil
}

func claimsToWire(claims []peerreports.Observation) []*bookingspb.Claim {
	wire := make([]*bookingspb.Claim, 0, len(claims))
	for _, c := range claims {
		wire = append(wire, &bookingspb.Claim{
			Replica: c.Replica, Lost: c.Unreachable, TurnsAway: c.Refusing, Reached: c.Reached, Pace: float32(c.Slowdown),
			AgeMillis: int32(c.Age.Milliseconds()), Nodes: int32(c.Observers),
		})
	}
	return wire
}

func claimsFromWire(wire []*bookingspb.Claim) []peerreports.Observation {
	claims := make([]peerreports.Observation, 0, len(wire))
	for _, c := range wire {
		claims = append(claims, peerreports.Observation{
			Replica: c.GetReplica(), Unreachable: c.GetLost(), Refusing: c.GetTurnsAway(), Reached: c.GetReached(), Slowdown: float64(c.GetPace()),
			Age: time.Duration(c.GetAgeMillis()) * time.Millisecond, Observers: int(c.GetNodes()),
		})
	}
	return claims
}

// limitsToWire rounds ages up, so that a statement which is passed on again and again still
// grows old.
func limitsToWire(list []endpointrate.Statement) []*bookingspb.Limit {
	wire := make([]*bookingspb.Limit, 0, len(list))
	for _, s := range list {
		wire = append(wire, &bookingspb.Limit{
			Replica: s.Replica, Limited: s.Limited, RequestsPerSecond: s.RequestsPerSecond, AgeMillis: int32(s.Age.Milliseconds()) + 1,
		})
	}
	return wire
}

func limitsFromWire(wire []*bookingspb.Limit) []endpointrate.Statement {
	list := make([]endpointrate.Statement, 0, len(wire))
	for _, l := range wire {
		list = append(list, endpointrate.Statement{
			Replica: l.GetReplica(), Limited: l.GetLimited(), RequestsPerSecond: l.GetRequestsPerSecond(),
			Age: time.Duration(l.GetAgeMillis()) * time.Millisecond,
		})
	}
	return list
}

func toWire(held reservations.Totals) *bookingspb.Held {
	wire := &bookingspb.Held{Nodes: int32(held.NodeCount)}
	for replica, amount := range held.ReservedByReplica {
		wire.Replicas = append(wire.Replicas, replica)
		wire.Amounts = append(wire.Amounts, float32(amount))
	}
	return wire
}

// maxAmount is more than any replica has room for, in tokens times layers.
const maxAmount = 1e15

// fromWire reads what another node told. Of lists of different lengths, which no node
// writes, the part that both have counts.
func fromWire(wire *bookingspb.Held) reservations.Totals {
	held := reservations.Totals{NodeCount: int(max(0, wire.GetNodes())), ReservedByReplica: map[string]float64{}}
	amounts := wire.GetAmounts()
	for i, replica := range wire.GetReplicas() {
		if i < len(amounts) && amounts[i] > 0 && amounts[i] <= maxAmount {
			held.ReservedByReplica[replica] += float64(amounts[i])
		}
	}
	return held
}
