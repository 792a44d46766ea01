package cases

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
)

const (
	modelLayers = 8
	prefillTime = 40 * time.Millisecond
	eventEvery  = 20 * time.Millisecond
	answerSize  = 30
	// stallFor is the site's stall_ms.
	stallFor = 2500 * time.Millisecond
	// gapPatience is how long a consumer waits for an event of a stream.
	gapPatience = 2 * time.Second
)

// engines are model replicas that hold layers. Each is reached through a link of its own.
type engines struct {
	r    *rig
	mu   sync.Mutex
	list map[string]*engine // by the address that nodes know
	// part crashes each first replica that begins to write an answer on it; "" for none. how the
	// replica's machine behaves until it is back after downFor.
	part    string
	how     string
	downFor time.Duration
	crashes []time.Time
	runs    []engineRun
}

type engineRun struct {
	id, replica string
	at          time.Time
	marked      bool
}

// engine is one replica. engines.mu guards it.
type engine struct {
	all           *engines
	id, zone      string
	link          *link.Link
	server        *http.Server
	own           string // where it listens itself
	born          int64
	seq           int64
	from, to      int
	down          bool
	paths         map[string]string
	incarnationOf chan struct{} // closed when the present incarnation ends
}

func (r *rig) newEngines() *engines { return &engines{r: r, list: map[string]*engine{}} }

func (all *engines) add(id, zone string) {
	e := &engine{all: all, id: id, zone: zone, born: time.Now().UnixMilli(), paths: map[string]string{}, incarnationOf: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		all.r.cannotRun("%v", err)
	}
	e.own = l.Addr().String()
	e.serve(l)
	if e.link, err = link.Listen(e.own); err != nil {
		all.r.cannotRun("%v", err)
	}
	all.mu.Lock()
	all.list[e.link.Address()] = e
	all.mu.Unlock()
	e.write()
}

func (e *engine) serve(l net.Listener) {
	server := &http.Server{Handler: e}
	e.all.mu.Lock()
	e.server = server
	e.all.mu.Unlock()
	go func() { _ = server.Serve(l) }() // it ends with the incarnation
}

// write writes the replica's entry into the store.
func (e *engine) write() {
	e.all.mu.Lock()
	entry := map[string]any{
		"service": "asker", "addr": e.link.Address(), "zone": e.zone, "state": "ready", "slots": 192, "coldLeftMs": 0, "kind": "l4",
		"stage": "mixed", "models": []any{}, "born": e.born, "seq": 1, "version": "v1",
	}
	if e.to > e.from {
		entry["layers"] = map[string]int{"from": e.from, "target": e.to, "version": 1}
	}
	down := e.down
	e.all.mu.Unlock()
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	if !down {
		e.all.r.site.Put("servers/"+e.id, data)
	}
}

// beat writes the entries of all replicas that live.
func (all *engines) beat(ctx context.Context) {
	for ctx.Err() == nil {
		all.mu.Lock()
		var list []*engine
		for _, e := range all.list {
			list = append(list, e)
		}
		all.mu.Unlock()
		for _, e := range list {
			e.write()
		}
		time.Sleep(heartbeat)
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Expect-Replica"); expected != "" && expected != e.id {
		w.Header().Set("Replica-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, q)
	default:
		e.ask(w, q)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	report := map[string]any{"stage": "mixed", "models": []any{}, "busy": false, "seq": e.seq, "waiting": 0, "running": len(e.paths), "kvUsed": 0, "kvTotal": 90000, "handles": 0, "pace": 1.0, "born": e.born}
	if e.to > e.from {
		report["layers"] = map[string]int{"from": e.from, "target": e.to, "version": 1}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // the node may have gone
}

func (e *engine) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op, ID, Path string
		From, Target int
		Expected     *int64
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	switch o.Op {
	case "place":
		if o.Expected != nil && *o.Expected != e.seq {
			w.WriteHeader(http.StatusConflict)
			return
		}
		e.seq++
		e.from, e.to = o.From, o.Target
		go e.write()
		w.WriteHeader(http.StatusAccepted)
	case "repath":
		if _, runs := e.paths[o.ID]; !runs {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if at := e.all.lacking(o.Path); at != "" {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(map[string]string{"addr": at})
			return
		}
		e.paths[o.ID] = o.Path
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// lacking is the address of a part of a path that is dead or does not hold its layers, "" if there is
// none. The caller holds the lock.
func (all *engines) lacking(path string) string {
	for part := range strings.SplitSeq(path, ",") {
		address, span, _ := strings.Cut(part, "=")
		first, last, _ := strings.Cut(span, "-")
		from, _ := strconv.Atoi(first)
		to, _ := strconv.Atoi(last)
		if e := all.list[address]; e == nil || e.down || from < e.from || to > e.to {
			return address
		}
	}
	return ""
}

// lives waits while a path lacks a part, for stallFor at most. It returns the part that is missing
// then, and false if the caller or the replica's incarnation has ended.
func (e *engine) lives(ctx context.Context, id string, ended chan struct{}) (missing string, alive bool) {
	for until := time.Now().Add(stallFor); ; {
		e.all.mu.Lock()
		missing = e.all.lacking(e.paths[id])
		e.all.mu.Unlock()
		if missing == "" || time.Now().After(until) {
			return missing, true
		}
		select {
		case <-time.After(eventEvery):
		case <-ctx.Done():
			return "", false
		case <-ended:
			return "", false
		}
	}
}

func (e *engine) ask(w http.ResponseWriter, q *http.Request) {
	id, path := q.Header.Get("Request-Id"), q.Header.Get("Hop-Count")
	e.all.mu.Lock()
	ended := e.incarnationOf
	part, lacks := e.all.part, e.all.lacking(path)
	marked := part != "" && strings.Contains(q.Header.Get("Prefix-Hash"), part+":")
	if path != "" && lacks == "" {
		e.paths[id] = path
		e.all.runs = append(e.all.runs, engineRun{id: id, replica: e.id, at: time.Now(), marked: marked})
	}
	e.all.mu.Unlock()
	h := w.Header()
	h.Set("Request-Id", id)
	if path == "" || lacks != "" {
		h.Set("At-Server", lacks)
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.all.mu.Lock()
		delete(e.paths, id)
		e.all.mu.Unlock()
	}()
	select {
	case <-time.After(prefillTime):
	case <-q.Context().Done():
		return
	case <-ended:
		return
	}
	if marked {
		e.crash()
		<-ended
		return
	}
	h.Set("Server-Stamp", "stamp-of-"+e.id)
	h.Set("Content-Type", "text/event-stream")
	first := 0
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &first) // without it the stream begins at its beginning
	for n := first + 1; n <= answerSize; n++ {
		missing, alive := e.lives(q.Context(), id, ended)
		if !alive || missing != "" {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(eventEvery):
		case <-q.Context().Done():
			return
		case <-ended:
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// crash ends the replica, which is back after a while as a new incarnation without layers.
func (e *engine) crash() {
	e.all.mu.Lock()
	if e.down {
		e.all.mu.Unlock()
		return
	}
	e.down = true
	e.all.crashes = append(e.all.crashes, time.Now())
	how, downFor, server := e.all.how, e.all.downFor, e.server
	e.all.mu.Unlock()
	e.all.r.tell("replica %s crashes", e.id)
	switch how {
	case "dark":
		e.link.Partition(link.Both) // nothing comes from it, and new connections hang
	case "hold":
		_ = server.Close() // its connections are closed, and its link accepts and closes new ones
	default:
		e.link.Reset() // its connections are reset, and new ones refused
	}
	time.AfterFunc(downFor, func() {
		_ = server.Close()
		l, err := net.Listen("tcp", e.own)
		if err != nil {
			e.all.r.tell("%s does not come back: %v", e.id, err)
			return
		}
		e.all.mu.Lock()
		close(e.incarnationOf)
		e.incarnationOf = make(chan struct{})
		e.down, e.from, e.to, e.seq, e.paths = false, 0, 0, 0, map[string]string{}
		e.born = time.Now().UnixMilli()
		e.all.mu.Unlock()
		e.serve(l)
		e.link.Reset()
		e.link.Heal()
		e.write()
	})
}

// askStream sends a stream and reads it as consumers do, who leave after gapPatience without an event.
func (r *rig) askStream(n *node, id, parts string) *call {
	c := &call{id: id, node: n.name, target: "/ask/x"}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	patience := time.AfterFunc(gapPatience, cancel)
	defer patience.Stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+c.target, strings.NewReader("a prompt"))
	if err != nil {
		r.cannotRun("%v", err)
	}
	q.Host = host
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "20000", "Authorization": "Token " + key, "Model": "m", "Token-Count": "500,60", "Prefix-Hash": parts,
	} {
		q.Header.Set(name, value)
	}
	dialer := net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}
	c.sent = time.Now()
	response, err := transport.RoundTrip(q)
	if err != nil {
		c.err = err
	} else {
		c.status, c.stamp, c.answered = response.StatusCode, response.Header.Get("Server-Stamp"), time.Now()
		buffer := make([]byte, 4096)
		for {
			n, err := response.Body.Read(buffer)
			if n > 0 {
				patience.Reset(gapPatience)
			}
			if err != nil {
				if err != io.EOF {
					c.err = err
				}
				break
			}
		}
		response.Body.Close()
	}
	c.ended = time.Now()
	r.mu.Lock()
	r.sent = append(r.sent, c)
	r.mu.Unlock()
	return c
}

// crashTimes are the crashes so far, in order.
func (all *engines) crashTimes() []time.Time {
	all.mu.Lock()
	defer all.mu.Unlock()
	list := slices.Clone(all.crashes)
	slices.SortFunc(list, time.Time.Compare)
	return list
}
