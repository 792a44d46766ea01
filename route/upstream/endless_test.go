package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// sendWithoutEnd answers a request with a beginning and then the same bytes again and again, until the
// caller closes.
func sendWithoutEnd(beginning, repeated string) func(conn net.Conn, requests *bufio.Reader, _ int) {
	chunk := []byte(strings.Repeat(repeated, 1<<10))
	return func(conn net.Conn, requests *bufio.Reader, _ int) {
		if _, err := requests.ReadString('\n'); err != nil {
			return
		}
		_, err := conn.Write([]byte(beginning))
		for err == nil {
			_, err = conn.Write(chunk)
		}
	}
}

// Guards against a node that reads the head of an answer without end into memory, and holds its
// caller, until it is killed for its memory.
func TestHeadWithoutEndIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct{ name, beginning, repeated string }{
		{"a line without end", "", "garbage "},
		{"a status line without end", "HTTP/1.1 200 ", "OK"},
		{"headers without end", "HTTP/1.1 200 OK\r\n", "X-Garbage: 1\r\n"},
		{"one header without end", "HTTP/1.1 200 OK\r\nX-Garbage: ", "1"},
		{"interim answers without end", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := endpoint(t, sendWithoutEnd(c.beginning, c.repeated))
			pool := New(time.Now)
			defer pool.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			begun := time.Now()
			exchange, err := pool.Send(context.Background(), request(address, "r"))
			took := time.Since(begun)
			runtime.ReadMemStats(&after)
			if err == nil {
				exchange.Close()
				t.Fatal("taken for an answer")
			}
			var failure *Failure
			if !errors.As(err, &failure) || failure.TimedOut || failure.NotSent {
				t.Errorf("failed with %v", err)
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; took > time.Second || allocated > 16*maxHeadBytes {
				t.Errorf("refused after %v and %d bytes", took, allocated)
			}
			if pool.OpenConns() > 0 {
				t.Error("the connection stays open")
			}
		})
	}
}

// Guards against an answer after a stray one, or after many on one connection, whose head is taken for
// one without end.
func TestLimitOfHeadsIsOfEachHead(t *testing.T) {
	const answers = 40
	padding := strings.Repeat("x", maxHeadBytes/4)
	address := endpoint(t, func(conn net.Conn, requests *bufio.Reader, _ int) {
		for {
			line, err := requests.ReadString('\n')
			if err != nil {
				return
			}
			if line == "\r\n" {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\nX-Padding: " + padding + "\r\n\r\nok"))
			}
		}
	})
	pool := New(time.Now)
	defer pool.Close()
	for range answers {
		exchange, err := pool.Send(context.Background(), request(address, "r"))
		if err != nil {
			t.Fatal(err)
		}
		if body, err := exchange.ReadAll(100, time.Second); err != nil || string(body) != "ok" {
			t.Fatalf("%q, %v", body, err)
		}
		exchange.KeepAlive(time.Minute)
		exchange.Close()
	}
}

// Guards against a head of which each line takes many times its bytes once it is parsed, so that some hundred of
// them at once take the memory of the node. A head of half as many lines as are allowed is an answer.
func TestHeadOfManyShortLinesIsRefused(t *testing.T) {
	for _, c := range []struct {
		lines   int
		refused bool
	}{{maxHeadLines / 2, false}, {8 * maxHeadLines, true}} {
		head := "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 0\r\n"
		for i := range c.lines {
			head += fmt.Sprintf("X%d: 1\r\n", i)
		}
		address := endpoint(t, func(conn net.Conn, requests *bufio.Reader, _ int) {
			for line := ""; line != "\r\n"; {
				var err error
				if line, err = requests.ReadString('\n'); err != nil {
					return
				}
			}
			_, _ = conn.Write([]byte(head + "\r\n"))
			_, _ = requests.ReadByte() // until the caller closes
		})
		pool := New(time.Now)
		exchange, err := pool.Send(context.Background(), request(address, "r"))
		var failure *Failure
		if refused := errors.As(err, &failure) && !failure.NotSent && !failure.TimedOut; refused != c.refused {
			t.Errorf("%d lines: refused: %v, %v", c.lines, refused, err)
		}
		if err == nil {
			exchange.Close()
		}
		pool.Close()
	}
}

// Guards against buffers that are as large as an endpoint says its answer will be, and against a body that is read
// on although nobody wants it.
func TestBuffersFollowWhatWasReceived(t *testing.T) {
	const want = 40 << 10
	for _, framing := range []string{"Content-Length: 1000000000000000", "Connection: close", "Not-Run: 1"} {
		address := endpoint(t, sendWithoutEnd("HTTP/1.1 503 Service Unavailable\r\n"+framing+"\r\n\r\n", "garbage "))
		pool := New(time.Now)
		for _, read := range []func(e *Exchange) error{
			func(e *Exchange) error {
				largest := 0
				body, err := e.ReadGrowing(1<<20, time.Second, func(bytes int) error {
					if largest = bytes; bytes > want {
						return errTestFull
					}
					return nil
				})
				if !errors.Is(err, errTestFull) || len(body) < largest/2 || cap(body) > want {
					t.Errorf("%s: %d bytes in a buffer of %d, %v", framing, len(body), cap(body), err)
				}
				return nil
			},
			func(e *Exchange) error { return e.Discard(want, time.Second) },
		} {
			exchange, err := pool.Send(context.Background(), request(address, ""))
			if err != nil {
				t.Fatal(framing, err)
			}
			if err := read(exchange); err != nil && !errors.Is(err, ErrTooLong) {
				t.Errorf("%s: %v", framing, err)
			}
			exchange.Close()
		}
		pool.Close()
	}
}

var errTestFull = errors.New("full")
