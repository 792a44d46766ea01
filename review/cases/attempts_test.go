package cases

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// attemptsConfig has a route of resumable streams to replicas that each hold the whole model.
const attemptsConfig = `{"version":%d,"routes":[
 {"name":"r-ask","host":"a.example","prefix":"/ask/","kind":"stream","timeoutMs":20000,"goalMs":500,"gapAimMs":200,"priority":1,"service":"asker","maxAttempts":2,"public":false,"sticky":true,"resumable":true}],
 "services":[{"name":"asker","healthPath":"/health","maxConns":400,"proto":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"bogor","apiKeys":["k-review-0"],"priority":1}]}`

const (
	maxAttempts = 2
	// In each of lossWindows times, lossFor long, faulty replicas lose the answers to lossPart of the
	// requests that they ran.
	lossWindows = 7
	lossFor     = 4 * time.Second
	lossPart    = 0.4
	// allowedBeyond requests may run on more replicas than the route allows.
	allowedBeyond = 3

	streamEvents = 20
	streamPause  = 20 * time.Millisecond
)

// whole is a replica that serves streams alone.
type whole struct {
	id, zone, address string
	mu                sync.Mutex
	losing            bool
	ran               []ranAt
}

type ranAt struct {
	id string
	at time.Time
}

func (w *whole) entry(born int64) []byte {
	data, err := json.Marshal(map[string]any{
		"service": "asker", "addr": w.address, "zone": w.zone, "state": "ready", "slots": 192, "coldLeftMs": 0, "born": born, "seq": 1, "version": "v1",
	})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return data
}

func (w *whole) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Expect-Replica"); expected != "" && expected != w.id {
		out.Header().Set("Replica-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	lost := w.losing && rand.Float64() < lossPart
	w.ran = append(w.ran, ranAt{q.Header.Get("Request-Id"), time.Now()})
	w.mu.Unlock()
	if lost {
		time.Sleep(streamPause)
		if conn, _, err := out.(http.Hijacker).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	h := out.Header()
	h.Set("Request-Id", q.Header.Get("Request-Id"))
	h.Set("Server-Stamp", "stamp-of-"+w.id)
	h.Set("Content-Type", "text/event-stream")
	first := 0
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &first) // without it the stream begins at its beginning
	for n := first + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(streamPause):
		case <-q.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(out).Flush()
	}
}

// Replicas run streams and their answers are lost. A stream whose answer was lost twice is sent to a
// third replica, although its route allows two.
func TestAttempts(t *testing.T) {
	zones := []string{"bandung", "bekasi", "bogor", "bandung", "bekasi", "bogor"}
	r := newRig(zones...)
	r.contracts = "base,drain,config,cost,retry,recover,engine,stream,tenants,platform"
	r.site.Put("op/config", fmt.Appendf(nil, attemptsConfig, 7))
	var replicas []*whole
	for i, zone := range []string{"bandung", "bekasi", "bogor", "bandung", "bekasi"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.cannotRun("%v", err)
		}
		w := &whole{id: fmt.Sprintf("i-asker-%d", i), zone: zone, address: l.Addr().String()}
		server := &http.Server{Handler: w}
		go func() { _ = server.Serve(l) }()
		replicas = append(replicas, w)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	born := time.Now().UnixMilli()
	go func() {
		for ctx.Err() == nil {
			for _, w := range replicas {
				r.site.Put("servers/"+w.id, w.entry(born))
			}
			time.Sleep(heartbeat)
		}
	}()
	r.start("/ask/x", zones...)
	var wg sync.WaitGroup
	asking, stopAsking := context.WithCancel(ctx)
	r.load(asking, &wg, r.nodes, 50*time.Millisecond, http.MethodPost, "/ask/x", "a prompt")
	for range lossWindows {
		time.Sleep(lossFor / 2)
		faulty := replicas[:3] // three of five
		if trouble() {
			r.tell("%s, %s and %s lose the answers to %v of the requests that they run", faulty[0].id, faulty[1].id, faulty[2].id, lossPart)
			set(faulty, true)
		}
		time.Sleep(lossFor)
		set(faulty, false)
	}
	time.Sleep(time.Second)
	stopAsking()
	wg.Wait()
	runs := map[string][]string{}
	for _, w := range replicas {
		w.mu.Lock()
		for _, each := range w.ran {
			runs[each.id] = append(runs[each.id], fmt.Sprintf("%s at %s", w.id, r.at(each.at)))
		}
		w.mu.Unlock()
	}
	r.note("requests: sent at, id, node, method and path, answer, replicas that ran it")
	beyond, served := 0, 0
	for _, c := range r.calls() {
		r.note("%s %s %s %s -> %d in %d ms %v; ran: %s", r.at(c.sent), c.id, c.node, c.target, c.status, c.ended.Sub(c.sent).Milliseconds(), c.err, strings.Join(runs[c.id], ", "))
		if c.status == http.StatusOK && c.err == nil {
			served++
		}
		var on []string
		for _, each := range runs[c.id] {
			id, _, _ := strings.Cut(each, " ")
			if !slices.Contains(on, id) {
				on = append(on, id)
			}
		}
		if len(on) > maxAttempts {
			beyond++
			r.tell("request %s, sent to %s at %s, ran on %d replicas: %s", c.id, c.node, r.at(c.sent), len(on), strings.Join(runs[c.id], ", "))
		}
	}
	r.tell("%d of %d streams were answered whole", served, len(r.calls()))
	if beyond > allowedBeyond {
		r.tell("BUDGET broken: %d requests ran on more than %d replicas, %d are allowed", beyond, maxAttempts, allowedBeyond)
	}
	r.finish(beyond > allowedBeyond)
}

func set(replicas []*whole, losing bool) {
	for _, w := range replicas {
		w.mu.Lock()
		w.losing = losing
		w.mu.Unlock()
	}
}
