// Package answertest stands in for senders of answers that state no framing, are cut, or are none. It is for tests
// only.
package answertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// closes ends the connection behind an answer that states it.
const closes = "Connection: close\r\n"

// Serve answers each request, once it is read, with the bytes that answer returns for its path.
func Serve(t testing.TB, answer func(path string) string) (address string) {
	return listen(t, func(conn *net.TCPConn) {
		requests := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			// A body that breaks off ends the connection, which the next read tells.
			_, _ = io.Copy(io.Discard, request.Body)
			bytes := answer(request.URL.Path)
			if _, err := io.WriteString(conn, bytes); err != nil || strings.Contains(bytes, closes) {
				return
			}
		}
	})
}

// An End ends the connection of an answer that was written before its request was read.
type End func(conn *net.TCPConn)

// stillWriting is enough for a caller to read an answer while it goes on writing its request.
const stillWriting = 50 * time.Millisecond

// Reset resets the connection, at once or after a time.
func Reset(after time.Duration) End {
	return func(conn *net.TCPConn) {
		time.Sleep(after)
		_ = conn.SetLinger(0) // the connection may have ended
	}
}

// CloseUnread closes the connection, which resets it once the rest of the request arrives.
func CloseUnread(*net.TCPConn) {}

// HalfClose ends the answer and lets the caller write the rest of the request.
func HalfClose(conn *net.TCPConn) {
	_ = conn.CloseWrite() // the connection may have ended
	time.Sleep(stillWriting)
	_, _ = io.Copy(io.Discard, conn)
}

// ServeEarly answers each request at its head, before it reads the body, and ends the connection.
func ServeEarly(t testing.TB, answer string, end End) (address string) {
	return listen(t, func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer); err == nil {
			end(conn)
		}
	})
}

// listen serves each connection and closes it, until the test ends.
func listen(t testing.TB, serve func(*net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			running.Go(func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		mu.Lock()
		for _, conn := range open {
			conn.Close()
		}
		mu.Unlock()
		running.Wait()
	})
	return listener.Addr().String()
}
