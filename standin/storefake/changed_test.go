package storefake

import (
	"context"
	"github.com/cicadatack/cicadatack/platform/kv"
	"net/http/httptest"
	"testing"

	"github.com/cicadatack/cicadatack/state/store"
)

// A node keeps a list of VMs by what has changed. It sees each line once when it
// is written, whatever happened to other keys in between, and nothing when
// nothing has changed.
func TestChanged(t *testing.T) {
	fake := New()
	defer fake.Close()
	server := httptest.NewServer(fake)
	defer server.Close()
	client, err := kv.Open(server.Listener.Addr().String(), store.Config{})
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	write := func(key string, revision int64) int64 {
		next, err := client.CompareAndSwap(ctx, key, revision, []byte("v"))
		if err != nil {
			t.Fatal(err)
		}
		return next
	}
	first := write("/vms/a", 0)
	write("/vms/b", 0)
	since := int64(0)
	for i, c := range []struct {
		change func()
		want   []string
	}{
		{func() {}, []string{"/vms/a", "/vms/b"}},
		{func() {}, nil},
		{func() { write("/other", 0) }, nil},
		{func() { write("/vms/a", first) }, []string{"/vms/a"}},
	} {
		c.change()
		entries, revision, err := client.Changed(ctx, "/vms/", since)
		if err != nil {
			t.Fatal(err)
		}
		since = revision
		if len(entries) != len(c.want) {
			t.Fatalf("step %d: %v, want %v", i, entries, c.want)
		}
		for j, e := range entries {
			if e.Key != c.want[j] {
				t.Errorf("step %d: %s, want %s", i, e.Key, c.want[j])
			}
		}
	}
}
