package admission_test

import (
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/decide/internal/sim"
)

const (
	silentSlots   = 10
	silentCost    = 100.0
	silentRunTime = time.Second // without a silence
)

// silentService is a service whose replicas are silent together for a while. All its slots run requests
// whose answers have begun, and as many requests wait.
type silentService struct {
	t   *testing.T
	q   *admission.Queue
	now time.Time
}

func newSilentService(t *testing.T, measured bool) *silentService {
	s := &silentService{t: t, q: admission.New(admission.Config{Slots: silentSlots, SlotRate: silentCost}), now: sim.Start}
	if measured {
		s.offer(100, silentSlots)
		s.pass(silentRunTime, true)
		s.finish(100, silentSlots)
	}
	s.offer(200, silentSlots)
	s.pass(silentRunTime/2, true)
	s.offer(300, silentSlots)
	return s
}

func (s *silentService) offer(firstID uint64, count int) {
	for id := firstID; id < firstID+uint64(count); id++ {
		for _, v := range s.q.Offer(s.now, request{ID: id, Team: "a", Class: admission.Interactive, Cost: silentCost, Deadline: s.now.Add(20 * time.Second)}) {
			s.check(v)
		}
		s.q.AnswerBegan(s.now, id)
	}
}

// pass lets time pass. If the replicas are not silent, parts of answers arrive all the while.
func (s *silentService) pass(d time.Duration, progress bool) (refused []admission.Verdict) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(admission.TickInterval)
		if progress {
			s.q.Progress(s.now, s.now)
		}
		verdicts, _ := s.q.Tick(s.now)
		refused = append(refused, verdicts...)
	}
	return refused
}

func (s *silentService) finish(firstID uint64, count int) {
	for id := firstID; id < firstID+uint64(count); id++ {
		for _, v := range s.q.Finish(s.now, id, silentCost) {
			s.check(v)
			s.q.AnswerBegan(s.now, v.ID)
		}
	}
}

func (s *silentService) check(v admission.Verdict) {
	s.t.Helper()
	if v.Kind == admission.Refuse {
		s.t.Errorf("%d refused after %v: %s, predicted %v, rate %.0f", v.ID, v.Waited, v.Reason, v.Predicted, v.DrainRate)
	}
}

// Guards against requests that are refused, during a silence of all replicas or after it, because the
// silence counts as a loss of speed.
func TestSilenceOfAllReplicasRefusesNoRequest(t *testing.T) {
	for name, measured := range map[string]bool{"before the first answer is complete": false, "after quick answers": true} {
		for _, lasts := range []time.Duration{2 * time.Second, 5 * time.Second, 9 * time.Second} {
			t.Run(name+"/"+lasts.String(), func(t *testing.T) {
				s := newSilentService(t, measured)
				for _, v := range s.pass(lasts, false) {
					s.check(v)
				}
				s.q.Progress(s.now.Add(-lasts), s.now)
				s.offer(400, 5*silentSlots)
				for _, v := range s.pass(silentRunTime/2, true) {
					s.check(v)
				}
				for _, first := range []uint64{200, 300, 400} {
					s.finish(first, silentSlots)
					for _, v := range s.pass(silentRunTime, true) {
						s.check(v)
					}
				}
			})
		}
	}
}

// Guards against requests that wait until their deadline for replicas that have hung for good.
func TestSilenceWithoutEndRefusesWaitingRequests(t *testing.T) {
	s := newSilentService(t, true)
	refused := s.pass(18*time.Second, false)
	if len(refused) != silentSlots {
		t.Fatalf("%d of %d waiting requests refused", len(refused), silentSlots)
	}
	for _, v := range refused {
		if v.Reason != admission.Stalled && v.Reason != admission.TooLate || v.Silent == 0 || v.Slots != silentSlots {
			t.Errorf("refused: %+v", v)
		}
	}
}

// Guards against slow replicas that count as silent ones: while any answer goes on, the time that
// the others take is slot time.
func TestSlownessOfSomeReplicasIsNoSilence(t *testing.T) {
	s := newSilentService(t, true)
	if refused := s.pass(18*time.Second, true); len(refused) != silentSlots {
		t.Errorf("%d of %d waiting requests refused", len(refused), silentSlots)
	}
}

// Guards against a silence that outlives its answers: once all of them have ended, time without a part
// of an answer is no silence.
func TestSilenceEndsWithItsAnswers(t *testing.T) {
	s := newSilentService(t, true)
	s.pass(3*time.Second, false)
	for id := uint64(200); id < 200+silentSlots; id++ {
		s.q.FinishTruncated(s.now, id, 0)
	}
	if refused := s.pass(18*time.Second, false); len(refused) != 0 {
		t.Errorf("%d of the requests that run refused", len(refused))
	}
	if got := s.q.Stats(s.now); got.Running != silentSlots || got.DrainRate > silentSlots*silentCost/2 {
		t.Errorf("%+v: requests that don't answer for 18 s count as quick", got)
	}
}
