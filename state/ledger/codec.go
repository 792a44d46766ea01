package ledger

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cicadatack/cicadatack/state/store"
)

// shardFormat is the version of the stored shard that this program reads.
// Format 1 was JSON, with three times the bytes an order.
const shardFormat = 2

// Fields of a stored shard, in protobuf's wire form. An archive is stored the
// same way, without a list of archives.
const (
	fieldFormat protowire.Number = iota + 1
	fieldEntry
	fieldArchive
)

// Fields of an entry. An entry with a status has a result.
const (
	fieldID protowire.Number = iota + 1
	fieldFingerprint
	fieldAttempt
	fieldClaimed
	fieldStatus
	fieldJSON
	fieldContentType
	fieldBody
	fieldTruncated
)

// Fields of a reference to an archive.
const (
	fieldName protowire.Number = iota + 1
	fieldNewest
)

// jsonType is the content type of most results; it is stored as one flag.
const jsonType = "application/json"

// encoded sets the stored form of an entry.
func (e *entry) encoded() *entry {
	raw := appendText(nil, fieldID, e.ID)
	raw = appendText(raw, fieldFingerprint, e.Fingerprint)
	raw = appendText(raw, fieldAttempt, e.Attempt)
	raw = appendNumber(raw, fieldClaimed, e.ClaimedMs)
	if e.Result != nil {
		raw = e.Result.append(raw)
	}
	e.raw = slices.Clip(raw)
	return e
}

func (r *Result) append(raw []byte) []byte {
	raw = appendNumber(raw, fieldStatus, int64(r.Status))
	switch r.ContentType {
	case "":
	case jsonType:
		raw = appendNumber(raw, fieldJSON, 1)
	default:
		raw = appendText(raw, fieldContentType, r.ContentType)
	}
	if len(r.Body) > 0 {
		raw = appendText(raw, fieldBody, string(r.Body))
	}
	if r.Truncated {
		raw = appendNumber(raw, fieldTruncated, 1)
	}
	return raw
}

func appendText(raw []byte, field protowire.Number, text string) []byte {
	raw = protowire.AppendTag(raw, field, protowire.BytesType)
	return protowire.AppendString(raw, text)
}

func appendNumber(raw []byte, field protowire.Number, n int64) []byte {
	raw = protowire.AppendTag(raw, field, protowire.VarintType)
	return protowire.AppendVarint(raw, uint64(n))
}

// storedBytes is what an entry takes in its shard.
func (e *entry) storedBytes() int {
	return protowire.SizeTag(fieldEntry) + protowire.SizeBytes(len(e.raw))
}

// decodeEntry reads the stored form. The entry keeps it.
func decodeEntry(raw []byte) (*entry, error) {
	e := &entry{raw: raw}
	result := Result{}
	done := false
	err := eachField(raw, func(field protowire.Number, text []byte, n uint64) {
		switch field {
		case fieldID:
			e.ID = string(text)
		case fieldFingerprint:
			e.Fingerprint = string(text)
		case fieldAttempt:
			e.Attempt = string(text)
		case fieldClaimed:
			e.ClaimedMs = int64(n)
		case fieldStatus:
			result.Status = int(n)
			done = true
		case fieldJSON:
			result.ContentType = jsonType
		case fieldContentType:
			result.ContentType = string(text)
		case fieldBody:
			result.Body = text
		case fieldTruncated:
			result.Truncated = true
		}
	})
	if err == nil && (e.ID == "" || e.Attempt == "") {
		err = badShard("an entry without id or attempt")
	}
	if done {
		e.Result = &result
	}
	return e, err
}

// idOf returns the id of a stored entry, whose first field it is.
func idOf(raw []byte) []byte {
	_, _, length := protowire.ConsumeTag(raw)
	if length < 0 {
		return nil
	}
	id, _ := protowire.ConsumeBytes(raw[length:])
	return id
}

// eachField calls visit for each field of a message, with its text or number.
func eachField(message []byte, visit func(field protowire.Number, text []byte, n uint64)) error {
	for len(message) > 0 {
		field, kind, length := protowire.ConsumeTag(message)
		if length < 0 {
			return badShard("%v", protowire.ParseError(length))
		}
		message = message[length:]
		var text []byte
		var n uint64
		switch kind {
		case protowire.BytesType:
			text, length = protowire.ConsumeBytes(message)
		case protowire.VarintType:
			n, length = protowire.ConsumeVarint(message)
		default:
			return badShard("a field of type %d", kind)
		}
		if length < 0 {
			return badShard("%v", protowire.ParseError(length))
		}
		message = message[length:]
		visit(field, slices.Clip(text), n)
	}
	return nil
}

// stored is a shard or archive as read, before its entries are looked at.
type stored struct {
	entries  [][]byte
	archives []archiveRef
}

// decodeStored reads the outer form of a shard or an archive.
func decodeStored(value []byte) (stored, error) {
	var s stored
	if len(value) > store.MaxValueBytes {
		return s, badShard("%d bytes", len(value))
	}
	if len(value) > 0 && value[0] == '{' {
		return s, badShard("format 1, from a program before the first release; this program reads %d: wait until the orders' retention is over, take the environment's ledger out of the store and restart the nodes", shardFormat)
	}
	format := uint64(0)
	var failed error
	err := eachField(value, func(field protowire.Number, text []byte, n uint64) {
		switch field {
		case fieldFormat:
			format = n
		case fieldEntry:
			s.entries = append(s.entries, text)
		case fieldArchive:
			ref, err := decodeRef(text)
			failed = firstError(failed, err)
			s.archives = append(s.archives, ref)
		}
	})
	if err = firstError(err, failed); err != nil {
		return stored{}, err
	}
	if format != shardFormat {
		return stored{}, badShard("format %d, this program reads %d", format, shardFormat)
	}
	return s, nil
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// appendStored writes the outer form.
func appendStored(value []byte, entries []*entry, archives []archiveRef) []byte {
	value = appendNumber(value, fieldFormat, shardFormat)
	for _, ref := range archives {
		value = appendText(value, fieldArchive, string(ref.encode()))
	}
	for _, e := range entries {
		value = protowire.AppendTag(value, fieldEntry, protowire.BytesType)
		value = protowire.AppendBytes(value, e.raw)
	}
	return value
}

func (a archiveRef) encode() []byte {
	return appendNumber(appendNumber(nil, fieldName, a.name), fieldNewest, a.newestMs)
}

func decodeRef(text []byte) (archiveRef, error) {
	var ref archiveRef
	err := eachField(text, func(field protowire.Number, _ []byte, n uint64) {
		switch field {
		case fieldName:
			ref.name = int64(n)
		case fieldNewest:
			ref.newestMs = int64(n)
		}
	})
	if err == nil && ref.name <= 0 {
		err = badShard("an archive without a name")
	}
	return ref, err
}

func badShard(format string, args ...any) error {
	return Error.Wrap(fmt.Errorf("%w: %s", ErrBadShard, fmt.Sprintf(format, args...)))
}
