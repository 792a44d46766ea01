package promotion

import (
	"context"
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// textOf is a sound document whose one figure tells texts apart.
func textOf(deadline int) []byte {
	return fmt.Appendf(nil, `{"format":1,"environment":"dawn",
		"failure_domains":[{"name":"bandung","region":"java-west"}],
		"endpoints":[],"services":[],"teams":[],"policy":{"queue_deadline_ms":%d}}`, deadline)
}

// site is one store and any number of operators before it.
type site struct {
	t      *testing.T
	memory *storetest.Memory
}

func newSite(t *testing.T) *site {
	s := &site{t, storetest.NewMemory()}
	t.Cleanup(s.memory.Close)
	return s
}

func (s *site) operator() (*Promoter, *storetest.Client) {
	client := storetest.NewClient(s.memory)
	return New(client), client
}

// tried puts a text on trial and returns its digest.
func (s *site) tried(text []byte) string {
	p, _ := s.operator()
	record, err := p.Trial(context.Background(), "dawn", text, "siti")
	So(err, ShouldBeNil)
	return record.Digest
}

// onProduction makes fault hit the first write of the production record.
func onProduction(client *storetest.Client, fault storetest.Fault) {
	done := false
	client.SetFault(func(call storetest.Call) storetest.Fault {
		if done || call.Op != storetest.OpSwap || call.Key != ProductionKey("dawn") {
			return storetest.Fault{}
		}
		done = true
		return fault
	})
}

func TestTrialPromoteHistoryRollforward(t *testing.T) {
	Convey("Given two texts promoted one after the other", t, func() {
		ctx := context.Background()
		s := newSite(t)
		p, _ := s.operator()
		for i := range 2 {
			_, err := p.Promote(ctx, "dawn", s.tried(textOf(i+1)), int64(i), NewID(), "siti")
			So(err, ShouldBeNil)
		}
		current, err := p.Current(ctx, "dawn")
		So(err, ShouldBeNil)
		So(current.Revision, ShouldEqual, 2)
		So(string(current.Text), ShouldEqual, string(textOf(2)))

		Convey("an earlier text comes back as a new revision", func() {
			record, err := p.Rollforward(ctx, "dawn", 1, 2, NewID(), "agus")
			So(err, ShouldBeNil)
			So(record.Revision, ShouldEqual, 3)
			current, err := p.Current(ctx, "dawn")
			So(err, ShouldBeNil)
			So(current.Revision, ShouldEqual, 3)
			So(string(current.Text), ShouldEqual, string(textOf(1)))
			history, err := p.History(ctx, "dawn", 10)
			So(err, ShouldBeNil)
			So(len(history), ShouldEqual, 3)
			So(history[2].Digest, ShouldEqual, history[0].Digest)
		})
		Convey("a text that is not on trial is refused", func() {
			_, err := p.Promote(ctx, "dawn", document.Digest(textOf(9)), 2, NewID(), "siti")
			So(errors.Is(err, ErrNotTried), ShouldBeTrue)
		})
		Convey("an old base is a conflict that shows the difference", func() {
			_, err := p.Promote(ctx, "dawn", s.tried(textOf(3)), 1, NewID(), "agus")
			var conflict *ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(conflict.Winner.Revision, ShouldEqual, 2)
			So(conflict.Changes, ShouldResemble, []document.Change{
				{Path: "policy.queue_deadline_ms", Before: "3", After: "2"},
			})
		})
		Convey("the same promotion id again returns its record, also from the history", func() {
			id := NewID()
			done, err := p.Promote(ctx, "dawn", s.tried(textOf(3)), 2, id, "siti")
			So(err, ShouldBeNil)
			_, err = p.Promote(ctx, "dawn", s.tried(textOf(4)), 3, NewID(), "siti")
			So(err, ShouldBeNil)
			again, err := p.Promote(ctx, "dawn", done.Digest, 2, id, "siti")
			So(err, ShouldBeNil)
			So(again.Revision, ShouldEqual, done.Revision)
		})
	})
}

// Two operators promote from the same base at the same moment. Both have read
// revision 1; one write takes effect, the other compares a revision that is
// gone. The loser sees who won and what differs; nothing of the loser's is
// ever in force.
func TestTwoOperatorsFromOneBase(t *testing.T) {
	Convey("Given an operator paused just before the write", t, func() {
		ctx := context.Background()
		s := newSite(t)
		slow, client := s.operator()
		quick, _ := s.operator()
		digest := s.tried(textOf(1))
		onProduction(client, storetest.Fault{Before: func() {
			_, err := quick.Promote(ctx, "dawn", s.tried(textOf(2)), 0, NewID(), "agus")
			So(err, ShouldBeNil)
		}})
		_, err := slow.Promote(ctx, "dawn", digest, 0, NewID(), "siti")
		var conflict *ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(conflict.Winner.Operator, ShouldEqual, "agus")
		So(len(conflict.Changes), ShouldEqual, 1)
		current, err := quick.Current(ctx, "dawn")
		So(err, ShouldBeNil)
		So(current.Revision, ShouldEqual, 1)
		So(string(current.Text), ShouldEqual, string(textOf(2)))
	})
}

// The operator sees "in force" exactly if it is, although the store's reply is
// lost. The promotion id is read back: from the record in force, or from the
// history if another promotion has followed before the read.
func TestLostReplyOnPromote(t *testing.T) {
	Convey("Given a store that loses the reply to a promotion", t, func() {
		ctx := context.Background()
		s := newSite(t)
		p, client := s.operator()
		digest := s.tried(textOf(1))

		Convey("that took effect: it is reported done, once", func() {
			onProduction(client, storetest.Fault{LoseReply: true})
			record, err := p.Promote(ctx, "dawn", digest, 0, NewID(), "siti")
			So(err, ShouldBeNil)
			So(record.Revision, ShouldEqual, 1)
			// A pin and the index.
			So(client.Calls(storetest.OpSwap), ShouldEqual, 2)
		})
		Convey("that did not take effect: it is sent again", func() {
			onProduction(client, storetest.Fault{LoseRequest: true})
			record, err := p.Promote(ctx, "dawn", digest, 0, NewID(), "siti")
			So(err, ShouldBeNil)
			So(record.Revision, ShouldEqual, 1)
		})
		Convey("that took effect and was followed by another: the history tells", func() {
			other, _ := s.operator()
			onProduction(client, storetest.Fault{LoseReply: true, After: func() {
				_, err := other.Promote(ctx, "dawn", s.tried(textOf(2)), 1, NewID(), "agus")
				So(err, ShouldBeNil)
			}})
			record, err := p.Promote(ctx, "dawn", digest, 0, NewID(), "siti")
			So(err, ShouldBeNil)
			So(record.Revision, ShouldEqual, 1)
			current, err := p.Current(ctx, "dawn")
			So(err, ShouldBeNil)
			So(current.Revision, ShouldEqual, 2)
		})
		Convey("and then stays down: it is unknown, and the same id settles it later", func() {
			waiting, cancel := context.WithCancel(ctx)
			onProduction(client, storetest.Fault{LoseReply: true, After: func() {
				client.SetFault(func(storetest.Call) storetest.Fault {
					cancel()
					return storetest.Fault{Unavailable: true}
				})
			}})
			id := NewID()
			_, err := p.Promote(waiting, "dawn", digest, 0, id, "siti")
			So(errors.Is(err, ErrUnknown), ShouldBeTrue)
			So(errors.Is(err, ErrNotDone), ShouldBeFalse)
			client.SetFault(nil)
			record, err := p.Promote(ctx, "dawn", digest, 0, id, "siti")
			So(err, ShouldBeNil)
			So(record.Revision, ShouldEqual, 1)
		})
	})
}

// The operator is told that nothing was written when the store is down before
// the write, at whichever call that begins; the text in force stays.
func TestOutageBeforeThePromotionIsWritten(t *testing.T) {
	Convey("Given a text in force and an outage from the n-th call on", t, func() {
		ctx := context.Background()
		for n := 1; n <= 4; n++ {
			s := newSite(t)
			p, client := s.operator()
			_, err := p.Promote(ctx, "dawn", s.tried(textOf(1)), 0, NewID(), "siti")
			So(err, ShouldBeNil)
			digest := s.tried(textOf(2))
			before := client.Calls(storetest.OpGet) + client.Calls(storetest.OpSwap)
			client.SetFault(func(call storetest.Call) storetest.Fault {
				return storetest.Fault{Unavailable: call.Number >= before+n}
			})
			_, err = p.Promote(ctx, "dawn", digest, 1, NewID(), "siti")
			So(errors.Is(err, ErrNotDone), ShouldBeTrue)
			So(errors.Is(err, ErrUnknown), ShouldBeFalse)
			client.SetFault(nil)
			current, err := p.Current(ctx, "dawn")
			So(err, ShouldBeNil)
			So(current.Revision, ShouldEqual, 1)
		}
	})
}

func TestBadTextsAndRecordsAreRefused(t *testing.T) {
	Convey("Given a store", t, func() {
		ctx := context.Background()
		s := newSite(t)
		p, client := s.operator()
		Convey("a faulty text is not put on trial", func() {
			for _, text := range []string{`{`, `{"format":2}`, string(make([]byte, document.MaxTextBytes+1))} {
				_, err := p.Trial(ctx, "dawn", []byte(text), "siti")
				So(errors.Is(err, ErrInvalid), ShouldBeTrue)
			}
			_, err := p.Trial(ctx, "noon", textOf(1), "siti")
			So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		})
		Convey("a record that cannot be read is neither used nor replaced", func() {
			digest := s.tried(textOf(1))
			revision, err := client.CompareAndSwap(ctx, ProductionKey("dawn"), 0, []byte(`{"format":2}`))
			So(err, ShouldBeNil)
			_, err = p.Promote(ctx, "dawn", digest, 0, NewID(), "siti")
			So(errors.Is(err, ErrBadRecord), ShouldBeTrue)
			stands, err := client.Get(ctx, ProductionKey("dawn"))
			So(err, ShouldBeNil)
			So(stands, ShouldResemble, store.Entry{
				Key: ProductionKey("dawn"), Value: []byte(`{"format":2}`), Revision: revision, Created: revision,
			})
		})
	})
}
