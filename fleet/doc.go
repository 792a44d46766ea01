// Package fleet is a node's dealings with the other entry VMs: who they are,
// the exchange with them, and the spreading of the environment's record.
//
//	f, err := fleet.New(fleet.Config{
//		Name: "vm-1", Address: "10.0.0.1:7401", CallerAddress: "10.0.0.1:8080",
//		FailureDomain: "bandung", Environment: "stock",
//	}, vms, documents, logger)
//	f.OnRecord(func(r fleet.Record) { ... })
//	go http.Serve(peerListener, f.Handler())
//	err = f.Run(ctx)
//
// Failure answered: nodes die, restart, are cut off or join in the middle of a
// rush, and nobody outside tells the others in time; the store is down while
// nodes start. Decisions are in the pure packages member and spread; this one
// carries them out over twirp.
//
// Load pattern: one exchange an interval per node and one push of each change,
// whatever the size of the fleet.
//
// A node that is cut off from store and peers keeps serving the record that it
// has, for Config.MaxIsolation; from then on Status says that it is not ready,
// until it hears the store or a peer again. In a fleet of one or two it serves
// on without a limit.
package fleet
