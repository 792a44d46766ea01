package stall

import (
	"math/rand/v2"
	"testing"
	"time"
)

const maxPause = 200 * time.Millisecond

func steady(gap, jitter time.Duration, n int) *Detector {
	p := &Detector{}
	random := rand.New(rand.NewPCG(1, 1))
	for range n {
		p.ObserveGap(gap + time.Duration((random.Float64()*2-1)*float64(jitter)))
	}
	return p
}

// A replica dies under streams with an event each 40 ms. Their paths are looked at well
// before half of the pause that is on time is over.
func TestSteadyStreamIsCheckedEarly(t *testing.T) {
	p := steady(40*time.Millisecond, 8*time.Millisecond, 50).Timeout(maxPause)
	if p > 70*time.Millisecond {
		t.Errorf("after %v", p)
	}
}

// Replicas read long prompts between the steps of all streams, and gaps vary from 20 to
// 120 ms. Looked at after a fixed 60 ms, each stream would be suspected every second.
func TestVaryingGapsAreNotStalls(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	p := &Detector{}
	suspected := 0
	for range 10000 {
		gap := time.Duration(20+random.IntN(100)) * time.Millisecond
		if gap > p.Timeout(400*time.Millisecond) {
			suspected++
		}
		p.ObserveGap(gap)
	}
	if suspected > 20 {
		t.Errorf("%d of 10,000 usual gaps are taken for a loss", suspected)
	}
}

// One gap in ten is four times the usual, as replicas read a prompt in it. Most of them
// must not be taken for a loss; by four mean deviations over the mean two in three were.
func TestPrefillGapsAreNotStalls(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	p := &Detector{}
	suspected, prefills := 0, 0
	for range 10000 {
		gap := 20 * time.Millisecond
		if random.IntN(10) == 0 {
			gap *= 4
			prefills++
		}
		if gap > p.Timeout(400*time.Millisecond) {
			suspected++
		}
		p.ObserveGap(gap)
	}
	if suspected > prefills/2 {
		t.Errorf("%d of %d gaps in which a prompt is read are taken for a loss", suspected, prefills)
	}
}

func TestTimeoutBounds(t *testing.T) {
	for _, c := range []struct {
		name     string
		detector *Detector
		want     time.Duration
	}{
		{"nothing known", &Detector{}, 100 * time.Millisecond},
		{"little known", steady(10*time.Millisecond, 0, minGaps-1), 100 * time.Millisecond},
		{"fast and steady", steady(5*time.Millisecond, 0, 100), minTimeout},
		{"slow", steady(150*time.Millisecond, 0, 100), 100 * time.Millisecond},
	} {
		if got := c.detector.Timeout(maxPause); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Streams come in bursts of several events at once; the gap of none between them does not
// make the usual one look like a loss.
func TestBurstsOfEvents(t *testing.T) {
	p := &Detector{}
	for i := range 100 {
		gap := 80 * time.Millisecond
		if i%2 == 0 {
			gap = 0
		}
		p.ObserveGap(gap)
	}
	if got := p.Timeout(maxPause); got < 80*time.Millisecond {
		t.Errorf("%v", got)
	}
}

// Replicas are slow for a second, and paths are looked at in vain. Each look makes the
// next one later; when the stream is quick again it is soon looked at as before.
func TestFalseAlarmsRaiseTimeout(t *testing.T) {
	p := steady(40*time.Millisecond, 4*time.Millisecond, 50)
	before := p.Timeout(time.Second)
	for range 3 {
		p.FalseAlarm(p.Timeout(time.Second))
	}
	if got := p.Timeout(time.Second); got < 3*before {
		t.Errorf("%v after three looks in vain, %v before", got, before)
	}
	for range 20 {
		p.ObserveGap(40 * time.Millisecond)
	}
	if got := p.Timeout(time.Second); got > 2*before {
		t.Errorf("%v after a second of usual gaps, %v before", got, before)
	}
}

// Replicas are slow, and a stream pauses for half a second. Its path is looked at a few
// times and not at each bound of its patience, and once more as soon as the pause is late,
// since only then are the replicas asked how slow they are.
func TestChecksWithinOneSilence(t *testing.T) {
	const late = 300 * time.Millisecond
	checks := 0
	silent := minTimeout
	for silent < late {
		checks++
		silent += RecheckAfter(silent, late)
	}
	if checks > 4 {
		t.Errorf("%d looks before the pause is late", checks)
	}
	if silent > late+minTimeout/2 {
		t.Errorf("the next look is %v after the pause is late", silent-late)
	}
}

// Replicas have turned slow, and a stream has an event each 400 ms where 300 ms are on
// time. Looked at in each of its gaps it would cost connections to all of its path for
// nothing; after the first few it is left in peace. When a part of it dies after all, that
// is still found.
func TestSlowStreamIsRarelyChecked(t *testing.T) {
	const late, gap = 300 * time.Millisecond, 400 * time.Millisecond
	p := steady(40*time.Millisecond, 8*time.Millisecond, 20)
	checks := 0
	for range 20 {
		if silent := p.Timeout(late); silent < gap {
			checks++
			p.FalseAlarm(gap - gap/10)
		}
		p.ObserveGap(gap)
	}
	if checks > 3 {
		t.Errorf("looked at in %d of 20 gaps", checks)
	}
	if timeout := p.Timeout(late); timeout > slowStreamFactor*late {
		t.Errorf("a silence of %v is taken for usual", timeout)
	}
	for range 40 {
		p.ObserveGap(40 * time.Millisecond)
	}
	if timeout := p.Timeout(late); timeout > late/maxPauseDivisor {
		t.Errorf("it is fast again, and a silence of %v is taken for usual", timeout)
	}
}
