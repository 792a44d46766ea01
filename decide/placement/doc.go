// Package placement decides which engine of a chain holds which layers of a model.
//
//	partition, err := placement.BestPartition(model, chain)
//	planner := placement.NewPlanner(model, chain, placement.Plan{Version: 1, Partition: partition}, placement.Policy{})
//	planner.Observe(now, placement.Measurement{Endpoint: "e1", Next: "e2", HopMicros: 900, StepMicros: 400})
//	if plan, changed := planner.Decide(now); changed {
//		// write plan by compare-and-swap, then order the engines
//	}
//
// # Failure without it
//
// Accelerators and links differ a hundredfold in speed. With equal numbers of layers
// every token waits for the slowest hop, and a link that degrades makes a good
// partition slow. BestPartition finds the partition with the least bottleneck that
// fits in memory. Planner follows measured times and moves layers only for a gain that
// is large and lasts, because a move costs loads from a rate-limited weight store and
// interrupts streams, which must resume elsewhere.
//
// All functions are pure: the time is an argument and the plan is a return value. The
// version of a plan is the fencing number of the orders that carry it out.
package placement
