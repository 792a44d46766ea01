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
	mu   sync.Mutex
	got  bytes.Buffer
}

func (r *slowReader) Write(p []byte) (int, error) {
	<-r.gate
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(p)
}

// The reader of a node's log stands still. Requests that log go on; what is dropped is
// counted and told when the reader reads again.
func TestStandingReaderHoldsUpNobody(t *testing.T) {
	out := &slowReader{gate: make(chan struct{})}
	s := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 4 * defaultBytes / len(line) {
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
	if dropped == 0 {
		t.Fatal("nothing was dropped")
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
