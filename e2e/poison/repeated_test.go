package poison

import (
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
)

const (
	// enoughCrashes engines may crash on a call. One more may crash on a copy of it that is under way
	// at that moment.
	enoughCrashes = 3
	// crashSpread is the time in which all nodes learn of a crash.
	crashSpread = 2 * time.Second
	// observedFor is how long marked calls are made before they are judged.
	observedFor = 10 * time.Second
	// midAnswer is a token in the middle of an answer.
	midAnswer = 13
)

// Guards against a call that crashes one engine after the other although it is always the same: its
// last message is no message that calls share, its answers begin before the engine crashes, or the
// port of a crashed engine accepts connections.
func TestRepeatedCallIsSentToNoMoreEngines(t *testing.T) {
	for _, c := range []struct {
		name  string
		crash crash
	}{
		{"before the answer", crash{token: 1}},
		{"in the middle of the answer", crash{token: midAnswer}},
		{"the port accepts connections", crash{token: 1, holdPort: true}},
	} {
		t.Run(c.name, func(t *testing.T) { checkRepeatedCall(t, c.crash) })
	}
}

// Guards against a message that crashes engines in the middle of the answers to different calls, faster than
// answers become complete, so that nothing shows that engines serve calls without it.
func TestMessageThatCrashesEnginesFasterThanAnswersComplete(t *testing.T) {
	c := startWith(t, crash{token: midAnswer})
	during, stop := make(chan struct{}), make(chan struct{})
	sound := c.traffic(soundInterval, during)
	time.Sleep(2 * time.Second)
	marked := c.traffic(markedInterval, stop, mark)
	time.Sleep(observedFor)
	// The replicas have slots for the calls of one such traffic, not of two.
	close(during)
	after := make(chan struct{})
	soundAfter := c.traffic(soundInterval, after)
	time.Sleep(3 * time.Second)
	close(after)
	close(stop)
	crashes := c.crashTimes()
	late := lateCrashes(crashes, fatalCrashes, stableAfter)
	if len(crashes) < enoughCrashes || late > tolerated {
		t.Errorf("%d engines crashed, %d of them later than %v after the fifth", len(crashes), late, stableAfter)
	}
	if share := served(soundAfter()); share < 0.9 {
		t.Errorf("%.2f of the sound calls are served while marked ones still come: %v", share, byCode(soundAfter()))
	}
	t.Logf("%d engines crashed; marked calls served: %.2f, sound ones: %.2f", len(crashes), served(marked()), served(sound()))
}

// lateCrashes counts the crashes later than some time after the n-th.
func lateCrashes(crashes []time.Time, n int, after time.Duration) int {
	late := 0
	for _, at := range crashes {
		if len(crashes) >= n && at.After(crashes[n-1].Add(after)) {
			late++
		}
	}
	return late
}

func checkRepeatedCall(t *testing.T, how crash) {
	c := startWith(t, how)
	during, stop := make(chan struct{}), make(chan struct{})
	sound := c.traffic(soundInterval, during)
	time.Sleep(2 * time.Second)
	marked := inTurn(markedInterval, stop, func(i int) harness.Answer { return c.ask(i, mark) })
	time.Sleep(observedFor)
	// The replicas have slots for the calls of one such traffic, not of two.
	close(during)
	after := make(chan struct{})
	soundAfter := c.traffic(soundInterval, after)
	time.Sleep(3 * time.Second)
	close(after)
	close(stop)
	crashes := c.crashTimes()
	late := lateCrashes(crashes, enoughCrashes, crashSpread)
	if len(crashes) < enoughCrashes || len(crashes) > enoughCrashes+1 || late > 0 {
		t.Errorf("%d engines crashed, %d of them later than %v after the third", len(crashes), late, crashSpread)
	}
	if share := served(soundAfter()); share < 0.9 {
		t.Errorf("%.2f of the sound calls are served while the call still comes: %v", share, byCode(soundAfter()))
	}
	t.Logf("%d engines crashed; the call by code: %v; sound ones served: %.2f", len(crashes), byCode(marked()), served(sound()))
}
