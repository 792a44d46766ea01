// Package placement decides which engine of a chain holds which layers.
//
//	cut, err := placement.Best(model, chain)
//	planner := placement.NewPlanner(model, chain, placement.Plan{Version: 1, Cut: cut}, placement.Policy{})
//	planner.Observe(now, placement.Measure{Endpoint: "e1", Next: "e2", HopMicros: 900, StepMicros: 400})
//	if plan, changed := planner.Decide(now); changed {
//		// write plan by compare-and-swap, then order the engines
//	}
//
// The failure that it answers: accelerators and links differ a hundredfold, so
// layers cut evenly leave every token waiting for the slowest hop, and a link
// that degrades turns a good cut into a bad one. Best finds the cut with the
// least bottleneck that fits in memory. Planner follows measured times and
// moves layers only for a gain that is large and lasts, because a move costs
// loads from a rate-limited weight store and streams that must resume.
//
// All is pure: time comes in as an argument and the plan goes out as a value.
// A plan's version is the fencing number of the orders that carry it out.
package placement
