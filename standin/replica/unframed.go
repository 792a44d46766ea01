package replica

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

// answerWriter writes the body of an answer.
type answerWriter interface {
	io.Writer
	Flush() error
	// breakOff ends the connection, so that the answer is not complete. It does not return.
	breakOff()
}

// framed is an answer that net/http frames.
type framed struct {
	http.ResponseWriter
	*http.ResponseController
}

func (framed) breakOff() { panic(http.ErrAbortHandler) }

// unframed is an answer that is written to the connection itself.
type unframed struct {
	*bufio.ReadWriter
	conn net.Conn
}

func (u unframed) breakOff() {
	if tcp, ok := u.conn.(*silentConn); ok {
		_ = tcp.SetLinger(0) // a connection that has ended needs no reset
	}
	panic(http.ErrAbortHandler)
}

// answerTo returns what writes the body of an answer. An unframed answer is written to the connection
// itself and ends with it. closeAnswer ends the answer.
func answerTo(w http.ResponseWriter, fault Fault) (out answerWriter, closeAnswer func()) {
	if !fault.Unframed {
		return framed{w, http.NewResponseController(w)}, func() {}
	}
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the stand-in's server can always hijack
	}
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffer)
	_, _ = buffer.WriteString("Connection: close\r\n\r\n")
	// A write fails if the caller has gone; there is nobody left to answer.
	_ = buffer.Flush()
	return unframed{buffer, conn}, func() { _ = conn.Close() }
}

// writeRaw answers a request, and the later ones on its connection, with bytes that net/http does not frame.
func (r *Replica) writeRaw(w http.ResponseWriter, q *http.Request) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the stand-in's server can always hijack
	}
	defer conn.Close()
	for kept := 0; ; kept++ {
		r.mu.Lock()
		raw := r.fault.Raw
		r.mu.Unlock()
		if raw == nil {
			return
		}
		answer := raw(q.Header.Get("Request-Id"), kept)
		if _, err := io.WriteString(conn, answer); err != nil || strings.Contains(answer, "Connection: close\r\n") {
			return
		}
		if q, err = http.ReadRequest(buffer.Reader); err != nil {
			return
		}
		// A body that breaks off ends the connection, which the next read tells.
		_, _ = io.Copy(io.Discard, q.Body)
	}
}
