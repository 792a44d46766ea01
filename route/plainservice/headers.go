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

// upstreamHeader returns the headers of a caller that are sent to an endpoint. The
// team's key is left out, because an endpoint that leaks it would open every service of
// the team.
func upstreamHeader(from http.Header) http.Header {
	to := http.Header{}
	copyEndToEndHeaders(to, from)
	to.Del("Authorization")
	return to
}

// copyEndToEndHeaders copies the end-to-end headers. Hop-by-hop headers and the headers
// that Connection names are left out.
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
