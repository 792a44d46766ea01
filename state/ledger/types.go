package ledger

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this layer.
var Error = errs.Class("ledger")

var (
	// ErrNotRun matches every error of Claim: the order was not claimed for
	// this call, so the call must not send it and may say "not run".
	ErrNotRun = errors.New("the order was not claimed and must not be sent")
	// ErrUnavailable reports that the store did not answer, or that the caller
	// left first.
	ErrUnavailable = errors.New("the ledger's store is unavailable")
	// ErrFull reports a shard without room for more claims until older ones
	// pass their retention.
	ErrFull = errors.New("the ledger's shard is full")
	// ErrBadShard reports a shard that cannot be read. It is left as it is: a
	// new one in its place would forget orders and let them be placed twice.
	ErrBadShard = errors.New("the ledger's shard cannot be read")
	// ErrBadKey reports an empty or overlong key.
	ErrBadKey = errors.New("not an idempotency key")
	// ErrLate reports a claim that another node asked for and no longer waits
	// for.
	ErrLate = errors.New("the node that asked for the claim no longer waits for it")
	// ErrNotHolder reports a result or release for a claim that is not, or no
	// longer, this caller's.
	ErrNotHolder = errors.New("the claim is not this caller's")
	// ErrNotKept reports a result or release that is not in the store yet; this
	// node keeps it and tries again with the shard's next write.
	ErrNotKept = errors.New("not written yet; this node will try again")
)

// Shards is over how many values of the store an environment's claims are
// spread. All claims of a team and service stand in one.
//
// A shard has one owner (decide/shardowner), which paces its writes. With several
// shards to an owner each waits its turn behind the others, and the orders that
// come meanwhile are spread over as many batches. 16 owners at 40 writes a second each
// are what the store takes.
//
// It is fixed: nodes that disagreed about it would look for one key in two places
// and place its order twice.
const Shards = 16

// Bytes of what an entry is known by. An id has to keep the orders of an
// environment apart: 128 bits do, as two keys that meet by chance or by trying
// come once in 2^64, and who tries can meet only orders of the own team. An
// attempt id has to keep the attempts on one order apart, a fingerprint the
// bodies under one key.
const (
	idBytes          = 16
	attemptBytes     = 12
	fingerprintBytes = 9
)

// newAttempt returns an attempt id that no other call returns.
func newAttempt() string {
	random := make([]byte, attemptBytes)
	_, _ = rand.Read(random) // it never fails
	return base64.RawURLEncoding.EncodeToString(random)
}

// MaxKeyBytes is the longest idempotency key.
const MaxKeyBytes = 256

// Key names one order of one team at one service.
type Key struct {
	Team    string
	Service string
	Key     string
}

// id is what the key is stored under.
func (k Key) id() string {
	sum := digestOf(k.Team, k.Service, k.Key)
	return string(sum[:idBytes])
}

// digestOf digests several texts. Each is preceded by its length, so that no
// two lists of them run together to the same.
func digestOf(parts ...string) [sha256.Size]byte {
	var text []byte
	for _, part := range parts {
		text = binary.BigEndian.AppendUint64(text, uint64(len(part)))
		text = append(text, part...)
	}
	return sha256.Sum256(text)
}

// Shard returns the number of the shard that holds the key, from zero to
// Shards. Sending a shard's orders to one node mostly saves writes; it is
// never what keeps an order from being placed twice.
func (k Key) Shard() int {
	team := digestOf(k.Team, k.Service)
	return int(binary.BigEndian.Uint32(team[:4]) % Shards)
}

// ShardKey is the store's key of a shard.
func ShardKey(env string, shard int) string {
	return "/cicadatack/" + env + "/ledger/" + strconv.Itoa(shard)
}

// archiveKey is the store's key of an archive of a shard.
func archiveKey(shardKey string, name int64) string {
	return shardKey + "/" + strconv.FormatInt(name, 10)
}

// State is what a claim found.
type State int

const (
	// Fresh: this caller, and no other, may send the order, once.
	Fresh State = iota + 1
	// Done: the order was placed; Claim.Result is to be replayed.
	Done
	// InDoubt: the order was claimed before and has no result. It may be
	// underway, placed or lost; it is never sent again.
	InDoubt
	// Mismatch: the key was used for another body.
	Mismatch
)

// String names the state.
func (s State) String() string {
	switch s {
	case Fresh:
		return "fresh"
	case Done:
		return "done"
	case InDoubt:
		return "in doubt"
	case Mismatch:
		return "mismatch"
	}
	return "none"
}

// Claim is the answer to a claim.
type Claim struct {
	State State
	// Attempt is the unique id of this claim; Record and Release need it.
	Attempt string
	// ClaimedAt is when the order was claimed, by the claiming node's clock.
	ClaimedAt time.Time
	// Result is set if State is Done.
	Result *Result
	// Node is the peer that wrote the claim; empty: this node.
	Node string

	// astray is that of the operation which made the claim.
	astray bool
}

// Result is the endpoint's answer to an order.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated says that the body was too large to keep, or was dropped to
	// make room; the order was placed all the same.
	Truncated bool
}

// fingerprintOf bounds what is kept of a caller's fingerprint.
func fingerprintOf(fingerprint string) string {
	sum := sha256.Sum256([]byte(fingerprint))
	return base64.RawURLEncoding.EncodeToString(sum[:fingerprintBytes])
}
