package cases

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

const (
	// orderWork is how long a server works on an order, orderTimeout the route's timeoutMs and the
	// consumer's budget.
	orderWork    = 2600 * time.Millisecond
	orderTimeout = 3 * time.Second
	// Orders are sent to the node in this time after its SIGTERM. Consumers keep an answer of the
	// directory for three times its ttlS of two seconds.
	ordersFrom, ordersUntil = 4500 * time.Millisecond, 5400 * time.Millisecond
	orderEvery              = 100 * time.Millisecond
)

// stopCase stops one node as in a rolling restart. Orders that it accepts afterwards take 2.6 seconds
// at their server, within the route's timeout. The node's process ends before their answers.
func stopCase(s *scene) bool {
	s.put("op/config", ordersConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var servers []*plainServer
	for i, zone := range zones {
		p := s.newPlain(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "bookings", zone, orderWork)
		servers = append(servers, p)
		go p.keepCheckingIn(ctx)
	}
	s.startNodes()
	time.Sleep(stable + time.Second)
	stopped := s.nodes[0]
	s.say("consumers ask %s, which names %v", s.nodes[1].name, s.nodes[1].resolve())
	termAt := time.Now()
	if s.trouble {
		s.signal(stopped, syscall.SIGTERM)
		kill := time.AfterFunc(grace, func() { s.signal(stopped, syscall.SIGKILL) })
		defer kill.Stop()
	}
	replies := sendOrders(s, stopped, termAt)
	time.Sleep(time.Until(termAt.Add(grace + time.Second)))
	lost := 0
	for i, r := range replies {
		if judgeStop(s, servers, fmt.Sprintf("order-%02d", i), r, termAt) {
			lost++
		}
	}
	s.say("%d of %d orders were read, passed on to a server and then closed without an answer", lost, len(replies))
	return lost > 0
}

func sendOrders(s *scene, to *node, termAt time.Time) []reply {
	var wg sync.WaitGroup
	replies := make([]reply, int((ordersUntil-ordersFrom)/orderEvery))
	for i := range replies {
		time.Sleep(time.Until(termAt.Add(ordersFrom + time.Duration(i)*orderEvery)))
		wg.Go(func() {
			replies[i] = ask(to.front, call{id: fmt.Sprintf("order-%02d", i), method: http.MethodPost, target: "/puxa403/2f", body: "feed", budget: orderTimeout})
		})
	}
	wg.Wait()
	return replies
}

// judgeStop applies rule LOST to one order and reports whether it breaks the rule.
func judgeStop(s *scene, servers []*plainServer, id string, r reply, termAt time.Time) bool {
	where, ran := "no server", arrival{}
	for _, p := range servers {
		if a, ok := p.call(id); ok {
			where, ran = p.id, a
		}
	}
	s.say("%s sent %.3f s after the stop: %v; reached %s at %.3f s, answered %v, left by the node %v",
		id, r.sent.Sub(termAt).Seconds(), r, where, s.seconds(ran.at), ran.ran, ran.left)
	complete := r.status != 0 && r.err == nil
	// The server did not break off; the budget and the route's timeout are three seconds; the excuse for
	// requests sent up to three seconds after SIGTERM does not apply.
	return !complete && !ran.at.IsZero() && r.ended.Sub(r.sent) < orderTimeout-100*time.Millisecond && r.sent.Sub(termAt) > 3*time.Second
}
