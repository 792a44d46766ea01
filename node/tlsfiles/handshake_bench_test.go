package tlsfiles_test

import (
	"crypto/tls"
	"net"
	"sync/atomic"
	"testing"

	"github.com/cicadatack/cicadatack/node/tlsfiles/tlstest"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkHandshake counts what a new connection to a peer costs, both ways, as the
// settings are and by what they leave out:
//
//	go test -run '^$' -bench Handshake ./node/tlsfiles
func BenchmarkHandshake(b *testing.B) {
	a := tlstest.NewAuthority(b)
	server, client := files(b, a, a), files(b, a, a)
	for _, c := range []struct {
		name           string
		mlkem, resumed bool
	}{
		{"as set", false, false},
		{"resumed", false, true},
		{"ML-KEM", true, false},
		{"ML-KEM, resumed", true, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			serve, call := server.MutualServer(), client.MutualClient()
			call.ServerName = "peer"
			if c.mlkem {
				call.CurvePreferences = nil // Go's own
				change(serve, func(each *tls.Config) { each.CurvePreferences = nil })
			}
			if c.resumed {
				call.ClientSessionCache = tls.NewLRUClientSessionCache(1)
				change(serve, func(each *tls.Config) { each.SessionTicketsDisabled = false })
				handshake(b, serve, call)
			}
			b.ResetTimer()
			total := int64(0)
			for range b.N {
				bytes, resumed := handshake(b, serve, call)
				if resumed != c.resumed {
					b.Fatalf("resumed %t, want %t", resumed, c.resumed)
				}
				total += bytes
			}
			b.ReportMetric(float64(total)/float64(b.N), "B/handshake")
		})
	}
}

// change changes the settings that a server takes for each connection.
func change(serve *tls.Config, f func(*tls.Config)) {
	get := serve.GetConfigForClient
	serve.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		each, err := get(hello)
		if err == nil {
			f(each)
		}
		return each, err
	}
}

// handshake connects, passes a byte each way, and returns the bytes that took.
func handshake(b *testing.B, serve, call *tls.Config) (int64, bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		s := tls.Server(c, serve)
		one := make([]byte, 1)
		if _, err := s.Read(one); err == nil {
			_, _ = s.Write(one) // the client fails if this does
		}
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer raw.Close()
	var bytes atomic.Int64
	c := tls.Client(countedConn{raw, &bytes}, call)
	one := make([]byte, 1)
	if _, err := c.Write(one); err != nil {
		b.Fatal(err)
	}
	if _, err := c.Read(one); err != nil {
		b.Fatal(err)
	}
	return bytes.Load(), c.ConnectionState().DidResume
}
