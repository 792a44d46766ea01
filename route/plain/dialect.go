package plain

import (
	"net/http"

	"github.com/cicadatack/cicadatack/keep/engineapi"
	"github.com/cicadatack/cicadatack/route/dialect"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// Dialect is what this door's plain endpoints speak: HTTP as it is, and one header by
// which an endpoint says that it did nothing. They tell back no id and vouch for
// nothing.
type Dialect struct{}

var _ dialect.Dialect = Dialect{}

// Read implements dialect.Dialect. Package call has read what the caller sent.
func (Dialect) Read(http.Header) (dialect.Call, error) { return dialect.Call{}, nil }

// Forward implements dialect.Dialect.
func (Dialect) Forward(h http.Header, _ dialect.Sending) http.Header { return forwarded(h) }

// Answer implements dialect.Dialect.
func (Dialect) Answer(_ int, h http.Header) dialect.Answer {
	return dialect.Answer{NotRun: h.Get(engineapi.HeaderNotRun) != ""}
}

// Return implements dialect.Dialect.
func (Dialect) Return(h http.Header) http.Header {
	to := http.Header{}
	copyHeader(to, h)
	return to
}

// Refuse implements dialect.Dialect.
func (Dialect) Refuse(w http.ResponseWriter, _ dialect.Call, r *outcome.Refusal) { r.Write(w) }
