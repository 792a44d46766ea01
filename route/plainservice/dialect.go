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

var _ headers.Codec = HeaderCodec{}

// ParseRequest implements headers.Dialect. Package callparser has read what the caller sent.
func (HeaderCodec) ParseRequest(http.Header) (headers.CallHead, error) { return headers.CallHead{}, nil }

// UpstreamHeader implements headers.Dialect.
func (HeaderCodec) UpstreamHeader(h http.Header, _ headers.UpstreamFields) http.Header { return upstreamHeader(h) }

// ParseResponse implements headers.Dialect.
func (HeaderCodec) ParseResponse(_ int, h http.Header) headers.ResponseHead {
	return headers.ResponseHead{NotRun: h.Get(engineapi.HeaderNotRun) != ""}
}

// DownstreamHeader implements headers.Dialect.
func (HeaderCodec) DownstreamHeader(h http.Header) http.Header {
	to := http.Header{}
	copyEndToEndHeaders(to, h)
	return to
}

// WriteRefusal implements headers.Dialect.
func (HeaderCodec) WriteRefusal(w http.ResponseWriter, _ headers.CallHead, r *outcome.Refusal) { r.Write(w) }
