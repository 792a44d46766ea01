package replica

import (
	"net/http"
	"strings"
	"time"
)

// Endless is an answer that goes on until its caller closes the connection.
type Endless struct {
	// Begin returns the first bytes of the connection for a request.
	Begin func(request string) string
	// Repeated are the bytes that follow again and again.
	Repeated string
}

const (
	// endlessChunkBytes is the size of one write, endlessInterval the time between two.
	endlessChunkBytes = 32 << 10
	endlessInterval   = 5 * time.Millisecond
)

// answerEndless answers a request on the connection itself. It reports whether the fault asks for that.
func (r *Replica) answerEndless(w http.ResponseWriter, request string, endless *Endless) bool {
	if endless == nil {
		return false
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the stand-in's server can always hijack
	}
	defer conn.Close()
	chunk := []byte(strings.Repeat(endless.Repeated, endlessChunkBytes/len(endless.Repeated)))
	for next := []byte(endless.Begin(request)); err == nil; next = chunk {
		_, err = conn.Write(next)
		time.Sleep(endlessInterval)
	}
	return true
}
