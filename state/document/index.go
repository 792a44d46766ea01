package document

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"time"
)

// IndexFormat is the version of the index that this program reads. Format 1
// held the whole text, which no store value holds at 10,000 replicas.
const IndexFormat = 2

// MaxRecordBytes is the largest value that the store holds.
const MaxRecordBytes = 1 << 20

// Index is what the store holds at the key of a document in force, on trial or
// in the history: who put which text there, and the parts that the text is in.
// It never changes once written; a newer text is a new index with a higher
// revision.
type Index struct {
	// Revision counts the texts put in force in this place, from one.
	Revision int64
	// PromotionID is the unique id of the promotion (or trial) that wrote the
	// index; after a lost reply it tells whose write took effect.
	PromotionID string
	// Digest is the hex SHA-256 of the whole text.
	Digest string
	// Operator is who put the text in force, and At when, by that node's clock.
	Operator string
	At       time.Time
	// Base is the revision that the text replaced.
	Base int64
	// Parts are the parts of the text, in its order.
	Parts []PartRef
}

// Record is an Index and the text that it names, byte for byte as the operator
// wrote it.
type Record struct {
	Index
	Text []byte
}

// indexJSON is the stored form.
type indexJSON struct {
	Format      int       `json:"format"`
	Revision    int64     `json:"revision"`
	PromotionID string    `json:"promotion_id"`
	Digest      string    `json:"digest"`
	Operator    string    `json:"operator"`
	At          time.Time `json:"at"`
	Base        int64     `json:"base"`
	// Parts has partRefBytes for each part. As a list of hex digests it would be
	// twice as long, and every watch holder gets it at each change.
	Parts []byte `json:"parts"`
}

// partRefBytes is the length of a packed PartRef: the digest and four bytes for
// the length, the highest first.
const partRefBytes = sha256.Size + 4

// Encode returns the stored form; it fails if that is larger than the store
// holds.
func (x Index) Encode() ([]byte, error) {
	parts := make([]byte, 0, len(x.Parts)*partRefBytes)
	for _, ref := range x.Parts {
		parts = append(parts, ref.Digest[:]...)
		parts = binary.BigEndian.AppendUint32(parts, uint32(ref.Bytes))
	}
	value, err := json.Marshal(indexJSON{
		Format:      IndexFormat,
		Revision:    x.Revision,
		PromotionID: x.PromotionID,
		Digest:      x.Digest,
		Operator:    x.Operator,
		At:          x.At,
		Base:        x.Base,
		Parts:       parts,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(value) > MaxRecordBytes {
		return nil, Error.New("the index has %d bytes, more than the %d that the store holds", len(value), MaxRecordBytes)
	}
	return value, nil
}

// DecodeIndex reads the stored form. It refuses an unknown format, an index
// without its marks and parts that are malformed or too long in all, and says
// which. It looks at no part.
func DecodeIndex(value []byte) (Index, error) {
	if len(value) > MaxRecordBytes {
		return Index{}, Error.New("the index has %d bytes, more than %d", len(value), MaxRecordBytes)
	}
	var stored indexJSON
	if err := json.Unmarshal(value, &stored); err != nil {
		return Index{}, Error.New("the index is not JSON of the expected form: %v", err)
	}
	if err := checkIndexFormat(stored.Format); err != nil {
		return Index{}, err
	}
	if stored.Revision < 1 || stored.PromotionID == "" {
		return Index{}, Error.New("the index has no revision or no promotion id")
	}
	parts, err := unpackRefs(stored.Parts)
	if err != nil {
		return Index{}, err
	}
	return Index{
		Revision:    stored.Revision,
		PromotionID: stored.PromotionID,
		Digest:      stored.Digest,
		Operator:    stored.Operator,
		At:          stored.At,
		Base:        stored.Base,
		Parts:       parts,
	}, nil
}

func checkIndexFormat(format int) error {
	switch format {
	case IndexFormat:
		return nil
	case 1:
		return Error.New("the record has format 1, a whole text in one value, from a program before the first release; this program reads format %d: take the environment's keys out of the store, trial and promote the text again, and restart the nodes", IndexFormat)
	}
	return Error.New("the index has format %d; this program reads %d", format, IndexFormat)
}

// unpackRefs bounds the text before any part of it is read.
func unpackRefs(packed []byte) ([]PartRef, error) {
	if len(packed)%partRefBytes != 0 {
		return nil, Error.New("the index's list of parts is malformed")
	}
	var refs []PartRef
	total := 0
	for ; len(packed) > 0; packed = packed[partRefBytes:] {
		ref := PartRef{
			Digest: PartDigest(packed[:sha256.Size]),
			Bytes:  int(binary.BigEndian.Uint32(packed[sha256.Size:])),
		}
		if ref.Bytes < 1 || ref.Bytes > maxPieceBytes {
			return nil, Error.New("the index names a part of %d bytes, must be from 1 to %d", ref.Bytes, maxPieceBytes)
		}
		if total += ref.Bytes; total > MaxTextBytes {
			return nil, Error.New("the index names parts of more than %d bytes together", MaxTextBytes)
		}
		refs = append(refs, ref)
	}
	return refs, nil
}
