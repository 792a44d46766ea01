package server

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/node/tlsfiles/tlstest"
	"github.com/cicadatack/cicadatack/platform/kv"
	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/store"
)

// A node of a large fleet starts. Before it has read the platform's list it knows
// only itself: taken for the whole fleet and the owner of all orders' shards, it
// would call the store as often as all others together. It starts with the least
// share, takes its part of 100 nodes once it has read the list, and none for the
// shards, as it sees no other node live.
func TestShareFollowsTheFleet(t *testing.T) {
	fake := storefake.New()
	served := httptest.NewServer(fake)
	t.Cleanup(served.Close)
	t.Cleanup(fake.Close)
	address := served.Listener.Addr().String()
	client, err := kv.Open(address, store.Config{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 99 {
		value := fmt.Sprintf(`{"name":"entry-%d","address":"127.0.0.1:1","failure_domain":"bandung","state":"live"}`, i+2)
		if _, err := client.CompareAndSwap(context.Background(), fmt.Sprint(entryVMs, "entry-", i+2), 0, []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	promote(t, address, "java")
	fake.SetFaults(storefake.Faults{Refuse: true})
	node := secureNode(t, "entry-1", "java", address, tlstest.NewAuthority(t))
	if got := node.store.Share(); got != store.StartShare() {
		t.Errorf("at the start %+v, want %+v", got, store.StartShare())
	}
	fake.SetFaults(storefake.Faults{})
	ctx, cancel := context.WithTimeout(context.Background(), secureTimeout)
	defer cancel()
	// The list is read before its nodes are members.
	for len(node.liveMembers()) == 0 || node.listed.Load() != 99 || node.presentMembers() != 100 {
		select {
		case <-ctx.Done():
			t.Fatal("the node never served with the list read and its nodes as members")
		case <-time.After(10 * time.Millisecond):
		}
	}
	node.shareStore()
	if got, want := node.store.Share(), store.ShareOf(100, 0, 16); got != want {
		t.Errorf("share %+v, want %+v", got, want)
	}
}
