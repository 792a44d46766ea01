package bookings

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadatack/cicadatack/decide/endpointrate"
	"github.com/cicadatack/cicadatack/decide/loadshed"
	"github.com/cicadatack/cicadatack/decide/peerreports"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/decide/retryloans"
	"github.com/cicadatack/cicadatack/fleet/bookings/bookingspb"
)

// rates are the rate limits of one replica, decided as a node decides them.
type rates struct{ *endpointrate.Limiter }

func (r rates) Statements() []endpointrate.Statement { return r.Limiter.Statements(time.Now()) }

func (r rates) Observe(list []endpointrate.Statement) {
	for _, s := range list {
		r.Limiter.Observe(time.Now(), s)
	}
}

// ledgerOf lends the retries of one service.
type ledgerOf struct{ *retryloans.Ledger }

func (l ledgerOf) Ask(hub string, asHub bool) (retryloans.Message, retryloans.Ask) {
	return l.Ledger.Ask(time.Now(), hub, asHub)
}

func (l ledgerOf) Receive(ask retryloans.Ask, reply retryloans.Message) {
	l.Ledger.Receive(time.Now(), ask, reply)
}

func (l ledgerOf) Reply(node string, nodeIsHub bool, ask retryloans.Message) retryloans.Message {
	return l.Ledger.Reply(time.Now(), node, nodeIsHub, ask)
}

// emptyBudget has spent its retries.
type emptyBudget struct{}

func (emptyBudget) Balance(time.Time) retry.Balance      { return retry.Balance{Waiting: 3} }
func (emptyBudget) Withdraw(time.Time, float64) float64  { return 0 }
func (emptyBudget) Credit(time.Time, float64, time.Time) {}

// oddExchanges are messages that no node writes.
func oddExchanges() []*bookingspb.ExchangeRequest {
	inf, nan := float32(math.Inf(1)), float32(math.NaN())
	var list []*bookingspb.ExchangeRequest
	for _, f := range []float32{1, -1, math.MaxFloat32, inf, -inf, nan} {
		for _, n := range []int32{1, -1, math.MaxInt32, math.MinInt32} {
			list = append(list, &bookingspb.ExchangeRequest{
				Node: "odd", Hub: n > 0,
				Held:   &bookingspb.Held{Nodes: n, Replicas: []string{"r", "r", "s"}, Amounts: []float32{f, f}},
				Claims: []*bookingspb.Claim{{Replica: "r", Pace: f, AgeMillis: n, Nodes: n}, {Replica: "r", Lost: true, Pace: f, Nodes: n}},
				Limits: []*bookingspb.Limit{{Replica: "r", Limited: true, RequestsPerSecond: float64(f), AgeMillis: max(0, n)}, {Replica: "r", AgeMillis: n}},
				Loads: []*bookingspb.ServiceLoad{{
					Service: "llm", Nodes: n, AwaitingFirstEvent: f, FirstEvents: f, AwaitingAge: f,
					Classes: []*bookingspb.ClassLoad{{Priority: n, Arrivals: f, Deferred: f, Teams: f}},
				}},
				Loans: []*bookingspb.RetryLoan{{Service: "llm", Deposit: f, Wanted: f, Granted: f}},
			})
		}
	}
	return list
}

func FuzzExchange(f *testing.F) {
	for _, odd := range oddExchanges() {
		data, err := proto.Marshal(odd)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var request bookingspb.ExchangeRequest
		if err := proto.Unmarshal(data, &request); err != nil {
			return
		}
		limiter := endpointrate.New(endpointrate.Node{Name: "own"}, 1)
		limiter.SetReplicas(map[string]string{"r": "bogor"})
		e := New("own", time.Now, func() map[string]float64 { return map[string]float64{"r": 1} },
			func() []peerreports.Observation { return nil }, rates{limiter})
		e.SetLoads(func() map[string]loadshed.Totals { return map[string]loadshed.Totals{"llm": {Nodes: 1, Awaiting: 1}} })
		ledger := retryloans.New(rand.Uint64())
		ledger.SetBudgets(map[string]retryloans.Budget{"llm": emptyBudget{}})
		e.SetRetryLoans(ledgerOf{ledger})
		for range 2 {
			answer, err := server{e}.Exchange(context.Background(), &request)
			if err != nil {
				t.Fatal(err)
			}
			e.take(Peer{Name: "hub"}, answer, false)
			e.take(Peer{Name: "odd"}, &bookingspb.ExchangeResponse{
				Held: request.Held, Claims: request.Claims, Limits: request.Limits, Loads: request.Loads, Loans: request.Loans,
			}, true)
		}
		checkHeld(t, e)
		checkLoads(t, e)
		claims, _ := e.Claims()
		for _, c := range claims {
			if c.Age < 0 || c.Age > time.Hour || c.Observers < 1 {
				t.Errorf("claim %+v", c)
			}
		}
		if at := limiter.NextSendAt(time.Now(), "r"); time.Until(at) > 24*time.Hour {
			t.Errorf("nothing may be sent until %v", at)
		}
	})
}

func checkHeld(t *testing.T, e *Exchange) {
	others := e.Others()
	if others.NodeCount < 0 {
		t.Errorf("%d nodes", others.NodeCount)
	}
	for replica, amount := range others.ReservedByReplica {
		if !finite(amount) {
			t.Errorf("%v is booked on %q", amount, replica)
		}
	}
}

func checkLoads(t *testing.T, e *Exchange) {
	for service, load := range e.OtherLoads() {
		if !finite(load.Awaiting) || !finite(load.FirstEvents) || load.AwaitingAge < 0 || load.Nodes < 0 {
			t.Errorf("load of %q: %+v", service, load)
		}
		for class, demand := range load.Classes {
			if class.Priority < 0 || class.Priority > loadshed.MaxPriority || !finite(demand.Arrivals) || !finite(demand.Deferred) || !finite(demand.Teams) {
				t.Errorf("load of %q: %+v %+v", service, class, demand)
			}
		}
	}
}

// finite is false for NaN and for amounts below 0 as well.
func finite(amount float64) bool { return amount >= 0 && !math.IsInf(amount, 0) }
