// Package matrix holds the fault matrix: every fault at every step of a model
// call, an order and a promotion, and pairs of faults, with real node processes
// and signals. It is a test only:
//
//	go test ./proof/matrix -v
//
// Each cell is judged by what the caller received and what endpoints and store
// saw. The table at the end says which cells ran, passed, failed or did not
// run.
package matrix
