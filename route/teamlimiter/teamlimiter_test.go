package teamlimiter

import (
	"slices"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/limits"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// A team over its limit is refused at once and told when to come back; work that
// was booked and not done is given back; a team without a limit, or whose limit
// a later document takes away, is let through.
func TestLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(limits.New(limits.Config{Self: "entry-1"}), func() time.Time { return now })
	limited := []Team{{Name: "menteng", Limit: 100, Homes: []string{"entry-1"}}, {Name: "senen"}}
	l.SetTeams(limited)
	if _, refusal := l.Allow("menteng", 100); refusal != nil {
		t.Fatalf("refused within the limit: %v", refusal)
	}
	_, refusal := l.Allow("menteng", 100)
	if refusal == nil || refusal.Status != 429 || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= 0 {
		t.Fatalf("over the limit: %+v", refusal)
	}
	if _, refusal := l.Allow("senen", 1e6); refusal != nil {
		t.Errorf("a team without a limit: %v", refusal)
	}
	l.Correct("menteng", -100)
	if _, refusal := l.Allow("menteng", 100); refusal != nil {
		t.Errorf("after work that was not done: %v", refusal)
	}
	l.SetTeams(nil)
	if _, refusal := l.Allow("menteng", 1e6); refusal != nil {
		t.Errorf("after the limit was taken away: %v", refusal)
	}
}

// A node exchanges loans with the other homes of the limited teams that lack some
// of their limit here, and with nobody else: meeting all homes in turn, a node of a
// large fleet comes back to each only after its loans have run out.
func TestHomes(t *testing.T) {
	l := New(limits.New(limits.Config{Self: "entry-1"}), time.Now)
	l.SetTeams([]Team{
		{Name: "menteng", Limit: 100, Homes: []string{"entry-1", "entry-3", "entry-2"}},
		{Name: "senen", Limit: 100, Homes: []string{"entry-4", "entry-5"}},
		{Name: "depok", Homes: []string{"entry-1", "entry-6"}},
	})
	if got := l.Homes(); len(got) > 0 {
		t.Errorf("homes without callers: %v", got)
	}
	l.Allow("depok", 1e6)
	l.Allow("menteng", 1e6)
	if got := l.Homes(); !slices.Equal(got, []string{"entry-2", "entry-3"}) {
		t.Errorf("homes %v", got)
	}
}
