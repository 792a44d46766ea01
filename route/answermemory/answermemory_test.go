package answermemory

import (
	"fmt"
	"sync"
	"testing"
)

// Guards against a node whose memory grows with the number of endless answers, and against one endpoint
// whose answers leave no room for those of others.
func TestAnswersOfAFaultyEndpointLeaveRoom(t *testing.T) {
	const answer, limit = 1 << 20, 32 << 20
	b := New(limit)
	held := 0
	for range 200 {
		if b.Account("faulty").Resize(answer) {
			held++
		}
	}
	if want := limit / 4 / answer; held != want || b.Used() != want*answer {
		t.Errorf("%d answers of one endpoint hold %d bytes, want %d", held, b.Used(), want)
	}
	if !b.Account("sound").Resize(answer) {
		t.Error("no room for the answer of another endpoint")
	}
	for i := range 200 {
		b.Account(fmt.Sprint("other-", i)).Resize(answer)
	}
	if b.Used() > limit {
		t.Errorf("%d bytes are held, %d allowed", b.Used(), limit)
	}
	if !b.Account("late").Resize(FreeBytes) {
		t.Error("a short answer is charged")
	}
}

// Guards against memory that stays charged, so that a node has less and less of it.
func TestReleasedMemoryIsFree(t *testing.T) {
	b := New(1 << 20)
	var group sync.WaitGroup
	for i := range 50 {
		group.Go(func() {
			a := b.Account(fmt.Sprint(i % 5))
			for size := 1 << 10; size < 1<<18; size *= 2 {
				a.Resize(size)
			}
			a.Release()
			a.Release()
		})
	}
	group.Wait()
	if b.Used() != 0 || len(b.byEndpoint) != 0 {
		t.Errorf("%d bytes of %d endpoints stay charged", b.Used(), len(b.byEndpoint))
	}
}
