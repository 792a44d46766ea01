package replica

import (
	"fmt"
	"maps"
)

// Stray are bytes in a stream that are no part of it.
type Stray struct {
	// Bytes is empty for none.
	Bytes string
	// After is the number of events of the run before the bytes. If the run has no more events, they
	// follow its last one.
	After int
	// BreakOff ends the connection after the bytes.
	BreakOff bool
	// Once leaves out all runs of a request but its first one, at whichever replica.
	Once bool
	// Every leaves out all runs at the replica but one of that many; zero leaves out none.
	Every int
}

// dueBefore reports whether the bytes come before the next event of a run.
func (s Stray) dueBefore(sent int) bool { return s.Bytes != "" && s.After == sent }

// dueAtEnd reports whether the bytes follow the last event of a run.
func (s Stray) dueAtEnd(sent int) bool { return s.Bytes != "" && s.After >= sent }

// StrayForm is a kind of bytes that are no part of a stream.
type StrayForm struct {
	Name string
	// Bytes returns the bytes after a number of events.
	Bytes func(after int) string
}

func always(bytes string) func(int) string { return func(int) string { return bytes } }

// StrayForms are the kinds of bytes that are no part of a stream.
var StrayForms = []StrayForm{
	{"an event without an id", always("data: stray\n\n")},
	{"an empty id", always("id:\ndata: stray\n\n")},
	{"an id of text", always("id: x\ndata: stray\n\n")},
	{"a negative id", always("id: -1\ndata: stray\n\n")},
	{"an id that is too long", always("id: 99999999999999999999\ndata: stray\n\n")},
	{"an id that is too high", always("id: 900\ndata: stray\n\n")},
	{"an id that is higher than the next", func(after int) string { return fmt.Sprintf("id: %d\ndata: stray\n\n", after+3) }},
	{"two ids", func(after int) string { return fmt.Sprintf("id: %d\nid: %d\ndata: stray\n\n", after+1, after+2) }},
	{"the due id without data", func(after int) string { return fmt.Sprintf("id: %d\n\n", after+1) }},
	{"bytes without a line end", always("\x00\xfestray")},
	{"a line", always("stray bytes\n")},
	{"a line and an empty one", always("stray bytes\r\n\r\n")},
	{"a carriage return", always("\r")},
	{"the head of an answer", always("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")},
	{"an answer", always("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")},
	{"a stream", always("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: stray\n\nid: 2\ndata: stray\n\n")},
}

// Strays returns the number of runs with stray bytes, by request.
func (f *Fleet) Strays() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.strays)
}

// strayIn returns the bytes that the replica writes into the next run of a request.
func (r *Replica) strayIn(request string, s Stray) Stray {
	again := len(r.fleet.Runs(request)) > 1
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams++
	if s.Once && again || s.Every > 1 && r.streams%s.Every != 0 {
		return Stray{}
	}
	return s
}

// writeStray writes bytes that are no part of the stream.
func (r *Replica) writeStray(out answerWriter, request string, stray Stray) {
	r.fleet.mu.Lock()
	r.fleet.strays[request]++
	r.fleet.mu.Unlock()
	// A write fails if the caller has gone; the next one tells.
	_, _ = out.Write([]byte(stray.Bytes))
	_ = out.Flush()
	if stray.BreakOff {
		out.breakOff()
	}
}
