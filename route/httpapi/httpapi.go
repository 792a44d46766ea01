// Package httpapi is the callers' side of a node: it checks keys, answers which
// entry VMs to use and hands calls to the model and plain services.
package httpapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/route/callparser"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// maxBodyBytes bounds a caller's request body in bytes.
const maxBodyBytes = 4 << 20

// servicesPrefix precedes a plain service's name in paths.
const servicesPrefix = "/services/"

// notReadyRetryAfter is when a caller may ask again while the node has no document.
const notReadyRetryAfter = time.Second

// ModelServer answers calls of model services.
type ModelServer interface {
	ServeModel(w http.ResponseWriter, r *http.Request, c *callparser.Call, chat engineapi.ChatRequest)
}

// PlainServer answers calls of plain services. path is the part below the
// service's name, escaped as the caller wrote it.
type PlainServer interface {
	ServePlain(w http.ResponseWriter, r *http.Request, c *callparser.Call, path string, body []byte)
}

// EntryProvider says which entry VMs a team should use.
type EntryProvider interface {
	Entry(team *document.Team, failureDomain string) EntryResponse
}

// EntryResponse is the answer to GET /v1/entry.
type EntryResponse struct {
	Addresses      []EntryAddress `json:"addresses"`
	ValidForMillis int64          `json:"valid_for_ms"`
}

// EntryAddress is one entry VM and its share of the caller's connections.
type EntryAddress struct {
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	Weight        float64 `json:"weight"`
}

// Server serves the callers' listener. Safe for concurrent use.
type Server struct {
	Directory func() *docindex.Directory
	ModelServer    ModelServer
	PlainServer    PlainServer
	EntryProvider   EntryProvider
	Now       func() time.Time

	activeRequests atomic.Int64
}

// Handler returns the callers' routes.
func (f *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(f.countActive)
	r.Get("/v1/entry", f.handleEntry)
	r.Post(engineapi.PathChat, f.handleChat)
	r.HandleFunc(servicesPrefix+"{service}", f.handlePlain)
	r.HandleFunc(servicesPrefix+"{service}/*", f.handlePlain)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		newRefusal(http.StatusNotFound, "unknown_path", "no such call: "+r.URL.Path).Write(w)
	})
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		newRefusal(http.StatusNotFound, "unknown_path", "no such call: "+r.URL.Path).Write(w)
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		newRefusal(http.StatusMethodNotAllowed, "method_not_allowed", r.Method+" is not a method of "+r.URL.Path).Write(w)
	})
	return r
}

// ActiveRequests is how many requests are being served now.
func (f *Server) ActiveRequests() int64 {
	return f.activeRequests.Load()
}

func (f *Server) countActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.activeRequests.Add(1)
		defer f.activeRequests.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// requireDocument returns the document in force, or refuses: a node that has never seen
// one would have to guess who may call and what exists.
func (f *Server) requireDocument(w http.ResponseWriter) *docindex.Directory {
	d := f.Directory()
	if d == nil {
		r := newRefusal(http.StatusServiceUnavailable, "not_ready", "this node has no environment document yet")
		r.RetryAfter = notReadyRetryAfter
		r.Write(w)
	}
	return d
}

func (f *Server) handleEntry(w http.ResponseWriter, r *http.Request) {
	d := f.requireDocument(w)
	if d == nil {
		return
	}
	team, refused := callparser.Authenticate(d, r)
	if refused != nil {
		refused.Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcome.Header, string(outcome.Done))
	// The caller may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(f.EntryProvider.Entry(team, r.URL.Query().Get("failure_domain")))
}

func (f *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	d := f.requireDocument(w)
	if d == nil {
		return
	}
	// The key is looked at before the body, so that strangers cost little.
	if _, refused := callparser.Authenticate(d, r); refused != nil {
		refused.Write(w)
		return
	}
	chat, refused := readChat(w, r)
	if refused != nil {
		refused.Write(w)
		return
	}
	service, adapter := callparser.SplitModel(chat.Model)
	c, refused := callparser.New(d, r, service, f.Now())
	if refused != nil {
		refused.Write(w)
		return
	}
	if c.Service.Kind != document.KindModel {
		newRefusal(http.StatusBadRequest, "not_a_model", fmt.Sprintf("service %q is not a model", service)).Write(w)
		return
	}
	if refused := c.UseAdapter(adapter); refused != nil {
		refused.Write(w)
		return
	}
	// Engines know the model by the service's name.
	chat.Model = service
	w.Header().Set(outcome.HeaderRequest, c.ID)
	f.ModelServer.ServeModel(w, r, c, chat)
}

func readChat(w http.ResponseWriter, r *http.Request) (engineapi.ChatRequest, *outcome.Refusal) {
	var chat engineapi.ChatRequest
	body, refused := readBody(w, r)
	if refused != nil {
		return chat, refused
	}
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, newRefusal(http.StatusBadRequest, "bad_json", err.Error())
	}
	switch {
	case len(chat.Messages) == 0:
		return chat, newRefusal(http.StatusBadRequest, "no_messages", "messages: at least one is needed")
	case chat.MaxTokens < 0:
		return chat, newRefusal(http.StatusBadRequest, "bad_max_tokens", "max_tokens: must not be negative")
	}
	// A caller must not choose chains or streams for the engines.
	chat.Pipeline = nil
	chat.Priority = 0
	return chat, nil
}

func (f *Server) handlePlain(w http.ResponseWriter, r *http.Request) {
	d := f.requireDocument(w)
	if d == nil {
		return
	}
	c, refused := callparser.New(d, r, chi.URLParam(r, "service"), f.Now())
	if refused != nil {
		refused.Write(w)
		return
	}
	if c.Service.Kind != document.KindPlain {
		newRefusal(http.StatusBadRequest, "not_plain", fmt.Sprintf("service %q is a model; use %s", c.Service.Name, engineapi.PathChat)).Write(w)
		return
	}
	body, refused := readBody(w, r)
	if refused != nil {
		refused.Write(w)
		return
	}
	path := pathBelowService(r.URL)
	if docindex.NonIdempotent(c.Service.Plain, r.Method, path) {
		c.Class = admission.Order
	}
	w.Header().Set(outcome.HeaderRequest, c.ID)
	f.PlainServer.ServePlain(w, r, c, path, body)
}

// pathBelowService is the path below /services/{service}, escaped as the caller
// wrote it: an escaped # or ? that was decoded here would end the path towards
// the endpoint and make it another call.
func pathBelowService(u *url.URL) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), servicesPrefix), "/")
	return "/" + rest
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is over %d bytes", maxBodyBytes))
	case err != nil:
		return nil, newRefusal(http.StatusBadRequest, "body_cut_off", err.Error())
	}
	return body, nil
}

func newRefusal(status int, code, message string) *outcome.Refusal {
	return &outcome.Refusal{Status: status, Code: code, Message: message, Outcome: outcome.NotRun}
}
