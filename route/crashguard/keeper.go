package crashguard

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/poison"
)

// Store keeps isolations for all nodes.
type Store interface {
	// Put stores an isolation in place of its revision, or as a new one if that is 0, and returns
	// the new revision. It fails with an error that is ErrChanged if another has changed it.
	Put(ctx context.Context, i poison.Isolation) (int64, error)
	// Remove removes an isolation; it fails with ErrChanged if its revision is not the present one.
	Remove(ctx context.Context, i poison.Isolation) error
}

// ErrChanged means that an isolation was changed by another node or by an operator.
var ErrChanged = errors.New("the isolation has changed meanwhile")

const (
	// storeTimeout bounds a call of the store. A caller waits for the claim of a trial.
	storeTimeout = 500 * time.Millisecond
	// retryStoreAfter is the time between two calls about one part.
	retryStoreAfter = 2 * time.Second
	// trialSpread is the longest additional delay of a trial at a node: not all nodes try to
	// claim a trial at the same moment.
	trialSpread = time.Minute
)

// keeper stores the isolations that this node has decided on, lifts isolations and claims trials.
type keeper struct {
	guard *Guard

	mu sync.Mutex
	// calledAt is when the store was last called about a part.
	calledAt map[poison.Part]time.Time
}

func newKeeper(g *Guard) *keeper { return &keeper{guard: g, calledAt: map[poison.Part]time.Time{}} }

// mayCall reports whether the store may be called about a part now, and records that it is.
func (k *keeper) mayCall(p poison.Part) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.guard.Now()
	if at, ok := k.calledAt[p]; ok && now.Sub(at) < retryStoreAfter {
		return false
	}
	if len(k.calledAt) > 2*poison.MaxIsolated {
		clear(k.calledAt)
	}
	k.calledAt[p] = now
	return true
}

// SetStored records the isolations that the store holds.
func (g *Guard) SetStored(stored []poison.Isolation) {
	g.mu.Lock()
	lifted := g.tracker.SetStored(g.Now(), stored)
	g.mu.Unlock()
	for _, p := range lifted {
		g.Log.Info("isolation lifted", "service", p.Service, "part", p.ID)
	}
}

// StoreNew stores the isolations that the store does not hold yet. Each node may call it; the
// first one of them stores an isolation.
func (g *Guard) StoreNew(ctx context.Context) {
	if g.Store == nil {
		return
	}
	g.mu.Lock()
	list := g.tracker.Isolations()
	g.mu.Unlock()
	for _, i := range list {
		if i.Revision > 0 || !g.isolations.mayCall(i.Part) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := g.Store.Put(ctx, i)
		cancel()
		switch {
		case errors.Is(err, ErrChanged): // another node has stored it
		case err != nil:
			g.Log.Warn("isolation not stored", "service", i.Part.Service, "part", i.Part.ID, "error", err)
		default:
			g.Log.Info("isolation stored", "service", i.Part.Service, "part", i.Part.ID)
		}
	}
}

// Unstored reports whether there are isolations that the store does not hold yet. It first isolates
// the parts against which the evidence of the last crashes has settled.
func (g *Guard) Unstored() bool {
	if g.heardOfCrashes() {
		g.isolate()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Unstored()
}

// find returns the isolation of a part.
func (g *Guard) find(p poison.Part) (poison.Isolation, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Find(p)
}

// ErrNotIsolated means that a part is not isolated.
var ErrNotIsolated = errors.New("the part is not isolated")

// Lift ends the isolation of a part, at all nodes.
func (g *Guard) Lift(ctx context.Context, p poison.Part) error {
	i, ok := g.find(p)
	if !ok {
		return ErrNotIsolated
	}
	if i.Revision > 0 && g.Store != nil {
		if err := g.Store.Remove(ctx, i); err != nil {
			return Error.Wrap(err)
		}
	}
	g.mu.Lock()
	g.tracker.Lift(g.Now(), p)
	g.mu.Unlock()
	g.Log.Info("isolation lifted", "service", p.Service, "part", p.ID)
	return nil
}

// lift ends an isolation in the background, because a request with the part was answered.
func (k *keeper) lift(p poison.Part) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := k.guard.Lift(ctx, p); err != nil && !errors.Is(err, ErrNotIsolated) {
			k.guard.Log.Warn("isolation not lifted", "service", p.Service, "part", p.ID, "error", err)
		}
	}()
}

// due returns the isolation to store before a trial, if one is due.
func (k *keeper) due(p poison.Part) (poison.Isolation, bool) {
	g := k.guard
	if g.Store == nil {
		return poison.Isolation{}, false
	}
	var versions []string
	if g.Versions != nil {
		versions = g.Versions(p.Service)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.TrialDue(g.Now(), p, versions, time.Duration(g.Seed%uint64(trialSpread)))
}

// trialDue reports whether a request with an isolated part may ask for a trial.
func (k *keeper) trialDue(p poison.Part) bool {
	_, due := k.due(p)
	return due
}

// claimTrial claims the trial of an isolated part for one request of all nodes. It reports whether
// the request may be sent.
func (k *keeper) claimTrial(ctx context.Context, p poison.Part, request string) bool {
	next, due := k.due(p)
	if !due || !k.mayCall(p) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := k.guard.Store.Put(ctx, next)
	if err != nil {
		if !errors.Is(err, ErrChanged) {
			k.guard.Log.Warn("trial not claimed", "service", p.Service, "part", p.ID, "error", err)
		}
		return false
	}
	next.Revision = revision
	k.guard.mu.Lock()
	k.guard.tracker.Update(k.guard.Now(), next)
	k.guard.mu.Unlock()
	k.guard.Log.Warn("isolated part is tried", "service", p.Service, "part", p.ID, "request", request, "trials", next.Trials)
	return true
}
