package plainservice

import (
	"net/http"

	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// upstreamHeader returns the headers of a caller that are sent to an endpoint. The
// team's key is left out, because an endpoint that leaks it would open every service of
// the team.
func upstreamHeader(from http.Header) http.Header {
	to := headers.EndToEnd(from)
	to.Del("Authorization")
	return to
}

// ownHeaders are the headers by which a node tells its callers what came of a call.
var ownHeaders = []string{outcome.Header, outcome.HeaderRequest, outcome.HeaderReplayed}

// downstreamHeader returns the headers of an endpoint's answer that are sent to the caller. What only a
// node can say of the call is left out: by the mark of a replayed order, for example, a caller would take
// an order that was just placed for an earlier one.
func downstreamHeader(from http.Header) http.Header {
	to := headers.EndToEnd(from)
	for _, name := range ownHeaders {
		to.Del(name)
	}
	return to
}
