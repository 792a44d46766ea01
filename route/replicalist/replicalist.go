// Package replicalist defines the list of replicas that the data path and the layer
// planner read. Each replica registers an entry in the platform's store and renews the
// entry until the replica stops. A Tracker builds the list from reads of the store.
package replicalist

import "github.com/cicadatack/cicadatack/decide/layers"

// Replica is the entry of one replica, as last read from the store. It is immutable.
type Replica struct {
	// ID identifies the replica. Usually a restart changes the ID. If a restart leaves the
	// ID unchanged, the replica has a different Incarnation after the restart.
	ID          string
	Incarnation int64
	Service     string
	// Address is an IP address and port.
	Address string
	// Domain is the failure domain.
	Domain string
	// CardKind names the replica's kind of accelerator, a ruleset.CardKind.
	CardKind string
	// Version is the version of the replica's software; "" if it is not known.
	Version string
	// Draining replicas accept no new requests.
	Draining bool
	// Slots is the maximum number of requests that the replica serves concurrently.
	Slots int
	// ExecutingLayerOrder is set while the replica carries out a command to load or drop
	// layers.
	ExecutingLayerOrder bool
	// Holds is the range of layers that the replica holds. It is empty for replicas of a
	// plain service and for replicas without layers.
	Holds layers.Span
	// Revision is the store's revision of the entry. Each later version of the entry has a
	// higher revision.
	Revision int64
	// Created is the store's revision at which the entry was created. An entry that expired
	// and was registered again has a higher one; 0 if it is not known.
	Created int64
}
