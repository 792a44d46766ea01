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
	// minReadInterval is between two reads of one record: a replica whose engines are
	// loading is suspected by every stream that would use it.
	minReadInterval = 500 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
	// adapterRefresh is how old a record with adapters may be before it is read
	// again. An engine that lost an adapter is noticed where a stream is sent, but a
	// replica that gained one is not: its calls would go on to the holders that this
	// node knows, which are busy. A read a minute for each of the few records that a
	// node uses is 400 a second for 2,200 nodes with a dozen each, of the two thousand
	// that the store gives.
	adapterRefresh = time.Minute
	// maxPendingReads bounds the reads asked for and not begun; more are dropped, and
	// asked for again by the next stream.
	maxPendingReads = 256
)

// recordKey names one record: a model's replicas in one failure domain.
type recordKey struct {
	model  string
	domain string
}

// Cache is the plans that this node knows. Safe for concurrent use.
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
	// withAdapters are the records in which some replica is to hold an adapter.
	withAdapters map[recordKey]bool
}

// replicaID names a replica within the environment.
type replicaID struct {
	model   string
	replica string
}

// NewCache returns a book without plans.
func NewCache(s store.Reader, environment string, log hclog.Logger) *Cache {
	return &Cache{
		store:           s,
		environment:     environment,
		log:             log,
		pendingReads:    make(chan recordKey, maxPendingReads),
		now:             time.Now,
		keyOf:           map[replicaID]recordKey{},
		records:         map[recordKey]plan.Record{},
		readRequestedAt: map[recordKey]time.Time{},
		withAdapters:    map[recordKey]bool{},
	}
}

// Apply takes the replicas of a document whose layers it leaves to the planner.
func (c *Cache) Apply(d *docindex.Directory) {
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

// Plan returns a replica's stages and the version to fence by. If there is none
// the plan is read, for those who ask later.
func (c *Cache) Plan(model, replica string) ([]document.Stage, int64, bool) {
	replicaPlan, ok := c.Agreed(model, replica)
	if !ok {
		return nil, 0, false
	}
	return documentStages(replicaPlan), replicaPlan.Version, true
}

// Agreed returns a replica's plan, and like Plan has one read that is not known.
func (c *Cache) Agreed(model, replica string) (plan.Replica, bool) {
	c.mu.RLock()
	key, known := c.keyOf[replicaID{model, replica}]
	replicaPlan, found := c.records[key].Replicas[replica]
	stale := c.withAdapters[key] && c.now().Sub(c.readRequestedAt[key]) >= adapterRefresh
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

// Suspect says that an engine of a replica holds something else than the plan.
func (c *Cache) Suspect(model, replica string) {
	c.mu.RLock()
	key, known := c.keyOf[replicaID{model, replica}]
	c.mu.RUnlock()
	if known {
		c.requestRead(key)
	}
}

// requestRead asks for a record to be read, unless it has just been.
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

// Run reads the records that are asked for until ctx ends.
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
		c.log.Warn("plan not read, the one known stays", "model", key.model, "failure_domain", key.domain, "error", err)
		return
	}
	c.update(key, record)
}

// update puts a record in force on this node unless it knows a later one.
func (c *Cache) update(key recordKey, record plan.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record.Version >= c.records[key].Version {
		c.records[key] = record
		c.withAdapters[key] = anyAdapters(record)
	}
}

// hasAdapters says whether some replica of a record is to hold an adapter.
func (c *Cache) hasAdapters(key recordKey) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.withAdapters[key]
}

func anyAdapters(record plan.Record) bool {
	for _, r := range record.Replicas {
		if len(r.Adapters) > 0 {
			return true
		}
	}
	return false
}

// replicaSpec is a replica whose layers the document leaves to the planner.
type replicaSpec struct {
	key    recordKey
	name   string
	model  *document.Model
	stages []document.Stage
}

func (r replicaSpec) id() replicaID {
	return replicaID{r.key.model, r.name}
}

func replicaSpecs(d *docindex.Directory) []replicaSpec {
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
