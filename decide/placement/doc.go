// Package placement decides which engine of a chain holds which layers of a model.
//
//	partition, err := placement.BestPartition(model, chain)
//	planner := placement.NewPlanner(model, chain, placement.Plan{Version: 1, Partition: partition}, placement.Policy{})
//	planner.Observe(now, placement.Measurement{Endpoint: "e1", Next: "e2", HopMicros: 900, StepMicros: 400})
//	if plan, changed := planner.Decide(now); changed {
//		// write plan by compare-and-swap, then order the engines
//	}
//
// # Terms
//
//   - A chain is a list of engines in the order in which a token may pass through them.
//   - A stage is one engine of a chain with the layers that it holds. A partition divides
//     all layers of a model into stages. A replica is a chain of engines that together
//     hold all layers, divided among the engines by a partition.
//   - A hop is the work of one stage for one token: the computation of the stage's layers
//     and the transfer to the next stage. The longest hop of a partition is its bottleneck.
//   - The declared times of a chain are the times of its layers and links that the caller
//     passes with the chain. Planner uses a declared time where it has no recent
//     measurement.
//   - A search state is a step of the search for the best partition: some first layers are
//     divided into stages, and it is chosen which engine runs the next stage.
//   - A plan is a partition with a version. The version is the fencing number of the
//     orders that carry the plan out. A move is the change of a replica to another plan.
//   - The gain of a move is the fraction by which the move shortens the bottleneck.
//   - A load is the fetch of layers from the weight store. The rate of this store is
//     limited, and all loads share it.
//   - A roll-out brings a new version of the weights to the replicas of a failure domain,
//     a few at a time.
//
// # Failure without this package
//
// Accelerators and links differ a hundredfold in speed. If all engines hold equal numbers
// of layers, every token waits for the slowest hop, and a link that degrades makes a good
// partition slow. BestPartition finds the partition with the shortest bottleneck that
// fits in memory. Planner follows measured times and moves layers only for a large and
// lasting gain, because a move costs loads and interrupts streams, which must resume on
// another replica.
//
// No function reads a clock or sends an order: the time is an argument and the plan is a
// return value.
package placement
