// Package limiter shares the node's splitter of team limits among the node's
// goroutines.
package limiter

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
}

// New returns a Limiter around a splitter.
func New(s *limits.Splitter, now func() time.Time) *Limiter {
	return &Limiter{now: now, splitter: s}
}

// Do runs f on the splitter under the lock.
func (l *Limiter) Do(f func(now time.Time, s *limits.Splitter)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.now(), l.splitter)
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
