package tlsfiles_test

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cicadatack/cicadatack/node/tlsfiles"
	"github.com/cicadatack/cicadatack/node/tlsfiles/tlstest"
)

func files(t testing.TB, a, trusted tlstest.Authority) *tlsfiles.Files {
	f, err := tlsfiles.New(tlstest.Write(t, t.TempDir(), 2, a, trusted))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// A program that is no peer calls a node's peers' listener, or answers on an
// address that a peer had. Without a certificate of the fleet's authority it
// gets no exchange through in either direction; a peer does.
func TestOnlyPeersMeet(t *testing.T) {
	fleet, other := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	peer := files(t, fleet, fleet)
	for _, c := range []struct {
		name           string
		server, client *tlsfiles.Files
		works          bool
	}{
		{"two peers", peer, files(t, fleet, fleet), true},
		{"a stranger calls", peer, files(t, other, fleet), false},
		{"a stranger answers", files(t, other, fleet), peer, false},
		{"each trusts another authority", peer, files(t, other, other), false},
	} {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		server.TLS = c.server.MutualServer()
		server.StartTLS()
		client := http.Client{Transport: &http.Transport{TLSClientConfig: c.client.MutualClient()}}
		response, err := client.Get(server.URL)
		if err == nil {
			response.Body.Close()
		}
		if (err == nil) != c.works {
			t.Errorf("%s: error %v, works should be %t", c.name, err, c.works)
		}
		client.CloseIdleConnections()
		server.Close()
	}
	plain := http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = peer.MutualServer()
	server.StartTLS()
	defer server.Close()
	if response, err := plain.Get(server.URL); err == nil {
		response.Body.Close()
		t.Error("a caller without a certificate was served as a peer")
	}
}
