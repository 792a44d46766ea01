// Package settings reads a node's own settings: what it is called, where it
// stands and where it listens. What the fleet serves is not here but in the
// environment document.
package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/state/document"
)

// Error is the class of this layer's errors.
var Error = errs.Class("settings")

// Slots of an environment that a node can serve.
const (
	SlotProduction = "production"
	SlotTrial      = "trial"
)

// Settings are one node's.
type Settings struct {
	// Name is the VM's name, as in the platform's list.
	Name          string `json:"name"`
	Environment   string `json:"environment"`
	FailureDomain string `json:"failure_domain"`
	// Slot is SlotProduction, the default, or SlotTrial.
	Slot string `json:"slot,omitempty"`

	Callers   Listener `json:"callers"`
	Peers     Listener `json:"peers"`
	Operators Listener `json:"operators"`

	Store Store `json:"store"`
	Log   Log   `json:"log,omitempty"`
	Drain Drain `json:"drain,omitempty"`
	Load  Load  `json:"load,omitempty"`
	Fleet Fleet `json:"fleet,omitempty"`
}

// Listener is one of the node's addresses.
type Listener struct {
	// Listen is the IP number and port to listen on; port 0 takes a free one.
	Listen string `json:"listen"`
	// Advertise is the address that others are told; empty means
	// the address listened on.
	Advertise string `json:"advertise,omitempty"`
	// TLS holds certificate files; without it the listener is in the clear.
	TLS *TLS `json:"tls,omitempty"`
	// KeySHA256 holds the hex SHA-256 of each key that opens the operators'
	// calls; empty leaves them open. It counts for operators only.
	KeySHA256 []string `json:"key_sha256,omitempty"`
}

// TLS names PEM files, which are read again when they are replaced.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authorities sign the peers' certificates; for peers only, and needed there.
	Authorities string `json:"authorities,omitempty"`
}

// Store says where the platform's key-value service is.
type Store struct {
	Address string `json:"address"`
	// CallsPerSecond is this node's budget; zero means DefaultStoreCalls.
	CallsPerSecond int `json:"calls_per_second,omitempty"`
	// TimeoutMillis bounds one call; zero means the client's default.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
}

// Log says what is logged and how.
type Log struct {
	// Level is trace, debug, info, warn or error; empty means info.
	Level string `json:"level,omitempty"`
	// Format is json, the default, or text.
	Format string `json:"format,omitempty"`
}

// Drain says how a node leaves.
type Drain struct {
	// LimitSeconds ends a drain even if requests are underway; zero, the
	// default, waits for all of them.
	LimitSeconds int `json:"limit_s,omitempty"`
}

// Load says how often endpoints are asked for their load.
type Load struct {
	// PollsPerSecond over all endpoints; zero means DefaultPolls.
	PollsPerSecond int `json:"polls_per_second,omitempty"`
	// CacheEventPollsPerSecond over all model replicas that the node uses; zero
	// means DefaultEventPolls.
	CacheEventPollsPerSecond int `json:"cache_event_polls_per_second,omitempty"`
}

// Fleet says how this node deals with the other entry VMs.
type Fleet struct {
	// IntervalMillis is between two exchanges with peers; zero means the
	// fleet's default of a second, on which the budget of bytes rests.
	IntervalMillis int `json:"interval_ms,omitempty"`
}

// Defaults of the settings.
const (
	// DefaultStoreCalls carries the ledger's 40 writes a second, which nine nodes
	// together keep within a store's several hundred, and the reads beside them.
	DefaultStoreCalls = 60
	// DefaultPolls asks each of a node's 40 endpoints at least every 3 s, in
	// which time a leaving one must be noticed.
	DefaultPolls = 16
	// DefaultEventPolls asks each of 12 replicas every 1.5 s and each of a subset
	// of 32 every 4 s.
	DefaultEventPolls = 8
)

// Read reads and checks the settings in a file. All that is wrong with them is
// reported at once, each fault with its JSON path.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	s, err := Parse(text)
	if err != nil {
		return Settings{}, Error.Wrap(fmt.Errorf("%s:\n%w", path, err))
	}
	return s, nil
}

// Parse reads and checks a text.
func Parse(text []byte) (Settings, error) {
	var s Settings
	faults := document.Strict(text, &s)
	s.check(faults)
	if err := faults.Err(); err != nil {
		return Settings{}, err
	}
	s.fillDefaults()
	return s, nil
}

func (s *Settings) check(f *document.Faults) {
	required(f, "name", s.Name)
	required(f, "environment", s.Environment)
	required(f, "failure_domain", s.FailureDomain)
	oneOf(f, "slot", s.Slot, "", SlotProduction, SlotTrial)
	s.Callers.check(f, "callers")
	s.Peers.check(f, "peers")
	s.Operators.check(f, "operators")
	if s.Peers.TLS != nil {
		required(f, "peers.tls.authorities", s.Peers.TLS.Authorities)
	}
	address(f, "store.address", s.Store.Address, true)
	notNegative(f, "store.calls_per_second", s.Store.CallsPerSecond)
	notNegative(f, "store.timeout_ms", s.Store.TimeoutMillis)
	atMost(f, "store.timeout_ms", s.Store.TimeoutMillis, maxMillis)
	oneOf(f, "log.level", s.Log.Level, "", "trace", "debug", "info", "warn", "error")
	oneOf(f, "log.format", s.Log.Format, "", "json", "text")
	notNegative(f, "drain.limit_s", s.Drain.LimitSeconds)
	atMost(f, "drain.limit_s", s.Drain.LimitSeconds, maxDrainSeconds)
	notNegative(f, "fleet.interval_ms", s.Fleet.IntervalMillis)
	atMost(f, "fleet.interval_ms", s.Fleet.IntervalMillis, maxMillis)
	notNegative(f, "load.polls_per_second", s.Load.PollsPerSecond)
	atMost(f, "load.polls_per_second", s.Load.PollsPerSecond, maxPolls)
	notNegative(f, "load.cache_event_polls_per_second", s.Load.CacheEventPollsPerSecond)
	atMost(f, "load.cache_event_polls_per_second", s.Load.CacheEventPollsPerSecond, maxPolls)
}

func (l Listener) check(f *document.Faults, path string) {
	address(f, path+".listen", l.Listen, true)
	address(f, path+".advertise", l.Advertise, false)
	if l.TLS != nil {
		required(f, path+".tls.certificate", l.TLS.Certificate)
		required(f, path+".tls.key", l.TLS.Key)
	}
	for i, key := range l.KeySHA256 {
		digest(f, fmt.Sprintf("%s.key_sha256[%d]", path, i), key)
	}
}

func digest(f *document.Faults, path, value string) {
	raw, err := hex.DecodeString(value)
	if err != nil || len(raw) != sha256.Size {
		f.Add(path, "%q is not a SHA-256 in hex", value)
	}
}

func (s *Settings) fillDefaults() {
	if s.Slot == "" {
		s.Slot = SlotProduction
	}
	if s.Store.CallsPerSecond == 0 {
		s.Store.CallsPerSecond = DefaultStoreCalls
	}
	if s.Load.PollsPerSecond == 0 {
		s.Load.PollsPerSecond = DefaultPolls
	}
	if s.Load.CacheEventPollsPerSecond == 0 {
		s.Load.CacheEventPollsPerSecond = DefaultEventPolls
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
}

func required(f *document.Faults, path, value string) {
	if value == "" && !f.Covers(path) {
		f.Add(path, "is missing")
	}
}

func oneOf(f *document.Faults, path, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	f.Add(path, "%q is not one of %q", value, allowed[1:])
}

func notNegative(f *document.Faults, path string, value int) {
	if value < 0 {
		f.Add(path, "%d is negative", value)
	}
}

func atMost(f *document.Faults, path string, value, most int) {
	if value > most {
		f.Add(path, "%d is over %d", value, most)
	}
}

// address wants an IP number: a name would have to be looked up, and the
// platform gives none.
func address(f *document.Faults, path, value string, needed bool) {
	if value == "" {
		if needed && !f.Covers(path) {
			f.Add(path, "is missing")
		}
		return
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		f.Add(path, "%q is not an IP number and a port", value)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > maxPort {
		f.Add(path, "%q is not a port", port)
	}
}

const (
	maxPort = 65535
	// maxPolls asks 3,000 endpoints every 3 s, and leaves a pause between two
	// polls that a timer can keep.
	maxPolls = 1000
	// maxMillis, a day, and maxDrainSeconds, 30 days, are above any use and keep the
	// conversions to a time.Duration in range.
	maxMillis       = 24 * 60 * 60 * 1000
	maxDrainSeconds = 30 * 24 * 60 * 60
)
