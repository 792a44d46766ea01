package httpanswer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// OnFault is told of each fault, with the address of its sender. It is called by several goroutines.
type OnFault func(address string, f *Fault)

// Checked returns a RoundTripper that sends requests through another one and returns sound answers only. onFault
// may be nil.
func Checked(sender http.RoundTripper, onFault OnFault) http.RoundTripper {
	if onFault == nil {
		onFault = func(string, *Fault) {}
	}
	return &transport{sender: sender, onFault: onFault}
}

type transport struct {
	sender  http.RoundTripper
	onFault OnFault
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	address, write := request.URL.Host, &requestWrite{}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), write.trace()))
	response, err := t.sender.RoundTrip(request)
	if err != nil {
		return nil, t.observe(address, asFault(err))
	}
	if err := judgeHead(response); err != nil {
		write.closeConn()
		response.Body.Close()
		return nil, t.observe(address, err)
	}
	judgeBody(response, func() bool { return write.wait(request.Context()) })
	response.Body = &observedBody{ReadCloser: response.Body, observe: func(err error) error { return t.observe(address, err) }}
	return response, nil
}

// CloseIdleConnections lets http.Client.CloseIdleConnections close those of the sender.
func (t *transport) CloseIdleConnections() {
	if closer, ok := t.sender.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// observe returns err.
func (t *transport) observe(address string, err error) error {
	if fault := (*Fault)(nil); errors.As(err, &fault) {
		t.onFault(address, fault)
	}
	return err
}

// observedBody tells of the error with which a body ends.
type observedBody struct {
	io.ReadCloser
	observe func(err error) error
}

// Read reads from the body.
func (b *observedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	return n, b.observe(err)
}

// requestWrite is the write of a request, on the connection that it was sent on last.
type requestWrite struct {
	mu    sync.Mutex
	conn  net.Conn
	ended chan struct{} // nil before the first connection
	over  bool          // ended is closed
	err   error
}

func (w *requestWrite) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return judgeFields(header) },
		GotConn: func(info httptrace.GotConnInfo) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.conn = info.Conn
			w.ended, w.over, w.err = make(chan struct{}), false, nil
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.ended == nil || w.over {
				return
			}
			w.over, w.err = true, info.Err
			close(w.ended)
		},
	}
}

// closeConn closes the connection of an answer that is none. The sender of the request may keep it otherwise, and
// what follows on it would be the answer to a later request.
func (w *requestWrite) closeConn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		w.conn.Close()
	}
}

// writeEndTimeout bounds the wait for the end of a write whose connection is being closed.
const writeEndTimeout = time.Second

// wait implements Written. The transport closes the connection of an answer that ends with it, so that the write
// ends as well. A transport that does not trace its writes is not waited for.
func (w *requestWrite) wait(ctx context.Context) bool {
	w.mu.Lock()
	ended := w.ended
	w.mu.Unlock()
	if ended == nil {
		return true
	}
	timeout := time.NewTimer(writeEndTimeout)
	defer timeout.Stop()
	select {
	case <-ended:
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.err == nil
	case <-ctx.Done():
	case <-timeout.C:
	}
	return false
}
