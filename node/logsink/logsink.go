// Package logsink writes log lines off the request's way.
//
// The failure that it answers: the reader of a process's standard output stands
// still, the pipe fills, and every request that logs a line stands still with it.
// Lines go into a buffer of bounded size; while it is full they are dropped and
// counted, and the count is written as a line of its own once there is room.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// defaultBytes holds some seconds of the lines of a node in trouble.
const defaultBytes = 256 << 10

// flushEvery is how long lines are gathered, so that a busy node writes many with one
// call.
const flushEvery = 20 * time.Millisecond

// Sink is an io.Writer that never blocks. Safe for concurrent use.
type Sink struct {
	out  io.Writer
	most int

	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// New returns a Sink that writes to out. Close it to write what is left.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, most: defaultBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line. It always succeeds.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > s.most {
		s.dropped++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped is how many lines were dropped and not told yet.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes what is left and waits for it, but no longer than a second.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
	case <-time.After(time.Second):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	var spare []byte
	for range s.wake {
		lines, dropped, closed := s.take(spare)
		if dropped > 0 {
			lines = fmt.Appendf(lines, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", dropped)
		}
		s.write(lines)
		if closed {
			return
		}
		spare = lines
		time.Sleep(flushEvery)
	}
}

// blockBytes is the most that a pipe takes as one piece: the lines of processes that
// share one are then not cut within each other's.
const blockBytes = 4096

// write writes whole lines, as many at a time as a block holds.
func (s *Sink) write(lines []byte) {
	for len(lines) > 0 {
		block := firstBlock(lines)
		// There is nowhere to report that the log can't be written.
		_, _ = s.out.Write(block)
		lines = lines[len(block):]
	}
}

// firstBlock is the whole lines that a block holds, at least one.
func firstBlock(lines []byte) []byte {
	if len(lines) <= blockBytes {
		return lines
	}
	if end := bytes.LastIndexByte(lines[:blockBytes], '\n'); end >= 0 {
		return lines[:end+1]
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return lines[:end+1]
	}
	return lines
}

func (s *Sink) take(spare []byte) (lines []byte, dropped int, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, dropped = s.pending, s.dropped
	s.pending, s.dropped = spare[:0], 0
	return lines, dropped, s.closed
}
