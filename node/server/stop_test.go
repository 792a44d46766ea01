package server

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/node/tlsfiles/tlstest"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/standin/storefake"
)

// slowEndpoint is an endpoint of a plain service that works on the calls with the path /slow until they are released.
type slowEndpoint struct {
	address  string
	begun    chan struct{}
	released chan struct{}
}

func newSlowEndpoint(t *testing.T) *slowEndpoint {
	s := &slowEndpoint{begun: make(chan struct{}, 1), released: make(chan struct{})}
	served := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			s.begun <- struct{}{}
			select {
			case <-s.released:
			case <-r.Context().Done():
			}
		}
		_, _ = w.Write([]byte("barge 7"))
	}))
	t.Cleanup(served.Close)
	s.address = served.Listener.Addr().String()
	return s
}

// newStore starts a store with a document of a plain service, and returns its address.
func newStore(t *testing.T, endpoint string) string {
	fake := storefake.New()
	served := httptest.NewServer(fake)
	t.Cleanup(served.Close)
	t.Cleanup(fake.Close)
	address := served.Listener.Addr().String()
	promoteText(t, address, "java", plainDocument("java", endpoint))
	return address
}

// drainTime is longer than a node without callers takes to leave.
const drainTime = 5 * time.Second

// Guards against calls that another node forwards and that are cut when the node which serves them is told to stop:
// it waited for its own callers only.
func TestStoppedNodeWaitsForForwardedCalls(t *testing.T) {
	endpoint := newSlowEndpoint(t)
	address, fleet := newStore(t, endpoint.address), tlstest.NewAuthority(t)
	a, b := secureNode(t, "entry-1", "java", address, fleet), secureNode(t, "entry-2", "java", address, fleet)
	list(t, address, a, b)
	await(t, "both nodes serve", func() bool { return a.directory.Load() != nil && b.directory.Load() != nil })
	forwarded, err := http.NewRequest(http.MethodGet, "https://"+b.listeners.peers.Addr().String()+relay.ForwardPath+"/services/bookings/slow", nil)
	if err != nil {
		t.Fatal(err)
	}
	forwarded.Header.Set("Authorization", "Bearer pens-key")
	headers.Forward{Node: "entry-1", Revision: b.revision(), Service: "bookings"}.Set(forwarded.Header)
	answered := make(chan int, 1)
	go func() {
		response, err := (&http.Transport{TLSClientConfig: a.peerFiles.MutualClient(), DisableKeepAlives: true}).RoundTrip(forwarded)
		if err != nil {
			answered <- 0
			return
		}
		response.Body.Close()
		answered <- response.StatusCode
	}()
	<-endpoint.begun
	b.Drain()
	select {
	case status := <-answered:
		t.Errorf("answered %d while the endpoint works on the call", status)
		close(endpoint.released)
	case <-time.After(drainTime):
		close(endpoint.released)
		if status := <-answered; status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
}

// Guards against a caller whose connection closes without an answer when a drain reaches its limit: it is told that the
// outcome is unknown.
func TestLimitedDrainAnswersWhatItEnds(t *testing.T) {
	endpoint := newSlowEndpoint(t)
	defer close(endpoint.released)
	address := newStore(t, endpoint.address)
	node := secureNodeWith(t, "entry-1", "java", address, tlstest.NewAuthority(t), settings.Drain{LimitSeconds: 2})
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	t.Cleanup(client.CloseIdleConnections)
	await(t, "the node serves", func() bool { return node.directory.Load() != nil })
	go func() {
		<-endpoint.begun
		node.Drain()
	}()
	response, err := get(client, "https://"+node.listeners.callers.Addr().String()+"/services/bookings/slow")
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v, %v", response, err)
	}
}
