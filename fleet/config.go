package fleet

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/fleet/docsync"
	"github.com/cicadatack/cicadatack/fleet/evidence"
	"github.com/cicadatack/cicadatack/fleet/membership"
)

// Defaults of Config.
const (
	DefaultInterval     = time.Second
	DefaultMaxIsolation = 10 * time.Minute
)

const (
	// listPerMember is the pause between two reads of the platform's list for
	// each VM on it: the fleet as a whole reads it four times a second and a
	// node's bytes for it stay the same, at any size. A change that one node
	// reads reaches the others as a rumor.
	listPerMember = 250 * time.Millisecond
	// listFloor intervals are the shortest such pause.
	listFloor = 5
	// maxMessageBytes bounds a request: a body that does not compress and the
	// rest of the message.
	maxMessageBytes = docsync.MaxBodyBytes + 1<<18
	// inlineBytes is the largest payload sent without being asked for: about
	// what asking costs in headers.
	inlineBytes = 2048
	// retryFloor and retryCeiling bound the jittered pause between two tries
	// to reach the store.
	retryFloor   = 200 * time.Millisecond
	retryCeiling = 10 * time.Second
	// storeTimeout of one read of the store.
	storeTimeout = 5 * time.Second
	// isolationOthers members besides this node, not gone, are what it takes
	// for a silent node to hold itself for the one cut off.
	isolationOthers = 2
	// pushTimeout of one push. A peer slower than this is repaired by digest.
	pushTimeout = 3 * time.Second
)

// Record is an environment's document as accepted at one revision.
type Record = docsync.Record

// Member is what is known of one node.
type Member = membership.Member

// VM is one line of the platform's list.
type VM = membership.VM

// Config of a Fleet. Name, Address, FailureDomain and Environment are needed.
type Config struct {
	Name string
	// Address is the peers' listener, ip:port.
	Address string
	// CallerAddress is the callers' listener, ip:port.
	CallerAddress string
	FailureDomain string
	// Environment is the slot whose record this node serves.
	Environment string
	// Interval between two exchanges; zero: DefaultInterval.
	Interval time.Duration
	// MaxIsolation is how long a node without store and peers stays ready, if
	// there are others to serve in its place; zero: DefaultMaxIsolation.
	MaxIsolation time.Duration
	// Scheme of the peers' listeners, http or https; empty: http.
	Scheme string
	// Limits splits the teams' limits between their homes; nil: none is split.
	Limits Limits
	// OnLeaving is called when LeavingEndpoints has changed; it must return soon.
	OnLeaving func()
	// Crashes holds the evidence about replicas that crash; nil: none is exchanged.
	Crashes evidence.Source
	// Orders does operations of the order ledger for a peer; nil: none are taken.
	Orders OrderServer
	// Transport for exchanges; nil: one with connections kept for a while.
	Transport http.RoundTripper
}

func (c Config) withDefaults() (Config, error) {
	for _, field := range []struct{ name, value string }{
		{"name", c.Name}, {"address", c.Address},
		{"failure domain", c.FailureDomain}, {"environment", c.Environment},
	} {
		if field.value == "" {
			return c, Error.Wrap(fmt.Errorf("%w: no %s", ErrConfig, field.name))
		}
	}
	if c.Interval <= 0 {
		c.Interval = DefaultInterval
	}
	if c.MaxIsolation <= 0 {
		c.MaxIsolation = DefaultMaxIsolation
	}
	if c.Scheme == "" {
		c.Scheme = "http"
	}
	if c.Limits == nil {
		c.Limits = noLimits{}
	}
	if c.OnLeaving == nil {
		c.OnLeaving = func() {}
	}
	if c.Orders == nil {
		c.Orders = noOrders{}
	}
	if c.Transport == nil {
		c.Transport = NewTransport(nil)
	}
	return c, nil
}

// NewTransport keeps one connection to each recent peer. At 2,200 nodes a
// connection to everyone would cost more memory than the control budget has,
// so idle ones are closed. peers says how to meet them over TLS; it may be nil.
//
// Sessions are not kept to be resumed: the ticket holds the caller's certificate
// and crosses the link twice, so a resumed handshake takes more bytes than a
// whole one.
func NewTransport(peers *tls.Config) http.RoundTripper {
	return &http.Transport{
		TLSClientConfig:     peers,
		MaxIdleConns:        64,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
}

// VMs is the platform's lagging list of entry VMs.
type VMs interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Documents is the store's record of this environment.
type Documents interface {
	// Get returns the record in force; a record of revision zero: none yet.
	Get(ctx context.Context) (Record, error)
	// Watch calls handle with the record in force and with each later one,
	// until ctx ends or the connection fails; it then returns the error.
	Watch(ctx context.Context, handle func(Record)) error
}

// Status is a node's own state, for readiness and operators.
type Status struct {
	// Ready: the record may be served.
	Ready bool
	// Reason why not, in a few words; empty if Ready.
	Reason string
	// Revision of the record held.
	Revision int64
	// Watching: this node holds a watch at the store.
	Watching bool
	// Near is how many nodes of the failure domain, this one included, the record is spread
	// among.
	Near int
	// LastPeer and LastStore are when a peer and the store last answered.
	LastPeer, LastStore time.Time
}
