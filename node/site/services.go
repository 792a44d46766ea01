package site

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/route/layerorders"
	"github.com/cicadatack/cicadatack/route/loadadmission"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
)

// services are the endpoints of each service that the configuration names.
type services struct {
	node *Node

	mu      sync.Mutex
	models  map[string]*targets.ModelTargets
	plain   map[string]*targets.PlainTargets
	keepers map[string]*layerorders.Controller
	budgets map[string]*retrybudget.Budget
	// admissions holds the admission of each service under load control.
	admissions map[string]*loadadmission.Admission
}

func (s *services) init(n *Node) {
	s.node = n
	s.models = map[string]*targets.ModelTargets{}
	s.plain = map[string]*targets.PlainTargets{}
	s.keepers = map[string]*layerorders.Controller{}
	s.budgets = map[string]*retrybudget.Budget{}
	s.admissions = map[string]*loadadmission.Admission{}
}

// leavingReplicas are the replicas that have said in an answer to this node that they are
// leaving.
func (s *services) leavingReplicas() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaving := map[string]bool{}
	for _, m := range s.models {
		for _, id := range m.LeavingReplicas() {
			leaving[id] = true
		}
	}
	for _, p := range s.plain {
		for _, id := range p.LeavingReplicas() {
			leaving[id] = true
		}
	}
	return leaving
}

// Targets implements ingress.Services.
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

// Budget implements ingress.Services.
func (s *services) Budget(service string) *retrybudget.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		b = s.node.newBudget(service)
		s.budgets[service] = b
	}
	return b
}

// update puts a list of replicas in force at the services that they belong to.
func (s *services) update(list []*replicalist.Replica) {
	rules := s.node.rules.Load()
	if rules == nil {
		return
	}
	byService := map[string][]*replicalist.Replica{}
	for _, r := range list {
		byService[r.Service] = append(byService[r.Service], r)
	}
	s.shareTries()
	s.setAdmissions(rules.Services())
	s.lendRetries(rules.Services())
	s.node.reach.SetEndpoints(addressesOf(rules.Services(), byService))
	s.node.forwarder.SetNodes(s.node.forwardingNodes())
	senders := s.node.senders()
	for _, service := range rules.Services() {
		replicas := byService[service.Name]
		near, all := s.node.sendersTo(service.Name, s.node.settings.Domain)
		if service.Model != nil {
			model := s.model(service.Name)
			model.Limits().SetNodes(senders)
			model.Update(service.Model, replicas, targets.NodeShare{
				CapacityShare: func(domain string) float64 { return s.node.share(service.Name, domain) }, MaxConns: s.node.conns(service), DomainNodeCount: max(1, len(near)),
				LoadControl: service.LoadControl,
			})
			continue
		}
		plain := s.plainOf(service.Name)
		plain.Limits().SetNodes(senders)
		plain.Update(replicas, s.node.conns(service), near, all)
	}
}

// addressesOf returns the addresses of the services' replicas, by service and replica.
func addressesOf(services []*ruleset.Service, replicas map[string][]*replicalist.Replica) map[string]map[string]string {
	all := map[string]map[string]string{}
	for _, service := range services {
		all[service.Name] = map[string]string{}
		for _, r := range replicas[service.Name] {
			all[service.Name][r.ID] = r.Address
		}
	}
	return all
}

// shareTries gives each budget this node's part as of now.
func (s *services) shareTries() {
	part := s.node.tries()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.budgets {
		b.SetBurst(part)
	}
}

func (s *services) model(name string) *targets.ModelTargets {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.models[name]
	if !ok {
		m = targets.NewModelTargets(s.node.settings.Node, s.node.settings.Domain, s.node.seed, time.Now)
		s.models[name] = m
	}
	return m
}

func (s *services) plainOf(name string) *targets.PlainTargets {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.plain[name]
	if !ok {
		p = targets.NewPlainTargets(s.node.settings.Node, s.node.settings.Domain, s.node.seed, time.Now)
		s.plain[name] = p
	}
	return p
}

func (s *services) keeper(name string) *layerorders.Controller {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.keepers[name]
	if !ok {
		k = layerorders.New(name, engineCalls{s.node}, s.node.timing.Settle, s.node.log)
		s.keepers[name] = k
	}
	return k
}

// share is the part of a domain's room that this node reckons with for a model. Its own domain's
// is shared by the domain's nodes; another's is taken when the own is short, by nodes
// that do not see each other's bookings, and so only a part of the same size as if
// all nodes took from it.
func (n *Node) share(service, domain string) float64 {
	near, all := n.sendersTo(service, domain)
	if time.Since(n.started) < meetAfter {
		// Nodes that started together do not see one another yet.
		return 1 / float64(max(startNear, len(near)))
	}
	if domain != n.settings.Domain {
		return 1 / float64(all)
	}
	return 1 / float64(max(1, len(near)))
}

const (
	// meetAfter is how long a node that starts may not know of the others: a lease, an
	// entry and a read of the store each.
	meetAfter = 3 * time.Second
	// startNear is how many nodes of its domain it reckons with until then.
	startNear = 3
)

func (s *services) allModels() map[string]*targets.ModelTargets {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.models)
}

// connsPart of a replica's connections is shared by the nodes; the rest is for those
// that start or come late to know of one another.
const connsPart = 0.85

// conns is how many connections this node may have open to one replica of a service.
func (n *Node) conns(s *ruleset.Service) int {
	if s.MaxConns <= 0 {
		return 0
	}
	_, all := n.sendersTo(s.Name, "")
	return max(2, int(float64(s.MaxConns)*connsPart/float64(all)))
}

// plan orders layers where it is this node's turn.
func (n *Node) plan(ctx context.Context, revision int64) {
	rules := n.rules.Load()
	if rules == nil || n.leavingFor() > 0 || time.Since(n.started) < n.timing.PlanAfter {
		return
	}
	list := n.replicas()
	for _, service := range rules.Services() {
		if service.Model == nil || n.reach.CutOff(service.Name) {
			continue // another node takes its turn, see keeps
		}
		var own []*replicalist.Replica
		domains := map[string]bool{}
		for _, r := range list {
			if r.Service == service.Name {
				own = append(own, r)
				domains[r.Domain] = true
			}
		}
		model := n.services.model(service.Name)
		for domain := range domains {
			if n.keeps(service.Name, domain) {
				n.services.keeper(service.Name).Reconcile(ctx, time.Now(), service.Model, domain, revision, own, model.LayersLost)
			}
		}
	}
}
