package cases

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["beat"] = beatCase }

const (
	// The server's check-in at lostAt gets no answer and is carried out lateBy later. The server reports
	// that it is draining at drainAt, when the store has been sound for more than stableMs, and exits
	// at exitAt.
	drainAt = 3500 * time.Millisecond
	lateBy  = 5950 * time.Millisecond
	exitAt  = 9500 * time.Millisecond
	// Consumers are quiet from quietFrom on, and send again from busyFrom until the server exits.
	quietFrom, busyFrom = 3200 * time.Millisecond, 5600 * time.Millisecond
	beatWork            = 60 * time.Millisecond
	beatPause           = 50 * time.Millisecond
)

// beatCase has a server that leaves as planned. An earlier check-in of it, whose answer from the store
// was lost, is carried out after the report that it is draining: the entry says "ready" again, with a
// lower seq, until the next check-in.
func beatCase(s *scene) bool {
	s.put("op/config", readsConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var servers []*plainServer
	for i, zone := range zones {
		servers = append(servers, s.newPlain(fmt.Sprintf("i-%08x", 0x5c1e07a0+i), "stock-ledger", zone, beatWork))
	}
	leaving := servers[0]
	for _, p := range servers[1:] {
		go p.keepCheckingIn(ctx)
	}
	first, endFirst := context.WithCancel(ctx)
	go leaving.keepCheckingIn(first)
	s.startNodes()
	time.Sleep(stable + time.Second)
	endFirst()
	start := time.Now()
	s.say("server %s checks in", leaving.id)
	old := int(leaving.seq.Add(1))
	if s.trouble {
		s.say("its check-in with seq %d gets no answer", old)
		time.AfterFunc(lateBy, func() {
			s.put("servers/"+leaving.id, plainEntry(leaving.service, leaving.address, leaving.zone, "ready", leaving.born, old))
			s.say("the check-in with seq %d is carried out", old)
		})
	}
	drained := make(chan time.Time, 1)
	go s.leave(ctx, leaving, start, drained)
	var wg sync.WaitGroup
	wg.Go(func() { s.consume(servers, start, 0, quietFrom, nil) })
	calls := &beatCalls{sent: map[string]sentTo{}}
	wg.Go(func() { s.consume(servers, start, busyFrom, exitAt, calls) })
	wg.Wait()
	return s.judgeBeat(leaving, calls, <-drained)
}

// leave lets a server check in, report that it is draining, and exit.
func (s *scene) leave(ctx context.Context, p *plainServer, start time.Time, drained chan<- time.Time) {
	for at := beat; at < drainAt; at += beat {
		sleep(ctx, time.Until(start.Add(at)))
		p.checkIn("ready")
	}
	sleep(ctx, time.Until(start.Add(drainAt)))
	// A server that leaves says so in all its answers too.
	p.mu.Lock()
	p.header = func() http.Header { return http.Header{"Server-Leaving": {"1"}} }
	p.mu.Unlock()
	p.checkIn("draining")
	s.say("the store has accepted that %s is draining, with seq %d", p.id, p.seq.Load())
	drained <- time.Now()
	for at := drainAt + beat; at < exitAt; at += beat {
		sleep(ctx, time.Until(start.Add(at)))
		p.checkIn("draining")
		s.say("%s checks in as draining, with seq %d", p.id, p.seq.Load())
	}
	sleep(ctx, time.Until(start.Add(exitAt)))
	s.remove("servers/" + p.id)
	_ = p.server.Close()
	s.say("%s has left", p.id)
}

// beatCalls are the requests that were sent after the server reported that it leaves.
type beatCalls struct {
	mu   sync.Mutex
	sent map[string]sentTo
}

// sentTo says when a consumer sent a request, and to which node.
type sentTo struct {
	node *node
	at   time.Time
}

// consume lets one consumer for each node read in a span of time.
func (s *scene) consume(servers []*plainServer, start time.Time, from, until time.Duration, calls *beatCalls) {
	time.Sleep(time.Until(start.Add(from)))
	var wg sync.WaitGroup
	for i, n := range s.nodes {
		wg.Go(func() {
			for k := 0; time.Since(start) < until; k++ {
				q := call{id: fmt.Sprintf("read-%d-%d-%03d", from.Milliseconds(), i, k), method: http.MethodGet, target: "/cufi504/fi50/2f", budget: strayTimeout}
				r := ask(n.front, q)
				if calls != nil {
					calls.mu.Lock()
					calls.sent[q.id] = sentTo{n, r.sent}
					calls.mu.Unlock()
				}
				if r.status != http.StatusOK {
					s.say("%s: %v", q.id, r)
				}
				time.Sleep(beatPause)
			}
		})
	}
	wg.Wait()
}

// judgeBeat applies rule DRAIN: no request may reach the server that its consumer sent later than drainMs
// after the node had acknowledged that the server is draining.
func (s *scene) judgeBeat(p *plainServer, calls *beatCalls, drained time.Time) bool {
	late := 0
	acked := map[*node]time.Time{}
	for _, n := range s.nodes {
		acked[n] = n.ackedAt(drained)
		s.say("the first read of %s after that was answered at %.3f s", n.name, s.seconds(acked[n]))
	}
	for id, sent := range calls.sent {
		a, ok := p.call(id)
		if !ok {
			continue
		}
		over := sent.at.Sub(acked[sent.node]) - drain
		s.say("%s, sent to %s at %.3f s, reaches %s at %.3f s; drainMs is over for %d ms", id, sent.node.name, s.seconds(sent.at), p.id, s.seconds(a.at), over.Milliseconds())
		if !acked[sent.node].IsZero() && over > 0 {
			late++
		}
	}
	s.say("%d requests, %d reached the server that leaves later than drainMs after the acknowledgement", len(calls.sent), late)
	return late > 0
}
