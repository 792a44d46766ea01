// Package silentengines runs nodes and engines as real processes, stops the engines by
// signals for a while, and checks that no call is refused and no stream is cut.
package silentengines
