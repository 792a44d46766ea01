package replica

import (
	"io"
	"net/http"
	"time"
)

// LongUploadBytes is the length from which a request's body counts as a long upload.
const LongUploadBytes = 64 << 10

// Early is an answer to long uploads that comes before the replica has read their body, and whose connection is
// reset then. Other requests are answered as usual.
type Early struct {
	// Answer returns the bytes of the connection for a request.
	Answer func(request string) string
	// ResetAfter is the time from the answer to the reset.
	ResetAfter time.Duration
	// Once leaves out all runs of a request but its first one, at whichever replica.
	Once bool
}

// answerEarly answers a request on the connection itself. It reports whether the fault asks for that.
func (r *Replica) answerEarly(w http.ResponseWriter, q *http.Request, early *Early) bool {
	request := q.Header.Get("Request-Id")
	if early == nil || q.ContentLength < LongUploadBytes || early.Once && len(r.fleet.Runs(request)) > 0 {
		return false
	}
	r.fleet.noteRun(r.ID, q, "")
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the stand-in's server can always hijack
	}
	defer conn.Close()
	// A write fails if the caller has gone; there is nobody left to answer.
	_, _ = io.WriteString(conn, early.Answer(request))
	time.Sleep(early.ResetAfter)
	if tcp, ok := conn.(*silentConn); ok {
		_ = tcp.SetLinger(0) // a connection that has ended needs no reset
	}
	return true
}
