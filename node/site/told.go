package site

import "github.com/cicadatack/cicadatack/route/replicalist"

// mostTold bounds the lines about single replicas after one read of the store.
const mostTold = 8

// tellChanges logs what a read of the store has changed: one line with counts, and one
// for each replica that this node has work on or a connection to.
func (n *Node) tellChanges(changes []replicalist.Change, listed int) {
	if len(changes) == 0 {
		return
	}
	booked := n.services.booked()
	d := replicalist.Summarize(changes, func(r *replicalist.Replica) bool {
		return booked[r.ID] > 0 || n.pool.Connected(r.Address)
	}, mostTold)
	newest := int64(0)
	for _, c := range changes {
		newest = max(newest, c.Replica.Revision)
	}
	line := []any{"now", listed, "revision", newest, "not_told", d.OmittedCount}
	for _, what := range []string{replicalist.ChangeListed, replicalist.ChangeUpdated, replicalist.ChangeDraining, replicalist.ChangeRetained, replicalist.ChangeRemoved} {
		if d.CountsByKind[what] > 0 {
			line = append(line, what, d.CountsByKind[what])
		}
	}
	n.log.Info("replicas changed", line...)
	for _, c := range d.UsedByNode {
		n.log.Info("replica "+c.Kind, "replica", c.Replica.ID, "service", c.Replica.Service, "domain", c.Replica.Domain,
			"kind", c.Replica.CardKind, "holds", c.Replica.Holds, "address", c.Replica.Address, "revision", c.Replica.Revision)
	}
}
