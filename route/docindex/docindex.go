// Package docindex indexes the environment document that is in effect for the data path:
// teams by the SHA-256 of their API keys, services and endpoints by name. An Index is
// immutable. Each new document gets a new Index.
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
	// Revision is the store's revision of the document.
	Revision int64
	// Digest is the result of document.Digest for the text of the document.
	Digest string

	teamsByKeyHash map[[sha256.Size]byte]*document.Team
	servicesByName map[string]*document.Service
	// endpointIndexes maps endpoint names to indexes in Document.Endpoints. A map of
	// document.Endpoint values needed 2 MB more memory with 10,000 endpoints.
	endpointIndexes map[string]int32
}

// Build returns the Index of a document that document.Parse has accepted.
func Build(doc *document.Document, revision int64, digest string) *Index {
	x := &Index{
		Document:        doc,
		Revision:        revision,
		Digest:          digest,
		teamsByKeyHash:  map[[sha256.Size]byte]*document.Team{},
		servicesByName:  map[string]*document.Service{},
		endpointIndexes: make(map[string]int32, len(doc.Endpoints)),
	}
	for i := range doc.Teams {
		x.addTeam(&doc.Teams[i])
	}
	for i := range doc.Services {
		x.servicesByName[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Endpoints {
		x.endpointIndexes[doc.Endpoints[i].Name] = int32(i)
	}
	return x
}

func (x *Index) addTeam(t *document.Team) {
	for _, hexHash := range t.KeySHA256 {
		hash, err := hex.DecodeString(hexHash)
		if err != nil || len(hash) != sha256.Size {
			continue // document.Parse rejects such documents
		}
		x.teamsByKeyHash[[sha256.Size]byte(hash)] = t
	}
}

// Team returns the team that an API key belongs to. The lookup compares hashes instead of
// keys, so that the duration of the lookup reveals nothing about the keys of other teams.
func (x *Index) Team(apiKey string) (*document.Team, bool) {
	t, ok := x.teamsByKeyHash[sha256.Sum256([]byte(apiKey))]
	return t, ok
}

// Service returns a service by name.
func (x *Index) Service(name string) (*document.Service, bool) {
	s, ok := x.servicesByName[name]
	return s, ok
}

// Endpoint returns an endpoint by name.
func (x *Index) Endpoint(name string) (document.Endpoint, bool) {
	i, ok := x.endpointIndexes[name]
	if !ok {
		return document.Endpoint{}, false
	}
	return x.Document.Endpoints[i], true
}

// MayCall reports whether a team may call a service. A team without a list of services may
// call all services.
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

// NonIdempotent reports whether a call of a plain service may be made at most once. Only the
// document decides: a call that the document does not list may be repeated, even if HTTP
// does not define its method as idempotent.
//
// path is the path in the form in which the caller escaped it. An endpoint may treat
// //orders, /%6Frders or /x/../orders as /orders. If such a path did not match, the call
// would be retried after a lost response and could run twice. A call is therefore
// non-idempotent if any variant of its path matches.
func NonIdempotent(p *document.Plain, method, path string) bool {
	for _, c := range p.NonIdempotent {
		if strings.EqualFold(c.Method, method) && anyVariantHasPrefix(path, c.Path) {
			return true
		}
	}
	return false
}

func anyVariantHasPrefix(escaped, prefix string) bool {
	for _, variant := range pathVariants(escaped) {
		if strings.HasPrefix(variant, prefix) {
			return true
		}
	}
	return false
}

// pathVariants returns the paths as which a server may treat an escaped path:
//  1. the escaped path, unchanged
//  2. the path unescaped
//  3. the path unescaped and cleaned with path.Clean
//  4. the cleaned path with a trailing slash
func pathVariants(escaped string) []string {
	unescaped, err := url.PathUnescape(escaped)
	if err != nil {
		unescaped = escaped
	}
	clean := path.Clean("/" + unescaped)
	return []string{escaped, unescaped, clean, clean + "/"}
}

// BearerKey returns the API key in the Authorization header, or "" if the header holds no
// API key.
func BearerKey(r *http.Request) string {
	scheme, apiKey, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(apiKey)
}
