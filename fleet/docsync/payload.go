package docsync

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
)

// MaxBodyBytes is the largest body taken from a peer: the longest text that an
// operator's command puts in force.
const MaxBodyBytes = 4 << 20

// blockSize is the unit in which a difference looks for unchanged text. A
// smaller one finds more and costs more memory while comparing.
const blockSize = 32

// Payload is a record's body on its way to a peer.
type Payload struct {
	Digest string
	// Base is the record that the difference applies to; zero: a whole body.
	Base Holding
	// Length of the body once unpacked, in bytes.
	Length int
	// Data is DEFLATE data.
	Data []byte
}

// Pack encodes a record's body as the difference to base, or whole if base is
// the zero Record.
func Pack(record, base Record) Payload {
	p := Payload{Digest: record.Digest, Length: len(record.Body)}
	if base.Revision == 0 {
		p.Data = deflate(record.Body)
		return p
	}
	p.Base = base.Holding()
	p.Data = deflate(difference(base.Body, record.Body))
	return p
}

// Unpack returns the record that p carries. It fails with ErrBase if base is
// not what the difference applies to, with ErrTooLarge or ErrMalformed for bad
// input, and with ErrDigest if the body is not the one that was accepted.
func Unpack(environment string, revision int64, p Payload, base Record) (Record, error) {
	if p.Length < 0 || p.Length > MaxBodyBytes {
		return Record{}, Error.Wrap(ErrTooLarge)
	}
	whole := p.Base == Holding{}
	if !whole && base.Holding() != p.Base {
		return Record{}, Error.Wrap(ErrBase)
	}
	// The operations of a difference take a little more than the body itself.
	limit := p.Length
	if !whole {
		limit = 2 * (p.Length + blockSize)
	}
	data, err := inflate(p.Data, limit)
	if err != nil {
		return Record{}, Error.Wrap(err)
	}
	body := data
	if !whole {
		body, err = applyDifference(base.Body, data, p.Length)
	}
	if err != nil {
		return Record{}, Error.Wrap(err)
	}
	if len(body) != p.Length {
		return Record{}, Error.Wrap(ErrMalformed)
	}
	if DigestOf(body) != p.Digest {
		return Record{}, Error.Wrap(ErrDigest)
	}
	return Record{Environment: environment, Revision: revision, Digest: p.Digest, Body: body}, nil
}

func deflate(data []byte) []byte {
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.DefaultCompression) // fails on bad levels only
	w.Write(data)                                           // a bytes.Buffer takes all
	w.Close()
	return out.Bytes()
}

// inflate unpacks data, bounded: a few packed bytes can stand for gigabytes.
func inflate(data []byte, limit int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(limit)+1))
	if err != nil {
		return nil, ErrMalformed
	}
	if len(out) > limit {
		return nil, ErrTooLarge
	}
	return out, nil
}

// difference encodes target as operations: copy (length, offset in base) and
// insert (zero, length, bytes), numbers as varints.
//
// A common beginning and end are found first: most changes are of one place in
// a long text, and indexing all of the base took most of a push's time.
func difference(base, target []byte) []byte {
	head := commonPrefix(base, target)
	tail := commonSuffix(base[head:], target[head:])
	out := appendCopy(nil, 0, head)
	if middle := target[head : len(target)-tail]; len(middle) < blockSize {
		out = appendInsert(out, middle)
	} else {
		out = append(out, blockDifference(base, middle)...)
	}
	return appendCopy(out, len(base)-tail, tail)
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

func appendCopy(out []byte, offset, length int) []byte {
	if length == 0 {
		return out
	}
	out = binary.AppendUvarint(out, uint64(length))
	return binary.AppendUvarint(out, uint64(offset))
}

// blockDifference looks for blocks of target anywhere in base.
func blockDifference(base, target []byte) []byte {
	blocks := indexBlocks(base)
	var out []byte
	pending := 0
	for at := 0; at < len(target); {
		offset, length := longestMatch(blocks, base, target, at)
		if length == 0 {
			at++
			continue
		}
		out = appendInsert(out, target[pending:at])
		out = appendCopy(out, offset, length)
		at += length
		pending = at
	}
	return appendInsert(out, target[pending:])
}

func indexBlocks(base []byte) map[[blockSize]byte]int {
	blocks := make(map[[blockSize]byte]int, len(base)/blockSize)
	for at := 0; at+blockSize <= len(base); at += blockSize {
		key := [blockSize]byte(base[at:])
		if _, ok := blocks[key]; !ok {
			blocks[key] = at
		}
	}
	return blocks
}

// longestMatch extends the block of base that matches target at a position.
func longestMatch(blocks map[[blockSize]byte]int, base, target []byte, at int) (offset, length int) {
	if at+blockSize > len(target) {
		return 0, 0
	}
	offset, ok := blocks[[blockSize]byte(target[at:])]
	if !ok {
		return 0, 0
	}
	length = blockSize
	for offset+length < len(base) && at+length < len(target) && base[offset+length] == target[at+length] {
		length++
	}
	return offset, length
}

func appendInsert(out, data []byte) []byte {
	if len(data) == 0 {
		return out
	}
	out = append(out, 0)
	out = binary.AppendUvarint(out, uint64(len(data)))
	return append(out, data...)
}

func applyDifference(base, ops []byte, length int) ([]byte, error) {
	out := make([]byte, 0, length)
	for len(ops) > 0 {
		piece, rest, err := nextPiece(base, ops)
		if err != nil {
			return nil, err
		}
		if len(out)+len(piece) > length {
			return nil, ErrMalformed
		}
		out = append(out, piece...)
		ops = rest
	}
	return out, nil
}

// nextPiece decodes one operation into the bytes that it stands for.
func nextPiece(base, ops []byte) (piece, rest []byte, err error) {
	count, ops, err := uvarint(ops)
	if err != nil {
		return nil, nil, err
	}
	argument, ops, err := uvarint(ops)
	if err != nil {
		return nil, nil, err
	}
	if count == 0 {
		if argument > uint64(len(ops)) {
			return nil, nil, ErrMalformed
		}
		return ops[:argument], ops[argument:], nil
	}
	if argument > uint64(len(base)) || count > uint64(len(base))-argument {
		return nil, nil, ErrMalformed
	}
	return base[argument : argument+count], ops, nil
}

func uvarint(data []byte) (uint64, []byte, error) {
	value, n := binary.Uvarint(data)
	if n <= 0 {
		return 0, nil, ErrMalformed
	}
	return value, data[n:], nil
}
