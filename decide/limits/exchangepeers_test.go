package limits_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/internal/sim"
	"github.com/cicadatack/cicadatack/decide/limits"
)

// largeFleet simulates the homes of a team in a large fleet. Each node makes one exchange
// a second, and only some of these are with another home of the team.
type largeFleet struct {
	homes
	// nextPeer returns the index of the home with which a node makes the exchange of the
	// given index, or -1 if this exchange is not with a home of the team.
	nextPeer func(now time.Time, exchangeIndex, node int) int
}

// roundRobin is the baseline in which nodes exchange whether or not they need loans. A
// node uses one exchange of four for limits. The node has four teams and takes these
// exchanges for one team after the other, so one exchange of 16 is with a home of this
// team.
func roundRobin(n int) func(time.Time, int, int) int {
	const teams, turns = 4, 4
	return func(_ time.Time, exchangeIndex, node int) int {
		exchangeIndex += node
		if exchangeIndex%(teams*turns) != 0 {
			return -1
		}
		return (node + 1 + exchangeIndex/(teams*turns)%(n-1)) % n
	}
}

// onDemand exchanges with the first peer that ExchangePeers returns. Of four exchanges a
// node uses one for limits, two if ExchangePeers returns more than two peers, and three
// if it returns more than nine.
func onDemand(h homes) func(time.Time, int, int) int {
	return func(now time.Time, exchangeIndex, node int) int {
		names := h[node].ExchangePeers(now)
		minPeers := [4]int{3, len(h), 10, 1}[(exchangeIndex+node)%4]
		if len(names) < minPeers {
			return -1
		}
		for peer := range h {
			if name(peer) == names[0] {
				return peer
			}
		}
		return -1
	}
}

// run simulates 300 s in which callers send the given demand to the nodes. run returns
// three values: the part of the limit that was admitted from 120 s to 300 s, the highest
// sum of all homes' rates as a part of the limit, and the number of exchanges per second
// and node.
func (f largeFleet) run(demand func(at float64, node int) float64) (through, highestSum, exchangesPerSecond float64) {
	const step, end, from = 50 * time.Millisecond, 300 * time.Second, 120 * time.Second
	rng := rand.New(rand.NewPCG(3, 4))
	exchanges := 0
	for at := time.Duration(0); at < end; at += step {
		now := sim.Start.Add(at)
		tick := int(at / step)
		for node := range f.homes {
			if (tick+node)%20 == 0 {
				if peer := f.nextPeer(now, tick/20, node); peer >= 0 {
					f.exchange(now, node, peer)
					exchanges++
				}
			}
			for calls := demand(at.Seconds(), node) * step.Seconds() / cost; rng.Float64() < calls; calls-- {
				if f.allow(now, node) && at >= from {
					through += cost
				}
			}
		}
		if tick%20 == 0 {
			sum := 0.0
			for _, h := range f.homes {
				share, _ := h.Share(now, team)
				sum += share.Rate
			}
			highestSum = max(highestSum, sum/limit)
		}
	}
	return through / (end - from).Seconds() / limit, highestSum, float64(exchanges) / end.Seconds() / float64(len(f.homes))
}

// hotDemand distributes 90% of the limit evenly over the hot homes and the other 10% over
// the remaining homes. If movePeriod is not zero, the hot homes change every movePeriod
// seconds.
func hotDemand(n, hotHomes int, movePeriod float64) func(float64, int) float64 {
	return func(at float64, node int) float64 {
		if movePeriod > 0 {
			node = (node + hotHomes*int(at/movePeriod)) % n
		}
		if node < hotHomes {
			return 0.9 * limit / float64(hotHomes)
		}
		return 0.1 * limit / float64(n-hotHomes)
	}
}

// Guards against a team that gets little of its limit when its callers connect to a
// quarter of its homes. With round robin, a node contacts each home so rarely that loans
// expire in between. Callers then get little more than the even shares of the hot homes.
// With ExchangePeers they get nearly all of their demand. The rates of all homes never
// add up to more than the limit.
func TestOnDemandExchangeLetsMoreThrough(t *testing.T) {
	fixedLease := limits.Config{Lease: 20 * time.Second}
	leasePerHome := limits.Config{Lease: 20 * time.Second, LeasePerHome: 1250 * time.Millisecond}
	for _, c := range []struct {
		homes, hotHomes int
		// movePeriod is the time in seconds after which the hot homes change; zero means
		// never.
		movePeriod, minThrough float64
	}{{3, 1, 0, 0.95}, {9, 1, 0, 0.84}, {9, 2, 0, 0.93}, {37, 1, 0, 0.78}, {37, 9, 0, 0.85}, {37, 18, 0, 0.83}, {9, 2, 60, 0}, {37, 9, 60, 0}} {
		roundRobinFleet := largeFleet{homes: newLeasedHomes(c.homes, limit, fixedLease)}
		roundRobinFleet.nextPeer = roundRobin(c.homes)
		onDemandFleet := largeFleet{homes: newLeasedHomes(c.homes, limit, leasePerHome)}
		onDemandFleet.nextPeer = onDemand(onDemandFleet.homes)
		roundRobinThrough, _, roundRobinRequests := roundRobinFleet.run(hotDemand(c.homes, c.hotHomes, c.movePeriod))
		onDemandThrough, highestSum, onDemandRequests := onDemandFleet.run(hotDemand(c.homes, c.hotHomes, c.movePeriod))
		t.Logf("%2d homes, %2d with 90%% of the demand, changing every %v s: round robin lets %.3f through with %.3f requests/s per node; on demand %.3f with %.3f",
			c.homes, c.hotHomes, c.movePeriod, roundRobinThrough, roundRobinRequests, onDemandThrough, onDemandRequests)
		if onDemandThrough < c.minThrough || onDemandThrough < roundRobinThrough {
			t.Errorf("%d homes, %d hot: %.3f of the limit let through, want %.3f", c.homes, c.hotHomes, onDemandThrough, c.minThrough)
		}
		if highestSum > 1+1e-9 {
			t.Errorf("rates add up to %v of the limit", highestSum)
		}
	}
}

// Guards against exchanges that no home needs. A home that has borrowed enough contacts
// only the lenders whose loans it has to renew. When its callers have gone, the home
// contacts these lenders once more to release the loans.
func TestNoExchangeWithoutNeed(t *testing.T) {
	h := newHomes(9, limit)
	at := func(s float64) time.Time { return sim.Start.Add(time.Duration(s * float64(time.Second))) }
	if got := h[0].ExchangePeers(at(0)); len(got) > 0 {
		t.Fatalf("a home without callers exchanges with %v", got)
	}
	h[0].Allow(at(0), team, 0.6*limit) // as an average over 2 s this demand is 0.3 of the limit
	if got := h[0].ExchangePeers(at(0)); len(got) != 8 {
		t.Fatalf("a home that lacks most of its demand exchanges with %v", got)
	}
	for _, lender := range []int{5, 7, 8} {
		h.exchange(at(0), 0, lender)
	}
	if got := h[0].ExchangePeers(at(0)); len(got) > 0 {
		t.Errorf("a home that has borrowed enough exchanges with %v", got)
	}
	if got := h[0].ExchangePeers(at(4.5)); !slices.Equal(got, []string{name(5), name(7), name(8)}) {
		t.Errorf("to renew its loans it exchanges with %v", got)
	}
	for _, lender := range []int{5, 7, 8} {
		h.exchange(at(5.9), 0, lender)
	}
	h[0].Share(at(9), team)
	if share, _ := h[5].Share(at(9), team); share.Lent > 0.05*limit {
		t.Errorf("%v is still lent to a home without callers", share.Lent)
	}
}
