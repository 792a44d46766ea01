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

// maxBody bounds a caller's request body in bytes.
const maxBody = 4 << 20

// servicesPrefix precedes a plain service's name in paths.
const servicesPrefix = "/services/"

// notReadyRetry is when a caller may ask again while the node has no document.
const notReadyRetry = time.Second

// ModelServer answers calls of model services.
type ModelServer interface {
	ServeModel(w http.ResponseWriter, r *http.Request, c *callparser.Call, chat engineapi.ChatRequest)
}

// PlainServer answers calls of plain services. path is the part below the
// service's name, escaped as the caller wrote it.
type PlainServer interface {
	ServePlain(w http.ResponseWriter, r *http.Request, c *callparser.Call, path string, body []byte)
}

// EntryAnswerer says which entry VMs a team should use.
type EntryAnswerer interface {
	Entry(team *document.Team, failureDomain string) EntryAnswer
}

// EntryAnswer is the answer to GET /v1/entry.
type EntryAnswer struct {
	Addresses      []EntryAddress `json:"addresses"`
	ValidForMillis int64          `json:"valid_for_ms"`
}

// EntryAddress is one entry VM and its share of the caller's connections.
type EntryAddress struct {
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	Weight        float64 `json:"weight"`
}

// Front serves the callers' listener. Safe for concurrent use.
type Front struct {
	Directory func() *docindex.Index
	Models    ModelServer
	Plains    PlainServer
	Entries   EntryAnswerer
	Now       func() time.Time

	underway atomic.Int64
}

// Handler returns the callers' routes.
func (f *Front) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(f.count)
	r.Get("/v1/entry", f.entry)
	r.Post(engineapi.PathChat, f.chat)
	r.HandleFunc(servicesPrefix+"{service}", f.plain)
	r.HandleFunc(servicesPrefix+"{service}/*", f.plain)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		refusal(http.StatusNotFound, "unknown_path", "no such call: "+r.URL.Path).Write(w)
	})
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		refusal(http.StatusNotFound, "unknown_path", "no such call: "+r.URL.Path).Write(w)
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		refusal(http.StatusMethodNotAllowed, "method_not_allowed", r.Method+" is not a method of "+r.URL.Path).Write(w)
	})
	return r
}

// Underway is how many requests are being served now.
func (f *Front) Underway() int64 {
	return f.underway.Load()
}

func (f *Front) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.underway.Add(1)
		defer f.underway.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// ready returns the document in force, or refuses: a node that has never seen
// one would have to guess who may call and what exists.
func (f *Front) ready(w http.ResponseWriter) *docindex.Index {
	d := f.Directory()
	if d == nil {
		r := refusal(http.StatusServiceUnavailable, "not_ready", "this node has no environment document yet")
		r.RetryAfter = notReadyRetry
		r.Write(w)
	}
	return d
}

func (f *Front) entry(w http.ResponseWriter, r *http.Request) {
	d := f.ready(w)
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
	_ = json.NewEncoder(w).Encode(f.Entries.Entry(team, r.URL.Query().Get("failure_domain")))
}

func (f *Front) chat(w http.ResponseWriter, r *http.Request) {
	d := f.ready(w)
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
		refusal(http.StatusBadRequest, "not_a_model", fmt.Sprintf("service %q is not a model", service)).Write(w)
		return
	}
	if refused := c.UseAdapter(adapter); refused != nil {
		refused.Write(w)
		return
	}
	// Engines know the model by the service's name.
	chat.Model = service
	w.Header().Set(outcome.HeaderRequest, c.ID)
	f.Models.ServeModel(w, r, c, chat)
}

func readChat(w http.ResponseWriter, r *http.Request) (engineapi.ChatRequest, *outcome.Refusal) {
	var chat engineapi.ChatRequest
	body, refused := readBody(w, r)
	if refused != nil {
		return chat, refused
	}
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, refusal(http.StatusBadRequest, "bad_json", err.Error())
	}
	switch {
	case len(chat.Messages) == 0:
		return chat, refusal(http.StatusBadRequest, "no_messages", "messages: at least one is needed")
	case chat.MaxTokens < 0:
		return chat, refusal(http.StatusBadRequest, "bad_max_tokens", "max_tokens: must not be negative")
	}
	// A caller must not choose chains or streams for the engines.
	chat.Pipeline = nil
	chat.Priority = 0
	return chat, nil
}

func (f *Front) plain(w http.ResponseWriter, r *http.Request) {
	d := f.ready(w)
	if d == nil {
		return
	}
	c, refused := callparser.New(d, r, chi.URLParam(r, "service"), f.Now())
	if refused != nil {
		refused.Write(w)
		return
	}
	if c.Service.Kind != document.KindPlain {
		refusal(http.StatusBadRequest, "not_plain", fmt.Sprintf("service %q is a model; use %s", c.Service.Name, engineapi.PathChat)).Write(w)
		return
	}
	body, refused := readBody(w, r)
	if refused != nil {
		refused.Write(w)
		return
	}
	path := belowService(r.URL)
	if docindex.NonIdempotent(c.Service.Plain, r.Method, path) {
		c.Class = admission.Order
	}
	w.Header().Set(outcome.HeaderRequest, c.ID)
	f.Plains.ServePlain(w, r, c, path, body)
}

// belowService is the path below /services/{service}, escaped as the caller
// wrote it: an escaped # or ? that was decoded here would end the path towards
// the endpoint and make it another call.
func belowService(u *url.URL) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), servicesPrefix), "/")
	return "/" + rest
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is over %d bytes", maxBody))
	case err != nil:
		return nil, refusal(http.StatusBadRequest, "body_cut_off", err.Error())
	}
	return body, nil
}

func refusal(status int, code, message string) *outcome.Refusal {
	return &outcome.Refusal{Status: status, Code: code, Message: message, Outcome: outcome.NotRun}
}
