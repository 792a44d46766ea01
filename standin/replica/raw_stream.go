package replica

import (
	"net/http"
	"strconv"
	"strings"
)

// RawStream is what a replica writes to the connection itself in answer to streams.
type RawStream struct {
	// Wire returns the bytes of the connection, the head of the answer included, for a run of a request
	// whose caller has the events up to one.
	Wire func(request string, after int) string
	// Sound is set if a receiver takes the answer for a whole one.
	Sound bool
	// Once leaves out all runs of a request but its first one, at whichever replica.
	Once bool
}

// EventsBetween are the events of a request's runs after one of them up to another.
func EventsBetween(request string, after, last int) string {
	var b strings.Builder
	for n := after + 1; n <= last; n++ {
		b.WriteString(eventText(n, request))
	}
	return b.String()
}

// answerRawStream answers a stream on the connection itself and closes it. It reports whether it has: the fault
// may leave this run out.
func (r *Replica) answerRawStream(w http.ResponseWriter, q *http.Request, raw *RawStream) bool {
	request := q.Header.Get("Request-Id")
	if raw == nil || raw.Once && len(r.fleet.Runs(request)) > 1 {
		return false
	}
	r.fleet.noteStray(request, raw.Sound)
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the stand-in's server can always hijack
	}
	defer conn.Close()
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // "" is the beginning
	// A write fails if the caller has gone; there is nobody left to answer.
	_, _ = buffer.WriteString(raw.Wire(request, after))
	_ = buffer.Flush()
	return true
}
