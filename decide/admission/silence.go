package admission

import "time"

const (
	// SilenceAfter is the time without a part of any answer after which the service counts as silent.
	// Sound engines pause for a fraction of it.
	SilenceAfter = time.Second
	// maxSilence is the longest part of one silence that is left out of the slot time. A service that
	// is silent for longer may never go on, and its waiting requests must be refused.
	maxSilence = 10 * time.Second
)

// silence tracks the times in which answers have begun and none of them gets a further part.
//
// Endpoints that are silent together, and then go on, have not become slower. If their silence counted
// as slot time, the slot rate would be a fraction of the real one for as long as it is remembered, and
// the queue would refuse requests that could start in time.
type silence struct {
	answering  int           // running requests whose answers have begun
	progressAt time.Time     // when a part of an answer last arrived
	ended      time.Duration // total of the silences that have ended
}

// silentFor returns the length of the present silence, or zero if there is none.
func (s *silence) silentFor(now time.Time) time.Duration {
	if s.answering == 0 {
		return 0
	}
	return min(max(now.Sub(s.progressAt)-SilenceAfter, 0), maxSilence)
}

// slotTime returns the time on a clock that stands still while the service is silent.
func (s *silence) slotTime(now time.Time) time.Time {
	return now.Add(-s.ended - s.silentFor(now))
}

// progress records that a part of an answer has arrived, and none between silentSince and then.
func (s *silence) progress(silentSince, at time.Time) {
	s.advance(silentSince)
	s.ended += s.silentFor(at)
	s.advance(at)
}

func (s *silence) advance(to time.Time) {
	if to.After(s.progressAt) {
		s.progressAt = to
	}
}

// begin records that one more answer has begun.
func (s *silence) begin(now time.Time) {
	s.answering++
	s.advance(now)
}

// end records that an answer that had begun has ended.
func (s *silence) end(now time.Time) {
	if s.answering == 1 {
		s.ended += s.silentFor(now)
	}
	s.answering--
}

// Progress records that a running request got a part of its answer, and that no request got one between
// silentSince and then. A caller that never calls Progress and AnswerBegan has no silences.
func (q *Queue) Progress(silentSince, at time.Time) { q.silence.progress(silentSince, at) }

// AnswerBegan records that a running request got the first part of its answer. Unknown IDs are ignored.
func (q *Queue) AnswerBegan(now time.Time, id uint64) {
	if it, ok := q.items[id]; ok && it.running && !it.answering {
		it.answering = true
		q.silence.begin(now)
	}
}

// slotRate returns the present rate of a slot in expected tokens per second, or zero if it is unknown.
func (q *Queue) slotRate(now time.Time) float64 {
	return q.meter.slotRate(q.silence.slotTime(now))
}
