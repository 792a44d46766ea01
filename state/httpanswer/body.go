package httpanswer

import (
	"errors"
	"io"
	"net/http"
	"syscall"
)

// body judges the end of an answer.
type body struct {
	io.ReadCloser
	response           *http.Response
	endsWithConnection bool
	written            Written
}

// judgeBody makes the body of an answer end with io.EOF only if the answer is sound.
func judgeBody(r *http.Response, written Written) {
	if r.Body == http.NoBody {
		return
	}
	r.Body = &body{ReadCloser: r.Body, response: r, endsWithConnection: EndsWithConnection(r), written: written}
}

// Read reads from the body.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	switch {
	case errors.Is(err, io.EOF):
		return n, b.judgeEnd()
	case errors.Is(err, syscall.ECONNRESET) && b.isUnwritten():
		return n, errUnwritten
	}
	return n, asFault(err)
}

// errUnwritten is the end of an answer that ended with its connection before its request was written.
var errUnwritten = &Fault{Reason: ReasonUnwritten, Detail: "the connection ended while the request was being written"}

// isUnwritten reports whether the answer ends with its connection, and its request was not written before. The
// reset that ends it is told once, to the write of the request or to the read of the answer.
func (b *body) isUnwritten() bool { return b.endsWithConnection && !b.written() }

// judgeEnd returns io.EOF if the answer is sound.
func (b *body) judgeEnd() error {
	if b.isUnwritten() {
		return errUnwritten
	}
	if err := judgeFields(b.response.Trailer); err != nil {
		return err
	}
	return io.EOF
}
