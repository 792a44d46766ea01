package plan

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// Nodes of several failure domains order loads in the same moment. No two of the
// loads are given the same time at the weight store, or both would be slow.
func TestLoadsOfManyNodes(t *testing.T) {
	memory := storetest.NewMemory()
	defer memory.Close()
	now := time.Unix(1000, 0)
	var mu sync.Mutex
	var starts []time.Time
	var all sync.WaitGroup
	for range agreeAttempts {
		all.Go(func() {
			got, err := Book(context.Background(), storetest.NewClient(memory), PaceKey("java"), "vm", now, []time.Duration{time.Second, time.Second})
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			starts = append(starts, got...)
		})
	}
	all.Wait()
	slices.SortFunc(starts, time.Time.Compare)
	for i, start := range starts {
		if want := now.Add(time.Duration(i) * time.Second); !start.Equal(want) {
			t.Errorf("load %d begins at %v, want %v", i, start, want)
		}
	}
}
