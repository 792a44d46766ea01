package membership

import "time"

// State of a member. Within one incarnation a later state overrides an
// earlier one; only the member itself starts a new incarnation.
type State int

const (
	// Joining: listed by the platform or started, and not yet serving.
	Joining State = iota
	// Live: serving.
	Live
	// Suspect: did not answer a peer, and has not refuted it yet.
	Suspect
	// Draining: takes no new work, still finishes what it has.
	Draining
	// Gone: did not refute a suspicion in time, or left.
	Gone
)

var stateNames = [...]string{"joining", "live", "suspect", "draining", "gone"}

// String is the state's name in logs.
func (s State) String() string {
	if s < Joining || s > Gone {
		return "unknown"
	}
	return stateNames[s]
}

// Member is what is known of one node.
type Member struct {
	Name string
	// Address is the peers' listener, ip:port.
	Address string
	// CallerAddress is the callers' listener, ip:port; empty until heard.
	CallerAddress string
	FailureDomain string
	// Incarnation is the node's start in Unix milliseconds, raised by one with
	// each refutation; zero: only the platform's list names it.
	Incarnation int64
	State       State
	// Slot is the hash of the environment slot that the node serves; zero
	// until heard.
	Slot uint32
}

// MaxIncarnation is later than any start of a node, in Unix milliseconds: the end of the year 9999.
// A refutation adds one to the incarnation that it refutes, which must not overflow.
const MaxIncarnation = 253_402_300_799_999

// supersedes says whether m is later news than old about the same node.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// VM is one line of the platform's list, which lags.
type VM struct {
	Name          string
	Address       string
	FailureDomain string
	Leaving       bool
}

// Message is what travels in both directions of an exchange.
type Message struct {
	Sender  Member
	Updates []Member
	// Digest of the sender's view.
	Digest uint64
	// WantTable asks for the receiver's whole view.
	WantTable bool
	// Table is the sender's whole view, if asked for.
	Table []Member
}

// Input is one of Tick, Received, Answered, Failed, Listed, Serve, Drain and Relay.
type Input interface{ input() }

// Tick is given once an interval.
type Tick struct{}

// Received is a peer's message to this node; the batch holds the Reply.
type Received struct{ Message Message }

// Answered is a peer's answer to a message that this node sent.
type Answered struct {
	Message Message
	// AskedTable is WantTable of the message that is answered.
	AskedTable bool
}

// Failed says that a peer did not answer in time.
type Failed struct {
	Peer string
	// Refused: the peer's VM refused the connection, so that no node runs there.
	Refused bool
}

// Listed is the platform's list, whole.
type Listed struct{ VMs []VM }

// Serve says that this node is ready for callers.
type Serve struct{}

// Drain says that this node takes no new work from now on.
type Drain struct{}

// Relay asks for exchanges with a few peers at once, for news that is not of
// members.
type Relay struct{}

func (Tick) input()     {}
func (Received) input() {}
func (Answered) input() {}
func (Failed) input()   {}
func (Listed) input()   {}
func (Serve) input()    {}
func (Drain) input()    {}
func (Relay) input()    {}

// Send is one exchange to be started.
type Send struct {
	To      Member
	Message Message
}

// Change is one member's news; Old is the zero Member for a new one.
type Change struct{ Old, New Member }

// Batch is what a step asks for.
type Batch struct {
	Sends []Send
	// Reply answers a Received.
	Reply *Message
	// Changes are in the order in which they were learned.
	Changes []Change
}

// Config of a Machine.
type Config struct {
	// Self is this node; its incarnation is its start in Unix milliseconds.
	Self Member
	// Interval between two ticks.
	Interval time.Duration
	// Seed of the order in which peers are tried.
	Seed uint64
	// Concerned names the peers that this node needs for a team's limit, the most
	// urgent first; they are exchanged with more often. Nil: none.
	Concerned func() []string
}
