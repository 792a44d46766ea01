package docindex

import (
	"net/http"
	"testing"

	"github.com/cicadatack/cicadatack/state/document"
)

// If a variant of a path that the document lists did not match, a call that must run at
// most once would be retried after a lost response.
func TestNonIdempotent(t *testing.T) {
	p := &document.Plain{NonIdempotent: []document.Call{{Method: "POST", Path: "/orders/"}}}
	cases := []struct {
		method, path string
		want         bool
	}{
		{"POST", "/orders/7", true},
		{"post", "/orders/7", true},
		{"POST", "/orders", true},
		{"POST", "//orders//7", true},
		{"POST", "/%6frders/7", true},
		{"POST", "/x/%2e%2e/orders/7", true},
		{"GET", "/orders/7", false},
		{"POST", "/notes/orders/", false},
		{"POST", "/ordersx/7", false},
	}
	for _, c := range cases {
		if got := NonIdempotent(p, c.method, c.path); got != c.want {
			t.Errorf("NonIdempotent of %s %s: %t, want %t", c.method, c.path, got, c.want)
		}
	}
}

func TestBearerKey(t *testing.T) {
	cases := map[string]string{
		"Bearer k":   "k",
		"bearer  k ": "k",
		"Basic k":    "",
		"k":          "",
		"":           "",
	}
	for header, want := range cases {
		r := &http.Request{Header: http.Header{"Authorization": {header}}}
		if got := BearerKey(r); got != want {
			t.Errorf("key in header %q: %q, want %q", header, got, want)
		}
	}
}
