package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answering accepts one connection, answers a request on it with each of the answers in turn, and ends the
// connection as end does.
func answering(t *testing.T, end func(*net.TCPConn), answers ...string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer l.Close()
		c, err := l.Accept()
		if err != nil {
			return
		}
		for _, answer := range answers {
			_, _ = c.Read(make([]byte, 4<<10)) // the request fits
			_, _ = io.WriteString(c, answer)
		}
		end(c.(*net.TCPConn))
	}()
	return l.Addr().String()
}

func closeConn(c *net.TCPConn) { _ = c.Close() }

// Guards against an answer that a replica has cut, in the head or later, and that is taken for a whole
// one with an empty or a short body.
func TestCutAnswersAreNeverWhole(t *testing.T) {
	const body = "forty cartons of cream"
	head := "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\n"
	framings := []struct {
		name, head, body string
		// endsWithConnection is set if the end of the connection is the end of the body, so that only a
		// cut in the head can be told.
		endsWithConnection bool
	}{
		{"length last", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body, false},
		{"length first", strings.Replace(head, "Request-Id", fmt.Sprintf("Content-Length: %d\r\nRequest-Id", len(body)), 1) + "\r\n", body, false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), false},
		{"chunks and trailers", head + "Trailer: T\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nT: 1\r\n\r\n", len(body), body), false},
		{"bare line feeds", strings.ReplaceAll(head, "\r", "") + fmt.Sprintf("Content-Length: %d\n\n", len(body)), body, false},
		{"folded line", head + fmt.Sprintf("X: a\r\n b\r\nContent-Length: %d\r\n\r\n", len(body)), body, false},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body, false},
		{"long head", head + "X: " + strings.Repeat("x", 3*readBufferBytes) + fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", len(body)), body, false},
		{"no length", head + "\r\n", body, true},
		{"no length, closes", head + "Connection: close\r\n\r\n", body, true},
	}
	ends := []struct {
		name string
		end  func(*net.TCPConn)
	}{
		{"closed", closeConn},
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
		{"half closed", func(c *net.TCPConn) { _ = c.CloseWrite() }},
	}
	pool := New(time.Now)
	defer pool.Close()
	for _, f := range framings {
		for _, e := range ends {
			whole := f.head + f.body
			for cut := 0; cut < len(whole); cut += 1 + len(whole)/500 {
				if f.endsWithConnection && cut >= len(f.head) {
					break
				}
				status, got, err := exchange(pool, answering(t, e.end, whole[:cut]))
				if err == nil {
					t.Errorf("%s, %s after %q: status %d with the body %q", f.name, e.name, whole[:cut], status, got)
				}
			}
			if e.name == "reset" {
				continue // a reset may overtake the answer
			}
			if _, got, err := exchange(pool, answering(t, e.end, whole)); err != nil || got != body {
				t.Errorf("%s, %s: the whole answer is %q, %v", f.name, e.name, got, err)
			}
		}
	}
}

// Guards against the same where the connection has carried a whole answer before, and where the answer
// has no body.
func TestCutAnswersOnKeptConnectionsAreNeverWhole(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 5\r\n\r\n"
	pool := New(time.Now)
	defer pool.Close()
	for _, c := range []struct{ method, answer string }{{http.MethodGet, whole + "whole"}, {http.MethodHead, whole}} {
		for cut := range len(c.answer) {
			address := answering(t, closeConn, c.answer, c.answer[:cut])
			first, err := pool.Send(context.Background(), Request{Address: address, Method: c.method, Target: "/", Header: http.Header{}, HeadTimeout: 5 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := first.ReadAll(1<<20, 5*time.Second); err != nil {
				t.Fatal(err)
			}
			first.KeepAlive(time.Minute)
			first.Close()
			e, err := pool.Send(context.Background(), Request{Address: address, Method: c.method, Target: "/", Header: http.Header{}, HeadTimeout: 5 * time.Second})
			if err != nil {
				continue
			}
			if data, err := e.ReadAll(1<<20, 5*time.Second); err == nil {
				t.Errorf("%s, after %q: status %d with the body %q", c.method, c.answer[:cut], e.StatusCode, data)
			}
			e.Close()
		}
	}
}

// exchange sends a request and reads the whole answer.
func exchange(pool *Pool, address string) (status int, body string, err error) {
	e, err := pool.Send(context.Background(), Request{
		Address: address, Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}, NewConn: true, HeadTimeout: 5 * time.Second,
	})
	if err != nil {
		return 0, "", err
	}
	defer e.Close()
	data, err := e.ReadAll(1<<20, 5*time.Second)
	return e.StatusCode, string(data), err
}
