package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// sendingFleet is a number of nodes that send one request, which callers repeat, to replicas that end under it.
type sendingFleet struct {
	nodes []*node
	draw  *rand.Rand
	now   time.Time
	sends int
	// due are the ends to come, of whose news each comes to all nodes. sending are the nodes that have a request
	// at a replica.
	due     []dueCrash
	sending map[*node]bool
}

type dueCrash struct {
	at    time.Time
	crash Crash
	node  *node
}

const (
	// endsAfter is the time from a request's start to the end of its replica, newsTakes from that until all
	// nodes know.
	endsAfter = 400 * time.Millisecond
	newsTakes = 200 * time.Millisecond
	fleetTick = 10 * time.Millisecond
)

func newSendingFleet(size int, seed uint64) *sendingFleet {
	f := &sendingFleet{sending: map[*node]bool{}, draw: rand.New(rand.NewPCG(seed, 9)), now: start.Add(time.Minute)}
	for range size {
		n := newNode()
		n.now = f.now
		for range minRecentAnswers {
			n.Answered(n.now, []Part{system})
		}
		f.nodes = append(f.nodes, n)
	}
	return f
}

// crash tells all nodes of the end of a replica under some parts, which were sent before the last one.
func (f *sendingFleet) crash(name string, parts ...Part) {
	c := Crash{Process: Process{name, 1}}
	for _, p := range parts {
		c.Exposed = append(c.Exposed, Exposure{Part: p, SentAge: endsAfter, Progress: Begun})
	}
	for _, n := range f.nodes {
		n.Crashed(f.now, c)
	}
}

// send lets a caller ask a node, which sends the request if it may.
func (f *sendingFleet) send() {
	n := f.nodes[f.draw.IntN(len(f.nodes))]
	if f.sending[n] || n.Verdict(f.now, badRequest) >= Held || n.TurnIn(f.now, badRequest) > 0 {
		return
	}
	f.sends++
	f.sending[n] = true
	f.due = append(f.due, dueCrash{node: n, at: f.now.Add(endsAfter + newsTakes), crash: Crash{
		Process: Process{fmt.Sprint("sent-", f.sends), 1}, Age: newsTakes,
		Exposed: []Exposure{{Part: badRequest, SentAge: endsAfter + newsTakes, Progress: Begun}},
	}})
}

// play lets callers ask at a rate for a while.
func (f *sendingFleet) play(perSecond float64, lasting time.Duration) {
	for until := f.now.Add(lasting); f.now.Before(until); f.now = f.now.Add(fleetTick) {
		if f.draw.Float64() < perSecond*fleetTick.Seconds() {
			f.send()
		}
		for len(f.due) > 0 && !f.due[0].at.After(f.now) {
			for _, n := range f.nodes {
				n.Crashed(f.now, f.due[0].crash)
			}
			delete(f.sending, f.due[0].node)
			f.due = f.due[1:]
		}
	}
}

// Guards against a request under which three replicas have ended, and which every node sends to one more, because
// replicas also end without it so that three are not enough.
func TestFewNodesSendARequestThatReplicasEndUnder(t *testing.T) {
	const plays, perSecond, lasting, maxSends = 20, 60, 20 * time.Second, 3
	for _, size := range []int{3, 9, 45, 300} {
		total := 0
		for seed := range uint64(plays) {
			f := newSendingFleet(size, seed)
			f.crash("without", system)
			for i := range isolateAfter {
				f.now = f.now.Add(time.Second)
				f.crash(fmt.Sprint("before-", i), system, badRequest)
			}
			f.play(perSecond, lasting)
			total += f.sends
			if v := f.nodes[0].Verdict(f.now, badRequest); v != Isolated {
				t.Errorf("%d nodes, seed %d: %v after %d sends", size, seed, v, f.sends)
			}
		}
		if total > maxSends*plays {
			t.Errorf("%d nodes: %d sends in %d plays, %d allowed", size, total, plays, maxSends*plays)
		}
	}
}
