package replica

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func (r *Replica) request(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	fault, draining := r.fault, r.draining
	r.mu.Unlock()
	if fault.RateLimit != "" {
		w.Header().Set("Server-Limit", fault.RateLimit)
	}
	if fault.Refuse || draining && r.Model {
		w.Header().Set("Not-Run", "1")
		if fault.RetryAfter != "" {
			w.Header().Set("Retry-After", fault.RetryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault.Hang {
		<-q.Context().Done()
		return
	}
	if r.Model {
		if at := r.checkPath(q.Header.Get("Hop-Count")); at != "" {
			w.Header().Set("At-Server", at)
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if r.answerEarly(w, q, fault.Early) {
		return
	}
	r.note(q)
	if fault.LoseAnswer {
		reset(w)
		return
	}
	h := w.Header()
	h.Set("Request-Id", q.Header.Get("Request-Id"))
	if !fault.Unproved {
		h.Set("Server-Stamp", "stamp-of-"+r.ID)
	}
	if r.Model {
		r.stream(w, q, fault)
		return
	}
	r.plain(w, q, fault)
}

// noteArrival notes a call, whatever the replica does with it.
func (r *Replica) noteArrival(q *http.Request) {
	r.mu.Lock()
	fault := r.fault
	r.mu.Unlock()
	arrival := Arrival{Replica: r.ID, Request: q.Header.Get("Request-Id"), Method: q.Method, Target: q.RequestURI, At: time.Now()}
	if fault.Refuse {
		arrival.RetryAfter = fault.RetryAfter
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.fleet.arrivals = append(r.fleet.arrivals, arrival)
}

func (r *Replica) note(q *http.Request) {
	var body strings.Builder
	// A body that breaks off is noted as far as it came.
	_, _ = bufio.NewReader(q.Body).WriteTo(&body)
	r.fleet.noteRun(r.ID, q, body.String())
}

// noteRun notes a run of a request, whose body was read.
func (f *Fleet) noteRun(replica string, q *http.Request, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, Run{
		Replica: replica, Request: q.Header.Get("Request-Id"), Header: q.Header.Clone(),
		Method: q.Method, Target: q.RequestURI, Body: body, At: time.Now(),
	})
}

// reset ends the connection without an answer.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*silentConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (r *Replica) plain(w http.ResponseWriter, q *http.Request, fault Fault) {
	if target := r.fleet.crashing().Target; target != "" && q.RequestURI == target {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	if fault.Work > 0 {
		select {
		case <-time.After(fault.Work):
		case <-q.Context().Done():
			return
		}
	}
	if fault.Nameless > 0 {
		w.Header().Del("Request-Id")
		w.Header().Del("Server-Stamp")
		w.WriteHeader(fault.Nameless)
		return
	}
	if fault.Unproven > 0 {
		w.WriteHeader(fault.Unproven)
		return
	}
	if r.answerEndless(w, q.Header.Get("Request-Id"), fault.Endless) {
		return
	}
	if fault.Raw != nil {
		r.writeRaw(w, q)
		return
	}
	text := "answer to " + q.Header.Get("Request-Id")
	if fault.Unframed {
		out, closeAnswer := answerTo(w, fault)
		defer closeAnswer()
		if fault.EndAfter > 0 {
			text = text[:fault.EndAfter]
			defer r.crash()
		}
		_, _ = out.Write([]byte(text))
		_ = out.Flush()
		return
	}
	if !fault.Twice {
		_, _ = w.Write([]byte(text))
		return
	}
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for range 2 {
		fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: %d\r\n\r\n%s",
			q.Header.Get("Request-Id"), len(text), text)
	}
	_ = buffer.Flush()
	// The connection stays open for the next request, which gets no answer of its own.
	_, _ = buffer.ReadByte()
	<-time.After(time.Second)
}

func (r *Replica) stream(w http.ResponseWriter, q *http.Request, fault Fault) {
	id := q.Header.Get("Request-Id")
	detours := make(chan string, 8)
	r.mu.Lock()
	r.paths[id] = detours
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.paths, id)
	}()
	if !r.prefill(q.Context(), fault.Prefill, priorityOf(q.Header)) {
		return
	}
	if r.answerEndless(w, id, fault.Endless) || r.answerInstead(w, id, fault.NoStream) || r.answerRawStream(w, q, fault.RawStream) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	endsAfter, ends := r.fleet.crashing().endsAt(q.Header.Get("Prefix-Hash"))
	if ends && endsAfter == 0 {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		r.crash()
		panic(http.ErrAbortHandler)
	}
	stray := r.strayIn(id, fault.Stray)
	path := q.Header.Get("Hop-Count")
	first, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err != nil {
		first = 0
	}
	out, closeAnswer := answerTo(w, fault)
	defer closeAnswer()
	for n := first + 1; n <= r.Events; n++ {
		if fault.EndAfter > 0 && n > first+fault.EndAfter {
			r.crash()
			// Another request may be ending the replica, whose connections are still open then.
			panic(http.ErrAbortHandler)
		}
		if ends && n > first+endsAfter {
			r.crash()
			panic(http.ErrAbortHandler) // for the same reason
		}
		for r.checkPath(path) != "" {
			// A part is gone: the stream stands still until it is led around.
			if stray.WhileStill {
				r.writeStray(out, id, stray, false)
			}
			select {
			case path = <-detours:
			case <-q.Context().Done():
				return
			}
		}
		for over := r.fleet.silentPart(path); over != nil; over = r.fleet.silentPart(path) {
			select {
			case <-over:
			case path = <-detours:
			case <-q.Context().Done():
				return
			}
		}
		if stray.dueBefore(n - first - 1) {
			r.writeStray(out, id, stray, false)
		}
		if fault.CutAfter > 0 && n > first+fault.CutAfter {
			_, _ = fmt.Fprintf(out, "id: %d\ndata: to", n)
			_ = out.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(out, eventText(n, id)); err != nil {
			return
		}
		_ = out.Flush()
		select {
		case <-time.After(r.Pause):
		case path = <-detours:
		case <-q.Context().Done():
			return
		}
	}
	if stray.dueAtEnd(r.Events - first) {
		r.writeStray(out, id, stray, true)
	}
}

// checkPath returns the address of the part that can't serve, "" if all can. What
// engines do not check is a problem of the fleet.
func (r *Replica) checkPath(path string) string {
	at := 0
	for i, part := range strings.Split(path, ",") {
		address, from, to, err := parsePart(part)
		if err != nil {
			r.fleet.problem("path %q: %v", path, err)
			return r.Address
		}
		other, ownAddress := r.fleet.find(address)
		if from != at || i == 0 && ownAddress != r.Address {
			r.fleet.problem("path %q: layer %d comes out of order", path, from)
		}
		at = to
		if other == nil {
			return address
		}
		if heldFrom, heldTo := other.Holds(); from < heldFrom || to > heldTo {
			return address
		}
	}
	if at != r.fleet.layers {
		r.fleet.problem("path %q ends at layer %d", path, at)
	}
	return ""
}

func parsePart(part string) (address string, from, to int, err error) {
	address, span, ok := strings.Cut(part, "=")
	if !ok {
		return "", 0, 0, fmt.Errorf("%q is no part", part)
	}
	_, err = fmt.Sscanf(span, "%d-%d", &from, &to)
	return address, from, to, err
}
