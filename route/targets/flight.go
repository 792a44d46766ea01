package targets

import (
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/reroute"
)

// notice is a request that must be told that a replica of its path is lost.
type notice struct {
	tell    func(replica string)
	replica string
}

func tell(notices []notice) {
	for _, n := range notices {
		go n.tell(n.replica)
	}
}

// tellPause is between two requests that are led away from a replica that leaves: the
// replicas that take them read their prompts, some milliseconds each, between the
// steps of all others.
const tellPause = 15 * time.Millisecond

func tellSlowly(notices []notice) {
	if len(notices) == 0 {
		return
	}
	go func() {
		for _, n := range notices {
			n.tell(n.replica)
			time.Sleep(tellPause)
		}
	}()
}

// leaving lists the requests that run through a replica which may end, or give up the
// layers, before they do, each once. One that the list no longer holds has left without
// a word and serves on for a while, as one that says so does; if it died instead, the
// silence of its streams tells sooner. The first part can't be replaced. The caller holds
// the lock.
func (m *Model) leaving() []notice {
	var list []notice
	for f := range m.flights {
		if f.leave == nil || f.told {
			continue
		}
		for _, part := range f.path[1:] {
			if !m.book.Known(part.Replica) || m.book.NeedsReroute(part.Replica, part.Layers) {
				f.told = true
				list = append(list, notice{f.leave, part.Replica})
				break
			}
		}
	}
	return list
}

// through lists the requests that run through a replica. The caller holds the lock.
func (m *Model) through(replica string) []notice {
	var list []notice
	for f := range m.flights {
		if f.lost != nil && f.passes(replica) {
			list = append(list, notice{f.lost, replica})
		}
	}
	return list
}

func (f *Flight) passes(replica string) bool {
	for _, part := range f.path {
		if part.Replica == replica {
			return true
		}
	}
	return false
}

// Watch sets what is called, in a goroutine of its own, when a replica of the path
// turns out to be lost, and when one is about to leave. Each may be called more than
// once.
func (f *Flight) Watch(lost, leave func(replica string)) {
	f.model.mu.Lock()
	defer f.model.mu.Unlock()
	f.lost, f.leave = lost, leave
}

// FirstLost says whether the replica that was handed the request is suspected, and
// whether its machine does not answer either.
func (f *Flight) FirstLost() (suspected, silent bool) {
	f.model.mu.Lock()
	defer f.model.mu.Unlock()
	first := f.path[0].Replica
	return f.model.book.Suspected(first), f.model.book.HostUnreachable(first)
}

// Others says which replicas may be handed a request that is underway.
type Others struct {
	// Exclude names replicas that failed it.
	Exclude []string
	// FirstOf, if not empty, names the only ones that may.
	FirstOf []string
}

// Elsewhere books a path for the request that begins at another first replica, if it
// could go on there now. The target needs one Ended.
func (f *Flight) Elsewhere(o Others) (Target, bool) {
	m := f.model
	m.mu.Lock()
	defer m.mu.Unlock()
	path := f.elsewhere(m.now(), o)
	if path == nil {
		return Target{}, false
	}
	return m.begin(path, f.tokens), true
}

// elsewhere is a path that begins at another first replica, or nil. The caller holds
// the lock.
func (f *Flight) elsewhere(now time.Time, o Others) paths.Path {
	m := f.model
	whole := layers.Span{To: m.layers}
	path, reason := m.book.Choose(now, paths.Query{
		Domain: m.domain, Layers: whole, Tokens: f.tokens,
		Exclude: append(slices.Clone(o.Exclude), f.path[0].Replica), FirstReplicas: o.FirstOf,
	})
	if reason != paths.Found || !path.Covers(whole) {
		return nil
	}
	return path
}

// GoOn chooses how the request goes on after a part of its path was lost: around it,
// along the path, or at another first replica, for which the target is booked and needs
// one Ended. elsewhere says whether another may go on with it, free up to which wait it
// is on time.
func (f *Flight) GoOn(elsewhere bool, free time.Duration, o Others) (reroute.Action, paths.Path, Target) {
	m := f.model
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	around := f.around(now)
	load := f.load(around)
	load.MaxWait, load.BypassPrefill = free, m.book.PrefillWait(now, around, f.path, f.tokens, m.part.Near)
	var other paths.Path
	if elsewhere {
		other = f.elsewhere(now, o)
		load.MigratePrefill = m.book.PrefillWait(now, other, nil, f.tokens, m.part.Near)
	}
	way := m.links.Decide(now, around != nil, load, other != nil && other.Crossings() == 0)
	// Noted now and not once the order is taken: those that lose their part together decide
	// together.
	switch way {
	case reroute.Migrate:
		m.book.AddPrefill(now, other, nil, f.tokens, m.part.Near)
		return way, nil, m.begin(other, f.tokens)
	case reroute.Bypass:
		m.book.AddPrefill(now, around, f.path, f.tokens, m.part.Near)
		if load.Bytes > 0 {
			m.links.AddTransfer(now, load)
		}
	}
	return way, around, Target{}
}

// load is what a way around sends over the links between failure domains. The caller
// holds the lock.
func (f *Flight) load(around paths.Path) reroute.Estimate {
	m := f.model
	added := max(0, around.Crossings()-f.path.Crossings())
	return reroute.Estimate{
		Bytes: float64(added) * f.tokens * m.crossBytes, BytesPerSecond: m.crossPerSecond, Nodes: m.part.Near,
	}
}

// StillLeaving notes that no way was found around a part that leaves: the next list
// asks again.
func (f *Flight) StillLeaving() {
	f.model.mu.Lock()
	defer f.model.mu.Unlock()
	f.told = false
}

// Heard notes that an event of the request has come: all parts of its path live.
func (f *Flight) Heard() { f.heard.Store(max(1, int64(f.model.now().Sub(f.model.begun)))) }

// Unheard returns the parts of the path through which no other request has had an event
// within some time.
func (f *Flight) Unheard(within time.Duration) paths.Path {
	m := f.model
	m.mu.Lock()
	defer m.mu.Unlock()
	since := m.now().Sub(m.begun) - within
	living := map[string]bool{}
	for other := range m.flights {
		if at := time.Duration(other.heard.Load()); at == 0 || at < since || other == f {
			continue
		}
		for _, part := range other.path {
			living[part.Replica] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(f.path), func(p paths.Stage) bool { return living[p.Replica] })
}

// Path is the path that the request runs along now.
func (f *Flight) Path() paths.Path {
	f.model.mu.Lock()
	defer f.model.mu.Unlock()
	return f.path
}

// Away chooses a path around a part that leaves, which has time: one that crosses
// failure domains more often than the present one only while the links are idle. It
// returns nil if there is none now.
func (f *Flight) Away() paths.Path {
	m := f.model
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	path := f.around(now)
	if path == nil || !m.links.Idle(now, f.load(path)) {
		return nil
	}
	m.links.AddTransfer(now, f.load(path))
	return path
}

// around is a path that begins as the present one does and avoids what can't be used,
// or nil. The caller holds the lock.
func (f *Flight) around(now time.Time) paths.Path {
	m := f.model
	first := f.path[0]
	if first.Layers.To == m.layers {
		return nil
	}
	rest, reason := m.book.Choose(now, paths.Query{
		Domain: first.Domain, Layers: layers.Span{From: first.Layers.To, To: m.layers},
		Tokens: f.tokens, Exclude: []string{first.Replica},
	})
	if reason != paths.Found {
		return nil
	}
	path := append(paths.Path{first}, rest...)
	if !path.Covers(layers.Span{To: m.layers}) {
		return nil
	}
	return path
}

// Moved notes that the request now runs along another path.
func (f *Flight) Moved(path paths.Path) {
	m := f.model
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, underway := m.flights[f]; !underway {
		return
	}
	m.book.Release(f.path, f.tokens)
	m.book.Reserve(path, f.tokens)
	f.path, f.told = path, false
	f.heard.Store(0)
}

// Suspect notes that a replica looks dead, silent that its machine does not answer
// either. It says whether that is new.
func (f *Flight) Suspect(replica string, silent bool) bool { return f.model.Suspect(replica, silent) }

// SlowestPace is the pace of the path's slowest replica, 1 for one as fast as its kind.
func (f *Flight) SlowestPace() float64 {
	m := f.model
	m.mu.Lock()
	defer m.mu.Unlock()
	slowest := 1.0
	for _, part := range f.path {
		slowest = max(slowest, m.book.Slowdown(part.Replica))
	}
	return slowest
}

// SetPace notes a replica's pace. It says whether that is news.
func (f *Flight) SetPace(replica string, pace float64) bool { return f.model.SetPace(replica, pace) }

// Refused notes an order to go around that was not taken.
func (f *Flight) Refused(path paths.Path, fault string) { f.model.Refused(path, fault) }
