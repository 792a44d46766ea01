package plainservice

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
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

// forwarded is the part of a caller's headers that an endpoint gets. The team's
// key stays on the node: an endpoint that leaks it would open every service.
func forwarded(from http.Header) http.Header {
	to := http.Header{}
	copyHeader(to, from)
	to.Del("Authorization")
	return to
}

// copyHeader adds the end-to-end headers of from. What Connection names is left
// out with the fixed ones.
func copyHeader(to, from http.Header) {
	skip := map[string]bool{"Content-Length": true}
	for _, name := range hopByHop {
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
