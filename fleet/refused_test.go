package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/fleet/drainnotice"
	"github.com/cicadatack/cicadatack/fleet/exchange"
	"github.com/cicadatack/cicadatack/fleet/membership"
)

// A node's process is gone and its VM refuses the connection. The cause must come
// through the layers of the call, or the peer is taken for one that lost a packet
// and callers are sent there for an interval more.
func TestRefusalComesThroughTheCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	f := &Fleet{cfg: Config{Scheme: "http"}, client: &http.Client{}}
	f.notices.machine = drainnotice.New(drainnotice.Config{})
	f.view.machine = membership.New(membership.Config{}, time.Now())
	_, err = f.call(context.Background(), Member{Address: address}, &exchange.ExchangeRequest{})
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("got %v", err)
	}
}
