package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/fleet/exchange"
	"github.com/cicadatack/cicadatack/fleet/reads"
	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

// Guards against answers of other nodes whose head is none, and that count as answers without news.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	transport := NewTransport(nil)
	defer transport.(*http.Transport).CloseIdleConnections()
	f, err := New(Config{Name: "a", Address: "127.0.0.1:1", FailureDomain: "d", Environment: "e", Transport: transport}, nil, nil, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer f.orders.CloseIdleConnections()
	asker := reads.NewAsker(func() time.Duration { return 0 }, func() reads.Peer { return reads.Peer{} })
	for name, answer := range answertest.BrokenHeads("") {
		address := answertest.Serve(t, func(string) string { return answer })
		for _, client := range []*http.Client{f.client, f.orders} {
			if answer, err := f.newPeer(Member{Address: address}, client).Orders(context.Background(), &exchange.OrdersRequest{}); err == nil {
				t.Errorf("%s: %v", name, answer)
			}
		}
		if err := asker.Leave(context.Background(), address, "a"); err == nil {
			t.Errorf("%s: the other node has heard that this one leaves", name)
		}
	}
}
