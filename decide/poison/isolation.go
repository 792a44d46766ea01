package poison

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// maxTrials bounds the requests that are sent to find out whether an isolated part still
	// crashes replicas, for one version of their software.
	maxTrials = 2
	// MaxIsolated bounds the parts that are isolated at a time.
	MaxIsolated = 64
)

// trialAfter is the time from the isolation to the first trial, and from that to the next.
var trialAfter = [maxTrials]time.Duration{10 * time.Minute, 2 * time.Hour}

// isolation is an Isolation as this node knows it.
type isolation struct {
	Isolation
	// since is when this node learned of the present revision.
	since time.Time
}

// Isolate isolates the parts that the evidence is sufficient for, and returns the new isolations.
func (t *Tracker) Isolate(now time.Time) []Isolation {
	t.forget(now)
	var list []Isolation
	for _, p := range t.toIsolate(now) {
		evidence := t.exposures(p)
		if t.isolated[p] != nil || len(t.isolated) >= MaxIsolated || t.judge(now, p, evidence) != Isolated || !t.settled(now, p, evidence) {
			continue
		}
		if t.held(now, p) {
			t.explain(p)
		}
		i := Isolation{Part: p}
		for _, c := range evidence {
			i.Crashes = append(i.Crashes, Process{c.process.Replica, max(0, c.process.Incarnation)})
			if c.version != "" && !slices.Contains(i.Versions, c.version) {
				i.Versions = append(i.Versions, c.version)
			}
		}
		t.isolated[p] = &isolation{Isolation: i, since: now}
		list = append(list, i)
	}
	return list
}

// toIsolate returns the parts that may be isolated now. Those that are held back come first, as they may
// explain the crashes that count against the others.
func (t *Tracker) toIsolate(now time.Time) []Part {
	var held, others []Part
	for p, crashes := range t.suspects {
		switch {
		case len(crashes) < isolateAfter || t.judge(now, p, t.exposures(p)) != Isolated:
		case t.held(now, p):
			held = append(held, p)
		default:
			others = append(others, p)
		}
	}
	return append(held, others...)
}

// settled reports whether the evidence against a part is not going to be refuted.
func (t *Tracker) settled(now time.Time, p Part, evidence []*crash) bool {
	mayBeRefuted := slices.ContainsFunc(evidence, func(c *crash) bool { return !t.countsStrongly(c, p) })
	return !mayBeRefuted || now.Sub(evidence[len(evidence)-1].at) >= settleAfter
}

// SetStored records the isolations that the store holds. An isolation that was stored and no
// longer is has been lifted.
func (t *Tracker) SetStored(now time.Time, stored []Isolation) (lifted []Part) {
	held := map[Part]bool{}
	for _, s := range stored {
		held[s.Part] = true
		t.Update(now, s)
	}
	for p, i := range t.isolated {
		if i.Revision > 0 && !held[p] {
			lifted = append(lifted, p)
		}
	}
	for _, p := range lifted {
		t.Lift(now, p)
	}
	return lifted
}

// Update records an isolation as it is stored now. A read of the store that is older than what is
// known changes nothing.
func (t *Tracker) Update(now time.Time, stored Isolation) {
	known := t.isolated[stored.Part]
	if known == nil && t.wasAtLastCrashes(now, stored.Part) {
		t.explain(stored.Part)
	}
	if known == nil || known.Revision < stored.Revision {
		t.isolated[stored.Part] = &isolation{Isolation: stored, since: now}
	}
}

// Lift ends the isolation of a part. The crashes until now no longer count against it.
func (t *Tracker) Lift(now time.Time, p Part) {
	delete(t.isolated, p)
	delete(t.suspects, p)
	t.lifted[p] = now
}

// Isolations returns the isolated parts, ordered by service and ID.
func (t *Tracker) Isolations() []Isolation {
	var list []Isolation
	for _, i := range t.isolated {
		list = append(list, i.Isolation)
	}
	slices.SortFunc(list, func(a, b Isolation) int {
		return cmp.Or(strings.Compare(a.Part.Service, b.Part.Service), strings.Compare(a.Part.ID, b.Part.ID))
	})
	return list
}

// Unstored reports whether there are isolations that the store does not hold.
func (t *Tracker) Unstored() bool {
	for _, i := range t.isolated {
		if i.Revision == 0 {
			return true
		}
	}
	return false
}

// Find returns the isolation of a part.
func (t *Tracker) Find(p Part) (Isolation, bool) {
	if i := t.isolated[p]; i != nil {
		return i.Isolation, true
	}
	return Isolation{}, false
}

// Suspects returns the parts that are suspect or held back now, with the crashes that count against each.
func (t *Tracker) Suspects(now time.Time) map[Part]int {
	counts := map[Part]int{}
	for p := range t.suspects {
		if v := t.Verdict(now, p); v == Suspect || v == Held {
			counts[p] = len(t.exposures(p))
		}
	}
	return counts
}

// TrialDue reports whether one request with an isolated part may be sent to find out whether it
// still crashes replicas, and returns the isolation as it must be stored before the request is
// sent. versions are the versions of the software of all replicas of the service. delay, the same
// at each call by this node and different at others, spreads the tries to store it.
//
// If no replica has a version that has crashed, one request is sent at once. Otherwise maxTrials
// are sent in all, because replicas whose software is the same crash as before.
func (t *Tracker) TrialDue(now time.Time, p Part, versions []string, delay time.Duration) (Isolation, bool) {
	i := t.isolated[p]
	if i == nil || i.Revision == 0 {
		return Isolation{}, false
	}
	next := i.Isolation
	if next.Trials < 0 || next.Trials == math.MaxInt {
		return Isolation{}, false // no node counts so
	}
	next.Trials++
	if t.isNewVersion(i, versions) {
		next.Versions = append(slices.Clone(i.Versions), versions...)
		return next, true
	}
	if i.Trials >= maxTrials || now.Sub(i.since) < trialAfter[i.Trials]+delay {
		return Isolation{}, false
	}
	return next, true
}

// isNewVersion reports whether the software of all replicas has changed since the crashes.
func (t *Tracker) isNewVersion(i *isolation, versions []string) bool {
	if len(i.Versions) == 0 || len(versions) == 0 {
		return false
	}
	return !slices.ContainsFunc(versions, func(v string) bool { return v == "" || slices.Contains(i.Versions, v) })
}
