package teamlimiter

import (
	"slices"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/limits"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// The Limiter refuses requests of a team over its limit at once, with a retry time. If
// Correct did not return tokens, a request that was charged but never ran would still use
// up the limit. A team without a limit is never refused, nor is a team that a later call of
// SetTeams removes.
func TestTeamLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(limits.New(limits.Config{Self: "entry-1"}), func() time.Time { return now })
	teams := []Team{{Name: "menteng", Limit: 100, Homes: []string{"entry-1"}}, {Name: "senen"}}
	l.SetTeams(teams)
	if _, refusal := l.Allow("menteng", 100); refusal != nil {
		t.Fatalf("request within the limit refused: %v", refusal)
	}
	_, refusal := l.Allow("menteng", 100)
	if refusal == nil || refusal.Status != 429 || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= 0 {
		t.Fatalf("refusal over the limit: %+v", refusal)
	}
	if _, refusal := l.Allow("senen", 1e6); refusal != nil {
		t.Errorf("request of a team without a limit refused: %v", refusal)
	}
	l.Correct("menteng", -100)
	if _, refusal := l.Allow("menteng", 100); refusal != nil {
		t.Errorf("request refused after Correct returned the tokens: %v", refusal)
	}
	l.SetTeams(nil)
	if _, refusal := l.Allow("menteng", 1e6); refusal != nil {
		t.Errorf("request refused after the limit was removed: %v", refusal)
	}
}

// If a node exchanged loans with all homes in turn, a node of a large fleet would contact
// each home again only after the loans of that home have expired. A node therefore
// exchanges loans only with the other homes of teams that need more than their rate here.
func TestExchangePeers(t *testing.T) {
	l := New(limits.New(limits.Config{Self: "entry-1"}), time.Now)
	l.SetTeams([]Team{
		{Name: "menteng", Limit: 100, Homes: []string{"entry-1", "entry-3", "entry-2"}},
		{Name: "senen", Limit: 100, Homes: []string{"entry-4", "entry-5"}},
		{Name: "depok", Homes: []string{"entry-1", "entry-6"}},
	})
	if got := l.ExchangePeers(); len(got) > 0 {
		t.Errorf("exchange peers before any request: %v", got)
	}
	l.Allow("depok", 1e6)
	l.Allow("menteng", 1e6)
	if got := l.ExchangePeers(); !slices.Equal(got, []string{"entry-2", "entry-3"}) {
		t.Errorf("exchange peers: %v", got)
	}
}
