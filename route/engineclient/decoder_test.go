package engineclient

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/state/engineapi"
	. "github.com/smartystreets/goconvey/convey"
)

const goodEvent = `data: {"choices":[{"delta":{"content":" tide"},"finish_reason":null}],"cicadatack":{"stream":"s","epoch":1,"position":0,"spans":[{"endpoint":"a","first":0,"last":7,"micros":9}]}}` + "\n\n"

func decodeAll(text string) ([]Event, error) {
	decoder := NewDecoder(strings.NewReader(text))
	var events []Event
	for {
		event, err := decoder.Next()
		if err != nil {
			return events, err
		}
		event.Trace.Spans = slices.Clone(event.Trace.Spans)
		events = append(events, event)
	}
}

// decodeIndependently decodes the first n events, each into new memory.
func decodeIndependently(text string, n int) []Event {
	var events []Event
	for line := range strings.Lines(text) {
		data, ok := strings.CutPrefix(line, "data:")
		if !ok || len(events) == n {
			continue
		}
		chunk := engineapi.Chunk{Trace: &engineapi.TokenTrace{}}
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
			break
		}
		event := Event{Token: chunk.Choices[0].Delta.Content, Trace: *chunk.Trace}
		if reason := chunk.Choices[0].FinishReason; reason != nil {
			event.Finish = *reason
		}
		events = append(events, event)
	}
	return events
}

func sameEvents(a, b []Event) bool {
	return slices.EqualFunc(a, b, func(x, y Event) bool {
		spans := slices.Equal(x.Trace.Spans, y.Trace.Spans)
		x.Trace.Spans, y.Trace.Spans = nil, nil
		return spans && reflect.DeepEqual(x, y)
	})
}

func TestDecoder(t *testing.T) {
	cases := []struct {
		name   string
		text   string
		events int
		err    error
	}{
		{"complete", goodEvent + "data: [DONE]\n\n", 1, io.EOF},
		{"carriage returns and comments", ": hello\r\nevent: x\r\n" + strings.ReplaceAll(goodEvent, "\n", "\r\n") + "data:[DONE]\r\n", 1, io.EOF},
		{"no marker", goodEvent, 1, ErrTruncated},
		{"nothing", "", 0, ErrTruncated},
		{"half an event", goodEvent[:60], 0, ErrMalformed},
		{"no trace", `data: {"choices":[{"delta":{"content":"x"}}]}` + "\n\n", 1, ErrTruncated},
		{"null trace", `data: {"choices":[{"delta":{"content":"x"}}],"cicadatack":null}` + "\n\n", 0, ErrMalformed},
		{"no choice", `data: {"choices":[],"cicadatack":{"stream":"s"}}` + "\n\n", 0, ErrMalformed},
		{"endless line", "data: " + strings.Repeat("x", 2*MaxEventBytes), 0, ErrEventTooLong},
	}
	Convey("A complete stream ends with io.EOF, a faulty one with the error of its fault", t, func() {
		for _, c := range cases {
			events, err := decodeAll(c.text)
			So(c.name+errorText(err, c.err), ShouldEqual, c.name)
			So(len(events), ShouldEqual, c.events)
		}
	})
	Convey("A token does not inherit spans from an earlier event whose JSON has the field spans twice", t, func() {
		text := ""
		for _, spans := range []string{`[{"first":1},{"first":2}],"spans":[{}]`, `[{},{}]`} {
			text += `data: {"choices":[{}],"cicadatack":{"spans":` + spans + "}}\n"
		}
		events, _ := decodeAll(text)
		So(events, ShouldHaveLength, 2)
		So(sameEvents(events, decodeIndependently(text, 2)), ShouldBeTrue)
	})
	Convey("A token does not inherit the span or the text of the previous token", t, func() {
		sparseEvent := strings.Replace(goodEvent, `"first":0,"last":7,"micros":9`, `"first":0`, 1)
		sparseEvent = strings.Replace(sparseEvent, `"content":" tide"`, ``, 1)
		decoder := NewDecoder(strings.NewReader(goodEvent + sparseEvent))
		_, err := decoder.Next()
		So(err, ShouldBeNil)
		event, err := decoder.Next()
		So(err, ShouldBeNil)
		So(event.Token, ShouldBeEmpty)
		So(event.Trace.Spans, ShouldResemble, []engineapi.Span{{Endpoint: "a"}})
	})
}

func errorText(err, want error) string {
	if errors.Is(err, want) {
		return ""
	}
	return " gave " + err.Error()
}

// FuzzDecoder decodes streams that a faulty engine may send. The decoder must end with
// one of its own errors, and each event must equal the event decoded on its own.
func FuzzDecoder(f *testing.F) {
	f.Add(goodEvent + "data: [DONE]\n\n")
	f.Add(strings.Replace(goodEvent, `"position":0`, `"position":-9223372036854775808`, 1))
	f.Add("data: {\"choices\":[{}],\"cicadatack\":{\"spans\":[{},{}]}}\n\ndata: [DONE]")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := decodeAll(text)
		if !errors.Is(err, io.EOF) && !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrEventTooLong) {
			t.Fatal("unexpected kind of error:", err)
		}
		if independent := decodeIndependently(text, len(events)); !sameEvents(events, independent) {
			t.Fatalf("memory reused between events changes them: got %+v, want %+v", events, independent)
		}
	})
}

// Without its seed files, FuzzDecoder starts from three inputs only.
func TestSeedsAreCommitted(t *testing.T) {
	seeds, err := filepath.Glob(filepath.Join("testdata", "fuzz", "FuzzDecoder", "*"))
	if err != nil || len(seeds) == 0 {
		t.Fatal("no seed files found", err)
	}
	for _, seed := range seeds {
		if text, err := os.ReadFile(seed); err != nil || !strings.HasPrefix(string(text), "go test fuzz v1\n") {
			t.Error(seed, "is not a seed file", err)
		}
	}
}

func BenchmarkDecoder(b *testing.B) {
	var chunk engineapi.Chunk
	if err := json.Unmarshal([]byte(strings.TrimPrefix(strings.TrimSpace(goodEvent), "data: ")), &chunk); err != nil {
		b.Fatal(err)
	}
	decoder := NewDecoder(&repeatingReader{text: goodEvent})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decoder.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatingReader returns the same text again and again.
type repeatingReader struct {
	text   string
	offset int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.offset:])
	r.offset = (r.offset + n) % len(r.text)
	return n, nil
}

// Guards against a process that runs out of stack because of an event that is nested deeply.
func TestDeeplyNestedEventsAreMalformed(t *testing.T) {
	depth := MaxEventBytes/2 - 64
	for _, open := range []string{"[", `{"x":`} {
		n := depth / len(open)
		for _, data := range []string{strings.Repeat(open, n), `{"choices":` + strings.Repeat(open, n), `{"x":` + strings.Repeat(open, n)} {
			d := NewDecoder(strings.NewReader("data: " + data + "\n\n"))
			if _, err := d.Next(); !errors.Is(err, ErrMalformed) {
				t.Errorf("%.20s...: %v", data, err)
			}
		}
	}
}
