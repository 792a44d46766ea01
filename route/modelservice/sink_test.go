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

// Tokens hold quotes, line ends, markup and bytes that are no UTF-8. A client
// that reads the events by a JSON library gets each token as the library itself
// would have written it, and one event a token.
func TestTokenEventsAreValidJSON(t *testing.T) {
	tokens := []string{"kue ", `"lapis"`, "a\nb\r\n", "<b>&</b>", "\u2028", "é", "\xff\x00", ""}
	w := httptest.NewRecorder()
	s := newTestWriter(w)
	for _, token := range tokens {
		if err := s.writeToken(token); err != nil {
			t.Fatal(err)
		}
	}
	events := strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
	if len(events) != len(tokens) {
		t.Fatalf("%d events for %d tokens: %q", len(events), len(tokens), w.Body)
	}
	for i, token := range tokens {
		want, err := json.Marshal(s.chunk(engineapi.Delta{Content: token}, nil))
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

// discardWriter takes answers without keeping them.
type discardWriter struct{ header http.Header }

func (n discardWriter) Header() http.Header            { return n.header }
func (n discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (n discardWriter) WriteHeader(int)                {}
func (n discardWriter) Flush()                         {}

func BenchmarkWriteToken(b *testing.B) {
	s := newTestWriter(discardWriter{http.Header{}})
	b.ReportAllocs()
	for b.Loop() {
		if err := s.writeToken(" flour.bd25"); err != nil {
			b.Fatal(err)
		}
	}
}
