package poison

import (
	"hash/fnv"
	"math/bits"
	"math/rand/v2"
	"time"
)

const (
	// turnStep is enough for a request to crash its replica and for the other nodes to learn of it.
	turnStep = 600 * time.Millisecond
	// turnSteps is the number of steps after a crash until all nodes may send. At each step twice as many
	// may as at the one before, and at the first step one in 2^turnSteps. So few nodes send before they
	// learn of the next crash, whether the system has few nodes or hundreds.
	turnSteps = 8
)

// TurnIn returns the time until this node may begin a request that replicas crashed under as often as
// isolates it otherwise; 0 if it may now. Such a request is not isolated yet because replicas crash without
// it as well. If all nodes sent it at the same time, it would crash a replica for each of them.
func (t *Tracker) TurnIn(now time.Time, p Part) time.Duration {
	if !p.Own() || !t.answeredAt(p).complete.IsZero() {
		return 0
	}
	list := t.exposures(p)
	if max(consecutive(list, p), moments(list)) < isolateAfter {
		return 0
	}
	last := list[len(list)-1].at
	return max(0, last.Add(t.turn(p, len(list))).Sub(now))
}

// turn draws the time after the last of so many crashes from which this node may send a request. It is the
// same each time, and another one at each node.
func (t *Tracker) turn(p Part, crashes int) time.Duration {
	name := fnv.New64a()
	name.Write([]byte(p.Service + p.ID)) // never fails
	drawn := rand.NewPCG(t.turnSeed^name.Sum64(), uint64(crashes)).Uint64()
	return turnStep * time.Duration(max(0, turnSteps-bits.LeadingZeros64(drawn)))
}
