// Package drainnotice spreads among the nodes which endpoint VMs leave.
//
//	m := drainnotice.New(drainnotice.Config{Interval: time.Second})
//	batch := m.Step(now, drainnotice.Listed{VMs: changed, Revision: revision})
//	batch = m.Step(now, drainnotice.Heard{Notices: fromPeer})
//	if batch.Relay {
//		// exchange with a few peers at once
//	}
//	message := m.Take(nodes, nil) // for any message to a peer
//	leaving := m.Leaving()
//
// The machine does no I/O and reads no clock.
//
// # Failure answered
//
// An endpoint is to leave and says nothing itself. All nodes together may read
// the platform's list some 20 times a second, so at 2,200 nodes one node reads
// it each 110 s, and until then sends new work to a VM that is about to stop.
//
// # How
//
// The reads are spread over time, so some node reads a change soon, at any size
// of the fleet. It tells a few peers at once, each of which tells a few more, and
// every message of the next seconds carries the notice. A notice names the
// store's revision of the list's entry: revisions only rise, so an old notice
// never overrides a newer one, and what a node has read itself overrides both.
//
// That an endpoint comes back is not spread. Without that a node does without the
// endpoint until its own next look; a wrong word would break the promise that a
// leaving endpoint gets no new work.
//
// # What a false notice may do
//
// Until a node has read the same itself, a notice is a hint: the caller bounds how
// much of a service hints may take away. The next look at the list drops a hint
// that it contradicts, and any hint ends after HintLife.
package drainnotice
