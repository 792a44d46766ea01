package upstream

import (
	"bytes"
	"net/http"
	"strconv"
)

// maxInlineWriteBytes is the body length up to which a request is written before its answer
// is read. Such a body fits the socket's send buffer, so the write does not block. The write
// of a longer body would block if the endpoint answered before reading the request.
const maxInlineWriteBytes = 8 << 10

// write sends the request. The body of a long request is written in the background.
func (e *Exchange) write(r Request) error {
	head := encodeHead(r)
	if len(r.Body) <= maxInlineWriteBytes {
		return e.writeAll(r, append(head, r.Body...))
	}
	// An endpoint that has answered may stop reading, and the write then fails. The connection is not
	// reused then, and an answer that ends with it is not whole.
	go func() { _ = e.writeAll(r, append(head, r.Body...)) }()
	return nil
}

func (e *Exchange) writeAll(r Request, data []byte) error {
	n, err := e.conn.Write(data)
	e.writeErr = err
	close(e.writeEnded)
	if err != nil {
		return &Failure{Address: r.Address, NotSent: n == 0, Cause: Error.Wrap(err)}
	}
	return nil
}

// endWrite closes the connection, so that a write that is under way ends, and reports whether the request was
// written to its end. It implements httpanswer.Written.
func (e *Exchange) endWrite() bool {
	e.pool.discard(e.address, e.conn)
	<-e.writeEnded
	return e.writeErr == nil
}

// hasWritten reports whether the request has been written to its end by now.
func (e *Exchange) hasWritten() bool {
	select {
	case <-e.writeEnded:
		return e.writeErr == nil
	default:
		return false
	}
}

// encodeHead encodes the request line and the headers. The target is sent as it was received,
// because a library that parses and formats the target may change its encoding.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a bytes.Buffer don't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
