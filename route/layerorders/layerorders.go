// Package layerorders calls the planner decide/layers and sends its orders to model
// replicas.
//
// One node sends the orders to the replicas of a failure domain. Two nodes may both
// take this role for a time, which does no harm: an order names the number of orders
// that the replica has accepted so far, so the replica refuses the second node's order.
// The layers that a replica holds are known only from the replica's own reports.
//
// The list of replicas is what a node has read from the store: each replica with its
// state and the layers that it holds. The list shows a change only after the replica's
// next heartbeat and the node's next read of the store.
//
// A replica that starts again under the same ID is a new incarnation of the replica and
// counts its accepted orders from zero.
package layerorders

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/replicareport"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// Error is the class of this package's errors.
var Error = errs.Class("layering")

// ReplicaClient sends orders to replicas and reads their reports.
type ReplicaClient interface {
	// Place orders a replica to hold a span of layers. acceptedOrders is the number of
	// orders that the replica has accepted so far; the replica refuses the order if it
	// has accepted another number of orders. revision is the store revision that the
	// order is based on. A replica that checks the revision refuses the order if an
	// earlier order was based on a newer revision.
	Place(ctx context.Context, address, replica string, acceptedOrders, revision int64, span layers.Span) error
	// Report returns a replica's report on itself.
	Report(ctx context.Context, address, replica string) (replicareport.Report, error)
}

const (
	// maxSettleTime bounds the time that the first plan waits for further replicas after
	// the first replica was listed. Without the bound, a domain whose replicas start one
	// by one would stay without a plan.
	maxSettleTime = 4 * time.Second
	// maxReportDelay is the longest time from the end of a load until the list of
	// replicas shows the loaded layers: a heartbeat and a read of the store.
	maxReportDelay = 2500 * time.Millisecond
)

// pendingOrder is an order whose result the list of replicas does not show yet.
type pendingOrder struct {
	incarnation int64
	span        layers.Span
	expiresAt   time.Time
}

// orderCount has the number of orders that one incarnation of a replica has accepted, as far
// as known.
type orderCount struct {
	incarnation int64
	count       int64
}

// Controller plans the layers of one service's replicas and sends the orders. Safe for
// concurrent use.
type Controller struct {
	service    string
	client     ReplicaClient
	settleTime time.Duration
	log        hclog.Logger

	mu             sync.Mutex
	pendingOrders  map[string]pendingOrder
	acceptedOrders map[string]orderCount
	// unreachable has the replicas without layers to which the last order could not be sent, each
	// with the revision of the entry that the order was planned by.
	unreachable    map[string]int64
	plannedDomains map[string]bool // the domains that have had a first plan
	firstListedAt  map[string]time.Time
	countChangedAt map[string]time.Time
	replicaCounts  map[string]int
}

// New returns a Controller. settleTime is how long the first plan of a domain
// waits for further replicas after the number of replicas in the list last changed.
func New(service string, client ReplicaClient, settleTime time.Duration, log hclog.Logger) *Controller {
	return &Controller{
		service: service, client: client, settleTime: settleTime, log: log.With("service", service),
		pendingOrders: map[string]pendingOrder{}, acceptedOrders: map[string]orderCount{}, unreachable: map[string]int64{}, plannedDomains: map[string]bool{},
		firstListedAt: map[string]time.Time{}, countChangedAt: map[string]time.Time{}, replicaCounts: map[string]int{},
	}
}

// Reconcile plans the layers of a domain's replicas and sends the orders that are due.
// list is the list of replicas, and revision is the store revision at which the list was
// read. suspected reports whether a replica is thought to be down.
func (k *Controller) Reconcile(ctx context.Context, now time.Time, model *ruleset.Model, domain string, revision int64, list []*replicalist.Replica, suspected func(id string) bool) {
	k.forgetUnlisted(list)
	replicas := replicasInDomain(domain, list)
	for _, o := range k.plan(now, model, domain, replicas, suspected) {
		go k.deliver(ctx, o.replica, revision, o.Order)
	}
}

// forgetUnlisted forgets replicas that could not be reached and are listed no more.
func (k *Controller) forgetUnlisted(list []*replicalist.Replica) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.unreachable {
		if !slices.ContainsFunc(list, func(r *replicalist.Replica) bool { return r.ID == id }) {
			delete(k.unreachable, id)
		}
	}
}

func replicasInDomain(domain string, list []*replicalist.Replica) []*replicalist.Replica {
	var members []*replicalist.Replica
	for _, r := range list {
		if r.Domain == domain {
			members = append(members, r)
		}
	}
	return members
}

type assignment struct {
	layers.Order
	replica *replicalist.Replica
}

func (k *Controller) plan(now time.Time, model *ruleset.Model, domain string, replicas []*replicalist.Replica, suspected func(string) bool) []assignment {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.mayPlan(now, domain, replicas) {
		return nil
	}
	byID := map[string]*replicalist.Replica{}
	plannerReplicas := make([]layers.Replica, 0, len(replicas))
	for _, r := range replicas {
		byID[r.ID] = r
		plannerReplicas = append(plannerReplicas, k.plannerReplica(now, model, r, suspected(r.ID)))
	}
	layerModel := layers.Model{
		Layers: model.Layers, LayerMB: model.LayerMB, TokenLayerMB: model.KVMegabytesPerTokenLayer(),
	}
	var assignments []assignment
	for _, o := range layers.Plan(layerModel, plannerReplicas) {
		r := byID[o.ID]
		k.pendingOrders[o.ID] = pendingOrder{
			incarnation: r.Incarnation, span: o.Hold,
			expiresAt: now.Add(maxLoadTime(model, r.Holds, o.Hold) + maxReportDelay),
		}
		assignments = append(assignments, assignment{Order: o, replica: r})
	}
	return assignments
}

// mayPlan reports whether the domain may be planned. The first plan waits until the list
// of replicas is stable.
func (k *Controller) mayPlan(now time.Time, domain string, replicas []*replicalist.Replica) bool {
	if k.plannedDomains[domain] {
		return true
	}
	if len(replicas) == 0 {
		return false
	}
	if k.firstListedAt[domain].IsZero() {
		k.firstListedAt[domain] = now
	}
	if len(replicas) != k.replicaCounts[domain] {
		k.replicaCounts[domain], k.countChangedAt[domain] = len(replicas), now
	}
	anyLayersHeld := false
	for _, r := range replicas {
		anyLayersHeld = anyLayersHeld || !r.Holds.Empty()
	}
	// If some replica holds layers, another node has already made the first plan.
	if !anyLayersHeld && now.Sub(k.countChangedAt[domain]) < k.settleTime && now.Sub(k.firstListedAt[domain]) < maxSettleTime {
		return false
	}
	k.plannedDomains[domain] = true
	return true
}

// plannerReplica returns a replica as input of the planner. Until the list of replicas
// shows the result of a pending order, the replica counts as holding the ordered span. A replica
// that could not be reached is left out until it renews its entry: if the ordered layers counted
// as held, other replicas would not be ordered to hold them.
func (k *Controller) plannerReplica(now time.Time, model *ruleset.Model, r *replicalist.Replica, suspected bool) layers.Replica {
	replica := layers.Replica{
		ID: r.ID, MemoryMB: model.CardKinds[r.CardKind].MemoryMB, Held: r.Holds,
		Fixed: r.ExecutingLayerOrder, Excluded: r.Draining || suspected || model.CardKinds[r.CardKind].MemoryMB == 0,
	}
	if k.leftOut(r) {
		replica.Excluded = true
		return replica
	}
	p, ok := k.pendingOrders[r.ID]
	if !ok {
		return replica
	}
	if p.incarnation != r.Incarnation || r.Holds == p.span || now.After(p.expiresAt) {
		delete(k.pendingOrders, r.ID)
		return replica
	}
	replica.Held, replica.Fixed = p.span, true
	return replica
}

// leftOut reports whether a replica could not be reached and has not renewed its entry since. The
// caller holds the lock.
func (k *Controller) leftOut(r *replicalist.Replica) bool {
	revision, ok := k.unreachable[r.ID]
	if ok && revision != r.Revision {
		delete(k.unreachable, r.ID)
		return false
	}
	return ok
}

// maxLoadTime returns the time that an engine needs to load the ordered layers that the
// engine does not hold, while as many other engines load as the fleet permits.
func maxLoadTime(model *ruleset.Model, held, ordered layers.Span) time.Duration {
	missing := 0
	for l := ordered.From; l < ordered.To; l++ {
		if l < held.From || l >= held.To {
			missing++
		}
	}
	return 2 * model.LoadTime * time.Duration(missing) / time.Duration(max(1, model.Layers))
}

// deliver sends one order. If the order fails, deliver reads the replica's report. The order
// is sent once more if the replica has accepted another number of orders than expected but
// still holds the layers that the plan assumed. The number differs when this node has just
// taken over from another node. Without the second attempt, a domain that lacks layers
// would wait for the next read of the list of replicas. In all other cases the order is
// not sent again, and the report decides which orders the replica is sent next.
func (k *Controller) deliver(ctx context.Context, r *replicalist.Replica, revision int64, o layers.Order) {
	expectedCount := k.expectedOrders(r)
	err := k.sendOrder(ctx, r, revision, expectedCount, o)
	if err == nil {
		return
	}
	report, ok := k.fetchReport(ctx, r)
	if !ok {
		k.setUnreachable(r, o, err)
		return
	}
	if report.AcceptedLayerOrders != expectedCount && report.Holds == r.Holds && !report.ExecutingLayerOrder && k.sendOrder(ctx, r, revision, report.AcceptedLayerOrders, o) == nil {
		return
	}
	k.clearPending(r.ID, report)
}

// setUnreachable records that an order could not be sent to a replica without layers. An order that may
// have been sent can still arrive, and stays pending.
func (k *Controller) setUnreachable(r *replicalist.Replica, o layers.Order, err error) {
	var failure *upstream.Failure
	if !r.Holds.Empty() || !errors.As(err, &failure) || !failure.Unreachable {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.pendingOrders[r.ID]; ok && p.incarnation == r.Incarnation && p.span == o.Hold {
		delete(k.pendingOrders, r.ID)
	}
	k.unreachable[r.ID] = r.Revision
}

// sendOrder sends an order that names the number of orders that the replica is expected to
// have accepted. It returns nil if the replica accepted the order.
func (k *Controller) sendOrder(ctx context.Context, r *replicalist.Replica, revision, expectedCount int64, o layers.Order) error {
	err := k.client.Place(ctx, r.Address, r.ID, expectedCount, revision, o.Hold)
	k.log.Info("layers ordered", "replica", r.ID, "domain", r.Domain, "kind", r.CardKind, "held", r.Holds, "hold", o.Hold,
		"reason", o.Reason, "orders", expectedCount, "born", r.Incarnation, "revision", revision, "error", err)
	if err == nil {
		k.setAcceptedOrders(r, expectedCount+1)
	}
	return err
}

func (k *Controller) expectedOrders(r *replicalist.Replica) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.acceptedOrders[r.ID]; c.incarnation == r.Incarnation {
		return c.count
	}
	return 0
}

func (k *Controller) setAcceptedOrders(r *replicalist.Replica, count int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.acceptedOrders[r.ID] = orderCount{incarnation: r.Incarnation, count: count}
}

// fetchReport reads a replica's report and records the number of orders that the replica has
// accepted.
func (k *Controller) fetchReport(ctx context.Context, r *replicalist.Replica) (replicareport.Report, bool) {
	report, err := k.client.Report(ctx, r.Address, r.ID)
	if err != nil {
		k.log.Warn("replica report not read", "replica", r.ID, "error", err)
		return report, false
	}
	k.log.Info("report", "replica", r.ID, "orders", report.AcceptedLayerOrders, "holds", report.Holds, "busy", report.ExecutingLayerOrder, "born", report.Incarnation)
	k.setAcceptedOrders(r, report.AcceptedLayerOrders)
	return report, true
}

// clearPending removes a replica's pending order if the report shows that the order was not
// accepted. Otherwise the order may still arrive: it stays pending until it expires, and
// no other order is sent to the replica meanwhile.
func (k *Controller) clearPending(replica string, report replicareport.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.pendingOrders[replica]; ok && report.Holds != p.span && !report.ExecutingLayerOrder {
		delete(k.pendingOrders, replica)
	}
}
