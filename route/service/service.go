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
	Name   string
	Gate   *admissionqueue.Queue
	Picker *replicapicker.Picker
	// Retry is the budget of further tries.
	Retry *retrybudget.Budget
	// Prefixes are hints at what the engines have cached; empty for a plain
	// service.
	Prefixes *Prefixes

	mu sync.Mutex
	// replicasOf maps each endpoint to the replicas that need it, stagesOf each
	// replica to its endpoints.
	replicasOf map[string][]string
	stagesOf   map[string][]string
	// applied is what the balancer was last given, of which specification.
	applied []balance.Replica
	spec    *document.Service
	marks   map[leavingMark]bool
	// quiet orders the endpoints of the subset quietOf by when each last told its
	// load, or was last asked.
	quiet   balance.PollSchedule
	quietOf uint64
	// steps is each endpoint's own report of its time for a token.
	steps   map[string]time.Duration
	assumed float64
	// usedPart is the mean part of the expected cost that answers really take.
	usedPart float64
	// stretch is the mean time of an answer over that of its tokens.
	stretch float64
	now     func() time.Time
}

// Config names the node that the services are on.
type Config struct {
	Node          string
	FailureDomain string
	Now           func() time.Time
	// OnSlots is told of each change of a service's usable slots; may be nil.
	OnSlots func(service string, slots int)
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
	teams := weights(d.Document)
	kept := map[string]*Service{}
	for i := range d.Document.Services {
		spec := &d.Document.Services[i]
		s := r.services[spec.Name]
		if s == nil {
			s = r.newService(spec.Name)
		}
		s.Retry.SetShare(d.Document.Policy.RetryBudget)
		s.applyTeams(teams, r.teams)
		s.applyReplicas(d, spec)
		kept[spec.Name] = s
	}
	for name, s := range r.services {
		if kept[name] == nil {
			s.Gate.Close()
		}
	}
	r.services = kept
	r.teams = teams
}

func weights(doc *document.Document) map[string]float64 {
	w := make(map[string]float64, len(doc.Teams))
	for _, t := range doc.Teams {
		w[t.Name] = t.Weight
	}
	return w
}

func (r *Registry) newService(name string) *Service {
	seed := hash(r.cfg.Node + "/" + name)
	s := &Service{
		Name:  name,
		Gate:  admissionqueue.New(admission.New(admission.Config{}), r.cfg.Now),
		Retry: retrybudget.New(retry.Config{Seed: seed}, r.cfg.Now),
		marks: map[leavingMark]bool{},

		Prefixes: newPrefixes(r.cfg.Now),

		steps: map[string]time.Duration{},

		usedPart: 1,
		stretch:  1,
		now:      r.cfg.Now,
	}
	balancer := balance.New(balance.Config{Node: r.cfg.Node, FailureDomain: r.cfg.FailureDomain, Seed: seed})
	s.Picker = replicapicker.New(balancer, r.cfg.Now, func() {
		s.followCapacity()
		if r.cfg.OnSlots != nil {
			r.cfg.OnSlots(name, s.Picker.Slots())
		}
	})
	return s
}

func (s *Service) followCapacity() {
	s.Gate.Configure(func(now time.Time, q *admission.Queue) []admission.Verdict {
		slots, whole := s.Picker.Share()
		return q.SetShare(now, slots, whole)
	})
}

func (s *Service) applyTeams(teams, before map[string]float64) {
	s.Gate.Configure(func(now time.Time, q *admission.Queue) []admission.Verdict {
		var verdicts []admission.Verdict
		for name := range before {
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
	replicas := replicasOf(d, spec, slots)
	s.mu.Lock()
	same := s.spec != nil && slices.Equal(s.applied, replicas) && sameStages(s.spec, spec)
	// Also if nothing changed: the former specification holds its whole document.
	s.applied, s.spec = replicas, spec
	if same {
		// Most changes are of other services, or of an endpoint's address. To
		// choose the subset anew took a third of a change's time.
		s.mu.Unlock()
		return
	}
	s.stagesOf = stagesOf(spec)
	s.replicasOf = inverted(s.stagesOf)
	maps.DeleteFunc(s.steps, func(e string, _ time.Duration) bool { return len(s.replicasOf[e]) == 0 })
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

// replicasOf lists what the balancer chooses among: chains of a model, or single
// endpoints of a plain service.
func replicasOf(d *docindex.Directory, spec *document.Service, slots int) []balance.Replica {
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

// stagesOf lists the endpoints that each replica needs.
func stagesOf(spec *document.Service) map[string][]string {
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

func inverted(stages map[string][]string) map[string][]string {
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
