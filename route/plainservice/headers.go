package plainservice

import (
	"net/http"

	"github.com/cicadatack/cicadatack/route/headers"
)

// upstreamHeader returns the headers of a caller that are sent to an endpoint. The
// team's key is left out, because an endpoint that leaks it would open every service of
// the team.
func upstreamHeader(from http.Header) http.Header {
	to := headers.EndToEnd(from)
	to.Del("Authorization")
	return to
}
