// Package targets chooses the target of each attempt of a request: a replica of a plain
// service, or a path through the replicas that hold a model's layers. The choices are made by
// decide/paths and decide/balance. This package makes them safe for concurrent use and reports
// the results of attempts to them.
//
// # Terms
//
//   - A stage is one replica of a path with the layers that it runs. The first replica receives
//     the request.
//   - A crossing is a hop of a path from one failure domain to another. The links between
//     failure domains have a limited bandwidth.
//   - A suspected replica looks dead. It gets no new requests until it is reached again.
//   - A draining replica gets no new requests and continues those that it has until it stops.
//   - A replica is backed off if it refuses requests although it has capacity. It gets no new
//     requests for some time.
//   - The slowdown of a replica is a factor: the time that it takes for its work, divided by the
//     time that is usual for its kind of accelerator. 1 is normal speed.
//   - A bypass is a path that keeps the first stage of a request and avoids a stage that is
//     lost or draining.
//   - A request migrates if another first replica continues it.
package targets
