package document

import (
	"encoding/hex"
	"net/http"
	"net/netip"
	"strings"
)

// Bounds of figures. They are far above any use and catch a slip of the unit.
const (
	maxLayers         = 10_000
	maxLayerMegabytes = 1 << 20
	maxWeight         = 1e6
	maxMillis         = 24 * 60 * 60 * 1000
	maxEntrySeconds   = 60 * 60
	maxConcurrent     = 1 << 20
)

// maxNameBytes keeps names fit for store keys, paths and log lines.
const maxNameBytes = 64

// ValidName says whether a name of an environment, service, team, endpoint,
// replica or failure domain has the allowed form: `[a-z0-9]`, and between its
// first and last byte also `.`, `_` and `-`. A loop, because a regular
// expression took a seventh of the time of a change at 10,000 replicas.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		inner := i > 0 && i < len(name)-1
		if !alphanumeric(name[i]) && !(inner && isNameMark(name[i])) {
			return false
		}
	}
	return true
}

func alphanumeric(c byte) bool { return c >= 'a' && c <= 'z' || c >= '0' && c <= '9' }

func isNameMark(c byte) bool { return c == '.' || c == '_' || c == '-' }

// checker notes what a document's fields say that cannot be.
type checker struct {
	doc       *Document
	faults    *Faults
	domains   map[string]bool
	endpoints map[string]bool
	services  map[string]bool
	teams     map[string]bool
	// pathless leaves paths empty. Building them is most of the work on a sound
	// document, which needs none; whoever finds a fault checks again with them.
	pathless bool
}

func newChecker(doc *Document, faults *Faults) *checker {
	c := &checker{
		doc:       doc,
		faults:    faults,
		domains:   map[string]bool{},
		endpoints: make(map[string]bool, len(doc.Endpoints)),
		services:  map[string]bool{},
		teams:     map[string]bool{},
	}
	for _, d := range doc.FailureDomains {
		c.domains[d.Name] = true
	}
	for _, e := range doc.Endpoints {
		c.endpoints[e.Name] = true
	}
	for _, s := range doc.Services {
		c.services[s.Name] = true
	}
	for _, t := range doc.Teams {
		c.teams[t.Name] = true
	}
	return c
}

// at is the path of a list's element, sub that of an object's field.
func (c *checker) at(path string, index int) string {
	if c.pathless {
		return ""
	}
	return at(path, index)
}

func (c *checker) sub(path, field string) string {
	if c.pathless {
		return ""
	}
	return path + field
}

// fault notes a fault unless the value at path is known to be faulty already.
func (c *checker) fault(path, format string, args ...any) {
	if !c.faults.covers(path) {
		c.faults.add(path, format, args...)
	}
}

func (c *checker) check() {
	c.name("environment", c.doc.Environment)
	c.checkDomains()
	c.checkEndpoints()
	c.checkPlacement()
	c.checkServices()
	c.checkTeams()
	c.checkPolicy()
}

func (c *checker) name(path, name string) {
	switch {
	case name == "":
		c.fault(path, "is missing")
	case !ValidName(name):
		c.fault(path, "%q is not a name: lower-case letters, digits, '.', '_' and '-', at most 64", name)
	}
}

// unique notes a name that its list has already used.
func (c *checker) unique(path, name string, seen map[string]bool) {
	if name != "" && seen[name] {
		c.fault(path, "%q is used twice", name)
	}
	seen[name] = true
}

func (c *checker) checkDomains() {
	seen := map[string]bool{}
	for i, d := range c.doc.FailureDomains {
		path := c.at("failure_domains", i)
		c.name(c.sub(path, ".name"), d.Name)
		c.unique(c.sub(path, ".name"), d.Name, seen)
		c.name(c.sub(path, ".region"), d.Region)
	}
	if len(c.doc.FailureDomains) == 0 {
		c.fault("failure_domains", "there must be at least one")
	}
}

func (c *checker) checkEndpoints() {
	names := make(map[string]bool, len(c.doc.Endpoints))
	addresses := make(map[string]bool, len(c.doc.Endpoints))
	for i, e := range c.doc.Endpoints {
		path := c.at("endpoints", i)
		c.name(c.sub(path, ".name"), e.Name)
		c.unique(c.sub(path, ".name"), e.Name, names)
		c.address(c.sub(path, ".address"), e.Address)
		c.unique(c.sub(path, ".address"), e.Address, addresses)
		c.reference(c.sub(path, ".failure_domain"), "failure domain", e.FailureDomain, c.domains)
	}
}

func (c *checker) address(path, address string) {
	if address == "" {
		c.fault(path, "is missing")
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.fault(path, "%q is not an IP number and port", address)
	}
}

func (c *checker) reference(path, kind, name string, known map[string]bool) {
	switch {
	case name == "":
		c.fault(path, "is missing")
	case !known[name]:
		c.fault(path, "no %s is named %q", kind, name)
	}
}

func (c *checker) checkServices() {
	seen := map[string]bool{}
	for i, s := range c.doc.Services {
		path := c.at("services", i)
		c.name(c.sub(path, ".name"), s.Name)
		c.unique(c.sub(path, ".name"), s.Name, seen)
		c.checkKind(path, s)
	}
}

func (c *checker) checkKind(path string, s Service) {
	switch s.Kind {
	case KindModel:
		c.exactly(path, "model", s.Model != nil, "plain", s.Plain != nil)
		if s.Model != nil {
			c.checkModel(c.sub(path, ".model"), s.Model)
		}
	case KindPlain:
		c.exactly(path, "plain", s.Plain != nil, "model", s.Model != nil)
		if s.Plain != nil {
			c.checkPlain(c.sub(path, ".plain"), s.Plain)
		}
	case "":
		c.fault(c.sub(path, ".kind"), "is missing")
	default:
		c.fault(c.sub(path, ".kind"), "%q is neither %q nor %q", s.Kind, KindModel, KindPlain)
	}
}

// exactly notes a service whose kind and body do not go together.
func (c *checker) exactly(path, want string, hasWant bool, other string, hasOther bool) {
	if !hasWant {
		c.fault(c.sub(path, "."+want), "is missing in a service of kind %q", want)
	}
	if hasOther {
		c.fault(c.sub(path, "."+other), "does not belong in a service of kind %q", want)
	}
}

func (c *checker) checkModel(path string, m *Model) {
	c.whole(c.sub(path, ".layers"), m.Layers, 1, maxLayers)
	c.whole(c.sub(path, ".layer_megabytes"), m.LayerMegabytes, 0, maxLayerMegabytes)
	if len(m.Replicas) == 0 {
		c.fault(c.sub(path, ".replicas"), "there must be at least one")
	}
	c.checkArtifacts(path, m)
	names := make(map[string]bool, len(m.Replicas))
	engines := make(map[string]bool, len(m.Replicas))
	for i, r := range m.Replicas {
		at := c.at(c.sub(path, ".replicas"), i)
		c.name(c.sub(at, ".name"), r.Name)
		c.unique(c.sub(at, ".name"), r.Name, names)
		c.checkStages(c.sub(at, ".stages"), r.Stages, m.Layers, engines)
	}
}

// checkStages notes stages whose layers do not run from the first to the last
// without a gap or overlap, and engines that stand in two places.
func (c *checker) checkStages(path string, stages []Stage, layers int, engines map[string]bool) {
	if len(stages) == 0 {
		c.fault(path, "there must be at least one")
		return
	}
	next := 0
	for i, s := range stages {
		at := c.at(path, i)
		c.reference(c.sub(at, ".endpoint"), "endpoint", s.Endpoint, c.endpoints)
		c.unique(c.sub(at, ".endpoint"), s.Endpoint, engines)
		next = c.checkLayers(c.sub(at, ".layers"), s, stages[0], next, layers)
	}
	if len(stages[0].Layers) > 0 && next < layers && !c.faults.inside(path) {
		c.fault(path, "the stages end at layer %d, the model at %d", next-1, layers-1)
	}
}

// checkLayers checks one stage that should start at layer next and returns the
// layer at which the following one should.
func (c *checker) checkLayers(path string, s, first Stage, next, layers int) int {
	if (len(s.Layers) > 0) != (len(first.Layers) > 0) {
		c.fault(path, "all stages of a replica name their layers, or none does")
		return next
	}
	if len(s.Layers) == 0 {
		return next
	}
	if len(s.Layers) != 2 {
		c.fault(path, "must be the first and the last layer")
		return next
	}
	from, to := s.Layers[0], s.Layers[1]
	switch {
	case from != next:
		c.fault(path, "starts at layer %d, must start at %d", from, next)
	case to < from:
		c.fault(path, "ends at layer %d, before its start", to)
	case to >= layers && layers > 0:
		c.fault(path, "ends at layer %d, the model's last is %d", to, layers-1)
	}
	return to + 1
}

func (c *checker) checkPlain(path string, p *Plain) {
	if len(p.Endpoints) == 0 {
		c.fault(c.sub(path, ".endpoints"), "there must be at least one")
	}
	seen := map[string]bool{}
	for i, name := range p.Endpoints {
		c.reference(c.at(c.sub(path, ".endpoints"), i), "endpoint", name, c.endpoints)
		c.unique(c.at(c.sub(path, ".endpoints"), i), name, seen)
	}
	for i, call := range p.NonIdempotent {
		c.checkCall(c.at(c.sub(path, ".non_idempotent"), i), call)
	}
}

// methods are the methods that a call may name.
var methods = map[string]bool{
	http.MethodGet:    true,
	http.MethodPost:   true,
	http.MethodPut:    true,
	http.MethodPatch:  true,
	http.MethodDelete: true,
}

func (c *checker) checkCall(path string, call Call) {
	if !methods[call.Method] {
		c.fault(c.sub(path, ".method"), "%q is not a method in capitals", call.Method)
	}
	if !strings.HasPrefix(call.Path, "/") {
		c.fault(c.sub(path, ".path"), "%q must begin with a slash", call.Path)
	}
}

func (c *checker) checkTeams() {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, t := range c.doc.Teams {
		path := c.at("teams", i)
		c.name(c.sub(path, ".name"), t.Name)
		c.unique(c.sub(path, ".name"), t.Name, names)
		c.figure(c.sub(path, ".tokens_per_second"), t.TokensPerSecond, 0, 1e12)
		if t.Weight <= 0 || t.Weight > maxWeight {
			c.fault(c.sub(path, ".weight"), "is %v, must be above 0 and at most %v", t.Weight, maxWeight)
		}
		c.checkKeys(c.sub(path, ".key_sha256"), t.KeySHA256, keys)
		c.checkTeamServices(c.sub(path, ".services"), t.Services)
	}
}

// checkKeys notes keys that are not digests, and a key of two teams: its
// callers would be taken for either.
func (c *checker) checkKeys(path string, digests []string, seen map[string]bool) {
	if len(digests) == 0 {
		c.fault(path, "there must be at least one")
	}
	for i, digest := range digests {
		raw, err := hex.DecodeString(digest)
		if err != nil || len(raw) != 32 || digest != strings.ToLower(digest) {
			c.fault(c.at(path, i), "must be a SHA-256 in 64 lower-case hex digits")
			continue
		}
		c.unique(c.at(path, i), digest, seen)
	}
}

func (c *checker) checkTeamServices(path string, services []string) {
	seen := map[string]bool{}
	for i, name := range services {
		c.reference(c.at(path, i), "service", name, c.services)
		c.unique(c.at(path, i), name, seen)
	}
}

func (c *checker) checkPolicy() {
	p := c.doc.Policy
	c.whole("policy.queue_deadline_ms", p.QueueDeadlineMillis, 0, maxMillis)
	c.whole("policy.first_token_ms", p.FirstTokenMillis, 0, maxMillis)
	c.whole("policy.token_stall_ms", p.TokenStallMillis, 0, maxMillis)
	c.figure("policy.retry_budget", p.RetryBudget, 0, 1)
	c.whole("policy.concurrent_per_replica", p.ConcurrentPerReplica, 0, maxConcurrent)
	c.whole("policy.weight_mb_per_s", p.WeightMegabytesPerSecond, 0, maxMegabytes)
	c.whole("policy.entry_valid_s", p.EntryValidSeconds, 0, maxEntrySeconds)
}

func (c *checker) whole(path string, value, low, high int) {
	if value < low || value > high {
		c.fault(path, "is %d, must be from %d to %d", value, low, high)
	}
}

func (c *checker) figure(path string, value, low, high float64) {
	if value < low || value > high {
		c.fault(path, "is %v, must be from %v to %v", value, low, high)
	}
}
