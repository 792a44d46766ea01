package plainservice

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
}

// upstreamHeader is the part of a caller's headers that an endpoint gets. The team's
// key stays on the node: an endpoint that leaks it would open every service.
func upstreamHeader(from http.Header) http.Header {
	to := http.Header{}
	copyEndToEndHeaders(to, from)
	to.Del("Authorization")
	return to
}

// copyEndToEndHeaders adds the end-to-end headers of from. What Connection names is left
// out with the fixed ones.
func copyEndToEndHeaders(to, from http.Header) {
	skip := map[string]bool{"Content-Length": true}
	for _, name := range hopByHopHeaders {
		skip[name] = true
	}
	for _, list := range from.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			skip[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !skip[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}
