package docsync

import (
	"fmt"
	"testing"
)

// BenchmarkChange measures a node's work for one change of a document: the
// difference to the one before, and unpacking it:
//
//	go test -run '^$' -bench Change ./fleet/docsync
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{50_000, MaxBodyBytes} {
		base := testRecord(1, document(size))
		next := testRecord(2, append([]byte("{}"), base.Body[2:]...))
		b.Run(fmt.Sprintf("pack/bytes=%d", size), func(b *testing.B) {
			for b.Loop() {
				Pack(next, base)
			}
		})
		packed := Pack(next, base)
		b.Run(fmt.Sprintf("unpack/bytes=%d", size), func(b *testing.B) {
			for b.Loop() {
				if _, err := Unpack("stock", 2, packed, base); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
