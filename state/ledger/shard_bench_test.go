package ledger

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkShard gives the processor time that a node spends on one write of a
// shard of that many orders, and on reading one back after a conflict.
func BenchmarkShard(b *testing.B) {
	for _, orders := range []int{100, 1000, 5000} {
		s := newShard()
		for i := range orders {
			key := Key{Team: "bogor", Service: "stock-ledger", Key: fmt.Sprint(i)}
			e := &entry{ID: key.id(), Fingerprint: fingerprintOf("x"), Attempt: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", ClaimedMs: time.Now().UnixMilli()}
			s.add(e.encoded())
		}
		value := s.encode()
		b.Run(fmt.Sprintf("write/orders=%d", orders), func(b *testing.B) {
			for range b.N {
				change := newChange(s)
				change.set((&entry{ID: "new", Attempt: "new"}).encoded())
				change.commit().encode()
			}
			b.ReportMetric(float64(len(value)), "value-bytes")
		})
		b.Run(fmt.Sprintf("read/orders=%d", orders), func(b *testing.B) {
			for range b.N {
				if _, err := decodeShard(value); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkArchive gives what a node spends on an archive of that many orders:
// to look one up, and to read the archive from the store.
func BenchmarkArchive(b *testing.B) {
	const orders = 13_000
	var entries []*entry
	ids := make([]string, orders)
	for i := range ids {
		key := Key{Team: "bogor", Service: "stock-ledger", Key: fmt.Sprint(i)}
		ids[i] = key.id()
		entries = append(entries, (&entry{ID: ids[i], Fingerprint: fingerprintOf("x"), Attempt: newAttempt(), ClaimedMs: time.Now().UnixMilli(), Result: &Result{Status: 201}}).encoded())
	}
	a := newArchive(entries)
	b.Run("get", func(b *testing.B) {
		for i := range b.N {
			if a.get(ids[i%orders]) == nil {
				b.Fatal("not found")
			}
		}
		b.ReportMetric(float64(len(a.value))/orders, "bytes/order")
	})
	b.Run("read", func(b *testing.B) {
		for range b.N {
			if _, err := decodeArchive(a.value); err != nil {
				b.Fatal(err)
			}
		}
	})
}
