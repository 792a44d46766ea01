// Package membership keeps a node's view of the fleet: which entry VMs there are,
// where they listen and whether they can be used.
//
//	m := membership.New(membership.Config{Self: self, Interval: time.Second, Seed: 1}, now)
//	batch := m.Step(now, membership.Tick{})
//	for _, send := range batch.Sends {
//		// exchange send.Message with send.To, then Step(now, membership.Answered{...})
//		// or Step(now, membership.Failed{...})
//	}
//
// The machine does no I/O and reads no clock: time is an argument, inputs are
// typed, and each step returns a batch of what is to be sent and what changed.
//
// Failure answered: a node that dies, freezes, is cut off or restarts, while
// the platform's list of VMs lags behind. Without this package callers are
// sent to nodes that are no more, and a restarted node is taken for its
// predecessor.
//
// Load pattern: one exchange an interval per node, whatever the size of the
// fleet, with a bounded number of changes on each, so that bytes a second per
// node stay flat. Nothing that must hold rests on the view; it is a hint.
package membership
