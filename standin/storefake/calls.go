package storefake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/keep/store"
	"github.com/cicadatack/cicadatack/keep/store/storetest"
)

const codeInvalid = 3

func (s *Server) rangeKeys(w http.ResponseWriter, r *http.Request) {
	var request store.RangeRequest
	if !decode(w, r, &request) {
		return
	}
	kvs, revision, more := s.changedIn(request)
	response := store.RangeResponse{
		Header: store.Header{Revision: revision},
		More:   more,
		Count:  int64(len(kvs)),
	}
	for _, kv := range kvs {
		if request.KeysOnly {
			kv.Value = nil
		}
		response.KVs = append(response.KVs, keyValue(kv))
	}
	answer(w, response)
}

// changedIn applies the limit last: it counts the entries that are returned.
func (s *Server) changedIn(request store.RangeRequest) (kvs []storetest.KV, revision int64, more bool) {
	key, end, limit := string(request.Key), string(request.RangeEnd), int(request.Limit)
	if request.MinModRevision == 0 {
		return s.memory.Range(key, end, limit)
	}
	all, revision, _ := s.memory.Range(key, end, 0)
	for _, kv := range all {
		if kv.ModRevision >= request.MinModRevision {
			kvs = append(kvs, kv)
		}
	}
	if limit > 0 && len(kvs) > limit {
		return kvs[:limit], revision, true
	}
	return kvs, revision, false
}

func (s *Server) txn(w http.ResponseWriter, r *http.Request) {
	var request store.TxnRequest
	if !decode(w, r, &request) {
		return
	}
	compares, err := comparesOf(request.Compare)
	if err != nil {
		fail(w, http.StatusBadRequest, codeInvalid, err.Error())
		return
	}
	writes, err := writesOf(request.Success)
	if err != nil {
		fail(w, http.StatusBadRequest, codeInvalid, err.Error())
		return
	}
	ok, revision, err := s.memory.Txn(compares, writes)
	if err != nil {
		fail(w, http.StatusNotFound, store.CodeNotFound, err.Error())
		return
	}
	answer(w, store.TxnResponse{Header: store.Header{Revision: revision}, Succeeded: ok})
}

func comparesOf(requested []store.Compare) ([]storetest.Compare, error) {
	var compares []storetest.Compare
	for _, c := range requested {
		if c.Target != store.TargetMod || c.Result != store.ResultEqual {
			return nil, fmt.Errorf("only %s %s is compared here", store.TargetMod, store.ResultEqual)
		}
		compares = append(compares, storetest.Compare{Key: string(c.Key), ModRevision: c.ModRevision})
	}
	return compares, nil
}

func writesOf(requested []store.RequestOp) ([]storetest.Write, error) {
	var writes []storetest.Write
	for _, op := range requested {
		switch {
		case op.Put != nil && len(op.Put.Value) > store.MaxValueBytes:
			return nil, fmt.Errorf("value of %d bytes is too large", len(op.Put.Value))
		case op.Put != nil:
			writes = append(writes, storetest.Write{
				Key:   string(op.Put.Key),
				Value: op.Put.Value,
				Lease: op.Put.Lease,
			})
		case op.Delete != nil:
			writes = append(writes, storetest.Write{Key: string(op.Delete.Key), Delete: true})
		default:
			return nil, fmt.Errorf("only puts and removals are known here")
		}
	}
	return writes, nil
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var request store.LeaseRequest
	if !decode(w, r, &request) {
		return
	}
	id := s.memory.Grant(time.Duration(request.TTL) * time.Second)
	answer(w, store.LeaseResponse{ID: id, TTL: request.TTL})
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	var request store.LeaseRequest
	if !decode(w, r, &request) {
		return
	}
	ttl := s.memory.KeepAlive(request.ID)
	result := store.LeaseResponse{ID: request.ID, TTL: int64(ttl / time.Second)}
	answer(w, store.KeepAliveResponse{Result: result})
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	var request store.LeaseRequest
	if !decode(w, r, &request) {
		return
	}
	if !s.memory.Revoke(request.ID) {
		fail(w, http.StatusNotFound, store.CodeNotFound, "requested lease not found")
		return
	}
	answer(w, store.LeaseResponse{})
}

// watch streams changes until the caller leaves or an outage begins.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var request store.WatchRequest
	if !decode(w, r, &request) {
		return
	}
	s.countWatch(1)
	defer s.countWatch(-1)
	key, end := string(request.Create.Key), string(request.Create.RangeEnd)
	seen := request.Create.StartRevision - 1
	if seen < 0 {
		_, seen, _ = s.memory.Range(key, "", 0)
	}
	stream := json.NewEncoder(w)
	flush(w, stream, store.WatchResult{Created: true})
	for {
		changes, head, next, ok := s.memory.Since(key, end, seen)
		if !ok {
			flush(w, stream, store.WatchResult{Canceled: true, CompactRevision: head})
			return
		}
		if len(changes) > 0 {
			flush(w, stream, watchResult(changes, head))
		}
		seen = head
		if !s.await(r, next) {
			cut()
		}
	}
}

// await waits for the next change; false if the watch has to end.
func (s *Server) await(r *http.Request, next <-chan struct{}) bool {
	for {
		s.mu.Lock()
		faults, lifted := s.faults, s.lifted
		s.mu.Unlock()
		if faults.Outage {
			return false
		}
		ready := next
		if faults.Freeze {
			ready = nil
		}
		select {
		case <-ready:
			return true
		case <-lifted:
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *Server) countWatch(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches += n
}

func flush(w http.ResponseWriter, stream *json.Encoder, result store.WatchResult) {
	// A caller that has left is noticed by the wait for the next change.
	_ = stream.Encode(store.WatchResponse{Result: result})
	_ = http.NewResponseController(w).Flush()
}

func watchResult(changes []storetest.KV, head int64) store.WatchResult {
	result := store.WatchResult{Header: store.Header{Revision: head}}
	for _, kv := range changes {
		event := store.WatchEvent{KV: keyValue(kv)}
		if kv.Deleted {
			event.Type = store.TypeDelete
		}
		result.Events = append(result.Events, event)
	}
	return result
}

func keyValue(kv storetest.KV) store.KeyValue {
	return store.KeyValue{
		Key:            []byte(kv.Key),
		Value:          kv.Value,
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
		Version:        kv.Version,
		Lease:          kv.Lease,
	}
}
