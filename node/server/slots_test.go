package server

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/fleet/membership"
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
	promote(t, address, "java")
	promote(t, address, "salish")
	list(t, address, a, b, other)
	ctx, cancel := context.WithTimeout(context.Background(), secureTimeout)
	defer cancel()
	for !sees(a, "entry-2") || !sees(a, "entry-3") || !sees(other, "entry-1") || !sees(other, "entry-3") {
		select {
		case <-ctx.Done():
			t.Fatal("the nodes never met")
		case <-time.After(10 * time.Millisecond):
		}
	}
	if got := namesOf(a); !slices.Equal(got, []string{"entry-1", "entry-2"}) {
		t.Errorf("a node of java names %v", got)
	}
	if got := namesOf(other); !slices.Equal(got, []string{"entry-3"}) {
		t.Errorf("the node of salish names %v", got)
	}
}

func namesOf(s *Server) []string {
	var names []string
	for _, m := range s.entryMembers() {
		names = append(names, m.ID)
	}
	slices.Sort(names)
	return names
}

// sees says whether a node knows another as live.
func sees(s *Server, name string) bool {
	return slices.ContainsFunc(s.fleet.Members(), func(m fleet.Member) bool {
		return m.Name == name && m.State == membership.Live && m.CallerAddress != ""
	})
}

// promote puts a small document in force in an environment.
func promote(t *testing.T, address, environment string) {
	text := fmt.Sprintf(`{"format":1,"environment":%q,"failure_domains":[{"name":"bandung","region":"java-west"}],
		"endpoints":[{"name":"e","address":"127.0.0.1:1","failure_domain":"bandung"}],
		"services":[{"name":"bookings","kind":"plain","plain":{"endpoints":["e"]}}],
		"teams":[{"name":"pens","weight":1,"key_sha256":[%q]}],"policy":{"entry_valid_s":1}}`, environment, strings.Repeat("ab", 32))
	promoteText(t, address, environment, text)
}
