package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/standin/plain"
)

const (
	// churnPrompts is how many different questions the callers ask, so that
	// another caller's answer would show.
	churnPrompts = 32
	churnOrders  = 8
	// orderPatience is how long a caller tries to place one order.
	orderPatience = 10 * time.Second
	// churnSilence is how long a caller waits for a token, or for the answer to
	// an order, before it tries another address.
	churnSilence = time.Second
	// orderAgain is a caller's pause after a refusal.
	orderAgain = 100 * time.Millisecond
)

// churnCallers ask for answers and place orders, and keep what they received.
type churnCallers struct {
	book entries
	stop context.CancelFunc
	open sync.WaitGroup
	// expected are the digests of whole answers, by prompt.
	expected []uint64

	mu     sync.Mutex
	nodes  []string
	calls  []churnCall
	orders map[string]orderFate
}

// churnCall is what became of one call.
type churnCall struct {
	sent time.Time
	// again counts connections that broke.
	again               int
	whole, refused, bad bool
	first, gap          time.Duration
}

// orderFate is what a caller was told of an order in the end.
type orderFate string

const (
	orderPlaced  orderFate = "placed"
	orderInDoubt orderFate = "in doubt"
	orderGivenUp orderFate = "not placed in time"
)

func newChurnCallers() *churnCallers {
	return &churnCallers{orders: map[string]orderFate{}}
}

// serve says which nodes the callers may ask for addresses.
func (c *churnCallers) serve(nodes []*node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = c.nodes[:0]
	for _, n := range nodes {
		c.nodes = append(c.nodes, n.addresses.Callers)
	}
}

// begin learns the right answers from an engine and lets the callers loose.
func (c *churnCallers) begin(ctx context.Context, engine string) error {
	for i := range churnPrompts {
		a := ask(ctx, churnQuestion(engine, 0, i))
		if !a.whole || a.tokens != overloadTokens {
			return Error.New("the engine's own answer is not whole: status %d, %d tokens", a.status, a.tokens)
		}
		c.expected = append(c.expected, a.digest)
	}
	if err := c.refresh(ctx); err != nil {
		return err
	}
	ctx, c.stop = context.WithCancel(ctx)
	c.open.Go(func() { c.keepEntries(ctx) })
	c.open.Go(func() { c.offer(ctx) })
	for i := range churnOrders {
		c.open.Go(func() { c.placeOrders(ctx, i) })
	}
	return nil
}

// end lets no further call begin and waits for those underway.
func (c *churnCallers) end() {
	c.stop()
	c.open.Wait()
}

// refresh asks the nodes in turn for addresses until one answers.
func (c *churnCallers) refresh(ctx context.Context) error {
	c.mu.Lock()
	nodes := append([]string(nil), c.nodes...)
	c.mu.Unlock()
	var err error
	for _, address := range nodes {
		if err = c.book.ask(ctx, address); err == nil {
			return nil
		}
	}
	return err
}

func (c *churnCallers) keepEntries(ctx context.Context) {
	for every := time.NewTicker(entryRefresh); ; {
		select {
		case <-ctx.Done():
			every.Stop()
			return
		case <-every.C:
			// Without an answer the callers keep the ones that they have.
			_ = c.refresh(ctx)
		}
	}
}

// offer sends calls at random times. Those underway at the end go on.
func (c *churnCallers) offer(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(rand.ExpFloat64() / (churnLoad * churnBound) * float64(time.Second)))
		time.Sleep(time.Until(next))
		c.open.Go(func() { c.call(context.WithoutCancel(ctx)) })
	}
}

func churnQuestion(address string, team, prompt int) question {
	return question{
		address: address,
		key:     teamKey(team),
		model:   "pastry-llm",
		prompt:  fmt.Sprintf("Site %d: how much butter for tomorrow?", prompt),
		tokens:  overloadTokens,
		digest:  true,
	}
}

// call asks until an answer is whole, the call is refused or patience runs out.
func (c *churnCallers) call(ctx context.Context) {
	team, prompt := rand.IntN(teamCount), rand.IntN(churnPrompts)
	made := churnCall{sent: time.Now()}
	broken := map[string]bool{}
	for {
		left := patience - time.Since(made.sent)
		if left <= 0 {
			break
		}
		q := churnQuestion(c.book.pickOther(team, broken), team, prompt)
		q.timeout = left
		q.silence = churnSilence
		tried := time.Now()
		a := ask(ctx, q)
		made.gap = max(made.gap, a.gap)
		if a.status >= http.StatusBadRequest {
			made.refused = true
			break
		}
		if a.whole {
			made.whole = true
			made.bad = a.tokens != overloadTokens || a.digest != c.expected[prompt]
			made.first = tried.Sub(made.sent) + a.firstToken
			break
		}
		made.again++
		broken[q.address] = true
		time.Sleep(tryAgain)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, made)
}

func (c *churnCallers) placeOrders(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("churn-%d-%d", caller, n)
		fate := c.place(context.WithoutCancel(ctx), caller, key)
		c.mu.Lock()
		c.orders[key] = fate
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
		case reply.outcome == outcome.Unknown:
			return orderInDoubt
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

// callSum adds up calls.
type callSum struct {
	calls, whole, again, refused, vain, wrong int
	first                                     *times
	gap                                       time.Duration
}

func newCallSum() *callSum { return &callSum{first: newTimes()} }

// sum adds the calls sent in a span of time.
func (c *churnCallers) sum(from, to time.Time, into *callSum) {
	for _, each := range c.calls {
		if each.sent.Before(from) || !each.sent.Before(to) {
			continue
		}
		into.add(each)
	}
}

func (s *callSum) add(call churnCall) {
	s.calls++
	s.again += call.again
	s.gap = max(s.gap, call.gap)
	switch {
	case call.bad:
		s.wrong++
	case call.whole:
		s.whole++
		s.first.record(call.first)
	case call.refused:
		s.refused++
	default:
		s.vain++
	}
}

// orderCount holds what callers were told against what arrived.
type orderCount struct {
	orders, placed, inDoubt, givenUp int
	// doubtArrived are orders in doubt that had arrived.
	doubtArrived int
	// twice and lost break what must hold.
	twice, lost int
}

func (c *churnCallers) countOrders(arrived []plain.Order) orderCount {
	times := map[string]int{}
	for _, o := range arrived {
		times[o.Key]++
	}
	n := orderCount{orders: len(c.orders)}
	for key, fate := range c.orders {
		n.take(fate, times[key])
	}
	return n
}

func (n *orderCount) take(fate orderFate, arrived int) {
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

func (c *churnCallers) ordersTable(arrived []plain.Order) table {
	n := c.countOrders(arrived)
	result := table{
		title:   "The same rush: orders that may not be repeated",
		columns: []string{"orders", "placed", "in doubt", "of these arrived", "not placed in time", "arrived twice", "told placed, not arrived"},
		note:    fmt.Sprintf("%d callers, each with one order after the other, tried again under its key at another address when a connection breaks or %v pass without an answer, and %v after a refusal, for %v at most.", churnOrders, churnSilence, orderAgain, orderPatience),
	}
	result.row(n.orders, n.placed, n.inDoubt, n.doubtArrived, n.givenUp, n.twice, n.lost)
	return result
}

// verdict is an error if something that must hold did not.
func (c *churnCallers) verdict(arrived []plain.Order) error {
	n := c.countOrders(arrived)
	wrong := 0
	for _, call := range c.calls {
		if call.bad {
			wrong++
		}
	}
	if wrong > 0 || n.twice > 0 || n.lost > 0 {
		return Error.New("%d answers were wrong, %d orders arrived twice, %d were told placed and had not arrived", wrong, n.twice, n.lost)
	}
	return nil
}
