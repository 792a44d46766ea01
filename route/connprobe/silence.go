package connprobe

import (
	"context"
	"time"
)

// Silence remembers the checks of one silent stream. The zero value is ready to use; its Prober
// guards it.
//
// A replica that has stalled still accepts connections, but they stay in its queue, and streams of
// all nodes check it. During a silence, a stream therefore shares an older probe of another stream:
// one that reached the endpoint while the stream was silent already, for as long as the stream had
// been silent then, and for maxReachableTTL at most. It shares none for longer than reachableTTL
// that it could have had at its last check, so each check of a stream tells something new.
type Silence struct {
	checkedAt time.Time
}

// FindUnreachableInSilence returns the addresses on the path of a stalled stream that accept no
// connection, like FindUnreachable. since is the time of the stream's last event.
func (p *Prober) FindUnreachableInSilence(ctx context.Context, s *Silence, since time.Time, addresses []string) []UnreachableEndpoint {
	unreachable := p.find(ctx, ReasonStalledStream, addresses, func(startedAt time.Time) time.Duration {
		if !startedAt.After(s.checkedAt) {
			return reachableTTL
		}
		return min(max(startedAt.Sub(since), reachableTTL), maxReachableTTL)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	s.checkedAt = p.now()
	return unreachable
}
