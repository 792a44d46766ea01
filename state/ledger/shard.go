package ledger

import (
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/state/store"
)

// claimLimit is the size from which a shard takes no more claims. The rest is
// kept for the results of those it holds: at the least size of an entry, a
// third of the value leaves more than a bare result needs for each.
const claimLimit = store.MaxValueBytes * 2 / 3

// resultLimit is the size from which results are kept without their bodies.
const resultLimit = store.MaxValueBytes * 7 / 8

// entry is one claim, with its result once there is one. Entries are never
// changed in place; a changed one replaces it.
type entry struct {
	ID          string
	Fingerprint string
	Attempt     string
	ClaimedMs   int64
	Result      *Result

	// raw is the stored form.
	raw []byte
}

// withoutBody returns the entry with its result's body dropped.
func (e *entry) withoutBody() *entry {
	bare := *e
	bare.Result = &Result{Status: e.Result.Status, Truncated: true}
	return bare.encoded()
}

// shard is the content of one store value: entries in the order of their
// claims, and the archives of orders that were moved out of it, the oldest first.
type shard struct {
	entries  []*entry
	index    map[string]*entry
	archives []archiveRef
	bytes    int
}

func newShard() *shard {
	return &shard{index: map[string]*entry{}}
}

// decodeShard reads a stored shard; an empty value is an empty shard.
func decodeShard(value []byte) (*shard, error) {
	s := newShard()
	if len(value) == 0 {
		return s, nil
	}
	stored, err := decodeStored(value)
	if err != nil {
		return nil, err
	}
	s.archives = stored.archives
	for _, raw := range stored.entries {
		e, err := decodeEntry(raw)
		if err != nil {
			return nil, err
		}
		if s.index[e.ID] != nil {
			return nil, badShard("an entry twice")
		}
		s.add(e)
	}
	return s, nil
}

func (s *shard) add(e *entry) {
	s.entries = append(s.entries, e)
	s.index[e.ID] = e
	s.bytes += e.storedBytes()
}

// change is what one write does to a shard: entries put by id, nil for
// removed ones. The shard itself stays as it is until the write has succeeded.
type change struct {
	base     *shard
	put      map[string]*entry
	added    []*entry
	archives []archiveRef
	bytes    int
	// dirty says that there is something to write.
	dirty bool
}

func newChange(base *shard) *change {
	return &change{base: base, put: map[string]*entry{}, archives: base.archives, bytes: base.bytes}
}

func (c *change) get(id string) *entry {
	if e, changed := c.put[id]; changed {
		return e
	}
	return c.base.index[id]
}

func (c *change) set(e *entry) {
	old := c.get(e.ID)
	if old != nil {
		c.bytes -= old.storedBytes()
	}
	c.bytes += e.storedBytes()
	if c.base.index[e.ID] == nil && old == nil {
		c.added = append(c.added, e)
	}
	c.put[e.ID] = e
	c.dirty = true
}

func (c *change) remove(id string) {
	old := c.get(id)
	if old == nil {
		return
	}
	c.bytes -= old.storedBytes()
	c.put[id] = nil
	c.dirty = true
}

// prune removes entries claimed before a time, and archives that hold no later
// ones. It comes before the change's
// own operations: a full shard then has room again, and what they put stays.
// It does not by itself call for a write.
func (c *change) prune(before int64) {
	for _, e := range c.base.entries {
		if e.ClaimedMs < before {
			c.remove(e.ID)
		}
	}
	c.archives = slices.DeleteFunc(slices.Clone(c.archives), func(ref archiveRef) bool { return ref.newestMs < before })
	c.dirty = false
}

// move takes out the orders that an archive holds, and names the archive.
func (c *change) move(r *roll) {
	for _, id := range r.ids {
		c.remove(id)
	}
	c.archives = r.archives
	c.dirty = true
}

// shed drops the oldest bodies until the shard is below claimLimit or none are
// left. A replay then says that the order was placed, without the answer's
// text; refusing new orders would be worse.
func (c *change) shed() {
	for _, e := range c.base.entries {
		if c.bytes < claimLimit {
			return
		}
		stands := c.get(e.ID)
		if stands == e && e.Result != nil && len(e.Result.Body) > 0 {
			c.set(e.withoutBody())
		}
	}
}

// commit returns the shard with the change made.
func (c *change) commit() *shard {
	next := newShard()
	next.archives = c.archives
	for _, e := range c.base.entries {
		if stands := c.get(e.ID); stands != nil {
			next.add(stands)
		}
	}
	for _, e := range c.added {
		if stands := c.put[e.ID]; stands != nil && next.index[e.ID] == nil {
			next.add(stands)
		}
	}
	return next
}

// encode returns the stored form. Entries are encoded once, when made.
func (s *shard) encode() []byte {
	value := make([]byte, 0, s.bytes+shardFrameBytes+len(s.archives)*refBytes)
	return appendStored(value, s.entries, s.archives)
}

// What a stored shard has besides its entries, at most.
const (
	shardFrameBytes = 16
	refBytes        = 32
)

func (e *entry) claimedAt() time.Time { return time.UnixMilli(e.ClaimedMs) }
