package ledger

import (
	"cmp"
	"errors"
	"slices"
	"sort"

	"github.com/cicadatack/cicadatack/state/store"
)

// Orders that are done leave a shard for its archives.
//
// The load pattern that it answers: many orders of one team in the same hours.
// Each write of a shard carries the whole value, so its cost grows with every
// order of the day, and the value is full after some thousands. With the done
// orders moved out, the value that is written all the time holds little more
// than the orders underway, and a team has room for as many orders as archives.
//
// An archive is a value of its own that is written once and never changes. It
// is named by the revision of the shard that its orders were taken from. All
// that go into it are done orders of that revision, so two nodes that archive
// at the same moment write the same value under the same name, and a write
// whose reply was lost is checked by reading. What is moved is in the archive
// before the shard's own compare-and-swap takes it out and names the archive;
// claims look into the shard first, then into every archive that it names.
// spec/archives.pml is the model of it.

// archiveLimits are the sizes that decide when orders are archived. Tests use
// small ones.
type archiveLimits struct {
	// shardBytes is the size from which a shard's done orders are moved out, if
	// they are half of it or more.
	shardBytes int
	// archiveBytes is the largest archive.
	archiveBytes int
	// archives bounds how many archives a shard names.
	archives int
}

// defaultLimits of an archive. A node that becomes a
// shard's owner reads all its archives before its first claim, so they are few
// and large; 64 of them are some 900,000 orders of a shard.
var defaultLimits = archiveLimits{
	shardBytes:   128 << 10,
	archiveBytes: store.MaxValueBytes * 7 / 8,
	archives:     64,
}

// archiveRef names an archive in its shard. Past the retention of its newest
// order an archive is as good as empty and is not read any more.
type archiveRef struct {
	name     int64
	newestMs int64
}

// archive holds done orders, sorted by id. It keeps the stored form of each,
// some 90 bytes an order in all, where a decoded entry takes three times as much.
type archive struct {
	value   []byte
	entries [][]byte
}

// newArchive makes the archive of some entries.
func newArchive(entries []*entry) *archive {
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	a := &archive{value: appendStored(nil, entries, nil)}
	for _, e := range entries {
		a.entries = append(a.entries, e.raw)
	}
	return a
}

// decodeArchive reads a stored archive and checks every entry: one that could
// not be read later would pass for an order that was never placed.
func decodeArchive(value []byte) (*archive, error) {
	s, err := decodeStored(value)
	if err != nil {
		return nil, err
	}
	last := ""
	for _, raw := range s.entries {
		e, err := decodeEntry(raw)
		if err != nil {
			return nil, err
		}
		if e.ID <= last || e.ID != string(idOf(raw)) || e.Result == nil {
			return nil, badShard("an archive with an entry out of order or without result")
		}
		last = e.ID
	}
	return &archive{value: value, entries: s.entries}, nil
}

// get returns an order, or nil.
func (a *archive) get(id string) *entry {
	i := sort.Search(len(a.entries), func(i int) bool { return string(idOf(a.entries[i])) >= id })
	if i == len(a.entries) || string(idOf(a.entries[i])) != id {
		return nil
	}
	return a.entry(i)
}

func (a *archive) entry(i int) *entry {
	e, err := decodeEntry(a.entries[i])
	if err != nil {
		// Each was decoded when the archive was read, and does not change.
		panic(err)
	}
	return e
}

// roll is one move of done orders from a shard into an archive.
type roll struct {
	// from is the shard's revision, and the archive's name.
	from    int64
	ids     []string
	archive *archive
	// archives is the shard's list with the new archive in it.
	archives []archiveRef
}

// newRoll works a roll out of a shard as it stands at a revision. latest is the
// shard's last archive, if it has one: it is taken up into the new one while
// both fit one value, without its results' bodies if need be, so that a shard
// has few archives.
//
// The result depends on the revision alone and not on the clock, so that every
// node makes the same archive of it.
func newRoll(s *shard, revision int64, latest *archive, limits archiveLimits, retentionMs int64) *roll {
	r := &roll{from: revision, archives: slices.Clone(s.archives)}
	var done []*entry
	newest := int64(0)
	for _, e := range s.entries {
		if e.Result != nil {
			done = append(done, e)
			r.ids = append(r.ids, e.ID)
			newest = max(newest, e.ClaimedMs)
		}
	}
	if latest != nil {
		r.archive = latest.with(done, newest-retentionMs, limits.archiveBytes)
	}
	if r.archive != nil {
		newest = max(newest, r.archives[len(r.archives)-1].newestMs)
		r.archives = r.archives[:len(r.archives)-1]
	} else {
		r.archive = newArchive(done)
	}
	r.archives = append(r.archives, archiveRef{name: revision, newestMs: newest})
	return r
}

// with returns an archive of this one's orders that are not older than a time,
// and of more; nil if they do not fit.
func (a *archive) with(more []*entry, oldestMs int64, limit int) *archive {
	added := map[string]bool{}
	bytes := 0
	for _, e := range more {
		added[e.ID] = true
		bytes += e.storedBytes()
	}
	var kept, bare []*entry
	keptBytes, bareBytes := bytes, bytes
	for i := range a.entries {
		e := a.entry(i)
		if added[e.ID] || e.ClaimedMs < oldestMs {
			continue
		}
		kept = append(kept, e)
		keptBytes += e.storedBytes()
		if len(e.Result.Body) > 0 {
			e = e.withoutBody()
		}
		bare = append(bare, e)
		bareBytes += e.storedBytes()
	}
	switch {
	case keptBytes <= limit:
		return newArchive(append(kept, more...))
	case bareBytes <= limit:
		return newArchive(append(bare, more...))
	}
	return nil
}

// archived returns an order from the archives that the pending change names,
// unless it is past its retention.
//
// Archives that are not read yet are left out: then the shard itself has, or had
// until this flight, an entry of each of the flight's orders, and a claim gets one
// there only if no archive has the order.
func (m *machine) archived(id string, oldestMs int64) *entry {
	for _, ref := range slices.Backward(m.pending.archives) {
		if ref.newestMs < oldestMs || m.archives[ref.name] == nil {
			continue
		}
		if e := m.archives[ref.name].get(id); e != nil && e.ClaimedMs >= oldestMs {
			return e
		}
	}
	return nil
}

// archiveStep returns what has to be done about archives before the flight can
// be decided on: read one, or write one.
func (m *machine) archiveStep(oldestMs int64) (step, bool) {
	if m.needsArchives(oldestMs) {
		for _, ref := range m.state.archives {
			if ref.newestMs >= oldestMs && m.archives[ref.name] == nil {
				return step{kind: stepLoad, archive: ref.name}, true
			}
		}
	}
	if m.rolling != nil {
		// Its write got no reply, or found the name taken.
		return step{kind: stepLoad, archive: m.rolling.from}, true
	}
	if !m.wantsRoll() {
		return step{}, false
	}
	var latest *archive
	if n := len(m.state.archives); n > 0 {
		ref := m.state.archives[n-1]
		if latest = m.archives[ref.name]; latest == nil {
			return step{kind: stepLoad, archive: ref.name}, true
		}
	}
	m.rollTried = true
	next := newRoll(m.state, m.revision, latest, m.limits, m.retention.Milliseconds())
	if len(next.archives) > m.limits.archives {
		return step{}, false
	}
	m.rolling = next
	return step{kind: stepArchive, archive: next.from, value: next.archive.value}, true
}

// needsArchives says whether an operation of the flight is about an order that
// is not in the shard itself.
func (m *machine) needsArchives(oldestMs int64) bool {
	for _, op := range m.flight {
		if e := m.state.index[op.id]; e == nil || e.ClaimedMs < oldestMs {
			return true
		}
	}
	return false
}

func (m *machine) wantsRoll() bool {
	if m.rollTried || m.roll != nil || m.state.bytes < m.limits.shardBytes {
		return false
	}
	done := 0
	for _, e := range m.state.entries {
		if e.Result != nil {
			done += e.storedBytes()
		}
	}
	return 2*done >= m.limits.shardBytes
}

// onArchive takes the reply to the write of an archive.
func (m *machine) onArchive(err error) {
	switch {
	case err == nil:
		m.rolled()
	case errors.Is(err, store.ErrUnknown), errors.Is(err, store.ErrConflict):
		// Reading it tells.
	default:
		m.rolling = nil
	}
}

// rolled notes that the archive stands in the store. The shard's next write
// moves the orders.
func (m *machine) rolled() {
	m.roll = m.rolling
	m.rolling = nil
	m.archives[m.roll.from] = m.roll.archive
}

// onLoad takes an archive as read.
func (m *machine) onLoad(name int64, found store.Entry, err error) []settled {
	if err != nil {
		return m.refuse(unavailable(err))
	}
	if m.rolling != nil && m.rolling.from == name {
		m.settleRoll(found)
		return nil
	}
	if found.Revision == 0 {
		return m.missing(name)
	}
	loaded, err := decodeArchive(found.Value)
	if err != nil {
		return m.refuse(err)
	}
	m.archives[name] = loaded
	return nil
}

// settleRoll compares what stands under the archive's name with what was to be
// written there. Another value is left alone, and so is the shard.
func (m *machine) settleRoll(found store.Entry) {
	if slices.Equal(found.Value, m.rolling.archive.value) {
		m.rolled()
		return
	}
	m.orphans = append(m.orphans, m.rolling.from)
	m.rolling = nil
}

// missing is an archive that the shard names and the store does not have.
// Another node has taken it up into a newer one and removed it: the shard as
// known here is old, and is read again. If the shard as it stands names it, its
// orders are lost, and nobody may claim: one of them could be placed twice.
func (m *machine) missing(name int64) []settled {
	if m.lost == name && m.lostAt == m.revision {
		return m.refuse(badShard("archive %d is missing", name))
	}
	m.lost, m.lostAt = name, m.revision
	m.known = false
	return nil
}

// sweep notes archives that nothing names any more. The shard has moved past
// the revisions at which a write could name them: it would compare one of those.
func (m *machine) sweep(before []archiveRef) {
	named := map[int64]bool{}
	for _, ref := range m.state.archives {
		named[ref.name] = true
	}
	for _, ref := range before {
		if !named[ref.name] {
			m.garbage = append(m.garbage, ref.name)
		}
	}
	if m.roll != nil && m.roll.from < m.revision {
		m.orphans = append(m.orphans, m.roll.from)
		m.roll = nil
	}
	m.orphans = slices.DeleteFunc(m.orphans, func(name int64) bool {
		if name < m.revision && !named[name] {
			m.garbage = append(m.garbage, name)
		}
		return name < m.revision
	})
	for name := range m.archives {
		if !named[name] && (m.roll == nil || m.roll.from != name) {
			delete(m.archives, name)
		}
	}
}

// forget drops archives from memory; the next claim reads them again.
func (m *machine) forget() {
	if m.busy() || m.roll != nil {
		return
	}
	clear(m.archives)
}

// takeGarbage returns the archives to be removed from the store.
func (m *machine) takeGarbage() []int64 {
	garbage := m.garbage
	m.garbage = nil
	return garbage
}
