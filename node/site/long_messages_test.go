package site

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// endless is a message of another node that doesn't end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a node that runs out of memory by a message of another one.
func TestLongMessagesOfNodes(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node := p.start(p.settings("front-1"), quick, free)
	ctx, cancel := context.WithTimeout(context.Background(), patience/4)
	defer cancel()
	for _, path := range []string{"/twirp/cicadatack.bookings.Bookings/Exchange", "/twirp/cicadatack.reads.Reads/Held"} {
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.peerDoor.String()+path, endless{})
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("Content-Type", "application/protobuf")
		// The node may close the connection before its answer is read.
		if response, err := http.DefaultTransport.RoundTrip(q); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				t.Errorf("%s: %s", path, response.Status)
			}
		}
		if ctx.Err() != nil {
			t.Fatalf("%s: the node reads on and on", path)
		}
	}
	p.serves(node, "long")
}
