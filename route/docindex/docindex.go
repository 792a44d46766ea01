// Package docindex is the environment document in force, laid out for the
// data path: teams by the digest of their keys, services and endpoints by
// name. A Directory never changes; a new document makes a new one.
package docindex

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/cicadatack/cicadatack/state/document"
)

// Index is one revision of the document. Safe for concurrent use.
type Index struct {
	Document *document.Document
	Revision int64
	Digest   string

	teams    map[[sha256.Size]byte]*document.Team
	services map[string]*document.Service
	// endpoints are places in Document.Endpoints: the endpoints themselves took
	// 2 MB more with 10,000 of them.
	endpoints map[string]int32
}

// Build indexes a checked document.
func Build(doc *document.Document, revision int64, digest string) *Index {
	d := &Index{
		Document:  doc,
		Revision:  revision,
		Digest:    digest,
		teams:     map[[sha256.Size]byte]*document.Team{},
		services:  map[string]*document.Service{},
		endpoints: make(map[string]int32, len(doc.Endpoints)),
	}
	for i := range doc.Teams {
		d.addTeam(&doc.Teams[i])
	}
	for i := range doc.Services {
		d.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Endpoints {
		d.endpoints[doc.Endpoints[i].Name] = int32(i)
	}
	return d
}

func (d *Index) addTeam(t *document.Team) {
	for _, key := range t.KeySHA256 {
		raw, err := hex.DecodeString(key)
		if err != nil || len(raw) != sha256.Size {
			continue // refused by document.Parse
		}
		d.teams[[sha256.Size]byte(raw)] = t
	}
}

// Team returns the team that a caller's key belongs to. Looking up the digest
// rather than the key leaves nothing to compare byte by byte, so the time
// taken tells nothing of other keys.
func (d *Index) Team(key string) (*document.Team, bool) {
	t, ok := d.teams[sha256.Sum256([]byte(key))]
	return t, ok
}

// Service returns a service by name.
func (d *Index) Service(name string) (*document.Service, bool) {
	s, ok := d.services[name]
	return s, ok
}

// Endpoint returns an endpoint by name.
func (d *Index) Endpoint(name string) (document.Endpoint, bool) {
	i, ok := d.endpoints[name]
	if !ok {
		return document.Endpoint{}, false
	}
	return d.Document.Endpoints[i], true
}

// MayCall says whether a team may call a service.
func MayCall(t *document.Team, service string) bool {
	if len(t.Services) == 0 {
		return true
	}
	for _, s := range t.Services {
		if s == service {
			return true
		}
	}
	return false
}

// NonIdempotent says whether a call of a plain service may be placed at most
// once. A method that the document does not list but that HTTP itself does not
// call idempotent is still repeatable: the document decides.
//
// path is escaped as the caller wrote it. An endpoint may read //orders,
// /%6Frders or /x/../orders as /orders, and a call taken for a repeatable one
// would be sent again after a lost reply. So a call is non-idempotent if its
// path fits in any of these readings.
func NonIdempotent(p *document.Plain, method, path string) bool {
	for _, c := range p.NonIdempotent {
		if strings.EqualFold(c.Method, method) && fits(path, c.Path) {
			return true
		}
	}
	return false
}

func fits(escaped, prefix string) bool {
	for _, reading := range readings(escaped) {
		if strings.HasPrefix(reading, prefix) {
			return true
		}
	}
	return false
}

// readings are what a server may take a path for: as it stands, decoded, and
// cleaned of what means nothing, with or without a slash at the end.
func readings(escaped string) []string {
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		decoded = escaped
	}
	clean := path.Clean("/" + decoded)
	return []string{escaped, decoded, clean, clean + "/"}
}

// BearerKey returns the key in the Authorization header, or "".
func BearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
