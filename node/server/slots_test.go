package server

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/node/tlsfiles/tlstest"
	"github.com/cicadatack/cicadatack/standin/storefake"
)

// Two nodes of one environment and one of another use the same store, whose list
// of VMs does not tell environments apart. They exchange with each other, yet
// none names a node of the other environment: a caller sent there would find its
// key unknown.
func TestEntryMembersAreOfOneEnvironment(t *testing.T) {
	fake := storefake.New()
	served := httptest.NewServer(fake)
	t.Cleanup(served.Close)
	t.Cleanup(fake.Close)
	address := served.Listener.Addr().String()
	authority := tlstest.NewAuthority(t)
	a := secureNode(t, "entry-1", "java", address, authority)
	b := secureNode(t, "entry-2", "java", address, authority)
	other := secureNode(t, "entry-3", "salish", address, authority)
	list(t, address, a, b, other)
	ctx, cancel := context.WithTimeout(context.Background(), secureTimeout)
	defer cancel()
	for heardOf(a, "entry-2") == 0 || heardOf(a, "entry-3") == 0 || heardOf(other, "entry-1") == 0 {
		select {
		case <-ctx.Done():
			t.Fatal("the nodes never met")
		case <-time.After(10 * time.Millisecond):
		}
	}
	for _, m := range a.entryMembers() {
		if m.ID == "entry-3" {
			t.Error("a node of java names one of salish")
		}
	}
	for _, m := range other.entryMembers() {
		if m.ID != "entry-3" {
			t.Errorf("the node of salish names %s", m.ID)
		}
	}
}
