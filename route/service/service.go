// Package service holds what a node keeps of each service in the document: the
// gate that lets requests in, the picker that places them and the budget of
// retries. All three live on over document changes, so that a new revision does
// not forget who waits, what is underway or which endpoint was slow.
package service

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/admissionqueue"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/replicapicker"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/state/document"
)

// defaultSlots is how many requests a replica is given at once when the
// document says nothing: a common batch size of engines.
const defaultSlots = 16

// Service is one service on this node. Safe for concurrent use.
type Service struct {
	Name      string
	Admission *admissionqueue.Gate
	Picker    *replicapicker.Picker
	// RetryBudget is the budget of further tries.
	RetryBudget *retrybudget.Budget
	// PrefixIndex are hints at what the engines have cached; empty for a plain
	// service.
	PrefixIndex *PrefixIndex

	mu sync.Mutex
	// replicasOf maps each endpoint to the replicas that need it, stagesOf each
	// replica to its endpoints.
	replicasOf map[string][]string
	stagesOf   map[string][]string
	// appliedReplicas is what the balancer was last given, of which specification.
	appliedReplicas []balance.Replica
	spec            *document.Service
	leavingMarks    map[leavingKey]bool
	// loadPolls orders the endpoints of the subset quietOf by when each last told its
	// load, or was last asked.
	loadPolls        balance.PollSchedule
	loadPollsVersion uint64
	// tokenTimes is each endpoint's own report of its time for a token.
	tokenTimes       map[string]time.Duration
	assumedTokenRate float64
	// costRatio is the mean part of the expected cost that answers really take.
	costRatio float64
	// runTimeRatio is the mean time of an answer over that of its tokens.
	runTimeRatio float64
	now          func() time.Time
}

// Config names the node that the services are on.
type Config struct {
	Node          string
	FailureDomain string
	Now           func() time.Time
	// OnSlotsChanged is told of each change of a service's usable slots; may be nil.
	OnSlotsChanged func(service string, slots int)
}

// Registry holds the services of the document in force. Safe for concurrent
// use.
type Registry struct {
	cfg Config

	mu       sync.RWMutex
	services map[string]*Service
	// teams are the weights last applied, to see which teams went.
	teams map[string]float64
}

// NewRegistry returns a Registry without services.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, services: map[string]*Service{}, teams: map[string]float64{}}
}

// Get returns a service, or nil.
func (r *Registry) Get(name string) *Service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[name]
}

// All returns the services.
func (r *Registry) All() []*Service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]*Service, 0, len(r.services))
	for _, s := range r.services {
		all = append(all, s)
	}
	return all
}

// Apply puts a document in force. Requests underway keep their tickets, also
// when their service has gone.
func (r *Registry) Apply(d *docindex.Directory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	teams := teamWeights(d.Document)
	services := map[string]*Service{}
	for i := range d.Document.Services {
		spec := &d.Document.Services[i]
		s := r.services[spec.Name]
		if s == nil {
			s = r.newService(spec.Name)
		}
		s.RetryBudget.SetShare(d.Document.Policy.RetryBudget)
		s.applyTeams(teams, r.teams)
		s.applyReplicas(d, spec)
		services[spec.Name] = s
	}
	for name, s := range r.services {
		if services[name] == nil {
			s.Admission.Close()
		}
	}
	r.services = services
	r.teams = teams
}

func teamWeights(doc *document.Document) map[string]float64 {
	weights := make(map[string]float64, len(doc.Teams))
	for _, t := range doc.Teams {
		weights[t.Name] = t.Weight
	}
	return weights
}

func (r *Registry) newService(name string) *Service {
	seed := hash(r.cfg.Node + "/" + name)
	s := &Service{
		Name:         name,
		Admission:    admissionqueue.New(admission.New(admission.Config{}), r.cfg.Now),
		RetryBudget:  retrybudget.New(retry.Config{Seed: seed}, r.cfg.Now),
		leavingMarks: map[leavingKey]bool{},

		PrefixIndex: newPrefixIndex(r.cfg.Now),

		tokenTimes: map[string]time.Duration{},

		costRatio:    1,
		runTimeRatio: 1,
		now:          r.cfg.Now,
	}
	balancer := balance.New(balance.Config{Node: r.cfg.Node, FailureDomain: r.cfg.FailureDomain, Seed: seed})
	s.Picker = replicapicker.New(balancer, r.cfg.Now, func() {
		s.updateCapacity()
		if r.cfg.OnSlotsChanged != nil {
			r.cfg.OnSlotsChanged(name, s.Picker.Slots())
		}
	})
	return s
}

func (s *Service) updateCapacity() {
	s.Admission.Configure(func(now time.Time, q *admission.Queue) []admission.Verdict {
		slots, total := s.Picker.Share()
		return q.SetShare(now, slots, total)
	})
}

func (s *Service) applyTeams(teams, previous map[string]float64) {
	s.Admission.Configure(func(now time.Time, q *admission.Queue) []admission.Verdict {
		var verdicts []admission.Verdict
		for name := range previous {
			if _, stays := teams[name]; !stays {
				verdicts = append(verdicts, q.RemoveTeam(now, name)...)
			}
		}
		for name, weight := range teams {
			q.SetTeam(name, weight)
		}
		return verdicts
	})
}

func (s *Service) applyReplicas(d *docindex.Directory, spec *document.Service) {
	slots := d.Document.Policy.ConcurrentPerReplica
	if slots <= 0 {
		slots = defaultSlots
	}
	replicas := balancedReplicas(d, spec, slots)
	s.mu.Lock()
	unchanged := s.spec != nil && slices.Equal(s.appliedReplicas, replicas) && sameStages(s.spec, spec)
	// Also if nothing changed: the former specification holds its whole document.
	s.appliedReplicas, s.spec = replicas, spec
	if unchanged {
		// Most changes are of other services, or of an endpoint's address. To
		// choose the subset anew took a third of a change's time.
		s.mu.Unlock()
		return
	}
	s.stagesOf = endpointsByReplica(spec)
	s.replicasOf = replicasByEndpoint(s.stagesOf)
	maps.DeleteFunc(s.tokenTimes, func(e string, _ time.Duration) bool { return len(s.replicasOf[e]) == 0 })
	s.mu.Unlock()
	s.Picker.SetReplicas(replicas)
}

// sameStages says whether two specifications, whose replicas have the same
// names, also have the same endpoints in the same order.
func sameStages(a, b *document.Service) bool {
	if a.Kind != b.Kind || a.Kind != document.KindModel {
		return a.Kind == b.Kind
	}
	return slices.EqualFunc(a.Model.Replicas, b.Model.Replicas, func(a, b document.Replica) bool {
		return slices.EqualFunc(a.Stages, b.Stages, func(a, b document.Stage) bool { return a.Endpoint == b.Endpoint })
	})
}

// balancedReplicas lists what the balancer chooses among: chains of a model, or single
// endpoints of a plain service.
func balancedReplicas(d *docindex.Directory, spec *document.Service, slots int) []balance.Replica {
	var replicas []balance.Replica
	add := func(name, first string) {
		e, _ := d.Endpoint(first)
		replicas = append(replicas, balance.Replica{ID: name, FailureDomain: e.FailureDomain, Slots: slots})
	}
	if spec.Kind != document.KindModel {
		for _, name := range spec.Plain.Endpoints {
			add(name, name)
		}
		return replicas
	}
	replicas = make([]balance.Replica, 0, len(spec.Model.Replicas))
	for _, m := range spec.Model.Replicas {
		add(m.Name, m.Stages[0].Endpoint)
	}
	return replicas
}

// endpointsByReplica lists the endpoints that each replica needs.
func endpointsByReplica(spec *document.Service) map[string][]string {
	stages := map[string][]string{}
	if spec.Kind != document.KindModel {
		for _, name := range spec.Plain.Endpoints {
			stages[name] = []string{name}
		}
		return stages
	}
	for _, m := range spec.Model.Replicas {
		for _, stage := range m.Stages {
			stages[m.Name] = append(stages[m.Name], stage.Endpoint)
		}
	}
	return stages
}

// IsModel says whether the service's replicas are chains of engines.
func (s *Service) IsModel() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spec != nil && s.spec.Kind == document.KindModel
}

func replicasByEndpoint(stages map[string][]string) map[string][]string {
	replicas := map[string][]string{}
	for name, endpoints := range stages {
		for _, e := range endpoints {
			replicas[e] = append(replicas[e], name)
		}
	}
	return replicas
}

func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
