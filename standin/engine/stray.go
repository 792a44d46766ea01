package engine

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
)

// Stray is bytes that are no part of an answer.
type Stray struct {
	Bytes string `json:"bytes,omitempty"`
	// After is the number of events of the whole answer before the bytes: its tokens, the closing event
	// and the marker. BeforeHead puts the bytes before the head of the answer instead.
	After      int  `json:"after,omitempty"`
	BeforeHead bool `json:"before_head,omitempty"`
	// BreakOff breaks the connection behind the bytes. Otherwise the answer goes on.
	BreakOff bool `json:"break_off,omitempty"`
	// Once spares the later epochs of a stream.
	Once bool `json:"once,omitempty"`
}

// dueAfter reports whether the bytes follow a number of events.
func (s Stray) dueAfter(events int, epoch uint32) bool {
	return s.Bytes != "" && !s.BeforeHead && s.After == events && s.dueIn(epoch)
}

func (s Stray) dueIn(epoch uint32) bool { return !s.Once || epoch <= 1 }

// sendStray sends the stray bytes that are due after a number of events.
func (a *answer) sendStray(events int) error {
	stray := a.e.Faults().Stray
	if !stray.dueAfter(events, a.s.epoch) {
		return nil
	}
	if _, err := io.WriteString(a.w, stray.Bytes); err != nil {
		return err
	}
	a.flush()
	if stray.BreakOff {
		return errBrokenOff
	}
	return nil
}

// answerWriter writes the body of an answer.
type answerWriter interface {
	io.Writer
	http.Flusher
	// end ends an answer that is whole, or breaks it off.
	end(whole bool)
}

// framed is an answer that net/http frames.
type framed struct {
	io.Writer
	http.Flusher
}

func (framed) end(whole bool) {
	if !whole {
		// Cuts the connection: an answer cut short must not look whole.
		panic(http.ErrAbortHandler)
	}
}

// unframed is an answer that is written to the connection itself and ends with it.
type unframed struct {
	*bufio.ReadWriter
	conn net.Conn
}

// Flush implements http.Flusher. A flush fails if the caller has gone; the next write tells.
func (u unframed) Flush() { _ = u.ReadWriter.Flush() }

func (u unframed) end(whole bool) {
	if tcp, ok := u.conn.(*net.TCPConn); ok && !whole {
		_ = tcp.SetLinger(0) // a connection that has ended needs no reset
	}
	_ = u.conn.Close() // as above
}

// begin writes the head of an answer and returns what writes its body.
func begin(w http.ResponseWriter, faults Faults, epoch uint32) answerWriter {
	w.Header().Set("Content-Type", cmp.Or(faults.ContentType, "text/event-stream"))
	beforeHead := faults.Stray.BeforeHead && faults.Stray.dueIn(epoch)
	if !faults.Unframed && !beforeHead {
		w.WriteHeader(cmp.Or(faults.Status, http.StatusOK))
		return framed{w, w.(http.Flusher)}
	}
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the stand-in's server can always hijack
	}
	if beforeHead {
		_, _ = buffer.WriteString(faults.Stray.Bytes)
	}
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffer)
	_, _ = buffer.WriteString("Connection: close\r\n\r\n")
	u := unframed{buffer, conn}
	u.Flush()
	return u
}
