package stall

import (
	"math/rand/v2"
	"testing"
	"time"
)

const maxPause = 200 * time.Millisecond

func steadyDetector(gap, jitter time.Duration, n int) *Detector {
	d := &Detector{}
	random := rand.New(rand.NewPCG(1, 1))
	for range n {
		d.ObserveGap(gap + time.Duration((random.Float64()*2-1)*float64(jitter)))
	}
	return d
}

// Guards against late detection of a dead replica. A stream has an event about every 40
// ms. When the stream becomes silent, its path must be checked well before half of
// maxPause has passed.
func TestSteadyStreamIsCheckedEarly(t *testing.T) {
	timeout := steadyDetector(40*time.Millisecond, 8*time.Millisecond, 50).Timeout(maxPause)
	if timeout > 70*time.Millisecond {
		t.Errorf("timeout %v, want at most 70 ms", timeout)
	}
}

// Guards against checks caused by busy replicas. Replicas prefill long prompts between
// the events of all streams, so gaps vary from 20 to 120 ms. With a fixed timeout of 60
// ms, the path of each stream would be checked every second.
func TestVaryingGapsAreNotStalls(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	d := &Detector{}
	checks := 0
	for range 10000 {
		gap := time.Duration(20+random.IntN(100)) * time.Millisecond
		if gap > d.Timeout(400*time.Millisecond) {
			checks++
		}
		d.ObserveGap(gap)
	}
	if checks > 20 {
		t.Errorf("%d of 10,000 usual gaps trigger a check", checks)
	}
}

// Guards against checks caused by prefills. One gap in ten is four times as long as
// usual, because replicas prefill a prompt. At most half of these long gaps may trigger a
// check. With a timeout of the mean gap plus four mean deviations, two in three long gaps
// did.
func TestPrefillGapsAreNotStalls(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	d := &Detector{}
	checks, prefills := 0, 0
	for range 10000 {
		gap := 20 * time.Millisecond
		if random.IntN(10) == 0 {
			gap *= 4
			prefills++
		}
		if gap > d.Timeout(400*time.Millisecond) {
			checks++
		}
		d.ObserveGap(gap)
	}
	if checks > prefills/2 {
		t.Errorf("%d of %d gaps during a prefill trigger a check", checks, prefills)
	}
}

func TestTimeoutBounds(t *testing.T) {
	for _, c := range []struct {
		name     string
		detector *Detector
		want     time.Duration
	}{
		{"no gaps", &Detector{}, 100 * time.Millisecond},
		{"too few gaps", steadyDetector(10*time.Millisecond, 0, minGaps-1), 100 * time.Millisecond},
		{"fast and steady", steadyDetector(5*time.Millisecond, 0, 100), minTimeout},
		{"slow", steadyDetector(150*time.Millisecond, 0, 100), 100 * time.Millisecond},
	} {
		if got := c.detector.Timeout(maxPause); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against checks of streams whose events arrive in bursts. The gaps of zero within
// a burst must not make the gap between bursts look like a stall.
func TestBurstsOfEvents(t *testing.T) {
	d := &Detector{}
	for i := range 100 {
		gap := 80 * time.Millisecond
		if i%2 == 0 {
			gap = 0
		}
		d.ObserveGap(gap)
	}
	if got := d.Timeout(maxPause); got < 80*time.Millisecond {
		t.Errorf("timeout %v, want at least 80 ms", got)
	}
}

// Guards against repeated checks while replicas are slow for a second. Each check that
// finds no loss raises the timeout. When the stream is fast again, the timeout soon
// returns to about its previous value.
func TestFalseAlarmsRaiseTimeout(t *testing.T) {
	d := steadyDetector(40*time.Millisecond, 4*time.Millisecond, 50)
	before := d.Timeout(time.Second)
	for range 3 {
		d.FalseAlarm(d.Timeout(time.Second))
	}
	if got := d.Timeout(time.Second); got < 3*before {
		t.Errorf("timeout %v after three false alarms, %v before", got, before)
	}
	for range 20 {
		d.ObserveGap(40 * time.Millisecond)
	}
	if got := d.Timeout(time.Second); got > 2*before {
		t.Errorf("timeout %v after a second of usual gaps, %v before", got, before)
	}
}

// Guards against too many checks during one silence. Replicas are slow, and a stream
// pauses for half a second. The path is checked only a few times while the pause is still
// on time, and once more as soon as the pause is late. The last check is needed because
// only checks of late streams ask the replicas for their speed.
func TestChecksWithinOneSilence(t *testing.T) {
	const onTimeLimit = 300 * time.Millisecond
	checks := 0
	silent := minTimeout
	for silent < onTimeLimit {
		checks++
		silent += RecheckAfter(silent, onTimeLimit)
	}
	if checks > 4 {
		t.Errorf("%d checks before the pause is late", checks)
	}
	if silent > onTimeLimit+minTimeout/2 {
		t.Errorf("the next check is %v after the pause is late", silent-onTimeLimit)
	}
}

// Guards against useless connections to all replicas on the path of a slow stream.
// Replicas have become slow, and a stream has an event every 400 ms although maxPause is
// 300 ms. The path must be checked only in the first few gaps. The timeout stays bounded,
// so that a later loss is still detected.
func TestSlowStreamIsRarelyChecked(t *testing.T) {
	const onTimeLimit, gap = 300 * time.Millisecond, 400 * time.Millisecond
	d := steadyDetector(40*time.Millisecond, 8*time.Millisecond, 20)
	checks := 0
	for range 20 {
		if silent := d.Timeout(onTimeLimit); silent < gap {
			checks++
			d.FalseAlarm(gap - gap/10)
		}
		d.ObserveGap(gap)
	}
	if checks > 3 {
		t.Errorf("checked in %d of 20 gaps", checks)
	}
	if timeout := d.Timeout(onTimeLimit); timeout > slowStreamFactor*onTimeLimit {
		t.Errorf("timeout %v of a slow stream is too long", timeout)
	}
	for range 40 {
		d.ObserveGap(40 * time.Millisecond)
	}
	if timeout := d.Timeout(onTimeLimit); timeout > onTimeLimit/maxPauseDivisor {
		t.Errorf("timeout %v is too long for a stream that is fast again", timeout)
	}
}
