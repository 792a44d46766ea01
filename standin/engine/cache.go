package engine

import (
	"container/list"
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// maxEvents bounds the events kept for readers.
	maxEvents = 4096
)

// prefixCache is an LRU of prompt prefixes, in whole blocks, and the events
// that it publishes late and with gaps. Engine.mu guards it.
type prefixCache struct {
	instance string
	capacity int
	order    *list.List // of uint64, most recent first
	blocks   map[uint64]*list.Element
	lag      time.Duration
	loss     int
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event engineapi.CacheEvent
}

func newPrefixCache(capacity int, lag time.Duration, loss int) prefixCache {
	return prefixCache{
		instance: rand.Text(),
		capacity: capacity,
		order:    list.New(),
		blocks:   map[uint64]*list.Element{},
		lag:      lag,
		loss:     loss,
	}
}

func (c *prefixCache) used() float64 {
	return float64(c.order.Len()) / float64(c.capacity)
}

// store caches the prefixes of a prompt and returns how many of its words were
// there already.
func (c *prefixCache) store(messages []engineapi.Message) int {
	cached := 0
	hit := true
	for _, prefix := range engineapi.PrefixHashes(messages, c.capacity) {
		hit = c.touch(prefix) && hit
		if hit {
			cached += engineapi.PrefixBlock
		}
	}
	return cached
}

// touch makes prefix the most recent one and reports whether it was there.
func (c *prefixCache) touch(prefix uint64) bool {
	if element, ok := c.blocks[prefix]; ok {
		c.order.MoveToFront(element)
		return true
	}
	c.blocks[prefix] = c.order.PushFront(prefix)
	c.publish(prefix, true)
	if c.order.Len() > c.capacity {
		c.evictOldest()
	}
	return false
}

func (c *prefixCache) evictOldest() {
	oldest := c.order.Back()
	prefix := c.order.Remove(oldest).(uint64)
	delete(c.blocks, prefix)
	c.publish(prefix, false)
}

func (c *prefixCache) publish(prefix uint64, stored bool) {
	c.sequence++
	if c.loss > 0 && c.sequence%uint64(c.loss) == 0 {
		return
	}
	event := engineapi.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}
	c.events = append(c.events, timedEvent{at: time.Now(), event: event})
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxEvents/2:]...)
	}
}

// eventsAfter returns the events above sequence that are old enough to show.
func (c *prefixCache) eventsAfter(sequence uint64, now time.Time) []engineapi.CacheEvent {
	shown := []engineapi.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > sequence && now.Sub(e.at) >= c.lag {
			shown = append(shown, e.event)
		}
	}
	return shown
}

func (c *prefixCache) page(after uint64, now time.Time) engineapi.CachePage {
	page := engineapi.CachePage{Instance: c.instance, Last: min(after, c.sequence), Events: c.eventsAfter(after, now)}
	if n := len(page.Events); n > 0 {
		page.Last = page.Events[n-1].Sequence
	}
	return page
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	page := e.cache.page(after, time.Now())
	e.mu.Unlock()
	load := e.Load()
	page.Load = &load
	writeJSON(w, http.StatusOK, page)
}

// DropCache forgets every cached prefix and exported cache, as an engine that
// restarts does. It publishes no events but is another instance from now on: a
// router that does not look at that trusts its view too much.
func (e *Engine) DropCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.order.Init()
	clear(e.cache.blocks)
	e.cache.instance = rand.Text()
	clear(e.table.retained)
	clear(e.exports)
}
