package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"

	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/go-chi/chi/v5"
)

const (
	// maxExports bounds the exported caches that an engine keeps.
	maxExports   = 1024
	blobPath     = "/v1/kv/blob/"
	handleParts  = 2
	maxBlobBytes = 1 << 16
)

// exportedKV is what a handle stands for. The bytes themselves are left out;
// Config.ImportToken stands for the time to move them.
type exportedKV struct {
	Stream string `json:"stream"`
	Tokens int    `json:"tokens"`
}

// Export keeps the KV cache of a stream, here and on the later stages, and
// names it. The handle leads with the address to fetch it from.
func (e *Engine) Export(ctx context.Context, stream string) (engineapi.KVReply, error) {
	e.mu.Lock()
	s := e.newest(stream)
	e.mu.Unlock()
	if s == nil {
		return engineapi.KVReply{}, Error.Wrap(errUnknown)
	}
	if next, ok := s.next(); ok {
		// Each stage has the cache of its own layers only: an export is of
		// use only if all of them are there.
		if err := e.post(ctx, next, engineapi.PathExport, engineapi.KVRequest{Stream: stream}, nil); err != nil {
			return engineapi.KVReply{}, Error.Wrap(err)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	id := exportID(stream, s.epoch, s.tokens)
	if len(e.exports) >= maxExports {
		clear(e.exports)
	}
	e.exports[id] = exportedKV{Stream: stream, Tokens: s.tokens}
	return engineapi.KVReply{
		Handle: s.chain[s.index].Address + "/" + id,
		Tokens: s.tokens,
		Bytes:  int64(s.tokens) * e.cfg.KVTokenBytes,
	}, nil
}

// newest returns the session of a stream's last epoch, or the one that ended
// last. The caller holds mu.
func (e *Engine) newest(stream string) *session {
	epoch, ok := e.table.newest[stream]
	if !ok {
		return e.table.retained[stream]
	}
	return e.table.sessions[sessionKey{stream, epoch}]
}

func exportID(stream string, epoch uint32, tokens int) string {
	h := fnv.New64a()
	io.WriteString(h, stream)
	return fmt.Sprintf("%016x-%d-%d", h.Sum64(), epoch, tokens)
}

// coveredByImport fetches the cache that a request names and returns how many
// tokens it covers: none if it is gone or another stream's.
func (e *Engine) coveredByImport(ctx context.Context, p *engineapi.Pipeline) int {
	if p.KVHandle == "" {
		return 0
	}
	blob, err := e.fetch(ctx, p.KVHandle)
	if err != nil || blob.Stream != p.Stream {
		return 0
	}
	return blob.Tokens
}

func (e *Engine) fetch(ctx context.Context, handle string) (exportedKV, error) {
	var blob exportedKV
	parts := strings.SplitN(handle, "/", handleParts)
	if len(parts) != handleParts {
		return blob, errNoBlob
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+parts[0]+blobPath+parts[1], nil)
	if err != nil {
		return blob, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return blob, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return blob, errNoBlob
	}
	return blob, json.NewDecoder(io.LimitReader(resp.Body, maxBlobBytes)).Decode(&blob)
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var req engineapi.KVRequest
	if !readJSON(w, r, &req) {
		return
	}
	reply, err := e.Export(r.Context(), req.Stream)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// handleImport reports what a handle covers; a resumed stream names the
// handle itself.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var req engineapi.KVRequest
	if !readJSON(w, r, &req) {
		return
	}
	blob, err := e.fetch(r.Context(), req.Handle)
	if err != nil || blob.Stream != req.Stream {
		http.Error(w, errNoBlob.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, engineapi.KVReply{
		Handle: req.Handle, Tokens: blob.Tokens, Bytes: int64(blob.Tokens) * e.cfg.KVTokenBytes,
	})
}

func (e *Engine) handleBlob(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	blob, ok := e.exports[chi.URLParam(r, "id")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, errNoBlob.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, blob)
}
