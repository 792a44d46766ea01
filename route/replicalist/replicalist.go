// Package replicalist holds the replicas that the platform lists, as the data path
// and the planner of layers read them.
package replicalist

import "github.com/cicadatack/cicadatack/decide/layers"

// Replica is one endpoint as it was last listed. It is immutable.
type Replica struct {
	// ID names one life of an endpoint, mostly; Born tells lives under one id apart.
	ID          string
	Incarnation int64
	Service     string
	// Address is an IP number and port.
	Address string
	// Domain is the failure domain.
	Domain string
	// CardKind names the card.
	CardKind string
	// Draining replicas take no new work.
	Draining bool
	// Slots is how many requests are served at once.
	Slots int
	// ExecutingOrder says that an order is being carried out.
	ExecutingOrder bool
	// Holds is the layers held; empty for a plain service or an empty replica.
	Holds layers.Span
	// Revision is the store's revision of the entry; it only rises.
	Revision int64
}
