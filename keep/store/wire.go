package store

// The messages of the JSON gateway of the etcd v3 API, as far as this client
// speaks it. Keys and values are base64, which encoding/json does for []byte;
// 64-bit numbers are strings.

// Paths of the store's calls.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Names that the protocol gives to comparisons and changes.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
	TypeDelete  = "DELETE"
)

// Header carries the store's revision.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one key as last written.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key, or all from Key up to but without RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
	// MinModRevision leaves out keys that were last written before it.
	MinModRevision int64 `json:"min_mod_revision,string,omitempty"`
	// KeysOnly leaves out the values.
	KeysOnly bool `json:"keys_only,omitempty"`
}

// RangeResponse answers RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest removes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one step of a transaction; one field is set.
type RequestOp struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest applies Success if every comparison holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// TxnResponse answers TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseRequest grants (TTL in seconds), renews or revokes a lease.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseResponse answers LeaseRequest; a TTL of zero on renewal means that the
// lease is gone.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is the one element of the renewal's stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names the range and the first revision to report.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchResponse is one element of a watch's stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult carries changes. Canceled with CompactRevision set says that the
// changes asked for are no longer kept.
type WatchResult struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// WatchEvent is one change; Type is empty for a put.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// ErrorResponse is the body of a refusal.
type ErrorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Codes of refusals, as gRPC numbers them.
const (
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeUnavailable       = 14
)

// PrefixEnd returns the first key after all keys that start with prefix.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return "\x00"
}
