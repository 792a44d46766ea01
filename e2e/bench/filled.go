package bench

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/standin/engine"
)

// filledEvery is how often the engines' slots are looked at; their own count is
// renewed each 100 ms.
const filledEvery = 50 * time.Millisecond

// filled is how well the engines' slots were used. The bound counts all slots at
// all times and a token in exactly its step; what is missing to it is an idle slot
// or a stand-in's clock, which sleeps a little longer than it was asked to.
type filled struct {
	// slots is the mean of those with a request.
	slots float64
	// token is the mean time of a token in its slot.
	token time.Duration
}

// watchFilled looks at the engines from one time to the other, and then answers.
func watchFilled(ctx context.Context, engines []*engine.Engine, from, to time.Time) <-chan filled {
	answer := make(chan filled, 1)
	go func() {
		pause(ctx, time.Until(from))
		samples, running := 0, 0
		began, before := time.Now(), steps(engines)
		for time.Now().Before(to) && ctx.Err() == nil {
			samples++
			for _, e := range engines {
				running += e.Load().Running
			}
			pause(ctx, filledEvery)
		}
		f := filled{slots: float64(running) / float64(max(samples, 1))}
		if made := steps(engines) - before; made > 0 {
			f.token = time.Duration(f.slots * float64(time.Since(began)) / float64(made))
		}
		answer <- f
	}()
	return answer
}

func steps(engines []*engine.Engine) (sum int) {
	for _, e := range engines {
		sum += e.Stats().Steps
	}
	return sum
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
