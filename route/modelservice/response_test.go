package modelservice

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/route/callparser"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

func newTestWriter(w http.ResponseWriter) *responseWriter {
	c := &callparser.Call{ID: `r"1`, Service: &document.Service{Name: "pastry-llm"}}
	return newResponseWriter(w, c, engineapi.ChatRequest{Stream: true})
}

// Tokens contain quotes, line breaks, markup and invalid UTF-8. If such a token broke
// its event, clients could not parse the stream. Each token gives one event, encoded as
// the JSON library encodes it.
func TestTokenEventsAreValidJSON(t *testing.T) {
	tokens := []string{"kue ", `"lapis"`, "a\nb\r\n", "<b>&</b>", "\u2028", "é", "\xff\x00", ""}
	w := httptest.NewRecorder()
	rw := newTestWriter(w)
	for _, token := range tokens {
		if err := rw.writeToken(token); err != nil {
			t.Fatal(err)
		}
	}
	events := strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
	if len(events) != len(tokens) {
		t.Fatalf("%d events for %d tokens: %q", len(events), len(tokens), w.Body)
	}
	for i, token := range tokens {
		want, err := json.Marshal(rw.chunk(engineapi.Delta{Content: token}, nil))
		if err != nil {
			t.Fatal(err)
		}
		var got, wanted any
		if err := json.Unmarshal([]byte(strings.TrimPrefix(events[i], "data: ")), &got); err != nil {
			t.Fatalf("%q: %v", events[i], err)
		}
		if err := json.Unmarshal(want, &wanted); err != nil {
			t.Fatal(err)
		}
		if gotText, wantText := encodeJSON(t, got), encodeJSON(t, wanted); token != "" && gotText != wantText {
			t.Errorf("token %q: got %s, want %s", token, gotText, wantText)
		}
	}
}

func encodeJSON(t *testing.T, v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// discardWriter is a response writer that discards its input.
type discardWriter struct{ header http.Header }

func (n discardWriter) Header() http.Header            { return n.header }
func (n discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (n discardWriter) WriteHeader(int)                {}
func (n discardWriter) Flush()                         {}

func BenchmarkWriteToken(b *testing.B) {
	rw := newTestWriter(discardWriter{http.Header{}})
	b.ReportAllocs()
	for b.Loop() {
		if err := rw.writeToken(" flour.bd25"); err != nil {
			b.Fatal(err)
		}
	}
}
