package document

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
)

// ErrPart reports a part of a text that is not what its digest says.
var ErrPart = errors.New("the part is damaged")

// PartDigest is the SHA-256 of a part's bytes.
type PartDigest [sha256.Size]byte

// String is the digest in hex, by which the store's keys name parts.
func (d PartDigest) String() string { return hex.EncodeToString(d[:]) }

// PartRef names a part of a text.
type PartRef struct {
	Digest PartDigest
	// Bytes is the part's length in the text.
	Bytes int
}

// Part is a run of a text's bytes.
type Part struct {
	Ref PartRef
	// Text shares the memory of the text that it was cut from.
	Text []byte
}

// Parts cuts a text into parts, none of more than 64 KB, so that a small change
// of a long text leaves nearly all of them as they were.
func Parts(text []byte) []Part {
	var parts []Part
	for _, p := range split(text, storedPieces) {
		if len(p.text) > 0 {
			parts = append(parts, Part{PartRef{sha256.Sum256(p.text), len(p.text)}, p.text})
		}
	}
	return parts
}

// Refs returns the parts' names.
func Refs(parts []Part) []PartRef {
	refs := make([]PartRef, len(parts))
	for i, p := range parts {
		refs[i] = p.Ref
	}
	return refs
}

// Encode returns the stored form: the part compressed.
func (p Part) Encode() ([]byte, error) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(p.Text); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return compressed.Bytes(), nil
}

// DecodePart reads the stored form of the part that ref names. The error
// matches ErrPart if the value does not unpack to its bytes.
//
// Whoever can write to the store, or a fault of its medium, may have put
// anything there; taken unseen, nodes would route by it. The digest stands in
// the index, which was agreed on, so no other value passes. The length bounds
// what is unpacked: a few packed bytes can stand for gigabytes.
func DecodePart(ref PartRef, value []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, damaged(ref, "cannot be unpacked: %v", err)
	}
	text, err := io.ReadAll(io.LimitReader(reader, int64(ref.Bytes)+1))
	if err != nil {
		return nil, damaged(ref, "cannot be unpacked: %v", err)
	}
	if len(text) != ref.Bytes {
		return nil, damaged(ref, "does not have %d bytes", ref.Bytes)
	}
	if sha256.Sum256(text) != ref.Digest {
		return nil, damaged(ref, "has another digest")
	}
	return text, nil
}

func damaged(ref PartRef, format string, args ...any) error {
	return Error.Wrap(fmt.Errorf("%w: part %s %s", ErrPart, ref.Digest, fmt.Sprintf(format, args...)))
}

// Join returns the text that an index names, of its parts in order. The error
// matches ErrPart if they are not that text.
func (x Index) Join(parts [][]byte) ([]byte, error) {
	text := bytes.Join(parts, nil)
	if digest := Digest(text); digest != x.Digest {
		return nil, Error.Wrap(fmt.Errorf("%w: the parts together have digest %s, the index says %q", ErrPart, digest, x.Digest))
	}
	return text, nil
}

// Cut returns the parts of the text that the index names.
func (x Index) Cut(text []byte) []Part {
	parts := make([]Part, len(x.Parts))
	for i, ref := range x.Parts {
		parts[i] = Part{ref, text[:ref.Bytes:ref.Bytes]}
		text = text[ref.Bytes:]
	}
	return parts
}
