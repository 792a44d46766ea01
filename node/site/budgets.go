package site

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/retrybudget"
)

const (
	// budgetPart of the allowed further tries is used: nodes differ for a moment on
	// how many they are, and what one spends arrives a little later.
	budgetPart = 0.8
	// startNodes is how many nodes one that knows of no others reckons with.
	startNodes = 12
	// restartPart of a node's allowance is there when it starts: what its last process
	// spent is not known, and a fleet that is restarted one by one would have twice the
	// allowance.
	restartPart = 1.0 / 8
)

// newBudget is this node's part of the tries beyond the first that all nodes may
// send to a service in a window.
func (n *Node) newBudget(service string) *retrybudget.Budget {
	b := n.bounds()
	part := n.tries()
	start := part * restartPart
	if n.settings.FirstStart {
		start = part
	}
	return retrybudget.New(retry.Config{
		RetryRatio: b.RetryRatio * budgetPart, Burst: part, InitialRetries: start, Window: b.RetryWindow, Seed: n.seed,
		LoanLifetime: n.loanLifetime(service),
	}, time.Now)
}

// tries is this node's part of the tries that all nodes may make besides the share of
// their requests.
func (n *Node) tries() float64 {
	_, all := n.peers("")
	if all < 2 && time.Since(n.started) < meetAfter {
		all = startNodes
	}
	return n.bounds().RetrySlack * budgetPart / float64(all)
}
