package retryloans

import (
	"slices"
	"time"
)

// lot is a number of retries that may be used until a time.
type lot struct {
	retries float64
	until   time.Time
}

// pool holds the retries of one service that a hub may grant.
type pool struct{ lots []lot }

func (p *pool) add(retries float64, until time.Time) {
	if retries > 0 {
		p.lots = append(p.lots, lot{retries, until})
	}
}

// expire drops the lots that nobody can use any more.
func (p *pool) expire(now time.Time) {
	p.lots = slices.DeleteFunc(p.lots, func(l lot) bool { return l.retries < quantum || !l.until.After(now) })
}

// available returns how many retries may be used at least until the given time.
func (p *pool) available(until time.Time) float64 {
	sum := 0.0
	for _, l := range p.lots {
		if !l.until.Before(until) {
			sum += l.retries
		}
	}
	return sum
}

// take removes up to the given number of retries that may be used at least until the given
// time, those first that end first, and passes each part to use with the time of its end.
func (p *pool) take(retries float64, until time.Time, use func(retries float64, until time.Time)) float64 {
	slices.SortFunc(p.lots, func(a, b lot) int { return a.until.Compare(b.until) })
	taken := 0.0
	for i := range p.lots {
		l := &p.lots[i]
		if taken >= retries || l.until.Before(until) {
			continue
		}
		part := min(l.retries, retries-taken)
		l.retries -= part
		taken += part
		if use != nil {
			use(part, l.until)
		}
	}
	return taken
}
