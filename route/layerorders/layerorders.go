// Package layerorders gives the orders of decide/layers to model replicas: it is the
// driver of the planner.
//
// One node orders the replicas of a failure domain; which one that is, is a hint. Two
// that order at once do no harm: an order names how many the replica has accepted,
// and the replica refuses the second. What a replica holds is believed only when the
// replica says so.
package layerorders

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/replicareport"
	"github.com/cicadatack/cicadatack/route/ruleset"
)

// Error is the class of this layer's errors.
var Error = errs.Class("layering")

// Orderer gives an order to one replica.
type Orderer interface {
	// Place orders a replica to hold a span. orders is how many orders it has
	// accepted; it refuses if it has taken another one since. fence rises with what
	// the order is based on; a replica that checks it refuses one that is based on
	// less than an earlier one.
	Place(ctx context.Context, address, replica string, orders, fence int64, hold layers.Span) error
	// Report asks a replica for its account of itself.
	Report(ctx context.Context, address, replica string) (replicareport.Report, error)
}

const (
	// settleMost is the longest wait for further replicas after the first: a domain
	// whose replicas keep coming one by one must not stay without a plan.
	settleMost = 4 * time.Second
	// reportDelay is how long after an order was carried out its result may still be
	// unreported: a heartbeat and a read of the store.
	reportDelay = 2500 * time.Millisecond
)

// ordered is an order that has not shown in the list yet.
type ordered struct {
	born  int64
	hold  layers.Span
	until time.Time
}

// count is how many orders a replica is known to have accepted in one life.
type count struct {
	born int64
	n    int64
}

// Keeper orders the replicas of one service. Safe for concurrent use.
type Keeper struct {
	service string
	orderer Orderer
	settle  time.Duration
	log     hclog.Logger

	mu      sync.Mutex
	pending map[string]ordered
	orders  map[string]count
	planned map[string]bool // domains that have had a first plan
	first   map[string]time.Time
	last    map[string]time.Time
	counts  map[string]int
}

// New returns a Keeper. settle is how long the first plan of a domain waits for
// further replicas after the last one was listed.
func New(service string, orderer Orderer, settle time.Duration, log hclog.Logger) *Keeper {
	return &Keeper{
		service: service, orderer: orderer, settle: settle, log: log.With("service", service),
		pending: map[string]ordered{}, orders: map[string]count{}, planned: map[string]bool{},
		first: map[string]time.Time{}, last: map[string]time.Time{}, counts: map[string]int{},
	}
}

// Step looks at the replicas of a domain and orders what they lack. lost says
// whether a replica is thought to be dead; revision is the store's when the list was
// read.
func (k *Keeper) Step(ctx context.Context, now time.Time, model *ruleset.Model, domain string, revision int64, list []*replicalist.Replica, lost func(id string) bool) {
	replicas := inDomain(domain, list)
	for _, o := range k.plan(now, model, domain, replicas, lost) {
		go k.give(ctx, o.replica, revision, o.Order)
	}
}

func inDomain(domain string, list []*replicalist.Replica) []*replicalist.Replica {
	var in []*replicalist.Replica
	for _, r := range list {
		if r.Domain == domain {
			in = append(in, r)
		}
	}
	return in
}

type assignment struct {
	layers.Order
	replica *replicalist.Replica
}

func (k *Keeper) plan(now time.Time, model *ruleset.Model, domain string, replicas []*replicalist.Replica, lost func(string) bool) []assignment {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.settled(now, domain, replicas) {
		return nil
	}
	byID := map[string]*replicalist.Replica{}
	cards := make([]layers.Replica, 0, len(replicas))
	for _, r := range replicas {
		byID[r.ID] = r
		cards = append(cards, k.card(now, model, r, lost(r.ID)))
	}
	shape := layers.Model{
		Layers: model.Layers, LayerMB: model.LayerMB, TokenLayerMB: model.TokenLayerMB(),
	}
	var list []assignment
	for _, o := range layers.Plan(shape, cards) {
		r := byID[o.ID]
		k.pending[o.ID] = ordered{
			born: r.Born, hold: o.Hold,
			until: now.Add(loadTime(model, r.Holds, o.Hold) + reportDelay),
		}
		list = append(list, assignment{Order: o, replica: r})
	}
	return list
}

// settled says whether the first plan may be made.
func (k *Keeper) settled(now time.Time, domain string, replicas []*replicalist.Replica) bool {
	if k.planned[domain] {
		return true
	}
	if len(replicas) == 0 {
		return false
	}
	if k.first[domain].IsZero() {
		k.first[domain] = now
	}
	if len(replicas) != k.counts[domain] {
		k.counts[domain], k.last[domain] = len(replicas), now
	}
	held := false
	for _, r := range replicas {
		held = held || !r.Holds.Empty()
	}
	// Replicas that hold layers were ordered by another node before this one.
	if !held && now.Sub(k.last[domain]) < k.settle && now.Sub(k.first[domain]) < settleMost {
		return false
	}
	k.planned[domain] = true
	return true
}

// card is a replica with what it has been ordered.
func (k *Keeper) card(now time.Time, model *ruleset.Model, r *replicalist.Replica, lost bool) layers.Replica {
	c := layers.Replica{
		ID: r.ID, MemoryMB: model.Cards[r.Kind].MemoryMB, Held: r.Holds,
		Fixed: r.Busy, Excluded: r.Draining || lost || model.Cards[r.Kind].MemoryMB == 0,
	}
	p, ok := k.pending[r.ID]
	if !ok {
		return c
	}
	if p.born != r.Born || r.Holds == p.hold || now.After(p.until) {
		delete(k.pending, r.ID)
		return c
	}
	c.Held, c.Fixed = p.hold, true
	return c
}

// loadTime is how long an engine takes to load what it does not hold, with as many
// loads at once as the whole fleet may have.
func loadTime(model *ruleset.Model, held, hold layers.Span) time.Duration {
	missing := 0
	for l := hold.From; l < hold.To; l++ {
		if l < held.From || l >= held.To {
			missing++
		}
	}
	return 2 * model.LoadTime * time.Duration(missing) / time.Duration(max(1, model.Layers))
}

// give gives one order. If it was refused, or its fate is not known, the replica is
// asked. If it has accepted more orders than was known here and is otherwise as the plan
// took it to be, the order is given once more: this node has just taken over, and a
// domain that lacks layers would wait for the next read of the list. Else what the
// replica reports decides what is ordered next.
func (k *Keeper) give(ctx context.Context, r *replicalist.Replica, revision int64, o layers.Order) {
	known := k.accepted(r)
	if k.place(ctx, r, revision, known, o) {
		return
	}
	account, ok := k.ask(ctx, r)
	if !ok {
		return
	}
	if account.Orders != known && account.Holds == r.Holds && !account.Busy && k.place(ctx, r, revision, account.Orders, o) {
		return
	}
	k.forget(r.ID, account)
}

// place gives an order that names how many the replica is thought to have accepted. It
// says whether the replica took it.
func (k *Keeper) place(ctx context.Context, r *replicalist.Replica, revision, accepted int64, o layers.Order) bool {
	err := k.orderer.Place(ctx, r.Address, r.ID, accepted, revision, o.Hold)
	k.log.Info("layers ordered", "replica", r.ID, "domain", r.Domain, "kind", r.Kind, "held", r.Holds, "hold", o.Hold,
		"reason", o.Reason, "orders", accepted, "born", r.Born, "revision", revision, "error", err)
	if err == nil {
		k.setAccepted(r, accepted+1)
	}
	return err == nil
}

func (k *Keeper) accepted(r *replicalist.Replica) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.orders[r.ID]; c.born == r.Born {
		return c.n
	}
	return 0
}

func (k *Keeper) setAccepted(r *replicalist.Replica, n int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.orders[r.ID] = count{born: r.Born, n: n}
}

// ask learns from a replica what it has accepted.
func (k *Keeper) ask(ctx context.Context, r *replicalist.Replica) (replicareport.Report, bool) {
	account, err := k.orderer.Report(ctx, r.Address, r.ID)
	if err != nil {
		k.log.Warn("no report", "replica", r.ID, "error", err)
		return account, false
	}
	k.log.Info("report", "replica", r.ID, "orders", account.Orders, "holds", account.Holds, "busy", account.Busy, "born", account.Born)
	k.setAccepted(r, account.Orders)
	return account, true
}

// forget gives up an order that was not taken. One that may still come is none the less
// expected: until its time has passed nothing else is ordered, and then the count tells.
func (k *Keeper) forget(replica string, account replicareport.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.pending[replica]; ok && account.Holds != p.hold && !account.Busy {
		delete(k.pending, replica)
	}
}
