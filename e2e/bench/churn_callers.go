package bench

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// churnPrompts is how many different questions the callers ask, so that
	// another caller's answer would show.
	churnPrompts = 32
	// churnSilence is how long a caller waits for a token, or for the answer to
	// an order, before it tries another address.
	churnSilence = time.Second
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
	orders map[string]churnOrder
}

// churnCall is what became of one call.
type churnCall struct {
	sent time.Time
	// again counts connections that broke.
	again      int
	whole, bad bool
	// refused is the code of the refusal that ended it.
	refused    string
	first, gap time.Duration
}

func newChurnCallers() *churnCallers {
	return &churnCallers{orders: map[string]churnOrder{}}
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
			made.refused = fmt.Sprintf("%d %s", a.status, a.refusal)
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

// callSum adds up calls.
type callSum struct {
	calls, whole, again, vain, wrong int
	// refused counts refusals by code.
	refused map[string]int
	first   *times
	gap     time.Duration
}

func newCallSum() *callSum { return &callSum{refused: map[string]int{}, first: newTimes()} }

// refusals as a cell of the table.
func (s *callSum) refusals() string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(s.refused)) {
		parts = append(parts, fmt.Sprintf("%d (%s)", s.refused[code], code))
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}

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
	case call.refused != "":
		s.refused[call.refused]++
	default:
		s.vain++
	}
}
