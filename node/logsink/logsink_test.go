package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowReader is an output that stands still until it is let go.
type slowReader struct {
	gate chan struct{}
	// reached gets a value at each write, before the writer waits.
	reached chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (r *slowReader) Write(p []byte) (int, error) {
	select {
	case r.reached <- struct{}{}:
	default: // nobody asks any more
	}
	<-r.gate
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(p)
}

// The reader of a node's log stands still. Requests that log go on; what is dropped is
// counted and told when the reader reads again.
func TestStandingReaderHoldsUpNobody(t *testing.T) {
	const lines = 4 * defaultBytes / 1024
	out := &slowReader{gate: make(chan struct{}), reached: make(chan struct{}, 1)}
	s := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	// The sink must wait for the reader before the lines come: else it could take a full buffer
	// and the count of what was dropped, and room for the rest.
	_, _ = s.Write(line)
	<-out.reached
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			if _, err := s.Write(line); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a log line waited for the reader")
	}
	dropped := s.Dropped()
	if want := lines - defaultBytes/len(line); dropped != want {
		t.Fatalf("%d lines were dropped, want the %d that the buffer has no room for", dropped, want)
	}
	close(out.gate)
	s.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.got.String(), fmt.Sprintf(`"count":%d`, dropped)) {
		t.Error("it was not told how many lines are missing")
	}
}

func TestLinesComeWholeAndInOrder(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	var want strings.Builder
	for i := range 1000 {
		line := fmt.Sprintln("line", i)
		want.WriteString(line)
		_, _ = s.Write([]byte(line))
	}
	s.Close()
	if out.String() != want.String() {
		t.Errorf("%d bytes, want %d", out.Len(), want.Len())
	}
}

// blocks keeps what each write brought.
type blocks struct{ got [][]byte }

func (b *blocks) Write(p []byte) (int, error) {
	b.got = append(b.got, bytes.Clone(p))
	return len(p), nil
}

// Several nodes write into one pipe. A write that is longer than the pipe takes at once
// is cut within another's lines, and neither can be read.
func TestWritesFitAPipe(t *testing.T) {
	var out blocks
	s := New(&out)
	for i := range 2000 {
		_, _ = s.Write([]byte(strings.Repeat("x", i%300) + "\n"))
	}
	long := strings.Repeat("y", 2*blockBytes) + "\n"
	_, _ = s.Write([]byte(long))
	s.Close()
	for _, block := range out.got {
		if block[len(block)-1] != '\n' || len(block) > blockBytes && string(block) != long {
			t.Errorf("a write of %d bytes that ends in %q", len(block), block[len(block)-1])
		}
	}
}
