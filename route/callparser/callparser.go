// Package callparser turns an HTTP request into a checked Call: its team, its service,
// its class (interactive or batch), its latest start and its deadline.
package callparser

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/document"
)

// defaultQueueDeadline is how long a request may wait in the admission queue if the
// document sets no limit. Callers of an interactive assistant have given up after this
// time.
const defaultQueueDeadline = 10 * time.Second

// maxTimeout is the longest timeout that a caller may set.
const maxTimeout = time.Hour

// Values of the class header.
const (
	classInteractive = "interactive"
	classBatch       = "batch"
)

// Call is one authenticated request.
type Call struct {
	ID      string
	Team    *document.Team
	Service *document.Service
	// Adapter is the name of the adapter that a model call uses, if any.
	Adapter       string
	Class         admission.Class
	ArrivedAt     time.Time
	DocumentIndex *docindex.Index
	// LatestStart is the latest time at which the call may leave the admission queue.
	LatestStart time.Time
	// Deadline is when the caller stops waiting; zero means no limit.
	Deadline time.Time
}

// Authenticate returns the team that the request's key belongs to.
func Authenticate(d *docindex.Index, r *http.Request) (*document.Team, *outcome.Refusal) {
	team, ok := d.Team(docindex.BearerKey(r))
	if !ok {
		return nil, newRefusal(http.StatusUnauthorized, "unknown_key", "the key belongs to no team of this environment")
	}
	return team, nil
}

// New checks the request against the document and returns a Call of the service.
func New(d *docindex.Index, r *http.Request, service string, now time.Time) (*Call, *outcome.Refusal) {
	team, refusal := Authenticate(d, r)
	if refusal != nil {
		return nil, refusal
	}
	s, ok := d.Service(service)
	if !ok {
		return nil, newRefusal(http.StatusNotFound, "unknown_service", fmt.Sprintf("no service is named %q", service))
	}
	if !docindex.MayCall(team, service) {
		return nil, newRefusal(http.StatusForbidden, "not_allowed", fmt.Sprintf("team %q may not call %q", team.Name, service))
	}
	c := &Call{ID: NewRequestID(), Team: team, Service: s, ArrivedAt: now, DocumentIndex: d}
	if refusal := c.readHeaders(r); refusal != nil {
		return nil, refusal
	}
	return c, nil
}

func (c *Call) readHeaders(r *http.Request) *outcome.Refusal {
	switch class := r.Header.Get(outcome.HeaderClass); class {
	case "", classInteractive:
		c.Class = admission.Interactive
	case classBatch:
		c.Class = admission.Batch
	default:
		return newRefusal(http.StatusBadRequest, "bad_class", fmt.Sprintf("%s: %q is neither %q nor %q", outcome.HeaderClass, class, classInteractive, classBatch))
	}
	c.LatestStart = c.ArrivedAt.Add(c.queueDeadline())
	return c.readTimeout(r.Header.Get(outcome.HeaderTimeout))
}

func (c *Call) queueDeadline() time.Duration {
	if ms := c.DocumentIndex.Document.Policy.QueueDeadlineMillis; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultQueueDeadline
}

func (c *Call) readTimeout(text string) *outcome.Refusal {
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return newRefusal(http.StatusBadRequest, "bad_timeout", fmt.Sprintf("%s: %q is not between 1 and %d", outcome.HeaderTimeout, text, maxTimeout.Milliseconds()))
	}
	c.Deadline = c.ArrivedAt.Add(time.Duration(ms) * time.Millisecond)
	if c.Deadline.Before(c.LatestStart) {
		c.LatestStart = c.Deadline
	}
	return nil
}

// requestIDBytes are enough to make equal IDs among the requests of a day improbable.
const requestIDBytes = 12

// NewRequestID returns a random request ID.
func NewRequestID() string {
	var raw [requestIDBytes]byte
	// crypto/rand.Read never fails on supported systems; it crashes instead.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func newRefusal(status int, code, message string) *outcome.Refusal {
	return &outcome.Refusal{Status: status, Code: code, Message: message, Outcome: outcome.NotRun}
}
