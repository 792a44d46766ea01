package server

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/entry"
	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/fleet/member"
	"github.com/cicadatack/cicadatack/keep/document"
	"github.com/cicadatack/cicadatack/route/directory"
	"github.com/cicadatack/cicadatack/route/front"
	"github.com/cicadatack/cicadatack/route/limiter"
)

// entries answers which entry VMs a team should use.
type entries struct {
	server *Server
}

// Entry implements front.EntryAnswerer.
func (e *entries) Entry(team *document.Team, failureDomain string) front.EntryAnswer {
	if failureDomain == "" {
		failureDomain = e.server.settings.FailureDomain
	}
	result := entry.Answer(entry.Query{
		Team:          team.Name,
		FailureDomain: failureDomain,
		Share:         e.server.teamShare(team),
	}, e.server.entryMembers())
	answer := front.EntryAnswer{ValidForMillis: e.server.validFor(result.ValidFor).Milliseconds()}
	for _, a := range result.Addresses {
		answer.Addresses = append(answer.Addresses, front.EntryAddress{
			Address:       a.Address,
			FailureDomain: a.FailureDomain,
			Weight:        a.Weight,
		})
	}
	return answer
}

// validFor keeps the shorter of the document's validity and the answer's own:
// an answer from a doubtful list is short on purpose.
func (s *Server) validFor(own time.Duration) time.Duration {
	return min(own, s.entryValidity())
}

// teamShare is the team's part of the whole load, by weight.
func (s *Server) teamShare(team *document.Team) float64 {
	d := s.directory.Load()
	total := 0.0
	for _, t := range d.Document.Teams {
		total += t.Weight
	}
	if total == 0 {
		return 0
	}
	return team.Weight / total
}

// entryMembers lists the nodes that callers may be sent to. The platform's list
// does not tell environments apart, so the members may serve another one, or its
// trial: callers sent there would find their keys unknown.
func (s *Server) entryMembers() []entry.Member {
	members := s.fleet.Members()
	known := make([]entry.Member, 0, len(members))
	for _, m := range members {
		if !s.fleet.SameSlot(m) || m.CallerAddress == "" || m.State == member.Gone || m.State == member.Joining {
			continue
		}
		known = append(known, entry.Member{
			ID:            m.Name,
			Address:       m.CallerAddress,
			FailureDomain: m.FailureDomain,
			Draining:      m.State == member.Draining,
			Suspected:     m.State == member.Suspect,
		})
	}
	return known
}

// followMembers sets what depends on who is there: the teams' home nodes, the
// balancers' cover of the replicas and the figures.
//
// It ranks every member for every team, half a million hashes at 2,200 nodes
// and 240 teams, so it is done only when members or document have changed.
func (s *Server) followMembers() {
	d := s.directory.Load()
	if d == nil {
		return
	}
	now := followed{d, s.memberStamp()}
	s.followMu.Lock()
	defer s.followMu.Unlock()
	if now == s.followed {
		return
	}
	s.followed = now
	members := s.entryMembers()
	s.followPeers(members)
	s.setLimits(d.Document, members)
	s.countMembers(s.fleet.Members())
}

// followed is what followMembers last acted on.
type followed struct {
	directory *directory.Directory
	members   *fleet.Member
}

// memberStamp differs once the members have changed: the fleet replaces its list
// and never changes one that it has handed out.
func (s *Server) memberStamp() *fleet.Member {
	members := s.fleet.Members()
	if len(members) == 0 {
		return nil
	}
	return &members[0]
}

func (s *Server) followPeers(members []entry.Member) {
	var near []string
	serving := 0
	for _, m := range members {
		if m.Draining {
			continue
		}
		if !m.Suspected {
			serving++
		}
		if m.FailureDomain == s.settings.FailureDomain {
			near = append(near, m.ID)
		}
	}
	for _, each := range s.registry.All() {
		each.Picker.SetPeers(near, serving)
	}
}

func (s *Server) setLimits(doc *document.Document, members []entry.Member) {
	teams := make([]limiter.Team, 0, len(doc.Teams))
	for i := range doc.Teams {
		t := &doc.Teams[i]
		count := entry.HomeCount(s.teamShare(t), len(members))
		teams = append(teams, limiter.Team{
			Name:  t.Name,
			Limit: t.TokensPerSecond,
			Homes: entry.Homes(t.Name, members, count),
		})
	}
	s.limits.SetTeams(teams)
}

func (s *Server) countMembers(members []fleet.Member) {
	counts := map[string]int{}
	for state := member.Joining; state <= member.Gone; state++ {
		counts[state.String()] = 0
	}
	for _, m := range members {
		counts[m.State.String()]++
	}
	for state, n := range counts {
		s.metrics.Members(state, n)
	}
}
