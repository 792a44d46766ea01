package plainservice

import (
	"net/http"

	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// HeaderCodec is what this door's plain endpoints speak: HTTP as it is, and one header by
// which an endpoint says that it did nothing. They tell back no id and vouch for
// nothing.
type HeaderCodec struct{}

var _ headers.Dialect = HeaderCodec{}

// Read implements headers.Dialect. Package callparser has read what the caller sent.
func (HeaderCodec) Read(http.Header) (headers.Call, error) { return headers.Call{}, nil }

// Forward implements headers.Dialect.
func (HeaderCodec) Forward(h http.Header, _ headers.Sending) http.Header { return upstreamHeader(h) }

// Answer implements headers.Dialect.
func (HeaderCodec) Answer(_ int, h http.Header) headers.Answer {
	return headers.Answer{NotRun: h.Get(engineapi.HeaderNotRun) != ""}
}

// Return implements headers.Dialect.
func (HeaderCodec) Return(h http.Header) http.Header {
	to := http.Header{}
	copyEndToEndHeaders(to, h)
	return to
}

// Refuse implements headers.Dialect.
func (HeaderCodec) Refuse(w http.ResponseWriter, _ headers.Call, r *outcome.Refusal) { r.Write(w) }
