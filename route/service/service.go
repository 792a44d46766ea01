// Package service holds a node's state of each service in the document: the admission
// queue, the picker that chooses replicas, the retry budget and the index of cached
// prompt prefixes. The state is kept when the document changes, so that a new revision
// does not lose the waiting and running requests or the measured times of endpoints.
//
// A replica of a model is a chain of engines, its stages; a replica of a plain service is
// one endpoint. A slot is the capacity of a replica to run one request. The subset is the
// list of replicas that this node sends requests to.
//
// An endpoint is leaving while the platform, an operator or the endpoint itself says that
// the endpoint will stop. A leaving mark records that one of these sources says so.
//
// Polls for load and polls for cache events each follow a schedule. The schedule has one
// poll opportunity per interval. A round is the time in which each endpoint or replica of
// the schedule can be polled once.
package service

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/endpointrate"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/admissionqueue"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/endpointlimits"
	"github.com/cicadatack/cicadatack/route/replicapicker"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/state/document"
)

// defaultSlots is the number of slots of a replica if the document sets no number. It is
// a common batch size of engines.
const defaultSlots = 16

// Service is the state of one service on this node. Safe for concurrent use.
type Service struct {
	Name      string
	Admission *admissionqueue.Queue
	Picker    *replicapicker.Picker
	// RetryBudget limits the retries of failed requests.
	RetryBudget *retrybudget.Budget
	// Limits are the rate limits that the endpoints of a plain service state, and the pushbacks of
	// replicas.
	Limits *endpointlimits.Limits
	// PrefixIndex estimates which prompt prefixes the engines have cached. It is empty for
	// a plain service.
	PrefixIndex *PrefixIndex

	mu sync.Mutex
	// replicasOf maps each endpoint to the replicas that have the endpoint as a stage.
	// stagesOf maps each replica to the endpoints of its stages.
	replicasOf map[string][]string
	stagesOf   map[string][]string
	// appliedReplicas is the balancer's present list of replicas. spec is the service's
	// specification in the document, from which this list was made.
	appliedReplicas []balance.Replica
	spec            *document.Service
	leavingMarks    map[leavingKey]bool
	// loadPolls orders the endpoints by the time of their last load report or poll.
	// loadPollsVersion is the version of the subset that the endpoints belong to.
	loadPolls        balance.PollSchedule
	loadPollsVersion uint64
	// tokenTimes is the time per token that each endpoint has reported.
	tokenTimes map[string]time.Duration
	// assumedTokenRate is the mean token rate of a slot, in tokens per second, that was
	// last passed to the admission queue.
	assumedTokenRate float64
	// actualCostRatio is the mean ratio of an answer's actual cost to its expected cost.
	actualCostRatio float64
	// runToTokenTimeRatio is the mean ratio of an answer's run time to the time that its
	// tokens take at assumedTokenRate.
	runToTokenTimeRatio float64
	now                 func() time.Time
}

// Config describes the node that the services run on.
type Config struct {
	Node          string
	FailureDomain string
	Now           func() time.Time
	// OnSlotsChanged is called when the number of usable slots of a service changes. It
	// may be nil.
	OnSlotsChanged func(service string, slots int)
}

// Registry holds the services of the document in force. Safe for concurrent
// use.
type Registry struct {
	cfg Config

	mu       sync.RWMutex
	services map[string]*Service
	// teamWeights has, by team, the weights last applied. It shows which teams a new
	// document removes.
	teamWeights map[string]float64
}

// NewRegistry returns a Registry without services.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, services: map[string]*Service{}, teamWeights: map[string]float64{}}
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

// Apply puts a document in force. Running requests keep the slots that the admission
// queue gave them, even if the document no longer has their service.
func (r *Registry) Apply(d *docindex.Index) {
	r.mu.Lock()
	defer r.mu.Unlock()
	teamWeights := weightsByTeam(d.Document)
	services := map[string]*Service{}
	for i := range d.Document.Services {
		spec := &d.Document.Services[i]
		s := r.services[spec.Name]
		if s == nil {
			s = r.newService(spec.Name)
		}
		s.RetryBudget.SetRetryRatio(d.Document.Policy.RetryBudget)
		s.applyTeams(teamWeights, r.teamWeights)
		s.applyReplicas(d, spec)
		services[spec.Name] = s
	}
	for name, s := range r.services {
		if services[name] == nil {
			s.Admission.Close()
		}
	}
	r.services = services
	r.teamWeights = teamWeights
}

func weightsByTeam(doc *document.Document) map[string]float64 {
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
		Limits:       endpointlimits.New(endpointrate.Node{Name: r.cfg.Node, Domain: r.cfg.FailureDomain}, seed, r.cfg.Now),
		leavingMarks: map[leavingKey]bool{},

		PrefixIndex: newPrefixIndex(r.cfg.Now),

		tokenTimes: map[string]time.Duration{},

		actualCostRatio:     1,
		runToTokenTimeRatio: 1,
		now:                 r.cfg.Now,
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
		slots, total := s.Picker.SlotShare()
		return q.SetShare(now, slots, total)
	})
}

func (s *Service) applyTeams(weights, previousWeights map[string]float64) {
	s.Admission.Configure(func(now time.Time, q *admission.Queue) []admission.Verdict {
		var verdicts []admission.Verdict
		for name := range previousWeights {
			if _, stays := weights[name]; !stays {
				verdicts = append(verdicts, q.RemoveTeam(now, name)...)
			}
		}
		for name, weight := range weights {
			q.SetTeam(name, weight)
		}
		return verdicts
	})
}

func (s *Service) applyReplicas(d *docindex.Index, spec *document.Service) {
	slots := d.Document.Policy.ConcurrentPerReplica
	if slots <= 0 {
		slots = defaultSlots
	}
	replicas := balancedReplicas(d, spec, slots)
	s.mu.Lock()
	unchanged := s.spec != nil && slices.Equal(s.appliedReplicas, replicas) && sameStages(s.spec, spec)
	// Replace the specification even if nothing changed. The old specification would keep
	// the whole old document in memory.
	s.appliedReplicas, s.spec = replicas, spec
	if unchanged {
		// Most new documents change only other services or an endpoint's address. Choosing the
		// subset again for them would take a third of the time to apply a document.
		s.mu.Unlock()
		return
	}
	s.stagesOf = endpointsByReplica(spec)
	s.replicasOf = replicasByEndpoint(s.stagesOf)
	maps.DeleteFunc(s.tokenTimes, func(e string, _ time.Duration) bool { return len(s.replicasOf[e]) == 0 })
	s.mu.Unlock()
	s.Picker.SetReplicas(replicas)
	s.Limits.SetReplicas(domainsByID(replicas))
}

func domainsByID(replicas []balance.Replica) map[string]string {
	domains := make(map[string]string, len(replicas))
	for _, r := range replicas {
		domains[r.ID] = r.FailureDomain
	}
	return domains
}

// sameStages reports whether two specifications whose replicas have the same names also
// have the same endpoints in the same order.
func sameStages(a, b *document.Service) bool {
	if a.Kind != b.Kind || a.Kind != document.KindModel {
		return a.Kind == b.Kind
	}
	return slices.EqualFunc(a.Model.Replicas, b.Model.Replicas, func(a, b document.Replica) bool {
		return slices.EqualFunc(a.Stages, b.Stages, func(a, b document.Stage) bool { return a.Endpoint == b.Endpoint })
	})
}

// balancedReplicas lists the replicas that the balancer chooses from: the chains of a model,
// or the endpoints of a plain service.
func balancedReplicas(d *docindex.Index, spec *document.Service, slots int) []balance.Replica {
	var replicas []balance.Replica
	add := func(name, firstEndpoint string) {
		e, _ := d.Endpoint(firstEndpoint)
		replicas = append(replicas, balance.Replica{ID: name, FailureDomain: e.FailureDomain, Slots: slots})
	}
	if spec.Kind != document.KindModel {
		for _, name := range spec.Plain.Endpoints {
			add(name, name)
		}
		return replicas
	}
	replicas = make([]balance.Replica, 0, len(spec.Model.Replicas))
	for _, r := range spec.Model.Replicas {
		add(r.Name, r.Stages[0].Endpoint)
	}
	return replicas
}

// endpointsByReplica lists the endpoints of each replica's stages.
func endpointsByReplica(spec *document.Service) map[string][]string {
	stages := map[string][]string{}
	if spec.Kind != document.KindModel {
		for _, name := range spec.Plain.Endpoints {
			stages[name] = []string{name}
		}
		return stages
	}
	for _, r := range spec.Model.Replicas {
		for _, stage := range r.Stages {
			stages[r.Name] = append(stages[r.Name], stage.Endpoint)
		}
	}
	return stages
}

// IsModel reports whether the service's replicas are chains of engines.
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
