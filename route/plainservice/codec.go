package plainservice

import (
	"net/http"

	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// HeaderCodec is the headers.Codec of plain HTTP calls. It passes end-to-end headers on
// and reads four response headers: that an endpoint has not run a call, the rate limit
// that it states, how long it wants no further calls, and that it is leaving. Responses carry no request ID and nothing else by which to check that the
// answer is the endpoint's own.
type HeaderCodec struct{}

var _ headers.Codec = HeaderCodec{}

// ParseRequest implements headers.Codec. Package callparser has already read the headers.
func (HeaderCodec) ParseRequest(http.Header) (headers.CallHead, error) {
	return headers.CallHead{}, nil
}

// UpstreamHeader implements headers.Codec.
func (HeaderCodec) UpstreamHeader(h http.Header, _ headers.UpstreamFields) http.Header {
	return upstreamHeader(h)
}

// ParseResponse implements headers.Codec.
func (HeaderCodec) ParseResponse(status int, h http.Header) headers.ResponseHead {
	return headers.ResponseHead{
		NotRun:    h.Get(engineapi.HeaderNotRun) != "",
		RateLimit: headers.ParseRateLimit(h.Get(engineapi.HeaderRateLimit)),
		Leaving:   headers.ParseLeaving(h.Get(engineapi.HeaderLeaving)),
		Pushback:  headers.ParsePushback(status, h),
	}
}

// DownstreamHeader implements headers.Codec.
func (HeaderCodec) DownstreamHeader(h http.Header) http.Header {
	return downstreamHeader(h)
}

// PromisesNotRun implements headers.Codec. No status promises it to callers of the product's own listener: a header
// tells them the outcome.
func (HeaderCodec) PromisesNotRun(int) bool { return false }

// NumericEventFields implements headers.Codec. The product's own listener has no streams of plain services.
func (HeaderCodec) NumericEventFields() []string { return nil }

// WriteRefusal implements headers.Codec.
func (HeaderCodec) WriteRefusal(w http.ResponseWriter, _ headers.CallHead, r *outcome.Refusal) {
	r.Write(w)
}
