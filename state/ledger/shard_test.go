package ledger

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/state/store"
)

// runAlone drives one machine against a value that nobody else writes.
func runAlone(m *machine, now time.Time, ops ...*operation) map[*operation]outcome {
	outcomes := map[*operation]outcome{}
	for _, op := range ops {
		m.add(op)
	}
	for m.busy() {
		next := m.next(now)
		ended := next.settled
		switch next.kind {
		case stepRead:
			found := store.Entry{Revision: m.revision}
			if m.revision != 0 {
				found.Value = m.state.encode()
			}
			ended = m.onRead(found, nil)
		case stepWrite:
			So(len(next.value), ShouldBeLessThanOrEqualTo, store.MaxValueBytes)
			ended = append(ended, m.onWrite(next.revision+1, nil)...)
		case stepArchive:
			So(len(next.value), ShouldBeLessThanOrEqualTo, store.MaxValueBytes)
			m.onArchive(nil)
		case stepLoad:
			// What was written here is known here.
			So(next.archive, ShouldEqual, 0)
		}
		for _, s := range ended {
			outcomes[s.op] = s.outcome
		}
	}
	return outcomes
}

func claimOp(id string, at time.Time) *operation {
	return &operation{kind: opClaim, id: id, attempt: "attempt-" + id, at: at.UnixMilli()}
}

func TestEncodeDecode(t *testing.T) {
	Convey("Given a shard with a claim and a result", t, func() {
		now := time.UnixMilli(1_000_000)
		m := newMachine(time.Hour)
		runAlone(m, now, claimOp("a", now), claimOp("b", now))
		runAlone(m, now, &operation{kind: opRecord, id: "a", attempt: "attempt-a", result: &placed})
		Convey("it reads back as it was written", func() {
			read, err := decodeShard(m.state.encode())
			So(err, ShouldBeNil)
			So(read, ShouldResemble, m.state)
			So(*read.index["a"].Result, ShouldResemble, placed)
		})
	})
}

func TestRetention(t *testing.T) {
	Convey("Given a claim older than the retention", t, func() {
		start := time.UnixMilli(1_000_000)
		later := start.Add(2 * time.Hour)
		m := newMachine(time.Hour)
		runAlone(m, start, claimOp("old", start))
		Convey("the next write drops it", func() {
			runAlone(m, later, claimOp("new", later))
			So(m.state.index["old"], ShouldBeNil)
			So(m.state.index["new"], ShouldNotBeNil)
		})
		Convey("but never one that the same write puts in its place", func() {
			m.disowned["attempt-old"] = true
			again := claimOp("old", later)
			again.attempt = "attempt-again"
			So(runAlone(m, later, again)[again].claim.State, ShouldEqual, Fresh)
			So(m.state.index["old"].Attempt, ShouldEqual, "attempt-again")
		})
	})
}

// The caller is refused as "not run" when the shard is full, and never because
// of the text of old answers: their bodies go first. Claims that the shard
// holds can always be given their results.
func TestFullShard(t *testing.T) {
	Convey("Given as many claims and long results as are taken without archives", t, func() {
		now := time.UnixMilli(1_000_000)
		m := newMachine(time.Hour)
		m.limits.archives = 0
		long := Result{Status: 201, Body: []byte(strings.Repeat("x", DefaultMaxResultBytes))}
		taken, full := 0, error(nil)
		for ; full == nil; taken++ {
			var ops []*operation
			for i := range 100 {
				ops = append(ops, claimOp(fmt.Sprintf("%032d", taken*100+i), now))
			}
			outcomes := runAlone(m, now, ops...)
			var records []*operation
			for _, op := range ops {
				if outcomes[op].err != nil {
					full = outcomes[op].err
					continue
				}
				records = append(records, &operation{kind: opRecord, id: op.id, attempt: op.attempt, result: &long})
			}
			for _, recorded := range runAlone(m, now, records...) {
				So(recorded.err, ShouldBeNil)
			}
		}
		So(errors.Is(full, ErrNotRun), ShouldBeTrue)
		So(errors.Is(full, ErrFull), ShouldBeTrue)
		So(len(m.state.entries), ShouldBeGreaterThan, 3000)
		for _, e := range m.state.entries {
			So(e.Result, ShouldNotBeNil)
		}
		Convey("room comes back with the retention", func() {
			later := now.Add(2 * time.Hour)
			op := claimOp("later", later)
			So(runAlone(m, later, op)[op].claim.State, ShouldEqual, Fresh)
		})
	})
}

// Every order of the day is placed, and answered from what was kept, although
// they are many times what a value of the store holds: done orders go into
// archives, and the shard itself stays small.
func TestArchivesTakeDoneOrders(t *testing.T) {
	Convey("Given 20,000 done orders of one shard", t, func() {
		start := time.UnixMilli(1_000_000)
		m := newMachine(time.Hour)
		at := func(i int) time.Time { return start.Add(time.Duration(i) * time.Millisecond) }
		const orders, batch = 20_000, 200
		for first := 0; first < orders; first += batch {
			var claims, records []*operation
			for i := first; i < first+batch; i++ {
				op := claimOp(fmt.Sprintf("%016d", i), at(i))
				claims = append(claims, op)
				records = append(records, &operation{kind: opRecord, id: op.id, attempt: op.attempt, result: &placed})
			}
			placedNow := 0
			for _, claimed := range runAlone(m, at(first+batch), claims...) {
				if claimed.claim.State == Fresh {
					placedNow++
				}
			}
			So(placedNow, ShouldEqual, batch)
			for _, recorded := range runAlone(m, at(first+batch), records...) {
				if recorded.err != nil {
					So(recorded.err, ShouldBeNil)
				}
			}
			So(m.state.bytes, ShouldBeLessThan, 2*defaultLimits.shardBytes)
		}
		Convey("each is found, in a few archives", func() {
			So(len(m.state.archives), ShouldBeBetween, 1, 5)
			m.pending = newChange(m.state)
			found := 0
			for i := range orders {
				id := fmt.Sprintf("%016d", i)
				e := m.pending.get(id)
				if e == nil {
					e = m.archived(id, 0)
				}
				if e != nil && e.Result.Status == placed.Status {
					found++
				}
			}
			So(found, ShouldEqual, orders)
		})
		Convey("a repeat is answered, and another body under its key refused", func() {
			again := claimOp(fmt.Sprintf("%016d", 7), at(orders))
			So(runAlone(m, at(orders), again)[again].claim.State, ShouldEqual, Done)
			other := claimOp(fmt.Sprintf("%016d", 7), at(orders))
			other.fingerprint = "other"
			So(runAlone(m, at(orders), other)[other].claim.State, ShouldEqual, Mismatch)
		})
		Convey("past the retention they are forgotten and their archives removed", func() {
			names := len(m.state.archives)
			m.takeGarbage()
			later := at(orders).Add(2 * time.Hour)
			again := claimOp(fmt.Sprintf("%016d", 7), later)
			So(runAlone(m, later, again)[again].claim.State, ShouldEqual, Fresh)
			So(m.state.archives, ShouldBeEmpty)
			So(len(m.takeGarbage()), ShouldEqual, names)
		})
	})
}
