package upstream

import (
	"errors"
	"io"
	"time"

	"github.com/cicadatack/cicadatack/state/httpanswer"
)

// Read reads from the body. It fails if nothing arrives within the timeout. io.EOF means that
// the answer is complete. Other errors are *Failure.
func (e *Exchange) Read(p []byte, timeout time.Duration) (int, error) {
	if err := e.conn.SetReadDeadline(e.pool.now().Add(timeout)); err != nil {
		return 0, &Failure{Address: e.address, Cause: Error.Wrap(err)}
	}
	n, err := e.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		e.bodyComplete = true
		return n, io.EOF
	}
	return n, e.pool.failure(e.address, err)
}

// EndsWithConnection reports whether the answer states neither a length nor chunks, so that the end of
// the connection is its end. Read can't tell then whether the answer is complete: a process that is
// killed closes its connections as well.
func (e *Exchange) EndsWithConnection() bool {
	return httpanswer.EndsWithConnection(e.Response)
}

// ErrTooLong is the error of ReadAll for a body of maxBytes or more.
var ErrTooLong = errors.New("the answer exceeds the buffer limit")

const (
	// firstBufferBytes and maxFirstBufferBytes bound the first buffer for a body, by the length that the
	// answer states. The buffer grows with what has been received: an endpoint may state any length.
	firstBufferBytes    = 512
	maxFirstBufferBytes = 32 << 10
)

// ReadAll reads the body to its end. It fails if the body does not end within the timeout. If
// the body has maxBytes or more, ReadAll returns the bytes read so far and ErrTooLong.
func (e *Exchange) ReadAll(maxBytes int, timeout time.Duration) ([]byte, error) {
	return e.ReadGrowing(maxBytes, timeout, func(int) error { return nil })
}

// ReadGrowing is ReadAll for a buffer that may not grow to maxBytes. grow is called with the size of each
// larger buffer. If it fails, ReadGrowing returns the bytes read so far and its error.
func (e *Exchange) ReadGrowing(maxBytes int, timeout time.Duration, grow func(bytes int) error) ([]byte, error) {
	deadline := e.pool.now().Add(timeout)
	stated := min(e.ContentLength, maxFirstBufferBytes) + 1 // with room to see the end
	body := make([]byte, 0, min(max(firstBufferBytes, int(stated)), maxBytes))
	for {
		if len(body) >= maxBytes {
			return body, ErrTooLong
		}
		if len(body) == cap(body) {
			size := min(2*cap(body), maxBytes)
			if err := grow(size); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := e.Read(body[len(body):cap(body)], deadline.Sub(e.pool.now()))
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Discard reads the body to its end without keeping it, so that the connection can be reused. It fails if
// the body has maxBytes or more, or does not end within the timeout.
func (e *Exchange) Discard(maxBytes int, timeout time.Duration) error {
	deadline := e.pool.now().Add(timeout)
	var buffer [firstBufferBytes]byte
	for read := 0; read < maxBytes; {
		n, err := e.Read(buffer[:], deadline.Sub(e.pool.now()))
		read += n
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return ErrTooLong
}

// MoreReceived reports whether bytes have been received behind the answer, which was read to its end.
func (e *Exchange) MoreReceived() bool { return e.bodyComplete && e.conn.received() }
