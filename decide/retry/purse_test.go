package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/decide/health"
)

const span = 10 * time.Second

var broken = Attempt{Made: 1, Failure: health.Broken, Repeatable: true, Alternatives: 1}

func spendAll(b *Budget, now time.Time) int {
	n := 0
	for b.Allow(now, broken).Retry {
		n++
	}
	return n
}

// A replica dies under all streams of a failure domain, seconds after the fleet started
// and with little answered yet. The whole allowance is there for them; saved up by time it
// would be a sixth, and most streams would wait for links that are busy.
func TestTriesAreThereWhenManyAreNeeded(t *testing.T) {
	b := New(Config{Share: 0.16, Burst: 22, Window: span})
	if n := spendAll(b, epoch); n != 22 {
		t.Errorf("%d retries at once, want 22", n)
	}
	for range 100 {
		b.Success(epoch.Add(time.Second))
	}
	if n := spendAll(b, epoch.Add(time.Second)); n != 16 {
		t.Errorf("%d for 100 answers, want 16", n)
	}
	if n := spendAll(b, epoch.Add(span-time.Second)); n != 0 {
		t.Errorf("%d within the window", n)
	}
	if n := spendAll(b, epoch.Add(2*span)); n != 22 {
		t.Errorf("%d after it, want 22", n)
	}
}

// The nodes of a fleet are restarted one by one, each after it has spent its part: what
// the last process spent still counts in the window.
func TestRestartedNodeHoldsLittle(t *testing.T) {
	b := New(Config{Burst: 24, Start: 3, Window: span})
	if n := spendAll(b, epoch); n != 3 {
		t.Errorf("%d retries at the start, want 3", n)
	}
	if n := spendAll(b, epoch.Add(span+time.Second)); n != 24 {
		t.Errorf("%d a window later, want 24", n)
	}
}

// Half of the nodes die after having spent their parts. The others' parts grow once what
// the dead have spent no longer counts; at once, both together would exceed the allowance.
func TestPartsOfTheDeadComeLater(t *testing.T) {
	b := New(Config{Burst: 10, Window: span})
	b.SetBurst(epoch, 20)
	b.SetBurst(epoch.Add(span/2), 20)
	if left := b.Left(epoch.Add(span / 2)); left != 10 {
		t.Errorf("%v half a window later", left)
	}
	b.SetBurst(epoch.Add(span), 20)
	if left := b.Left(epoch.Add(span)); left != 20 {
		t.Errorf("%v a window later", left)
	}
	b.SetBurst(epoch.Add(span), 5)
	if left := b.Left(epoch.Add(span)); left != 5 {
		t.Errorf("%v when nodes have come", left)
	}
}

// Whatever comes when, no span of the window's length has more retries than its burst and
// the share of the answers of that span and the one before.
func TestNoWindowIsExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst, share = 7.0, 0.2
		b := New(Config{Share: share, Burst: burst, Window: span})
		now := epoch
		var spent, answered []time.Time
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "answer") {
				b.Success(now)
				answered = append(answered, now)
			} else if b.Allow(now, broken).Retry {
				spent = append(spent, now)
			}
		}
		within := func(list []time.Time, from, to time.Time) (n int) {
			for _, at := range list {
				if !at.Before(from) && at.Before(to) {
					n++
				}
			}
			return n
		}
		for _, from := range spent {
			to := from.Add(span)
			most := burst + share*float64(within(answered, from.Add(-span), to))
			if n := within(spent, from, to); float64(n) > most {
				t.Fatalf("%d retries in a window that allows %.1f", n, most)
			}
		}
	})
}

// Slots are counted from the first use by the steady clock. Counted by the time of day, a
// jump of that would end the window, and the fleet would exceed its allowance.
func TestWindowGoesBySteadyClock(t *testing.T) {
	b := New(Config{Burst: 5, Window: span})
	now := time.Now() // bears a steady clock's reading
	if n := spendAll(b, now); n != 5 {
		t.Fatalf("%d retries", n)
	}
	later := now.Add(time.Millisecond)
	if n := spendAll(b, later); n != 0 {
		t.Errorf("%d more a millisecond later", n)
	}
	if got := b.purse.(*window).number(later); got != 1 {
		t.Errorf("slot %d: counted from elsewhere than the first use", got)
	}
}
