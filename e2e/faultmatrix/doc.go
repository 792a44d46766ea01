// Package faultmatrix holds the fault matrix: every fault at every step of a model
// call, an order, a promotion, a drain and an endpoint that leaves, and pairs of
// faults at one step and at two, with real node processes and signals. It is a
// test only:
//
//	go test ./e2e/faultmatrix -v
//
// Each cell is judged by what the caller received and what endpoints and store
// saw. The table at the end says which cells passed, failed or did not run, and
// which faults a path has no cells of and why; a run that left out a cell fails.
package faultmatrix
