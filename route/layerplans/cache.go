// Package layerplans keeps the plans of model replicas on a node. A plan says which
// engine of a replica holds which layers, and which adapters the replica holds. The Cache
// has the plans that are in force, for the data path. The Controller, on one node per
// model and failure domain, makes plans and orders the engines to carry them out.
//
// A model's replicas in one failure domain share one record of plans in the store. All
// nodes agree on the record by compare-and-swap. The version of a plan is the fencing
// number of the orders that carry it out. The keys of all records begin with the node's
// environment. Once a second the Controller runs a round: it checks some replicas, writes
// new plans and sends orders.
//
// Engines fetch layers and adapters from the weight store. The rate of the weight store is
// limited, so the loads get reserved times one after the other. A hop is a stage with its
// outgoing link; the time of a hop is the time that a token takes on both.
//
// # Failures without planned layers
//
// If layers are divided by hand, every token waits for the slowest hop. A changed plan
// must reach every node, but not every node can watch the store. A node therefore reads
// a plan when it needs the plan, and again when an engine reports that it holds other
// layers than the plan says. Every use of a plan thus shows whether the plan is outdated.
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
	// minReadInterval is the minimum time between two reads of one record. Without the
	// limit, every stream that would use a replica would cause a read while the
	// replica's engines are loading.
	minReadInterval = 500 * time.Millisecond
	readTimeout     = 2 * time.Second
	// adapterRefresh is the maximum age of a cached record with adapters. If a replica has
	// lost an adapter, the node learns it when it sends a stream to the replica. If another
	// replica has got the adapter, the node learns it only from a new read. Until then it
	// sends calls only to the replicas that it knows to hold the adapter, even when they
	// are busy. With 2,200 nodes that use a dozen records each, one read a minute per
	// record is about 400 reads a second. The store serves two thousand.
	adapterRefresh = time.Minute
	// maxPendingReads bounds the reads that are requested but not started. Further requests
	// are dropped. The next stream that needs the plan requests the read again.
	maxPendingReads = 256
)

// recordKey identifies the record of a model's replicas in one failure domain.
type recordKey struct {
	model  string
	domain string
}

// Cache holds the plans that this node has read. Safe for concurrent use.
type Cache struct {
	store        store.Reader
	environment  string
	log          hclog.Logger
	pendingReads chan recordKey
	now          func() time.Time

	mu              sync.RWMutex
	keyOf           map[replicaID]recordKey
	records         map[recordKey]plan.Record
	readRequestedAt map[recordKey]time.Time
	// recordsWithAdapters says for each record whether the plan of some replica has an adapter.
	recordsWithAdapters map[recordKey]bool
}

// replicaID identifies a replica by its model and the replica's name in the document.
type replicaID struct {
	model   string
	replica string
}

// NewCache returns an empty cache.
func NewCache(s store.Reader, environment string, log hclog.Logger) *Cache {
	return &Cache{
		store:               s,
		environment:         environment,
		log:                 log,
		pendingReads:        make(chan recordKey, maxPendingReads),
		now:                 time.Now,
		keyOf:               map[replicaID]recordKey{},
		records:             map[recordKey]plan.Record{},
		readRequestedAt:     map[recordKey]time.Time{},
		recordsWithAdapters: map[recordKey]bool{},
	}
}

// Apply replaces the set of replicas by the replicas of a document. Replicas whose layers
// the document names itself are left out.
func (c *Cache) Apply(d *docindex.Index) {
	keys := map[replicaID]recordKey{}
	for _, r := range replicaSpecs(d) {
		keys[r.id()] = r.key
	}
	c.mu.Lock()
	c.keyOf = keys
	c.mu.Unlock()
	for _, key := range uniqueKeys(keys) {
		c.requestRead(key)
	}
}

func uniqueKeys(keys map[replicaID]recordKey) []recordKey {
	seen := map[recordKey]bool{}
	var all []recordKey
	for _, key := range keys {
		if !seen[key] {
			seen[key] = true
			all = append(all, key)
		}
	}
	return all
}

// Plan returns the stages of a replica's plan and its version. If the plan is not known,
// a read is requested, and a later call returns the plan.
func (c *Cache) Plan(model, replica string) ([]document.Stage, int64, bool) {
	replicaPlan, ok := c.Agreed(model, replica)
	if !ok {
		return nil, 0, false
	}
	return documentStages(replicaPlan), replicaPlan.Version, true
}

// Agreed returns a replica's plan. If the plan is not known, a read is requested.
func (c *Cache) Agreed(model, replica string) (plan.Replica, bool) {
	c.mu.RLock()
	key, known := c.keyOf[replicaID{model, replica}]
	replicaPlan, found := c.records[key].Replicas[replica]
	stale := c.recordsWithAdapters[key] && c.now().Sub(c.readRequestedAt[key]) >= adapterRefresh
	c.mu.RUnlock()
	if known && (!found || stale) {
		c.requestRead(key)
	}
	return replicaPlan, known && found
}

func documentStages(r plan.Replica) []document.Stage {
	stages := make([]document.Stage, len(r.Stages))
	for i, s := range r.Stages {
		stages[i] = document.Stage{Endpoint: s.Endpoint, Layers: []int{s.First, s.Last}}
	}
	return stages
}

// ReportPlanMismatch requests a read of a replica's plan because an engine holds other
// layers or adapters than the plan says.
func (c *Cache) ReportPlanMismatch(model, replica string) {
	c.mu.RLock()
	key, known := c.keyOf[replicaID{model, replica}]
	c.mu.RUnlock()
	if known {
		c.requestRead(key)
	}
}

// requestRead requests a read of a record, unless one was requested within minReadInterval.
func (c *Cache) requestRead(key recordKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.readRequestedAt[key]) < minReadInterval {
		return
	}
	select {
	case c.pendingReads <- key:
		c.readRequestedAt[key] = now
	default:
	}
}

// Run reads the requested records until ctx ends.
func (c *Cache) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case key := <-c.pendingReads:
			c.read(ctx, key)
		}
	}
}

func (c *Cache) read(ctx context.Context, key recordKey) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	record, _, err := plan.Load(ctx, c.store, plan.Key(c.environment, key.model, key.domain))
	if err != nil {
		c.log.Warn("plan not read, the cached plan stays in use", "model", key.model, "failure_domain", key.domain, "error", err)
		return
	}
	c.update(key, record)
}

// update stores a record unless the cache has a later one.
func (c *Cache) update(key recordKey, record plan.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record.Version >= c.records[key].Version {
		c.records[key] = record
		c.recordsWithAdapters[key] = anyAdapters(record)
	}
}

// hasAdapters reports whether the plan of some replica in a record has an adapter.
func (c *Cache) hasAdapters(key recordKey) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.recordsWithAdapters[key]
}

func anyAdapters(record plan.Record) bool {
	for _, r := range record.Replicas {
		if len(r.Adapters) > 0 {
			return true
		}
	}
	return false
}

// replicaSpec is the document's specification of a replica whose layers the document leaves to
// the planner.
type replicaSpec struct {
	key    recordKey
	name   string
	model  *document.Model
	stages []document.Stage
}

func (r replicaSpec) id() replicaID {
	return replicaID{r.key.model, r.name}
}

func replicaSpecs(d *docindex.Index) []replicaSpec {
	var specs []replicaSpec
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
			specs = append(specs, replicaSpec{
				key:    recordKey{s.Name, first.FailureDomain},
				name:   r.Name,
				model:  s.Model,
				stages: r.Stages,
			})
		}
	}
	return specs
}
