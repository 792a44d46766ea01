package site

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/state/wait"
)

// recheckEvery is how often suspected replicas are tried again. A connection costs
// next to nothing, a request that meets a dead part seconds.
const recheckEvery = 400 * time.Millisecond

// stillLimit is how much longer than it should a pause may last before the process, or
// its machine, is taken to have stood still.
const stillLimit = 100 * time.Millisecond

// noteStill logs that the process stood still, if a pause that has just ended shows it.
func (n *Node) noteStill(begun, pause time.Duration) {
	if still := sinceBoot() - begun - pause; still > stillLimit {
		n.log.Warn("stood still", "still_ms", still.Milliseconds())
	}
}

// recheck tries the suspected replicas until the context ends.
func (n *Node) recheck(ctx context.Context) {
	for begun := sinceBoot(); wait.For(ctx, recheckEvery); begun = sinceBoot() {
		n.noteStill(begun, recheckEvery)
		for service, model := range n.services.allModels() {
			if n.reach.CutOff(service) {
				continue // a few probes tell when that ends (verifyReach)
			}
			near, _ := n.peers(n.settings.Domain)
			for _, r := range model.SuspectsToTry(n.settings.Node, near) {
				if model.Limits().PushbackRemaining(r.ID) > 0 {
					continue // it is tried once it wants requests again
				}
				if !n.prober.Reachable(ctx, connprobe.ReasonRecheck, r.Address) {
					model.RecordUnreachable(r.ID)
				} else if model.MarkAlive(r.ID) {
					n.log.Info("replica reached again", "replica", r.ID, "service", service, "address", r.Address)
				}
			}
		}
	}
}

// repaceEvery is how often slow replicas are asked whether they still are. Nothing is
// sent to them meanwhile that would show it.
const repaceEvery = time.Second

// repace asks the slow replicas until the context ends.
func (n *Node) repace(ctx context.Context) {
	for wait.For(ctx, repaceEvery) {
		for service, model := range n.services.allModels() {
			near, _ := n.peers(n.settings.Domain)
			for _, r := range model.SlowToAsk(n.settings.Node, near) {
				account, _, err := n.reports.Get(ctx, r.Address, r.ID)
				if err != nil {
					continue // the next request that meets it, or the list, tells
				}
				if model.SetSlowdown(r.ID, account.Slowdown) {
					n.log.Info("replica's pace", "service", service, "replica", r.ID, "domain", r.Domain, "pace", account.Slowdown)
				}
			}
		}
	}
}

// withheld is how often this node did not act on silent streams, by kind of action and reason.
func (s *services) withheld() map[string]int64 {
	all := map[string]int64{}
	for _, model := range s.allModels() {
		for reason, total := range model.Withheld() {
			all[reason] += total
		}
	}
	return all
}
