// Package sse has the parts of the standard of server-sent events that the readers of streams share:
// ends of lines, names of fields and the byte order mark.
//
// Source: https://html.spec.whatwg.org/multipage/server-sent-events.html
package sse

import "bytes"

// Names of the fields that the standard knows.
var (
	FieldData  = []byte("data")
	FieldID    = []byte("id")
	FieldEvent = []byte("event")
	FieldRetry = []byte("retry")
)

// ByteOrderMark may precede the first line of a stream.
var ByteOrderMark = []byte("\ufeff")

// IsFieldName reports whether a name may be that of a field that the standard does not know: lower-case
// letters, digits and hyphens. Receivers ignore such fields.
func IsFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return len(name) > 0
}

// FirstLineEnd returns the index of the first LF or CR, -1 if there is none.
func FirstLineEnd(p []byte) int {
	lf := bytes.IndexByte(p, '\n')
	before := p
	if lf >= 0 {
		before = p[:lf]
	}
	if cr := bytes.IndexByte(before, '\r'); cr >= 0 {
		return cr
	}
	return lf
}
