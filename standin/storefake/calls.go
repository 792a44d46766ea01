package storefake

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// Paths of the store's calls.
const (
	PathKey      = "/kv-key"
	PathRange    = "/kv-range"
	PathWatch    = "/kv-watch"
	PathTxn      = "/kv-txn"
	PathLease    = "/kv-lease"
	PathKeep     = "/kv-keep"
	PathLeaseEnd = "/kv-lease-end"
)

// The bounds of one answer and one change.
const (
	pageItems  = 500
	pageBytes  = 1 << 20
	txnEntries = 32
	maxWait    = 30 * time.Second
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"rev"`
	Created  int64  `json:"createRev,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	AsOf     int64  `json:"asOf,omitempty"`
}

func itemOf(kv storetest.KV) item {
	return item{
		Key: kv.Key, Value: kv.Value, Revision: kv.ModRevision, Created: kv.CreateRevision,
		Lease: kv.Lease, Deleted: kv.Deleted,
	}
}

// viewKey is the key of a request's View.
type viewKey struct{}

// View returns what a caller sees of a value that it lists or watches.
type View func(key string, value []byte) []byte

// As returns a request whose caller sees values through a view.
func (v View) As(r *http.Request) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), viewKey{}, v))
}

// itemSeen is itemOf for the caller of a request.
func itemSeen(r *http.Request, kv storetest.KV) item {
	seen := itemOf(kv)
	if view, ok := r.Context().Value(viewKey{}).(View); ok && !kv.Deleted {
		seen.Value = view(kv.Key, kv.Value)
	}
	return seen
}

type page struct {
	Items []item `json:"items"`
	More  bool   `json:"truncated"`
	AsOf  int64  `json:"asOf"`
}

type changes struct {
	Events []item `json:"events"`
	AsOf   int64  `json:"asOf"`
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"rev"`
	} `json:"expected"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

type leaseBody struct {
	ID  int64 `json:"lease,omitempty"`
	TTL int64 `json:"ttlMs"`
}

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	kvs, revision, _ := s.memory.Range(r.URL.Query().Get("key"), "", 0)
	if len(kvs) == 0 {
		fail(w, http.StatusNotFound, "no such key")
		return
	}
	found := itemOf(kvs[0])
	found.AsOf = revision
	answer(w, found)
}

func (s *Server) rangeKeys(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	key := prefix
	if after := query.Get("after"); after != "" {
		key = after + "\x00"
	}
	kvs, revision, more := s.memory.Range(key, store.PrefixEnd(prefix), pageItems)
	answered := page{Items: []item{}, More: more, AsOf: revision}
	size := 0
	for _, kv := range kvs {
		if size += len(kv.Value); size > pageBytes && len(answered.Items) > 0 {
			answered.More = true
			break
		}
		answered.Items = append(answered.Items, itemSeen(r, kv))
	}
	answer(w, answered)
}

// txn makes a change under conditions, or answers with what they name.
func (s *Server) txn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if !decode(w, r, &t) {
		return
	}
	if len(t.Expected)+len(t.Writes)+len(t.Deletes) > txnEntries {
		fail(w, http.StatusBadRequest, "too many entries")
		return
	}
	var compares []storetest.Compare
	for _, e := range t.Expected {
		compares = append(compares, storetest.Compare{Key: e.Key, ModRevision: e.Revision})
	}
	var writes []storetest.Write
	for _, each := range t.Writes {
		if len(each.Value) > store.MaxValueBytes {
			fail(w, http.StatusBadRequest, fmt.Sprintf("value of %d bytes is too large", len(each.Value)))
			return
		}
		writes = append(writes, storetest.Write{Key: each.Key, Value: each.Value, Lease: each.Lease})
	}
	for _, key := range t.Deletes {
		writes = append(writes, storetest.Write{Key: key, Delete: true})
	}
	ok, revision, err := s.memory.Txn(compares, writes)
	switch {
	case err != nil:
		fail(w, http.StatusNotFound, err.Error())
	case !ok:
		s.conflict(w, t)
	default:
		answer(w, map[string]int64{"rev": revision})
	}
}

func (s *Server) conflict(w http.ResponseWriter, t transaction) {
	items := []item{}
	for _, e := range t.Expected {
		kvs, _, _ := s.memory.Range(e.Key, "", 0)
		for _, kv := range kvs {
			items = append(items, itemOf(kv))
		}
	}
	answerWith(w, http.StatusPreconditionFailed, map[string]any{"items": items})
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var request leaseBody
	if !decode(w, r, &request) {
		return
	}
	id := s.memory.Grant(time.Duration(request.TTL) * time.Millisecond)
	answer(w, leaseBody{ID: id, TTL: request.TTL})
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	ttl := s.memory.KeepAlive(leaseID(r))
	if ttl <= 0 {
		fail(w, http.StatusNotFound, "the lease has ended")
		return
	}
	answer(w, leaseBody{TTL: ttl.Milliseconds()})
}

func (s *Server) endLease(w http.ResponseWriter, r *http.Request) {
	if !s.memory.Revoke(leaseID(r)) {
		fail(w, http.StatusNotFound, "the lease has ended")
		return
	}
	answer(w, map[string]any{})
}

// leaseID is the last part of the path; zero names no lease.
func leaseID(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return id
}

// watch answers with the changes after a revision as soon as there are any, or with
// none once the wait is over.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err1 := strconv.ParseInt(query.Get("after"), 10, 64)
	millis, err2 := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	wait := time.Duration(millis) * time.Millisecond
	if err1 != nil || err2 != nil || wait < 0 || wait > maxWait {
		fail(w, http.StatusBadRequest, "after and waitMs must be whole numbers")
		return
	}
	s.countWatch(1)
	defer s.countWatch(-1)
	over := time.NewTimer(wait)
	defer over.Stop()
	prefix := query.Get("prefix")
	for {
		found, head, next, ok := s.memory.Since(prefix, store.PrefixEnd(prefix), after)
		if !ok {
			fail(w, http.StatusGone, "this history is no longer kept")
			return
		}
		if len(found) > 0 {
			answer(w, changes{Events: itemsSeen(r, found), AsOf: head})
			return
		}
		switch s.await(r, next, over.C) {
		case changed:
		case waited:
			answer(w, changes{Events: []item{}, AsOf: head})
			return
		default:
			cut()
		}
	}
}

func itemsSeen(r *http.Request, kvs []storetest.KV) []item {
	items := make([]item, 0, len(kvs))
	for _, kv := range kvs {
		items = append(items, itemSeen(r, kv))
	}
	return items
}

type awaited int

const (
	changed awaited = iota
	waited
	ended
)

// await waits for the next change, the end of the wait, or that of the store or the
// caller. A frozen store answers nothing.
func (s *Server) await(r *http.Request, next <-chan struct{}, over <-chan time.Time) awaited {
	for {
		s.mu.Lock()
		faults, lifted := s.faults, s.lifted
		s.mu.Unlock()
		if faults.Outage {
			return ended
		}
		ready, done := next, over
		if faults.Freeze {
			ready, done = nil, nil
		}
		select {
		case <-ready:
			return changed
		case <-done:
			return waited
		case <-lifted:
		case <-r.Context().Done():
			return ended
		}
	}
}

func (s *Server) countWatch(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches += n
}
