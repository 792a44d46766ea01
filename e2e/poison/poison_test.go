package poison

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/e2e/rig"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// mark is the message that crashes engines. An engine that crashes is gone for downFor.
	mark    = "the message that no engine survives"
	downFor = 2 * time.Second
	// stableAfter and tolerated bound the marked calls that reach engines later than that after the
	// fifth crash.
	stableAfter  = 3 * time.Second
	fatalCrashes = 5
	tolerated    = 3

	markedInterval = 125 * time.Millisecond
	soundInterval  = 42 * time.Millisecond
	tokens         = 20
)

// chains runs a rig whose first engines crash on the mark, and notes when.
type chains struct {
	*rig.Rig
	crash   crash
	mu      sync.Mutex
	crashes []time.Time
}

// crash says how engines crash on a marked call: before which token, and whether their port then
// refuses connections, or accepts and closes them as if something else held it.
type crash struct {
	token    int
	holdPort bool
}

func start(t *testing.T) *chains { return startWith(t, crash{token: 1}) }

func startWith(t *testing.T, how crash) *chains {
	t.Helper()
	bin := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "github.com/cicadatack/cicadatack/node/cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := rig.Start(ctx, rig.Config{
		Bin: bin, Dir: t.TempDir(), Nodes: 3, Chains: 4, Plains: 1, Step: 20 * time.Millisecond,
		Layout: harness.Layout{Adjust: allSlots},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	c := &chains{Rig: r, crash: how}
	for i := range r.Chains {
		c.arm(&r.Chains[i][0])
	}
	return c
}

// allSlots lets the nodes use all slots that an engine has. With fewer, slow answers fill them, and sound
// calls are refused for want of room, which is not what these tests are about.
func allSlots(doc *document.Document) { doc.Policy.ConcurrentPerReplica = engine.DefaultSlots }

// arm makes an engine crash before a token of each marked call that comes so far, unless it is gone already.
func (c *chains) arm(e *rig.Engine) {
	var gone atomic.Bool
	e.Set(&rig.Trap{Path: engineapi.PathChat, Body: mark, When: rig.AtToken, Token: c.crash.token, Each: true, Spring: func() {
		if gone.Swap(true) {
			return
		}
		c.noteCrash()
		if c.crash.holdPort {
			e.Link.Cut()
		} else {
			e.Link.Reset()
		}
		time.AfterFunc(downFor, func() {
			gone.Store(false)
			e.Link.Heal()
		})
	}})
}

func (c *chains) noteCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

func (c *chains) crashTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.crashes...)
}

// traffic sends calls to the nodes in turn until stop is closed. All share key and system message,
// and have a message of their own at the end.
func (c *chains) traffic(every time.Duration, stop <-chan struct{}, shared ...string) (wait func() []harness.Answer) {
	return inTurn(every, stop, func(i int) harness.Answer { return c.call(i, shared...) })
}

// inTurn makes calls, one per interval, until stop is closed.
func inTurn(every time.Duration, stop <-chan struct{}, call func(i int) harness.Answer) (wait func() []harness.Answer) {
	var answers []harness.Answer
	var mu sync.Mutex
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-time.After(every):
			case <-stop:
				return
			}
			group.Go(func() {
				a := call(i)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	return func() []harness.Answer {
		group.Wait()
		return answers
	}
}

func (c *chains) call(i int, shared ...string) harness.Answer {
	return c.ask(i, append(shared, fmt.Sprint("question ", i, " of ", time.Now()))...)
}

// ask sends a call with some messages to the i-th node.
func (c *chains) ask(i int, texts ...string) harness.Answer {
	messages := []engineapi.Message{{Role: "system", Content: "You plan barges."}}
	for _, text := range texts {
		messages = append(messages, engineapi.Message{Role: "user", Content: text})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := c.Caller.Converse(ctx, c.Nodes[i%len(c.Nodes)].Addresses.Callers, messages, tokens, nil)
	if err != nil {
		a.Error = err.Error()
	}
	return a
}

func served(answers []harness.Answer) float64 {
	whole := 0
	for _, a := range answers {
		if a.Whole && a.Error == "" {
			whole++
		}
	}
	return float64(whole) / float64(max(1, len(answers)))
}

// byCode counts answers by the code of their error, which is empty if there was none.
func byCode(answers []harness.Answer) map[string]int {
	codes := map[string]int{}
	for _, a := range answers {
		code, _, _ := strings.Cut(a.Error, ":")
		codes[code]++
	}
	return codes
}

// Guards against a message that crashes one engine after the other: each node holds the crash
// against the replica alone, and sends the call and the next one with the message to another.
func TestMessageThatCrashesEnginesIsSentToFewOfThem(t *testing.T) {
	c := start(t)
	before := make(chan struct{})
	soundBefore := c.traffic(soundInterval, before)
	time.Sleep(2 * time.Second)
	close(before)
	if share := served(soundBefore()); share < 0.99 {
		t.Fatalf("%.2f of the sound calls are served before the fault", share)
	}

	stop := make(chan struct{})
	marked := c.traffic(markedInterval, stop, mark)
	time.Sleep(stableAfter)
	last := time.Now()
	if crashes := c.crashTimes(); len(crashes) >= fatalCrashes {
		last = crashes[fatalCrashes-1]
	}
	time.Sleep(time.Until(last.Add(2 * stableAfter)))
	after := make(chan struct{})
	soundAfter := c.traffic(soundInterval, after)
	time.Sleep(3 * time.Second)
	close(after)
	close(stop)
	late := 0
	for _, at := range c.crashTimes() {
		if at.After(last.Add(stableAfter)) {
			late++
		}
	}
	if late > tolerated {
		t.Errorf("%d engines crashed later than %v after the fifth, %d tolerated; %d in all", late, stableAfter, tolerated, len(c.crashTimes()))
	}
	if share := served(soundAfter()); share < 0.9 {
		t.Errorf("%.2f of the sound calls are served while marked ones still come: %v", share, byCode(soundAfter()))
	}
	for _, a := range marked() {
		if a.Whole && a.Error == "" {
			t.Error("a marked call is answered")
		}
	}
	t.Logf("%d engines crashed; marked calls by code: %v", len(c.crashTimes()), byCode(marked()))
}

// Guards against an operator's or a network's fault that is taken for a crash under a message.
func TestCrashesUnderSoundCallsIsolateNothing(t *testing.T) {
	c := start(t)
	stop := make(chan struct{})
	during := c.traffic(soundInterval, stop)
	time.Sleep(time.Second)
	for i := range 8 {
		e := &c.Chains[i%len(c.Chains)][0]
		e.Link.Reset()
		time.Sleep(500 * time.Millisecond)
		e.Link.Heal()
	}
	close(stop)
	for _, a := range during() {
		if strings.HasPrefix(a.Error, "isolated_part") || strings.HasPrefix(a.Error, "suspect_part") {
			t.Errorf("a sound call is refused: %s", a.Error)
		}
	}
	after := make(chan struct{})
	sound := c.traffic(soundInterval, after)
	time.Sleep(2 * time.Second)
	close(after)
	if share := served(sound()); share < 0.99 {
		t.Errorf("%.2f of the sound calls are served after eight crashes", share)
	}
}
