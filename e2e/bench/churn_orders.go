package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/standin/plain"
)

const (
	churnOrders = 8
	// orderPatience is how long a caller tries to place one order.
	orderPatience = 20 * time.Second
	// orderUnderway is what nodes tell a caller to wait for an order underway.
	orderUnderway = time.Second
	// orderAgain is a caller's pause after a refusal.
	orderAgain = 100 * time.Millisecond
)

// churnOrder is one order and what its caller was told in the end.
type churnOrder struct {
	began time.Time
	fate  orderFate
}

// orderFate is what a caller was told of an order in the end.
type orderFate string

const (
	orderPlaced  orderFate = "placed"
	orderInDoubt orderFate = "in doubt"
	orderGivenUp orderFate = "not placed in time"
)

func (c *churnCallers) placeOrders(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("churn-%d-%d", caller, n)
		made := churnOrder{began: time.Now()}
		made.fate = c.place(context.WithoutCancel(ctx), caller, key)
		c.mu.Lock()
		c.orders[key] = made
		c.mu.Unlock()
	}
}

// place tries one order under one key, at other nodes too, until it is placed
// or told as in doubt.
func (c *churnCallers) place(ctx context.Context, team int, key string) orderFate {
	broken := map[string]bool{}
	for began := time.Now(); time.Since(began) < orderPatience; {
		address := c.book.pickOther(team, broken)
		reply := c.order(ctx, address, team, key)
		switch {
		case reply.status == http.StatusCreated:
			return orderPlaced
		case reply.outcome == outcome.Unknown && !reply.back:
			return orderInDoubt
		case reply.outcome == outcome.Unknown:
			time.Sleep(orderUnderway)
		case reply.status == 0:
			broken[address] = true
		}
		time.Sleep(orderAgain)
	}
	return orderGivenUp
}

func (c *churnCallers) order(ctx context.Context, address string, team int, key string) orderReply {
	ctx, cancel := context.WithTimeout(ctx, churnSilence)
	defer cancel()
	reply, _ := post(ctx, "http://"+address+"/services/stock-ledger/orders", key, teamKey(team))
	return reply
}

// orderCount holds what callers were told against what arrived.
type orderCount struct {
	orders, placed, inDoubt, givenUp int
	// doubtArrived are orders in doubt that had arrived.
	doubtArrived int
	// twice and lost break what must hold.
	twice, lost int
}

// countOrders counts the orders begun in any of the windows against what arrived.
func (c *churnCallers) countOrders(arrived map[string]int, windows []window) orderCount {
	var n orderCount
	for key, made := range c.orders {
		if within(made.began, windows) {
			n.take(made.fate, arrived[key])
		}
	}
	return n
}

func within(at time.Time, windows []window) bool {
	for _, w := range windows {
		if !at.Before(w.from) && at.Before(w.to) {
			return true
		}
	}
	return false
}

// arrivals counts orders by key.
func arrivals(orders []plain.Order) map[string]int {
	times := map[string]int{}
	for _, o := range orders {
		times[o.Key]++
	}
	return times
}

func (n *orderCount) take(fate orderFate, arrived int) {
	n.orders++
	if arrived > 1 {
		n.twice++
	}
	switch fate {
	case orderPlaced:
		n.placed++
		if arrived == 0 {
			n.lost++
		}
	case orderInDoubt:
		n.inDoubt++
		n.doubtArrived += min(arrived, 1)
	default:
		n.givenUp++
	}
}

// ordersTable says what became of the orders begun by each kind of change.
func (c *churn) ordersTable() table {
	arrived := arrivals(c.service.Orders())
	result := table{
		title:   "The same rush: orders that may not be repeated",
		columns: []string{"change", "orders", "placed", "in doubt", "of these arrived", "not placed in time", "arrived twice", "told placed, not arrived"},
		note:    fmt.Sprintf("By when the order was begun, as above. %d callers, each with one order after the other, tried again under its key at another address when a connection breaks or %v pass without an answer, and %v after a refusal, for %v at most.", churnOrders, churnSilence, orderAgain, orderPatience),
	}
	for _, name := range c.kinds() {
		n := c.callers.countOrders(arrived, c.windows(name))
		result.row(name, n.orders, n.placed, n.inDoubt, n.doubtArrived, n.givenUp, n.twice, n.lost)
	}
	return result
}

// verdict is an error if something that must hold did not, for any order or call.
func (c *churn) verdict() error {
	always := []window{{time.Time{}, time.Now()}}
	n := c.callers.countOrders(arrivals(c.service.Orders()), always)
	sum := newCallSum()
	c.callers.sum(always[0].from, always[0].to, sum)
	if sum.wrong > 0 || n.twice > 0 || n.lost > 0 {
		return Error.New("%d answers were wrong, %d orders arrived twice, %d were told placed and had not arrived", sum.wrong, n.twice, n.lost)
	}
	return nil
}
