package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// reading is what a reader makes of an answer.
type reading struct {
	ids       []int64
	data      string
	violation *Violation
	rest      bool
}

// read reads an answer that arrives in pieces of a size.
func read(after Position, answer string, size int, complete bool) reading {
	r := NewReader(after)
	var got reading
	next := func() {
		block, ok, err := r.Next()
		for ; ok; block, ok, err = r.Next() {
			got.data += string(block.Data)
			if block.Event {
				got.ids = append(got.ids, block.ID)
			}
		}
		errors.As(err, &got.violation)
	}
	for piece := range slices.Chunk([]byte(answer), size) {
		r.Add(piece)
		next()
	}
	if complete {
		r.Complete()
		next()
	}
	got.rest = r.Incomplete()
	return got
}

func eventsUpTo(last int) string {
	var b strings.Builder
	for n := 1; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// Guards against sound streams that are ended, or lose bytes, because their form is a less usual one.
func TestSoundStreamsAreReadWhole(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		ids          []int64
	}{
		{"usual", eventsUpTo(3), []int64{1, 2, 3}},
		{"from 0", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", []int64{0, 1}},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", []int64{1, 2}},
		{"LF and CRLF", "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n", []int64{1, 2}},
		{"CR", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", []int64{1, 2}},
		{"byte order mark", "\ufeffid: 1\ndata: a\n\n", []int64{1}},
		{"comments", ": ready\n\nid: 1\n: in an event\ndata: a\n\n:\n\nid: 2\ndata: b\n\n: end\n\n", []int64{1, 2}},
		{"empty lines", "\n\nid: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n\n", []int64{1, 2}},
		{"several lines of data", "id: 1\ndata: a\ndata: b\ndata\ndata:\n\nid: 2\ndata: b\n\n", []int64{1, 2}},
		{"data before the id", "data: a\nid: 1\n\ndata: b\nid: 2\n\n", []int64{1, 2}},
		{"no space after the colon", "id:1\ndata:a\n\nid:2\ndata:b\n\n", []int64{1, 2}},
		{"event and retry", "retry: 500\n\nevent: token\nid: 1\ndata: a\nretry: 10\n\nevent\nid: 2\ndata: b\n\n", []int64{1, 2}},
		{"fields of the replica's own", "weight-versions: 2\nid: 1\ndata: a\n\nid: 2\ndata: b\nx9: 1\n\n", []int64{1, 2}},
		{"colons and bytes of all kinds in data", "id: 1\ndata: HTTP/1.1 200 OK: \x00\xff\n\n", []int64{1}},
		{"ids that skip", "id: 2\ndata: a\n\nid: 4\ndata: b\n\nid: 6\ndata: c\n\nid: 7\ndata: d\n\n", []int64{2, 4, 6, 7}},
		{"one event with a high id", "id: 17\ndata: a\n\n", []int64{17}},
		{"a long event", "id: 1\ndata: " + strings.Repeat("a", 2000) + "\n\n", []int64{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for size := 1; size <= len(c.answer); size++ {
				got := read(Position{}, c.answer, size, true)
				whole := strings.TrimRight(got.data, "\r\n") == strings.TrimRight(c.answer, "\r\n")
				if !slices.Equal(got.ids, c.ids) || got.violation != nil || got.rest || !whole {
					t.Fatalf("in pieces of %d: %v, %v, %q", size, got.ids, got.violation, got.data)
				}
			}
		})
	}
}

// Guards against bytes that are no part of a stream and are taken for an event, at each place where the
// bytes that arrive may be divided.
func TestStrayBytesEndTheStreamBeforeThem(t *testing.T) {
	for _, c := range []struct {
		name, stray string
		reason      Reason
	}{
		{"no id", "data: a\n\n", ReasonID},
		{"an empty id", "id:\ndata: a\n\n", ReasonID},
		{"an id of text", "id: x\ndata: a\n\n", ReasonID},
		{"a negative id", "id: -1\ndata: a\n\n", ReasonID},
		{"an id with a sign", "id: +4\ndata: a\n\n", ReasonID},
		{"a fraction", "id: 4.5\ndata: a\n\n", ReasonID},
		{"an id that is too long", "id: 1000000000000000000\ndata: a\n\n", ReasonID},
		{"two ids", "id: 4\nid: 5\ndata: a\n\n", ReasonID},
		{"only a field of the replica's own", "weight-versions: 2\n\n", ReasonID},
		{"no data", "id: 4\n\n", ReasonNoData},
		{"an id of before", "id: 3\ndata: a\n\n", ReasonOrder},
		{"the beginning of a stream", eventsUpTo(2), ReasonOrder},
		{"an id that is too high", "id: 900\ndata: a\n\n", ReasonJump},
		{"an id that is above the next", "id: 6\ndata: a\n\n", ReasonJump},
		{"bytes", "\x00\xffstray", ReasonLine},
		{"a line", "stray bytes\n", ReasonLine},
		{"a word", "stray\n", ReasonLine},
		{"an answer", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", ReasonLine},
		{"a header", "Content-Length: 5\r\n\r\n", ReasonLine},
		{"a carriage return", "\r", ReasonLine},
		{"a carriage return in a line", "data: a\rb\n", ReasonLine},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := eventsUpTo(3) + c.stray + "id: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n"
			for size := 1; size <= len(answer); size++ {
				got := read(Position{}, answer, size, true)
				if !slices.Equal(got.ids, []int64{1, 2, 3}) || got.data != eventsUpTo(3) {
					t.Fatalf("in pieces of %d: %v, %q", size, got.ids, got.data)
				}
				if v := got.violation; v == nil || v.Reason != c.reason || v.After != "3" || len(v.Bytes) > maxShownBytes {
					t.Fatalf("in pieces of %d: %v", size, v)
				}
			}
		})
	}
}

// Guards against an id that rises too far and is passed on before the next event or the end of the
// answer tells whether it may be the stream's.
func TestIDThatJumpsWaitsForTheNextEvent(t *testing.T) {
	const jump = "id: 9\ndata: a\n\n"
	for _, c := range []struct {
		name, answer string
		complete     bool
		ids          []int64
		violated     bool
	}{
		{"nothing follows yet", eventsUpTo(3) + jump, false, []int64{1, 2, 3}, false},
		{"the end follows", eventsUpTo(3) + jump, true, []int64{1, 2, 3}, true},
		{"a higher id follows", eventsUpTo(3) + jump + "id: 10\ndata: b\n\n", false, []int64{1, 2, 3, 9, 10}, false},
		{"a comment and a higher id follow", eventsUpTo(3) + jump + ": c\n\nid: 10\ndata: b\n\n", false, []int64{1, 2, 3, 9, 10}, false},
		{"a lower id follows", eventsUpTo(3) + jump + "id: 4\ndata: b\n\n", false, []int64{1, 2, 3}, true},
		{"stray bytes follow", eventsUpTo(3) + jump + "stray\n\n", false, []int64{1, 2, 3}, true},
		{"it is the first event", jump, false, nil, false},
		{"it is the only event", jump, true, []int64{9}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := read(Position{}, c.answer, len(c.answer), c.complete)
			if !slices.Equal(got.ids, c.ids) || (got.violation != nil) != c.violated {
				t.Errorf("%v, %v", got.ids, got.violation)
			}
		})
	}
}

// Guards against a resumed stream that is taken for stray bytes because its replica repeats events that
// the caller has.
func TestResumedAnswersMayRepeatEvents(t *testing.T) {
	after := ParsePosition("9")
	got := read(after, "id: 8\ndata: a\n\nid: 9\ndata: b\n\nid: 10\ndata: c\n\n", 1, true)
	if !slices.Equal(got.ids, []int64{8, 9, 10}) || got.violation != nil {
		t.Errorf("%v, %v", got.ids, got.violation)
	}
	for id, want := range map[int64]bool{8: false, 9: false, 10: true} {
		if got := after.Precedes(id); got != want {
			t.Errorf("%d after 9: %v", id, got)
		}
	}
	if got = read(after, "id: 90\ndata: a\n\nid: 10\ndata: b\n\n", 1, true); got.violation == nil || len(got.ids) > 0 {
		t.Errorf("90 after 9: %v, %v", got.ids, got.violation)
	}
}

// Guards against a position of text, or of an id that is too long, that is taken for a number.
func TestPositionsAreWholeNumbers(t *testing.T) {
	for text, want := range map[string]string{
		"": "", "x": "", "-1": "", "9223372036854775808": "", "0": "0", "12": "12", "999999999999999999": "999999999999999999",
	} {
		if got := ParsePosition(text).ID(); got != want {
			t.Errorf("%q: %q", text, got)
		}
	}
}

// Guards against a block without an end that is kept without a bound.
func TestBlocksHaveABound(t *testing.T) {
	for _, answer := range []string{"data: " + strings.Repeat("a", MaxBlockBytes), strings.Repeat(": a\n", MaxBlockBytes/4+1)} {
		if got := read(Position{}, answer, 64<<10, false); got.violation == nil || got.violation.Reason != ReasonTooLong {
			t.Errorf("%d bytes: %v", len(answer), got.violation)
		}
	}
}

// Guards against a hedge that wins by bytes that are no event of its stream.
func TestOnlyEventsOfTheStreamCountAsAhead(t *testing.T) {
	after := ParsePosition("3")
	for answer, want := range map[string]bool{
		": comment\n\n": false, "id: 3\ndata: a\n\n": false, "id: 4\ndata: a\n": false, "data: a\n\n": false, "id: 9\ndata: a\n\n": false,
		"id: 4\ndata: a\n\n": true, "id: 3\ndata: a\n\nid: 4\ndata: a\n\n": true,
	} {
		r := NewReader(after)
		r.Add([]byte(answer))
		got, err := r.HasEventAfter(after)
		if got != want || (err != nil) != (answer == "data: a\n\n") {
			t.Errorf("%q: %v, %v", answer, got, err)
		}
		if !bytes.Equal(r.pending(), []byte(answer)) {
			t.Errorf("%q was consumed", answer)
		}
	}
}

// The reader loses, invents and reorders no bytes, its events have rising ids and data, and how the bytes
// are divided changes nothing.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: x\n\n\n\nid:2\r\n\r\n", eventsUpTo(3), ": c\rid: 1\rdata\r\r", "\ufeffid: 1\ndata: a\n\nid: 9\ndata: b\n\nid: 2\ndata: c\n\n",
		"id: 1\ndata: a\n\nHTTP/1.1 200 OK\r\n\r\n", "retry: 1\n\nweight-versions: 1\nid: 5\ndata\n\n",
	} {
		f.Add([]byte(seed), 3, true)
	}
	f.Fuzz(func(t *testing.T, answer []byte, size int, complete bool) {
		if size <= 0 || len(answer) == 0 {
			return
		}
		got, whole := read(Position{}, string(answer), size, complete), read(Position{}, string(answer), len(answer), complete)
		if !strings.HasPrefix(string(answer), got.data) {
			t.Errorf("%q became %q", answer, got.data)
		}
		if got.data != whole.data || !slices.Equal(got.ids, whole.ids) || (got.violation == nil) != (whole.violation == nil) {
			t.Errorf("%q in pieces of %d: %q, %v; whole: %q, %v", answer, size, got.data, got.violation, whole.data, whole.violation)
		}
		for i := 1; i < len(got.ids); i++ {
			if got.ids[i] <= got.ids[i-1] {
				t.Errorf("%q: ids %v", answer, got.ids)
			}
		}
	})
}
