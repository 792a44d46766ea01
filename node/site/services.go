package site

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/layering"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/route/roster"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
)

// services are the endpoints of each service that the configuration names.
type services struct {
	node *Node

	mu      sync.Mutex
	models  map[string]*targets.Model
	plain   map[string]*targets.Plain
	keepers map[string]*layering.Keeper
}

func (s *services) init(n *Node) {
	s.node = n
	s.models = map[string]*targets.Model{}
	s.plain = map[string]*targets.Plain{}
	s.keepers = map[string]*layering.Keeper{}
}

// Targets implements relay.Services.
func (s *services) Targets(service string) targets.Targets {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.models[service]; ok {
		return m
	}
	if p, ok := s.plain[service]; ok {
		return p
	}
	return nil
}

// update puts a list of replicas in force at the services that they belong to.
func (s *services) update(list []*roster.Replica) {
	rules := s.node.rules.Load()
	if rules == nil {
		return
	}
	byService := map[string][]*roster.Replica{}
	for _, r := range list {
		byService[r.Service] = append(byService[r.Service], r)
	}
	for _, service := range rules.Services() {
		replicas := byService[service.Name]
		if service.Model != nil {
			s.model(service.Name).Update(service.Model, replicas, s.node.share, s.node.conns(service))
			continue
		}
		near, all := s.node.peers(s.node.settings.Domain)
		s.plainOf(service.Name).Update(replicas, s.node.conns(service), near, all)
	}
}

func (s *services) model(name string) *targets.Model {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.models[name]
	if !ok {
		m = targets.NewModel(s.node.settings.Domain, s.node.seed, time.Now)
		s.models[name] = m
	}
	return m
}

func (s *services) plainOf(name string) *targets.Plain {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.plain[name]
	if !ok {
		p = targets.NewPlain(s.node.settings.Node, s.node.settings.Domain, s.node.seed, time.Now)
		s.plain[name] = p
	}
	return p
}

func (s *services) keeper(name string) *layering.Keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.keepers[name]
	if !ok {
		k = layering.New(name, s.node.engines, s.node.log)
		s.keepers[name] = k
	}
	return k
}

// share is the part of a domain's room that this node books: that of its nodes that
// it is one of. Another domain's room is taken only when its own is short, and then
// by all of this one's nodes.
func (n *Node) share(domain string) float64 {
	near, _ := n.peers(domain)
	return 1 / float64(max(1, len(near)))
}

// connsPart of a replica's connections is shared by the nodes; the rest is for those
// that start or come late to know of one another.
const connsPart = 0.85

// conns is how many connections this node may have open to one replica of a service.
func (n *Node) conns(s *ruleset.Service) int {
	if s.MaxConns <= 0 {
		return 0
	}
	_, all := n.peers("")
	return max(2, int(float64(s.MaxConns)*connsPart/float64(all)))
}

// plan orders layers where it is this node's turn.
func (n *Node) plan(ctx context.Context) {
	rules := n.rules.Load()
	if rules == nil || n.leavingFor() > 0 || time.Since(n.started) < planAfter {
		return
	}
	list := n.replicas()
	for _, service := range rules.Services() {
		if service.Model == nil {
			continue
		}
		var own []*roster.Replica
		domains := map[string]bool{}
		for _, r := range list {
			if r.Service == service.Name {
				own = append(own, r)
				domains[r.Domain] = true
			}
		}
		model := n.services.model(service.Name)
		for domain := range domains {
			if n.keeps(domain) {
				n.services.keeper(service.Name).Step(ctx, time.Now(), service.Model, domain, own, model.Usable)
			}
		}
	}
}

// planAfter is how long a node that starts leaves the planning to others: by then
// the nodes that started with it have entered themselves.
const planAfter = 1500 * time.Millisecond

// budgetPart of the allowed further tries is used: nodes come and go, and each keeps
// its part.
const budgetPart = 0.6

// newBudget is this node's part of the tries beyond the first that all nodes may
// send to a service in a window.
func (n *Node) newBudget(string) *relay.Budget {
	b := n.bounds()
	_, all := n.peers("")
	burst := math.Max(2, b.RetrySlack*budgetPart/float64(all))
	return relay.NewBudget(retry.Config{
		Share: b.RetryRatio * budgetPart, Burst: burst, Floor: 0.2, Seed: n.seed,
	})
}
