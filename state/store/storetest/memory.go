// Package storetest is an in-memory stand-in of the platform's key-value
// service, for tests.
//
// A test that needs a store in its own process wraps it:
//
//	memory := storetest.NewMemory()
//	defer memory.Close()
//	client := storetest.NewClient(memory)
//	client.SetFault(func(call storetest.Call) storetest.Fault { ... })
//
// Tests that need the service over a network use standin/storefake, which
// speaks the JSON gateway over the same Memory.
package storetest

import (
	"sort"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this layer.
var Error = errs.Class("storetest")

// maxLogBytes bounds the changes kept for watches; older ones are compacted.
const maxLogBytes = 32 << 20

// KV is one key as last written. An empty Value with Deleted set stands for a
// removal in the log of changes.
type KV struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Version        int64
	Lease          int64
	Deleted        bool
}

// Compare holds if the key's last write had ModRevision; zero means that the
// key does not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Write is a put, or a removal if Delete is set.
type Write struct {
	Key    string
	Value  []byte
	Lease  int64
	Delete bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
}

// Memory holds keys, the log of changes and leases. Every change raises one
// revision for the whole store. It is safe for use by several goroutines.
type Memory struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]KV
	log       []KV
	logBytes  int
	compacted int64
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{}
}

// NewMemory returns an empty store at revision 1.
func NewMemory() *Memory {
	return &Memory{
		revision: 1,
		items:    map[string]KV{},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
	}
}

// Close stops the timers of all leases.
func (m *Memory) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.leases {
		l.timer.Stop()
	}
}

// Range returns the keys from key up to but without end, in order, and the
// store's revision. An empty end means the one key. At most limit keys are
// returned, unless limit is zero; more says that some were left out.
func (m *Memory) Range(key, end string, limit int) (kvs []KV, revision int64, more bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if end == "" {
		if kv, ok := m.items[key]; ok {
			kvs = append(kvs, kv)
		}
		return kvs, m.revision, false
	}
	for k, kv := range m.items {
		if inRange(k, key, end) {
			kvs = append(kvs, kv)
		}
	}
	sort.Slice(kvs, func(i, j int) bool { return kvs[i].Key < kvs[j].Key })
	if limit > 0 && len(kvs) > limit {
		return kvs[:limit], m.revision, true
	}
	return kvs, m.revision, false
}

// Txn applies the writes if every comparison holds and says whether it did. A
// put under a lease that is gone fails.
func (m *Memory) Txn(compares []Compare, writes []Write) (ok bool, revision int64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range compares {
		if m.items[c.Key].ModRevision != c.ModRevision {
			return false, m.revision, nil
		}
	}
	for _, w := range writes {
		if w.Lease != 0 && m.leases[w.Lease] == nil {
			return false, m.revision, Error.New("lease %d not found", w.Lease)
		}
	}
	m.apply(writes)
	return true, m.revision, nil
}

// Grant makes a lease that expires after ttl unless kept alive.
func (m *Memory) Grant(ttl time.Duration) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextLease++
	id := m.nextLease
	m.leases[id] = &lease{
		ttl:     ttl,
		expires: time.Now().Add(ttl),
		timer:   time.AfterFunc(ttl, func() { m.expire(id) }),
	}
	return id
}

// KeepAlive renews a lease and returns its term, or zero if it is gone.
func (m *Memory) KeepAlive(id int64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil {
		return 0
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return l.ttl
}

// Revoke ends a lease and removes its keys; it says whether the lease existed.
func (m *Memory) Revoke(id int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drop(id)
}

// Since returns the changes of the range after revision, the store's revision
// and a channel that is closed at the next change. ok is false if some of the
// changes asked for have been compacted.
func (m *Memory) Since(key, end string, revision int64) (changes []KV, head int64, next <-chan struct{}, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.compacted {
		return nil, m.compacted, nil, false
	}
	first := sort.Search(len(m.log), func(i int) bool { return m.log[i].ModRevision > revision })
	for _, kv := range m.log[first:] {
		if inRange(kv.Key, key, end) {
			changes = append(changes, kv)
		}
	}
	return changes, m.revision, m.changed, true
}

// Compact forgets all changes up to now, as the platform's service does from
// time to time.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log = nil
	m.logBytes = 0
	m.compacted = m.revision
}

// Leases returns how many leases are alive.
func (m *Memory) Leases() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.leases)
}

func inRange(k, key, end string) bool {
	switch end {
	case "":
		return k == key
	case "\x00":
		return k >= key
	}
	return k >= key && k < end
}

// apply makes the writes under one new revision.
func (m *Memory) apply(writes []Write) {
	if len(writes) == 0 {
		return
	}
	m.revision++
	for _, w := range writes {
		m.write(w)
	}
	m.trimLog()
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) write(w Write) {
	old, existed := m.items[w.Key]
	if w.Delete {
		if !existed {
			return
		}
		delete(m.items, w.Key)
		m.append(KV{Key: w.Key, ModRevision: m.revision, Deleted: true})
		return
	}
	kv := KV{
		Key:            w.Key,
		Value:          append([]byte(nil), w.Value...),
		CreateRevision: old.CreateRevision,
		ModRevision:    m.revision,
		Version:        old.Version + 1,
		Lease:          w.Lease,
	}
	if !existed {
		kv.CreateRevision = m.revision
	}
	m.items[w.Key] = kv
	m.append(kv)
}

func (m *Memory) append(kv KV) {
	m.log = append(m.log, kv)
	m.logBytes += len(kv.Key) + len(kv.Value)
}

func (m *Memory) trimLog() {
	for m.logBytes > maxLogBytes && len(m.log) > 1 {
		m.logBytes -= len(m.log[0].Key) + len(m.log[0].Value)
		m.compacted = m.log[0].ModRevision
		m.log = m.log[1:]
	}
}

// expire drops a lease unless it was renewed while the timer was firing.
func (m *Memory) expire(id int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil || time.Now().Before(l.expires) {
		return
	}
	m.drop(id)
}

func (m *Memory) drop(id int64) bool {
	l := m.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(m.leases, id)
	var writes []Write
	for k, kv := range m.items {
		if kv.Lease == id {
			writes = append(writes, Write{Key: k, Delete: true})
		}
	}
	m.apply(writes)
	return true
}
