package bench

import (
	"io"
	"net"
	"sync/atomic"
)

// traffic counts the bytes of connections in both directions, with HTTP headers
// and without those of TCP and IP.
type traffic struct {
	bytes atomic.Int64
}

// listener counts what is read and written on the connections it accepts.
type listener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.traffic}, nil
}

type conn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// relay passes connections on to a node's listener for peers and counts them.
// Its address is known before the node's, so that the node can advertise it.
type relay struct {
	listener net.Listener
	to       atomic.Pointer[string]
}

func newRelay(t *traffic) (*relay, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &relay{listener: listener{l, t}}
	go r.serve()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() { r.listener.Close() }

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

func (r *relay) pass(near net.Conn) {
	defer near.Close()
	to := r.to.Load()
	if to == nil {
		return
	}
	far, err := net.Dial("tcp", *to)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		// Either end may go at any time; both connections then close.
		_, _ = io.Copy(far, near)
		far.Close()
	}()
	_, _ = io.Copy(near, far)
}
