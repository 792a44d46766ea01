package headers

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only. Content-Length is among them,
// because whoever passes a body on states its length anew. Those between two nodes are read before
// the others are passed on; a caller or an endpoint that sends one is no node.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	headerForward, headerForwardResult,
}

// EndToEnd returns a copy of the headers without those that concern one connection only: the
// usual ones, those between two nodes, and those that Connection names.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
