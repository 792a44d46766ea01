package server

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"github.com/cicadatack/cicadatack/platform/kv"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/node/tlsfiles/tlstest"
	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/store"
)

const (
	operatorKey   = "siti-key"
	secureTimeout = 30 * time.Second
)

// secureNode runs a node with certificates on all its listeners.
func secureNode(t *testing.T, name, environment, storeAddress string, fleet tlstest.Authority) *Server {
	return secureNodeWith(t, name, environment, storeAddress, fleet, settings.Drain{})
}

// secureNodeWith is secureNode for a node whose drain has a limit.
func secureNodeWith(t *testing.T, name, environment, storeAddress string, fleet tlstest.Authority, drain settings.Drain) *Server {
	p := tlstest.Write(t, t.TempDir(), 2, fleet, fleet)
	files := &settings.TLS{Certificate: p.Certificate, Key: p.Key, Authorities: p.Authorities}
	digest := sha256.Sum256([]byte(operatorKey))
	listener := settings.Listener{Listen: "127.0.0.1:0", TLS: files}
	operators := listener
	operators.KeySHA256 = []string{hex.EncodeToString(digest[:])}
	s, err := New(settings.Settings{
		Name: name, Environment: environment, FailureDomain: "bandung", Slot: settings.SlotProduction,
		Callers: listener, Peers: listener, Operators: operators,
		Store: settings.Store{Address: storeAddress, CallsPerSecond: settings.DefaultStoreCalls},
		Load:  settings.Load{PollsPerSecond: settings.DefaultPolls, CacheEventPollsPerSecond: settings.DefaultEventPolls},
		Fleet: settings.Fleet{IntervalMillis: 50},
		Drain: drain,
	}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

func list(t *testing.T, address string, nodes ...*Server) {
	client, err := kv.Open(address, store.Config{})
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range nodes {
		value, err := json.Marshal(platformVM{Name: n.settings.Name, Address: n.listeners.peers.Addr().String(), FailureDomain: "bandung", State: "live"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.CompareAndSwap(context.Background(), entryVMs+n.settings.Name, 0, value); err != nil {
			t.Fatal(err)
		}
	}
}

// Two nodes of one fleet and a stranger with certificates of its own are listed.
// The two see each other live; the stranger gets no exchange through and stays
// unheard. Operators' calls want a key, over TLS; a health check does not.
func TestNodesOverTLS(t *testing.T) {
	fake := storefake.New()
	served := httptest.NewServer(fake)
	t.Cleanup(served.Close) // after the nodes, whose watches it would wait for
	t.Cleanup(fake.Close)
	address := served.Listener.Addr().String()
	fleet := tlstest.NewAuthority(t)
	a, b := secureNode(t, "entry-1", "java", address, fleet), secureNode(t, "entry-2", "java", address, fleet)
	stranger := secureNode(t, "entry-3", "java", address, tlstest.NewAuthority(t))
	list(t, address, a, b, stranger)
	ctx, cancel := context.WithTimeout(context.Background(), secureTimeout)
	defer cancel()
	for heardOf(a, "entry-2") == 0 || heardOf(b, "entry-1") == 0 {
		select {
		case <-ctx.Done():
			t.Fatal("the two nodes never met")
		case <-time.After(10 * time.Millisecond):
		}
	}
	if heardOf(a, "entry-3") != 0 || heardOf(stranger, "entry-1") != 0 {
		t.Error("a stranger was heard as a peer")
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	defer client.CloseIdleConnections()
	for _, c := range []struct {
		path, key string
		want      int
	}{
		{"/healthz", "", http.StatusOK},
		{"/v1/status", "", http.StatusUnauthorized},
		{"/v1/status", "guess", http.StatusUnauthorized},
		{"/v1/status", operatorKey, http.StatusOK},
	} {
		if got := statusOf(t, client, "https://"+a.listeners.operators.Addr().String()+c.path, c.key); got != c.want {
			t.Errorf("%s with key %q: status %d, want %d", c.path, c.key, got, c.want)
		}
	}
}

// heardOf is the incarnation that a node knows another by; zero if it has only
// seen it listed.
func heardOf(s *Server, name string) int64 {
	for _, m := range s.fleet.Members() {
		if m.Name == name {
			return m.Incarnation
		}
	}
	return 0
}

func statusOf(t *testing.T, client *http.Client, address, key string) int {
	request, err := http.NewRequest(http.MethodGet, address, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}
