package site

import (
	"context"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/layerorders"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/route/replicareport"
	"github.com/cicadatack/cicadatack/route/targets"
)

// engineAnswered records what the answer of an engine to an order or to a question for its
// report states.
func (n *Node) engineAnswered(replica string, head headers.ResponseHead) {
	for service, model := range n.services.allModels() {
		r, listed := model.Replica(replica)
		if !listed || head.Misdirected {
			continue
		}
		if head.Leaving.Stated && model.MarkLeaving(targets.Target{Replica: replica, Incarnation: r.Incarnation}) {
			n.log.Info("replica says that it is leaving", "service", service, "replica", replica)
		}
		if text := head.Pushback.Malformed + head.Leaving.Malformed; text != "" {
			n.log.Warn("what an engine states about its leaving or in Retry-After can't be read", "service", service, "replica", replica, "text", text)
		}
		if model.Limits().ObservePushback(replica, head.Pushback.Duration) {
			n.log.Info("replica wants no requests", "service", service, "replica", replica, "for_ms", head.Pushback.Duration.Milliseconds())
		}
	}
}

// engineCalls makes the calls of engines that are no requests: orders of layers, reroute commands
// and questions for reports. A replica that wants no requests gets none of them either.
type engineCalls struct{ node *Node }

var (
	_ layerorders.ReplicaClient = engineCalls{}
	_ replicareport.Source      = engineCalls{}
	_ relay.EngineClient        = engineCalls{}
)

// Place implements layerorders.ReplicaClient.
func (e engineCalls) Place(ctx context.Context, address, replica string, acceptedOrders, revision int64, span layers.Span) error {
	if err := e.pushedBack(replica); err != nil {
		return err
	}
	return e.node.engines.Place(ctx, address, replica, acceptedOrders, revision, span)
}

// Report implements layerorders.ReplicaClient and replicareport.Source.
func (e engineCalls) Report(ctx context.Context, address, replica string) (replicareport.Report, error) {
	if err := e.pushedBack(replica); err != nil {
		return replicareport.Report{}, err
	}
	return e.node.engines.Report(ctx, address, replica)
}

// Reroute implements relay.EngineClient.
func (e engineCalls) Reroute(ctx context.Context, address, request string, path paths.Path) error {
	if err := e.pushedBack(path[0].Replica); err != nil {
		return err
	}
	return e.node.engines.Reroute(ctx, address, request, path)
}

// pushedBack returns an error if a replica wants no requests.
func (e engineCalls) pushedBack(replica string) error {
	for _, model := range e.node.services.allModels() {
		if remaining := model.Limits().PushbackRemaining(replica); remaining > 0 {
			return Error.New("not sent: %s wants no requests for %v", replica, remaining)
		}
	}
	return nil
}

// pushbacks are the times for which replicas want no requests from this node, by service and
// replica, in milliseconds.
func (n *Node) pushbacks() map[string]map[string]int64 {
	all := map[string]map[string]int64{}
	for service, limits := range n.services.allLimits() {
		if millis := limits.PushbackMillis(); len(millis) > 0 {
			all[service] = millis
		}
	}
	return all
}
