package docsync

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
)

// Record is an environment's document as accepted at one revision.
type Record struct {
	// Environment is the slot, e.g. an environment or its trial.
	Environment string
	// Revision rises with each accepted document; zero: none.
	Revision int64
	// Digest is the hex SHA-256 of Body.
	Digest string
	Body   []byte
}

// maxRevision is above any that a store reaches. Records only rise, so that a node would keep one of a
// revision beyond it for good.
const maxRevision = 1 << 53

// DigestOf returns the hex SHA-256 of a body.
func DigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Holding says which record a node has, without its body.
type Holding struct {
	Revision int64
	// Mark tells two records of one revision apart; it proves nothing.
	Mark uint64
}

// Holding of the record; the zero Holding for no record.
func (r Record) Holding() Holding {
	if r.Revision == 0 {
		return Holding{}
	}
	h := fnv.New64a()
	h.Write([]byte(r.Digest))
	return Holding{Revision: r.Revision, Mark: h.Sum64()}
}
