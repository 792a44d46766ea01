// Package soak runs nodes as separate processes on a stand-in of the users' platform
// under faults drawn from a seed, and judges by what callers and replicas have seen.
//
//	go test ./e2e/soak                          # one fixed seed, as in CI
//	SOAK_SEEDS=1-50 go test ./e2e/soak -timeout 60m
//
// A seed that has failed once is kept in failedSeeds with its cause and runs from then
// on.
package soak
