package server

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/endpointrate"
	"github.com/cicadatack/cicadatack/decide/entrypoints"
	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/fleet/membership"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/httpapi"
	"github.com/cicadatack/cicadatack/route/teamlimiter"
	"github.com/cicadatack/cicadatack/state/document"
)

// entries answers which entry VMs a team should use.
type entries struct {
	server *Server
}

// Entry implements httpapi.EntryProvider.
func (e *entries) Entry(team *document.Team, failureDomain string) httpapi.EntryResponse {
	if failureDomain == "" {
		failureDomain = e.server.settings.FailureDomain
	}
	result := entrypoints.Answer(entrypoints.Query{
		Team:          team.Name,
		FailureDomain: failureDomain,
		Share:         e.server.teamShare(team),
	}, e.server.entryMembers())
	answer := httpapi.EntryResponse{ValidForMillis: e.server.validFor(result.ValidFor).Milliseconds()}
	for _, a := range result.Addresses {
		answer.Addresses = append(answer.Addresses, httpapi.EntryAddress{
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
// trial: callers sent there would find their keys unknown. Nodes that reach no endpoint are left
// out while enough others remain.
func (s *Server) entryMembers() []entrypoints.Member {
	members := s.fleet.Members()
	known := make([]entrypoints.Member, 0, len(members))
	for _, m := range members {
		if !s.fleet.SameSlot(m) || m.CallerAddress == "" || m.State == membership.Gone || m.State == membership.Joining {
			continue
		}
		known = append(known, entrypoints.Member{
			ID:            m.Name,
			Address:       m.CallerAddress,
			FailureDomain: m.FailureDomain,
			Draining:      m.State == membership.Draining,
			Suspected:     m.State == membership.Suspect,
		})
	}
	return entrypoints.LeaveOutCutOff(known, s.forwarder.WorseThanOthers)
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
	directory *docindex.Index
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

func (s *Server) followPeers(members []entrypoints.Member) {
	var near []string
	var senders []endpointrate.Node
	serving := 0
	for _, m := range members {
		if m.Draining {
			continue
		}
		if !m.Suspected {
			serving++
			senders = append(senders, endpointrate.Node{Name: m.ID, Domain: m.FailureDomain})
		}
		if m.FailureDomain == s.settings.FailureDomain {
			near = append(near, m.ID)
		}
	}
	for _, each := range s.registry.All() {
		each.Picker.SetPeers(near, serving)
		each.Limits.SetNodes(senders)
	}
}

func (s *Server) setLimits(doc *document.Document, members []entrypoints.Member) {
	teams := make([]teamlimiter.Team, 0, len(doc.Teams))
	for i := range doc.Teams {
		t := &doc.Teams[i]
		count := entrypoints.HomeCount(s.teamShare(t), len(members))
		teams = append(teams, teamlimiter.Team{
			Name:  t.Name,
			Limit: t.TokensPerSecond,
			Homes: entrypoints.Homes(t.Name, members, count),
		})
	}
	s.limits.SetTeams(teams)
}

func (s *Server) countMembers(members []fleet.Member) {
	counts := map[string]int{}
	for state := membership.Joining; state <= membership.Gone; state++ {
		counts[state.String()] = 0
	}
	for _, m := range members {
		counts[m.State.String()]++
	}
	for state, n := range counts {
		s.metrics.Members(state, n)
	}
}
