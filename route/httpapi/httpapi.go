// Package httpapi is the HTTP API for callers. It checks their keys, tells them which
// entry VMs to use, and passes calls to the model and plain services. An entry VM is a
// VM that callers connect to.
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
	"github.com/cicadatack/cicadatack/decide/draining"
	"github.com/cicadatack/cicadatack/route/callparser"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// maxBodyBytes bounds the body of a caller's request.
const maxBodyBytes = 4 << 20

// servicesPrefix precedes the name of a plain service in paths.
const servicesPrefix = "/services/"

// notReadyRetryAfter is the Retry-After while the node has no environment document.
const notReadyRetryAfter = time.Second

// ModelServer answers calls of model services.
type ModelServer interface {
	ServeModel(w http.ResponseWriter, r *http.Request, c *callparser.Call, chat engineapi.ChatRequest)
}

// PlainServer answers calls of plain services. path is the part of the URL path after
// the service's name, escaped as the caller wrote it.
type PlainServer interface {
	ServePlain(w http.ResponseWriter, r *http.Request, c *callparser.Call, path string, body []byte)
}

// CallForwarder serves calls through other nodes. Forward returns false if the call must be served
// by this node.
type CallForwarder interface {
	Forward(w http.ResponseWriter, r *http.Request, c *callparser.Call, body []byte) bool
}

// EntryProvider returns the entry VMs that a team should use.
type EntryProvider interface {
	Entry(team *document.Team, failureDomain string) EntryResponse
}

// EntryResponse is the answer to GET /v1/entry.
type EntryResponse struct {
	Addresses      []EntryAddress `json:"addresses"`
	ValidForMillis int64          `json:"valid_for_ms"`
}

// EntryAddress is one entry VM. Weight is its share of the caller's connections.
type EntryAddress struct {
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	Weight        float64 `json:"weight"`
}

// Server serves the callers' listener. DocumentIndex returns the document in force, or
// nil if the node has none yet. Safe for concurrent use.
type Server struct {
	DocumentIndex func() *docindex.Index
	ModelServer   ModelServer
	PlainServer   PlainServer
	EntryProvider EntryProvider
	// CallForwarder may be nil.
	CallForwarder CallForwarder
	// Drain describes a node that was told to stop and whose drain has a limit; nil if no node has one.
	Drain func() draining.Drain
	Now   func() time.Time

	activeRequests atomic.Int64
}

// Handler returns the routes of the API.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.countActive)
	r.Get("/v1/entry", s.handleEntry)
	r.Post(engineapi.PathChat, s.handleChat)
	r.HandleFunc(servicesPrefix+"{service}", s.handlePlain)
	r.HandleFunc(servicesPrefix+"{service}/*", s.handlePlain)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		newRefusal(http.StatusNotFound, "unknown_path", "no such call: "+r.URL.Path).Write(w)
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		newRefusal(http.StatusMethodNotAllowed, "method_not_allowed", r.Method+" is not a method of "+r.URL.Path).Write(w)
	})
	return r
}

// ActiveRequests returns the number of requests that are being served.
func (s *Server) ActiveRequests() int64 {
	return s.activeRequests.Load()
}

func (s *Server) countActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.activeRequests.Add(1)
		defer s.activeRequests.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// requireDocument returns the document in force. A node that has not received a
// document can't check keys and does not know the services, so the request is refused.
func (s *Server) requireDocument(w http.ResponseWriter) *docindex.Index {
	d := s.DocumentIndex()
	if d == nil {
		r := newRefusal(http.StatusServiceUnavailable, "not_ready", "this node has no environment document yet")
		r.RetryAfter = notReadyRetryAfter
		r.Write(w)
	}
	return d
}

func (s *Server) handleEntry(w http.ResponseWriter, r *http.Request) {
	d := s.requireDocument(w)
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
	// A write error means that the caller has disconnected, so there is nobody to tell.
	_ = json.NewEncoder(w).Encode(s.EntryProvider.Entry(team, r.URL.Query().Get("failure_domain")))
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	d := s.requireDocument(w)
	if d == nil {
		return
	}
	// The key is checked before the body is read, so that callers without a valid key
	// cost little.
	if _, refused := callparser.Authenticate(d, r); refused != nil {
		refused.Write(w)
		return
	}
	chat, body, refused := readChat(w, r)
	if refused != nil {
		refused.Write(w)
		return
	}
	service, adapter := callparser.SplitModel(chat.Model)
	c, refused := callparser.New(d, r, service, s.Now())
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
	if refused := s.refuseWhileDraining(c); refused != nil {
		refused.Write(w)
		return
	}
	// Engines know the model by the service's name.
	chat.Model = service
	w.Header().Set(outcome.HeaderRequest, c.ID)
	if s.forward(w, r, c, body) {
		return
	}
	s.ModelServer.ServeModel(w, r, c, chat)
}

// forward reports whether another node has served the call.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, c *callparser.Call, body []byte) bool {
	return s.CallForwarder != nil && s.CallForwarder.Forward(w, r, c, body)
}

const (
	// noDeadline stands for the time left of a call without a deadline.
	noDeadline = 365 * 24 * time.Hour
	// leavingRetryAfter is the Retry-After of a node that was told to stop: another node can serve the
	// call a moment later.
	leavingRetryAfter = 100 * time.Millisecond
)

// refuseWhileDraining refuses calls that would be cut when the node's drain reaches its limit.
func (s *Server) refuseWhileDraining(c *callparser.Call) *outcome.Refusal {
	if s.Drain == nil {
		return nil
	}
	remaining := noDeadline
	if !c.Deadline.IsZero() {
		remaining = c.Deadline.Sub(s.Now())
	}
	if s.Drain().Accepts(remaining, c.Class != admission.Order) {
		return nil
	}
	refused := newRefusal(http.StatusServiceUnavailable, "leaving", "this node is about to stop")
	refused.RetryAfter = leavingRetryAfter
	return refused
}

// readChat returns the request for a model, and the body that it was read from.
func readChat(w http.ResponseWriter, r *http.Request) (engineapi.ChatRequest, []byte, *outcome.Refusal) {
	var chat engineapi.ChatRequest
	body, refused := readBody(w, r)
	if refused != nil {
		return chat, nil, refused
	}
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, nil, newRefusal(http.StatusBadRequest, "bad_json", err.Error())
	}
	switch {
	case len(chat.Messages) == 0:
		return chat, nil, newRefusal(http.StatusBadRequest, "no_messages", "messages: at least one is needed")
	case chat.MaxTokens < 0:
		return chat, nil, newRefusal(http.StatusBadRequest, "bad_max_tokens", "max_tokens: must not be negative")
	}
	// Callers must not choose engines, streams or priorities.
	chat.Pipeline = nil
	chat.Priority = 0
	return chat, body, nil
}

func (s *Server) handlePlain(w http.ResponseWriter, r *http.Request) {
	d := s.requireDocument(w)
	if d == nil {
		return
	}
	c, refused := callparser.New(d, r, chi.URLParam(r, "service"), s.Now())
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
	if refused := s.refuseWhileDraining(c); refused != nil {
		refused.Write(w)
		return
	}
	w.Header().Set(outcome.HeaderRequest, c.ID)
	if s.forward(w, r, c, body) {
		return
	}
	s.PlainServer.ServePlain(w, r, c, path, body)
}

// pathBelowService returns the path after /services/{service}, escaped as the caller
// wrote it. If an escaped # or ? were decoded here, the endpoint would receive a
// shorter path and run a different call.
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
