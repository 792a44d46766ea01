// Package teamlimiter shares the node's splitter of team limits among the node's
// goroutines.
package teamlimiter

import (
	"net/http"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/limits"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// Limiter is the splitter of one node. Safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu       sync.Mutex
	splitter *limits.Splitter
	teams    map[string]bool
}

// New returns a Limiter around a splitter.
func New(s *limits.Splitter, now func() time.Time) *Limiter {
	return &Limiter{now: now, splitter: s}
}

// Team is a team's limit over the whole environment, in tokens a second with
// zero for none, and the nodes that split it.
type Team struct {
	Name  string
	Limit float64
	Homes []string
}

// SetTeams puts the limits of a document in force.
func (l *Limiter) SetTeams(teams []Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gone := l.teams
	l.teams = make(map[string]bool, len(teams))
	for _, t := range teams {
		l.splitter.SetTeam(t.Name, t.Limit, t.Homes)
		l.teams[t.Name] = true
		delete(gone, t.Name)
	}
	for name := range gone {
		l.splitter.RemoveTeam(name)
	}
}

// Homes names the peers that this node should exchange with for its teams' limits,
// the most urgent first.
func (l *Limiter) Homes() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.splitter.ExchangePeers(l.now())
}

// Ask returns what to ask a peer for.
func (l *Limiter) Ask(now time.Time, peer string) []limits.LoanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.splitter.RequestLoans(now, peer)
}

// Lend answers a peer's questions.
func (l *Limiter) Lend(peer string, asks []limits.LoanRequest) []limits.Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.splitter.Lend(l.now(), peer, asks)
}

// Borrow takes a peer's answer to what was asked at a time.
func (l *Limiter) Borrow(asked time.Time, peer string, loans []limits.Loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.splitter.Borrow(l.now(), asked, peer, loans)
}

// Allow books work of the expected cost in tokens, or refuses at once.
func (l *Limiter) Allow(team string, cost float64) (limits.Share, *outcome.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, retryAfter, share := l.splitter.Allow(l.now(), team, cost)
	if ok {
		return share, nil
	}
	return share, &outcome.Refusal{
		Status:     http.StatusTooManyRequests,
		Code:       "team_limit",
		Message:    "the team's limit is used up",
		Outcome:    outcome.NotRun,
		RetryAfter: retryAfter,
	}
}

// Correct books the difference between the real and the expected cost.
func (l *Limiter) Correct(team string, difference float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.splitter.Correct(l.now(), team, difference)
}
