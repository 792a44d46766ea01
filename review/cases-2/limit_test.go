package cases

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["limit"] = limitCase }

const (
	// Five servers in need state that each takes limitPerS requests a second, and answer slowly.
	limitServers = 5
	limitPerS    = 1.0
	limitWork    = time.Second
	// One of them is cut off from the store, but not from the nodes.
	limitCutAt, limitCutFor = 10 * time.Second, 5 * time.Second
	limitFor                = 24 * time.Second
	limitEvery              = 60 * time.Millisecond
	limitWindow             = 4 * time.Second
	limitBudget             = 3 * time.Second
)

// limitCall is a request that was sent to a node.
type limitCall struct {
	id   string
	node *node
	got  reply
}

// limitCase has servers in need, which name a limit in all their answers. The entry of one of them lapses,
// as its check-ins do not reach the store for a while, and returns.
func limitCase(s *scene) bool {
	s.put("op/config", ordersConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var servers []*plainServer
	start := time.Now()
	for i := range limitServers {
		p := s.newPlain(fmt.Sprintf("i-%08x", 0x4a11c000+i), "bookings", zones[i%len(zones)], limitWork)
		p.header = func() http.Header { return http.Header{"Server-Limit": {fmt.Sprintf("%.1f", limitPerS)}} }
		servers = append(servers, p)
	}
	cut := servers[0]
	for _, p := range servers[1:] {
		go p.keepCheckingIn(ctx)
	}
	before, endBefore := context.WithCancel(ctx)
	go cut.keepCheckingIn(before)
	s.startNodes()
	start = time.Now()
	if s.trouble {
		time.AfterFunc(limitCutAt, func() { s.cutFromStore(ctx, cut, endBefore) })
	}
	calls := s.orderAll(start)
	endBefore()
	return s.judgeLimit(cut, calls)
}

// cutFromStore keeps a server's check-ins from the store for a while. Its entry is removed after three
// intervals of silence.
func (s *scene) cutFromStore(ctx context.Context, p *plainServer, endBeats func()) {
	endBeats()
	s.say("%s is cut off from the store", p.id)
	sleep(ctx, 3*beat)
	s.remove("servers/" + p.id)
	s.say("the entry of %s lapses", p.id)
	sleep(ctx, limitCutFor-3*beat)
	s.say("%s reaches the store again", p.id)
	p.keepCheckingIn(ctx)
}

// orderAll sends orders to the nodes in turn.
func (s *scene) orderAll(start time.Time) []*limitCall {
	var wg sync.WaitGroup
	var calls []*limitCall
	for k := 0; time.Since(start) < limitFor; k++ {
		c := &limitCall{id: fmt.Sprintf("order-%04d", k), node: s.nodes[k%len(s.nodes)]}
		calls = append(calls, c)
		wg.Go(func() {
			c.got = ask(c.node.front, call{id: c.id, method: http.MethodPost, target: "/puxa403/2f", body: "feed", budget: limitBudget})
		})
		time.Sleep(limitEvery)
	}
	wg.Wait()
	return calls
}

// judgeLimit applies rule LIMIT to the arrivals at one server.
func (s *scene) judgeLimit(p *plainServer, calls []*limitCall) bool {
	var named time.Time
	told := map[*node]time.Time{}
	statuses := map[int]int{}
	for _, c := range calls {
		statuses[c.got.status]++
		if a, ok := p.call(c.id); ok && a.ran && c.got.status == http.StatusOK {
			if named.IsZero() || a.ended.Before(named) {
				named = a.ended
			}
			if at := told[c.node]; at.IsZero() || c.got.ended.Before(at) {
				told[c.node] = c.got.ended
			}
		}
	}
	s.say("%d requests, by status %v; %s first names its limit at %.3f s", len(calls), statuses, p.id, s.seconds(named))
	var times []time.Time
	for _, c := range calls {
		a, ok := p.call(c.id)
		if !ok {
			continue
		}
		at := told[c.node]
		counts := !at.IsZero() && a.at.After(at.Add(500*time.Millisecond)) && a.at.After(named.Add(stable))
		s.say("%s from %s reaches %s at %.3f s, counts: %v", c.id, c.node.name, p.id, s.seconds(a.at), counts)
		if counts {
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := 1.5*limitPerS*limitWindow.Seconds() + 5
	s.say("at most %d requests in 4 s reached %s; %.1f are allowed", most, p.id, allowed)
	return float64(most) > allowed
}
