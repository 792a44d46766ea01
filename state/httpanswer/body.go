package httpanswer

import (
	"errors"
	"io"
	"net/http"
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
	if errors.Is(err, io.EOF) {
		return n, b.judgeEnd()
	}
	return n, asFault(err)
}

// judgeEnd returns io.EOF if the answer is sound.
func (b *body) judgeEnd() error {
	if b.endsWithConnection && !b.written() {
		return &Fault{Reason: ReasonUnwritten, Detail: "the connection ended while the request was being written"}
	}
	if err := judgeFields(b.response.Trailer); err != nil {
		return err
	}
	return io.EOF
}
