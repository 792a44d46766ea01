package store

import (
	"context"
	"errors"
	"testing"
)

// The fleet grows from three nodes to 2,200 and each goes on calling as if it were
// one of a few: the service is flooded, and its reads of the document and writes of
// orders fail for all. The shares of all nodes stay within what it handles, at any
// size and whoever owns the ledger's shards, and nobody is left without.
func TestSharesAddUp(t *testing.T) {
	const groups, reads, writes = 16, 2000.0, 500.0
	for _, n := range []int{1, 3, 6, 9, 10, 16, 41, 100, 500, 2200} {
		var sum Share
		for node := range n {
			owned := groups / n
			if node < groups%n {
				owned++
			}
			s := ShareOf(n, owned, groups)
			sum.Reads += s.Reads
			sum.Writes += s.Writes
			if s.Reads <= 0 || s.Writes <= 0 {
				t.Errorf("%d nodes: share %+v", n, s)
			}
			if n <= 9 && (s.Reads < 60 || s.Writes < 40) {
				t.Errorf("%d nodes of today lose something: %+v", n, s)
			}
		}
		t.Logf("%4d nodes: %.0f reads and %.0f writes a second in all; one without shards %.2f and %.2f, with a group %.2f and %.2f",
			n, sum.Reads, sum.Writes, ShareOf(n, 0, groups).Reads, ShareOf(n, 0, groups).Writes, ShareOf(n, 1, groups).Reads, ShareOf(n, 1, groups).Writes)
		if sum.Reads > reads || sum.Writes > writes {
			t.Errorf("%d nodes: %.0f reads and %.0f writes", n, sum.Reads, sum.Writes)
		}
	}
}

// A starting node reads a little and then waits until it knows the fleet's size. Its
// writes do not wait for its reads, and once the size is known neither does.
func TestShareOfAStart(t *testing.T) {
	calls := 0
	client, _ := clientOf(func(int) error {
		calls++
		return nil
	})
	client.Start()
	ctx := context.Background()
	var err error
	for err == nil && calls <= readBurst {
		_, err = client.Get(ctx, "k")
	}
	if !errors.Is(err, ErrBudget) || calls < startReads || calls > startReads+1 {
		t.Errorf("%d reads at the start, then %v", calls, err)
	}
	if _, err := client.CompareAndSwap(ctx, "k", 1, nil); err != nil {
		t.Errorf("a write at the start: %v", err)
	}
	client.SetShare(ShareOf(9, 2, 16))
	if _, err := client.Get(ctx, "k"); err != nil {
		t.Errorf("a read of one of nine nodes: %v", err)
	}
}
