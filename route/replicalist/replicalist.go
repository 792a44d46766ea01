// Package replicalist defines the list of replicas that the data path and the layer
// planner read. Each replica registers an entry in the platform's store and renews it
// until the replica stops. A Tracker builds the list from reads of the store.
package replicalist

import "github.com/cicadatack/cicadatack/decide/layers"

// Replica is the entry of one replica, as last read from the store. It is immutable.
type Replica struct {
	// ID identifies the replica. Usually a restart changes the ID. If the ID stays the
	// same, Incarnation tells the runs before and after the restart apart.
	ID          string
	Incarnation int64
	Service     string
	// Address is an IP address and port.
	Address string
	// Domain is the failure domain.
	Domain string
	// CardKind names the kind of accelerator.
	CardKind string
	// Draining replicas accept no new requests.
	Draining bool
	// Slots is the maximum number of concurrent requests.
	Slots int
	// ExecutingOrder is set while the replica executes an order to load or drop layers.
	ExecutingOrder bool
	// Holds is the range of layers that the replica holds. It is empty for replicas of a
	// plain service and for replicas without layers.
	Holds layers.Span
	// Revision is the store's revision of the entry. Later versions of the entry have
	// higher revisions.
	Revision int64
}
