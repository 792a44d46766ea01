package relay

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// The splitter returns only complete events, however the bytes of the stream are divided into
// reads, and nothing of an event that does not end.
func TestSplitterGivesWholeEvents(t *testing.T) {
	stream := "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\r\n\r\n: comment\n\nid: 3\nda"
	want := []string{"1", "2", ""}
	for size := 1; size <= len(stream); size++ {
		var s eventSplitter
		var ids []string
		var data strings.Builder
		for rest := []byte(stream); len(rest) > 0; {
			n := min(size, len(rest))
			s.add(rest[:n])
			rest = rest[n:]
			for ev, ok := s.next(); ok; ev, ok = s.next() {
				ids = append(ids, string(ev.id))
				data.Write(ev.data)
			}
		}
		if fmt.Sprint(ids) != fmt.Sprint(want) {
			t.Errorf("in pieces of %d: ids %q", size, ids)
		}
		if data.String() != strings.TrimSuffix(stream, "id: 3\nda") || s.incompleteBytes() == 0 {
			t.Errorf("in pieces of %d: %q", size, data.String())
		}
	}
}

// The splitter loses, invents and reorders no bytes.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n\n\nid:2\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		if size <= 0 {
			return
		}
		var s eventSplitter
		var out []byte
		for rest := stream; len(rest) > 0; {
			n := min(size, len(rest))
			s.add(rest[:n])
			rest = rest[n:]
			for ev, ok := s.next(); ok; ev, ok = s.next() {
				out = append(out, ev.data...)
			}
		}
		if !bytes.Equal(append(out, s.pending()...), stream) {
			t.Errorf("%q became %q and %q", stream, out, s.pending())
		}
	})
}

// A replica that resumes a stream may begin with the event whose id it was given as the last
// one received, or with the event before that. The caller already has these events and must not
// get them twice.
func TestRepeatedEventsAreDropped(t *testing.T) {
	var position eventPosition
	position.set([]byte("9"))
	for id, want := range map[string]bool{"8": false, "9": false, "10": true, "": true, "x": true, "9223372036854775808": true} {
		if got := position.precedes([]byte(id)); got != want {
			t.Errorf("%q after 9: %v", id, got)
		}
	}
}
