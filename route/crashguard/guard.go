package crashguard

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/route/connprobe"
)

// Prober finds out whether an endpoint accepts connections. *connprobe.Prober implements it.
type Prober interface {
	FindUnreachable(ctx context.Context, reason connprobe.Reason, addresses []string) []connprobe.UnreachableEndpoint
}

// Metrics counts what the guard finds.
type Metrics interface {
	// ReplicaEnded counts the requests that were under way when a replica's process ended.
	ReplicaEnded(service string)
	// IsolatedParts sets the numbers of isolated and of suspect parts of a service.
	IsolatedParts(service string, isolated, suspect int)
}

// Config configures a Guard. Versions and Store may be nil.
type Config struct {
	Prober  Prober
	Metrics Metrics
	Log     hclog.Logger
	Now     func() time.Time
	// Versions returns the versions of the software of all replicas of a service.
	Versions func(service string) []string
	// Incarnation returns the incarnation under which a replica is listed; listed is false if it is
	// not. Nil if no list tells incarnations apart.
	Incarnation func(replica string) (incarnation int64, listed bool)
	// Store keeps the isolations.
	Store Store
	// Seed is different at each node.
	Seed uint64
}

// Guard holds the evidence of one node. It is safe for concurrent use.
type Guard struct {
	Config
	isolations *keeper

	mu      sync.Mutex
	tracker *poison.Tracker
	// turns holds the suspect parts of which this node has a request at a replica.
	turns map[poison.Part]*Request
	// heldBack are the parts that have been held back, with the time when that was logged.
	heldBack map[poison.Part]time.Time
	// changes counts what was new to this node, so that it can be passed on soon.
	changes int64
	// awaitingList is the number of requests whose replicas' ends only the list may show.
	awaitingList atomic.Int32
	// lastCrash is when this node last learned of a crash, in nanoseconds; 0 if it never did.
	lastCrash atomic.Int64
}

// New returns a Guard without evidence.
func New(cfg Config) *Guard {
	ids := rand.NewPCG(cfg.Seed, uint64(cfg.Now().UnixNano()))
	g := &Guard{Config: cfg, tracker: poison.New(ids), turns: map[poison.Part]*Request{}, heldBack: map[poison.Part]time.Time{}}
	g.isolations = newKeeper(g)
	return g
}

// Contents are what a request brings along that may crash replicas.
type Contents struct {
	// Parts are the parts of its prompt that other requests may share.
	Parts []string
	// Own identifies the request itself in one or several ways, however often it is sent.
	Own []string
}

// Request returns what the guard keeps of one request, or nil if the request brings nothing along.
// The methods of a nil Request allow everything.
func (g *Guard) Request(id, service string, contents Contents) *Request {
	if g == nil || len(contents.Parts)+len(contents.Own) == 0 {
		return nil
	}
	r := &Request{guard: g, id: id, service: service, shared: len(contents.Parts)}
	for _, part := range contents.Parts {
		r.parts = append(r.parts, poison.Part{Service: service, ID: part})
	}
	for _, own := range contents.Own {
		r.parts = append(r.parts, poison.OwnPart(service, own))
	}
	return r
}

// Refusal is the error of a request that must not be sent to a replica now.
type Refusal struct {
	Part    poison.Part
	Verdict poison.Verdict
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	switch {
	case r.Part.Own() && r.Verdict == poison.Isolated:
		return fmt.Sprintf("replicas crash on this request (%s)", r.Part.ID)
	case r.Part.Own():
		return fmt.Sprintf("replicas have crashed on this request (%s), which may be the cause", r.Part.ID)
	case r.Verdict == poison.Isolated:
		return fmt.Sprintf("replicas crash on part %s of the prompt", r.Part.ID)
	}
	return fmt.Sprintf("a replica has crashed on a prompt with part %s, which may be the cause", r.Part.ID)
}

const (
	// isolatedRetryAfter is the Retry-After for an isolated part. The isolation ends by an
	// operator or a repair, which take minutes.
	isolatedRetryAfter = 5 * time.Minute
	// heldRetryAfter is the Retry-After for a part that is held back. Other answers become complete
	// in this time, or the hold ends.
	heldRetryAfter = 10 * time.Second
	// suspectRetryAfter is about the time after which the request under way has cleared the
	// part, or has crashed its replica.
	suspectRetryAfter = time.Second
)

// refuse returns the refusal of a request because of one of its parts. A part that is held back is suspect
// to callers.
func refuse(part poison.Part, verdict poison.Verdict) *Refusal {
	switch verdict {
	case poison.Isolated:
		return &Refusal{Part: part, Verdict: verdict, RetryAfter: isolatedRetryAfter}
	case poison.Held:
		return &Refusal{Part: part, Verdict: poison.Suspect, RetryAfter: heldRetryAfter}
	}
	return &Refusal{Part: part, Verdict: poison.Suspect, RetryAfter: suspectRetryAfter}
}

// refuseUntil returns the refusal of a request that other nodes may find out about until then.
func refuseUntil(part poison.Part, turnIn time.Duration) *Refusal {
	return &Refusal{Part: part, Verdict: poison.Suspect, RetryAfter: max(turnIn, suspectRetryAfter)}
}

// worst returns the part with the gravest verdict.
func (g *Guard) worst(parts []poison.Part) (poison.Part, poison.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.worstLocked(parts)
}

func (g *Guard) worstLocked(parts []poison.Part) (worst poison.Part, verdict poison.Verdict) {
	now := g.Now()
	for _, p := range parts {
		if v := g.tracker.Verdict(now, p); v > verdict {
			worst, verdict = p, v
		}
	}
	if verdict == poison.Held {
		g.logHold(now, worst)
	}
	return worst, verdict
}

// logHold logs that a part is held back, once in the time for which that may last.
func (g *Guard) logHold(now time.Time, p poison.Part) {
	maps.DeleteFunc(g.heldBack, func(_ poison.Part, at time.Time) bool { return now.Sub(at) >= poison.HoldFor })
	if _, logged := g.heldBack[p]; !logged {
		g.heldBack[p] = now
		g.Log.Warn("part held back", "service", p.Service, "part", p.ID)
	}
}

// takeTurn lets a request with suspect parts run if no other request of this node with one of them
// is at a replica, and if it is this node's turn to begin it. One that this node has begun goes on.
func (g *Guard) takeTurn(r *Request) *Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	part, verdict := g.worstLocked(r.parts)
	if verdict >= poison.Held && !r.trial {
		return refuse(part, verdict)
	}
	if verdict == poison.Clear {
		return nil
	}
	for _, p := range r.parts {
		if g.tracker.Verdict(g.Now(), p) != poison.Suspect {
			continue
		}
		if other := g.turns[p]; other != nil && other != r {
			return refuse(p, poison.Suspect)
		}
		if turnIn := g.tracker.TurnIn(g.Now(), p); turnIn > 0 && r.sentAt.IsZero() {
			return refuseUntil(p, turnIn)
		}
	}
	for _, p := range r.parts {
		if g.turns[p] == nil {
			g.turns[p] = r
		}
	}
	return nil
}

// endTurn lets other requests with the parts of a request run.
func (g *Guard) endTurn(r *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range r.parts {
		if g.turns[p] == r {
			delete(g.turns, p)
		}
	}
}

// begun records that the answer to a request has gone on for a while.
func (g *Guard) begun(r *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Begun(g.Now(), r.parts)
}

// answered records that the answer to a request, of which begun was told, is complete.
func (g *Guard) answered(r *Request) {
	g.mu.Lock()
	wereIsolated := g.tracker.Completed(g.Now(), r.parts)
	g.mu.Unlock()
	for _, p := range wereIsolated {
		g.Log.Info("isolated part is answered", "service", p.Service, "part", p.ID, "request", r.id)
		g.isolations.lift(p)
	}
}

// crashed records that a replica has crashed, and isolates the parts that the evidence is
// sufficient for.
func (g *Guard) crashed(c poison.Crash) {
	g.lastCrash.Store(g.Now().UnixNano())
	g.mu.Lock()
	if g.tracker.Crashed(g.Now(), c) {
		g.changes++
	}
	g.mu.Unlock()
	g.isolate()
}

// wentOn records that a replica goes on with a request that was sent at a time. Long after the last
// crash that changes nothing.
func (g *Guard) wentOn(replica Replica, sentAt time.Time) {
	if !g.heardOfCrashes() {
		return
	}
	g.mu.Lock()
	refuted := g.tracker.WentOn(g.Now(), poison.Process{Replica: replica.ID, Incarnation: replica.Incarnation}, sentAt)
	if refuted {
		g.changes++
	}
	g.mu.Unlock()
	if refuted {
		g.Log.Info("replica has not ended", "replica", replica.ID)
	}
}

// heardOfCrashes reports whether this node has lately learned of a crash.
func (g *Guard) heardOfCrashes() bool {
	return g.Now().UnixNano()-g.lastCrash.Load() <= int64(poison.ShareFor)
}

func (g *Guard) isolate() {
	g.mu.Lock()
	list := g.tracker.Isolate(g.Now())
	g.mu.Unlock()
	for _, i := range list {
		var crashes []string
		for _, c := range i.Crashes {
			crashes = append(crashes, c.Replica)
		}
		g.Log.Warn("part isolated", "service", i.Part.Service, "part", i.Part.ID, "crashes", len(crashes), "replicas", strings.Join(crashes, ","))
	}
}

// Evidence returns what other nodes should know.
func (g *Guard) Evidence() poison.Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Share(g.Now())
}

// Changes returns a number that changes with what is new to this node.
func (g *Guard) Changes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changes
}

// Merge takes what another node knows.
func (g *Guard) Merge(node string, e poison.Evidence) {
	if len(e.Crashes) > 0 {
		g.lastCrash.Store(g.Now().UnixNano())
	}
	g.mu.Lock()
	dropped, isNew := g.tracker.Merge(g.Now(), e)
	if isNew {
		g.changes++
	}
	g.mu.Unlock()
	if dropped > 0 {
		g.Log.Warn("evidence of crashes passed over", "told_by", node, "items", dropped)
	}
	if isNew {
		g.isolate()
	}
}

// Gauge sets the metrics of a service.
func (g *Guard) Gauge(service string) {
	isolated, suspect := 0, 0
	state := g.State()
	for _, i := range state.Isolated {
		if i.Part.Service == service {
			isolated++
		}
	}
	for p := range state.Suspects {
		if p.Service == service {
			suspect++
		}
	}
	g.Metrics.IsolatedParts(service, isolated, suspect)
}

// State is what an operator is told.
type State struct {
	Isolated []poison.Isolation
	// Suspects are the suspect parts with the number of crashes that count against each.
	Suspects map[poison.Part]int
}

// State returns the isolated and the suspect parts.
func (g *Guard) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{Isolated: g.tracker.Isolations(), Suspects: g.tracker.Suspects(g.Now())}
}
