// Package teamlimiter makes the node's limits.Splitter safe for concurrent use. The Splitter
// divides each team's limit, a token rate, among the team's homes. The homes are the nodes
// that the team's callers connect to. A home lends other nodes the part of its rate
// that it does not need. A loan is such a part of a rate, granted for a limited time.
package teamlimiter

import (
	"net/http"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/limits"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// Limiter enforces the teams' limits on one node. Safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu       sync.Mutex
	splitter *limits.Splitter
	// teams holds the names of the teams in the last call of SetTeams.
	teams map[string]bool
}

// New returns a Limiter that uses s. The caller must not use s any more.
func New(s *limits.Splitter, now func() time.Time) *Limiter {
	return &Limiter{now: now, splitter: s}
}

// Team is the limit of one team.
type Team struct {
	Name string
	// Limit is the team's rate over all nodes in tokens per second, or zero for no limit.
	Limit float64
	// Homes names the team's homes, among which the limit is divided. Package
	// decide/limits describes the division.
	Homes []string
}

// SetTeams replaces the list of teams, their limits and their homes. Call SetTeams when a
// new environment document takes effect. A team that is missing from the new list has no
// limit.
func (l *Limiter) SetTeams(teams []Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := l.teams
	l.teams = make(map[string]bool, len(teams))
	for _, t := range teams {
		l.splitter.SetTeam(t.Name, t.Limit, t.Homes)
		l.teams[t.Name] = true
		delete(removed, t.Name)
	}
	for name := range removed {
		l.splitter.RemoveTeam(name)
	}
}

// ExchangePeers returns the nodes with which this node should exchange loans for its teams'
// limits, the most urgent first. An exchange is one request to a peer and its response.
func (l *Limiter) ExchangePeers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.splitter.ExchangePeers(l.now())
}

// RequestLoans returns the loan requests to send to a peer at the given time.
func (l *Limiter) RequestLoans(now time.Time, peer string) []limits.LoanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.splitter.RequestLoans(now, peer)
}

// Lend grants loans in response to the loan requests of a peer.
func (l *Limiter) Lend(peer string, requests []limits.LoanRequest) []limits.Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.splitter.Lend(l.now(), peer, requests)
}

// Borrow records the loans that a peer granted. sentAt is the time at which this node sent
// the loan requests that the loans answer, as passed to RequestLoans.
func (l *Limiter) Borrow(sentAt time.Time, peer string, loans []limits.Loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.splitter.Borrow(l.now(), sentAt, peer, loans)
}

// Allow charges a request's expected cost in tokens to the team's limit. If the limit is used
// up, Allow returns a refusal at once instead of waiting.
func (l *Limiter) Allow(team string, expectedCost float64) (limits.Share, *outcome.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, retryAfter, share := l.splitter.Allow(l.now(), team, expectedCost)
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

// Correct charges the actual cost of a request minus its expected cost to the team's limit.
// A negative difference returns tokens to the team.
func (l *Limiter) Correct(team string, difference float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.splitter.Correct(l.now(), team, difference)
}
