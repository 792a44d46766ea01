package plainservice

import (
	"net/http"

	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// Dialect is what this door's plain endpoints speak: HTTP as it is, and one header by
// which an endpoint says that it did nothing. They tell back no id and vouch for
// nothing.
type Dialect struct{}

var _ headers.Dialect = Dialect{}

// Read implements headers.Dialect. Package callparser has read what the caller sent.
func (Dialect) Read(http.Header) (headers.Call, error) { return headers.Call{}, nil }

// Forward implements headers.Dialect.
func (Dialect) Forward(h http.Header, _ headers.Sending) http.Header { return forwarded(h) }

// Answer implements headers.Dialect.
func (Dialect) Answer(_ int, h http.Header) headers.Answer {
	return headers.Answer{NotRun: h.Get(engineapi.HeaderNotRun) != ""}
}

// Return implements headers.Dialect.
func (Dialect) Return(h http.Header) http.Header {
	to := http.Header{}
	copyHeader(to, h)
	return to
}

// Refuse implements headers.Dialect.
func (Dialect) Refuse(w http.ResponseWriter, _ headers.Call, r *outcome.Refusal) { r.Write(w) }
