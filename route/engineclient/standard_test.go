package engineclient

import (
	stdjson "encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// The decoder uses a faster JSON library than the standard one. If the two libraries
// decoded the same event differently, a token's spans would be checked against values
// that the engine did not send.
func FuzzAgainstStandard(f *testing.F) {
	for _, seed := range []string{
		`{"choices":[{"delta":{"content":" flour"},"finish_reason":null}],"cicadatack":{"stream":"s","epoch":1,"position":3,"spans":[{"endpoint":"e","first":0,"last":3,"micros":9}]}}`,
		`{"choices":[{"delta":{"content":"\ud83c\udf70\u0000\"\\"}}],"cicadatack":{"spans":[]}}`,
		`{"CHOICES":[{"Delta":{"Content":"x"}}],"cicadatack":{"epoch":4294967295,"position":-1}}`,
		`{"choices":[{"delta":{"content":"a","content":"b"}}],"cicadatack":{"stream":"s"},"cicadatack":{"epoch":2}}`,
		`{"choices":[{}],"cicadatack":null}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		if strings.ContainsAny(data, "\r\n") {
			t.Skip("an event is one line")
		}
		d := NewDecoder(strings.NewReader("data: " + data + "\n\n"))
		got, err := d.Next()
		if err != nil {
			return
		}
		want, ok := decodeWithStandardLibrary(data)
		if ok && !reflect.DeepEqual(normalizeSpans(got), normalizeSpans(want)) {
			t.Errorf("%s\ngot  %+v\nwant %+v", data, got, want)
		}
	})
}

func decodeWithStandardLibrary(data string) (Event, bool) {
	var c chunk
	trace := engineapi.TokenTrace{}
	c.Trace = &trace
	if stdjson.Unmarshal([]byte(data), &c) != nil || c.Trace == nil || len(c.Choices) != 1 {
		return Event{}, false
	}
	return Event{Token: c.Choices[0].Delta.Content, Trace: *c.Trace, Finish: c.Choices[0].FinishReason}, true
}

// normalizeSpans makes events comparable: nil spans and an empty list are equal.
func normalizeSpans(e Event) Event {
	if len(e.Trace.Spans) == 0 {
		e.Trace.Spans = nil
	}
	return e
}
