package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/cicadatack/cicadatack/decide/entrypoints"
	"github.com/cicadatack/cicadatack/decide/limits"
	"github.com/cicadatack/cicadatack/fleet/membership"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/service"
	"github.com/cicadatack/cicadatack/route/teamlimiter"
	"github.com/cicadatack/cicadatack/state/document"
)

const (
	decisionRuns = 5
	// targetNodes and targetTeams are those of the size that the project is
	// built for.
	targetNodes = 2200
	targetTeams = 240
)

// decisions measures in this process what a node does at sizes of which the
// machine cannot hold the processes.
func decisions(_ context.Context, s *suite) error {
	if err := s.applySlope(); err != nil {
		return err
	}
	s.homesSlope()
	s.membersSlope()
	return nil
}

// best is the shortest of a few runs: other load on the machine only adds.
func best(f func()) time.Duration {
	shortest := time.Duration(0)
	for i := range decisionRuns {
		began := time.Now()
		f()
		if took := time.Since(began); i == 0 || took < shortest {
			shortest = took
		}
	}
	return shortest
}

// heap is what is in use after a collection, in bytes.
func heap() float64 {
	// What earlier sections pooled goes with the second collection only.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func (s *suite) applySlope() error {
	result := table{
		title:   "A document put in force, in process",
		columns: []string{"replicas", "document KB", "parse and check", "directory", "services", "heap kept KB", "bytes a replica"},
		note:    fmt.Sprintf("Shortest of %d; %d teams, one model, replicas of one engine.", decisionRuns, targetTeams),
	}
	for _, replicas := range []int{10, 100, 1000, 3000, 6000} {
		text, err := documentOf(replicas)
		if err != nil {
			return err
		}
		if _, err := document.Parse(text); err != nil {
			return err
		}
		before := heap()
		var doc *document.Document
		parse := best(func() { doc, _ = document.Parse(text) })
		var d *docindex.Index
		build := best(func() { d = docindex.Build(doc, 1, "") })
		registry := service.NewRegistry(service.Config{Node: "entry-1", FailureDomain: domains[0], Now: time.Now})
		apply := best(func() { registry.Apply(d) })
		kept := heap() - before
		result.row(replicas, float64(len(text))/1e3, parse, build, apply, kept/1e3, kept/float64(replicas))
		runtime.KeepAlive(d)
		runtime.KeepAlive(registry)
	}
	s.add(result)
	return nil
}

func documentOf(replicas int) ([]byte, error) {
	t := site{doc: document.Document{Format: document.Format, Environment: environment, Teams: newTeams(targetTeams, teamLimit)}}
	for _, name := range domains {
		t.doc.FailureDomains = append(t.doc.FailureDomains, document.FailureDomain{Name: name, Region: region})
	}
	t.addModel("pastry-llm", manyChains(replicas))
	text, err := json.Marshal(t.doc)
	return text, Error.Wrap(err)
}

func manyChains(replicas int) [][]place {
	var chains [][]place
	for i := range replicas {
		chains = append(chains, []place{{fmt.Sprintf("gpu-%05d", i), fmt.Sprintf("10.1.%d.%d:9000", i/250, 1+i%250), domains[i%len(domains)]}})
	}
	return chains
}

// homesSlope measures the homes of all teams, which a node works out each
// second, and one entry answer.
func (s *suite) homesSlope() {
	result := table{
		title:   "Homes of teams' limits, in process",
		columns: []string{"nodes", "teams", "homes of all teams", "one entry answer"},
		note:    fmt.Sprintf("Shortest of %d. A node works out the homes of all teams each second; teams of equal weight.", decisionRuns),
	}
	for _, size := range []struct{ nodes, teams int }{
		{9, targetTeams}, {100, targetTeams}, {500, targetTeams}, {targetNodes, targetTeams},
		{targetNodes, 10}, {targetNodes, 60}, {targetNodes, 120},
	} {
		members := entryMembers(size.nodes)
		teams := newTeams(size.teams, teamLimit)
		share := 1 / float64(size.teams)
		splitter := teamlimiter.New(limits.New(limits.Config{Self: members[0].ID}), time.Now)
		all := best(func() { setHomes(splitter, teams, members, share) })
		one := best(func() {
			entrypoints.Answer(entrypoints.Query{Team: teams[0].Name, FailureDomain: domains[0], Share: share}, members)
		})
		result.row(size.nodes, size.teams, all, one)
	}
	s.add(result)
}

// setHomes does what a node does each second.
func setHomes(l *teamlimiter.Limiter, teams []document.Team, members []entrypoints.Member, share float64) {
	split := make([]teamlimiter.Team, 0, len(teams))
	for _, t := range teams {
		count := entrypoints.HomeCount(share, len(members))
		split = append(split, teamlimiter.Team{Name: t.Name, Limit: t.TokensPerSecond, Homes: entrypoints.Homes(t.Name, members, count)})
	}
	l.SetTeams(split)
}

func entryMembers(n int) []entrypoints.Member {
	members := make([]entrypoints.Member, 0, n)
	for i := range n {
		members = append(members, entrypoints.Member{ID: vmName(i), Address: vmAddress(i), FailureDomain: domains[i%len(domains)]})
	}
	return members
}

func vmName(i int) string { return fmt.Sprintf("entry-%04d", i) }

func vmAddress(i int) string { return fmt.Sprintf("10.2.%d.%d:7400", i/250, 1+i%250) }

// membersSlope measures a node's view of the fleet.
func (s *suite) membersSlope() {
	result := table{
		title:   "A node's view of the fleet, in process",
		columns: []string{"nodes", "heap KB", "bytes a node", "one interval", "members listed"},
		note:    fmt.Sprintf("Shortest of %d; an interval without news.", decisionRuns),
	}
	for _, n := range []int{9, 100, 500, targetNodes} {
		vms := make([]membership.VM, 0, n)
		for i := range n {
			vms = append(vms, membership.VM{Name: vmName(i), Address: vmAddress(i), FailureDomain: domains[i%len(domains)]})
		}
		before := heap()
		now := time.Now()
		m := membership.New(membership.Config{Self: membership.Member{
			Name: vmName(0), Address: vmAddress(0), FailureDomain: domains[0], Incarnation: 1,
		}, Interval: time.Second}, now)
		m.Step(now, membership.Listed{VMs: vms})
		kept := heap() - before
		tick := best(func() {
			now = now.Add(time.Second)
			m.Step(now, membership.Tick{})
		})
		list := best(func() { m.Members() })
		result.row(n, kept/1e3, kept/float64(n), tick, list)
		runtime.KeepAlive(m)
	}
	s.add(result)
}
