// Package layerplans keeps the placement of layers on a node: the Book holds the
// plans that the store has agreed, for the data path; the Keeper makes plans
// and carries them out, on the node whose turn it is.
//
// The failure that it answers: layers cut by hand leave every token waiting for
// the slowest hop, and a plan that changed must reach every node without each
// of them watching the store. A node reads a plan when it needs it, and again
// when an engine reports to hold something else than the plan says: the check
// at use tells that a plan is old, so nothing has to be pushed.
package layerplans

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/plan"
	"github.com/cicadatack/cicadatack/state/store"
)

const (
	// readPause is between two reads of one record: a replica whose engines are
	// loading is suspected by every stream that would use it.
	readPause = 500 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
	// adapterRefresh is how old a record with adapters may be before it is read
	// again. An engine that lost an adapter is noticed where a stream is sent, but a
	// replica that gained one is not: its calls would go on to the holders that this
	// node knows, which are busy. A read a minute for each of the few records that a
	// node uses is 400 a second for 2,200 nodes with a dozen each, of the two thousand
	// that the store gives.
	adapterRefresh = time.Minute
	// maxQueued bounds the reads asked for and not begun; more are dropped, and
	// asked for again by the next stream.
	maxQueued = 256
)

// place names one record: a model's replicas in one failure domain.
type place struct {
	model  string
	domain string
}

// Book is the plans that this node knows. Safe for concurrent use.
type Book struct {
	store       store.Reader
	environment string
	log         hclog.Logger
	wanted      chan place
	now         func() time.Time

	mu      sync.RWMutex
	placeOf map[replicaName]place
	records map[place]plan.Record
	readAt  map[place]time.Time
	// adapted are the records in which some replica is to hold an adapter.
	adapted map[place]bool
}

// replicaName names a replica within the environment.
type replicaName struct {
	model   string
	replica string
}

// NewBook returns a book without plans.
func NewBook(s store.Reader, environment string, log hclog.Logger) *Book {
	return &Book{
		store:       s,
		environment: environment,
		log:         log,
		wanted:      make(chan place, maxQueued),
		now:         time.Now,
		placeOf:     map[replicaName]place{},
		records:     map[place]plan.Record{},
		readAt:      map[place]time.Time{},
		adapted:     map[place]bool{},
	}
}

// Apply takes the replicas of a document whose layers it leaves to the planner.
func (b *Book) Apply(d *docindex.Directory) {
	places := map[replicaName]place{}
	for _, r := range openReplicas(d) {
		places[r.full()] = r.place
	}
	b.mu.Lock()
	b.placeOf = places
	b.mu.Unlock()
	for _, p := range distinct(places) {
		b.want(p)
	}
}

func distinct(places map[replicaName]place) []place {
	seen := map[place]bool{}
	var all []place
	for _, p := range places {
		if !seen[p] {
			seen[p] = true
			all = append(all, p)
		}
	}
	return all
}

// Plan returns a replica's stages and the version to fence by. If there is none
// the plan is read, for those who ask later.
func (b *Book) Plan(model, replica string) ([]document.Stage, int64, bool) {
	agreed, ok := b.Agreed(model, replica)
	if !ok {
		return nil, 0, false
	}
	return documentStages(agreed), agreed.Version, true
}

// Agreed returns a replica's plan, and like Plan has one read that is not known.
func (b *Book) Agreed(model, replica string) (plan.Replica, bool) {
	b.mu.RLock()
	p, known := b.placeOf[replicaName{model, replica}]
	agreed, planned := b.records[p].Replicas[replica]
	old := b.adapted[p] && b.now().Sub(b.readAt[p]) >= adapterRefresh
	b.mu.RUnlock()
	if known && (!planned || old) {
		b.want(p)
	}
	return agreed, known && planned
}

func documentStages(r plan.Replica) []document.Stage {
	stages := make([]document.Stage, len(r.Stages))
	for i, s := range r.Stages {
		stages[i] = document.Stage{Endpoint: s.Endpoint, Layers: []int{s.First, s.Last}}
	}
	return stages
}

// Suspect says that an engine of a replica holds something else than the plan.
func (b *Book) Suspect(model, replica string) {
	b.mu.RLock()
	p, known := b.placeOf[replicaName{model, replica}]
	b.mu.RUnlock()
	if known {
		b.want(p)
	}
}

// want asks for a record to be read, unless it has just been.
func (b *Book) want(p place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now.Sub(b.readAt[p]) < readPause {
		return
	}
	select {
	case b.wanted <- p:
		b.readAt[p] = now
	default:
	}
}

// Run reads the records that are asked for until ctx ends.
func (b *Book) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-b.wanted:
			b.read(ctx, p)
		}
	}
}

func (b *Book) read(ctx context.Context, p place) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	record, _, err := plan.Load(ctx, b.store, plan.Key(b.environment, p.model, p.domain))
	if err != nil {
		b.log.Warn("plan not read, the one known stays", "model", p.model, "failure_domain", p.domain, "error", err)
		return
	}
	b.take(p, record)
}

// take puts a record in force on this node unless it knows a later one.
func (b *Book) take(p place, record plan.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if record.Version >= b.records[p].Version {
		b.records[p] = record
		b.adapted[p] = hasAdapters(record)
	}
}

// adapters says whether some replica of a record is to hold an adapter.
func (b *Book) adapters(p place) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.adapted[p]
}

func hasAdapters(record plan.Record) bool {
	for _, r := range record.Replicas {
		if len(r.Adapters) > 0 {
			return true
		}
	}
	return false
}

// openReplica is a replica whose layers the document leaves to the planner.
type openReplica struct {
	place  place
	name   string
	model  *document.Model
	stages []document.Stage
}

func (r openReplica) full() replicaName {
	return replicaName{r.place.model, r.name}
}

func openReplicas(d *docindex.Directory) []openReplica {
	var open []openReplica
	for i := range d.Document.Services {
		s := &d.Document.Services[i]
		if s.Kind != document.KindModel {
			continue
		}
		for _, r := range s.Model.Replicas {
			if len(r.Stages[0].Layers) > 0 {
				continue
			}
			first, _ := d.Endpoint(r.Stages[0].Endpoint)
			open = append(open, openReplica{
				place:  place{s.Name, first.FailureDomain},
				name:   r.Name,
				model:  s.Model,
				stages: r.Stages,
			})
		}
	}
	return open
}
