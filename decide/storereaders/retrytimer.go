package storereaders

import "time"

// RetryTimer says when a node may read the store again after failed reads. The zero value
// permits a read at any time. It is not safe for concurrent use.
type RetryTimer struct {
	failures int
	next     time.Time
	// failedAsReader is set if the node was a reader when its last read failed.
	failedAsReader bool
}

// Failed records a failed read. s describes the node; Failed sets s.Failures. random is
// uniformly distributed in [0,1) and spreads the retries of nodes that failed together over
// half to one and a half times the interval.
func (t *RetryTimer) Failed(now time.Time, s RetryState, random float64) {
	t.failures++
	s.Failures = t.failures
	interval := RetryInterval(s)
	t.next = now.Add(interval/2 + time.Duration(random*float64(interval)))
	t.failedAsReader = s.IsReader
}

// Reset records that the store was reached, by this node or by another one that passed on
// what it had read. The intervals of failed reads say nothing any more: if no node passes on
// recent data later, this node must not wait for the end of an interval that began before.
func (t *RetryTimer) Reset() { *t = RetryTimer{} }

// Due reports whether the node may read the store. A node that has become a reader since its
// last failed read does not wait for the end of the interval, which is up to DomainSize times
// longer for other nodes than for readers: the other nodes rely on the reader now.
func (t *RetryTimer) Due(now time.Time, isReader bool) bool {
	return !now.Before(t.next) || isReader && !t.failedAsReader
}
