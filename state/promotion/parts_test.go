package promotion

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/documentparts"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// longText is a sound document of several parts; addresses end in version.
func longText(version int) []byte {
	var endpoints []string
	for i := range 400 {
		port := 80
		if i == 200 {
			port = 1000 + version
		}
		endpoints = append(endpoints, fmt.Sprintf(`{"name":"e%d","address":"10.0.%d.%d:%d","failure_domain":"bandung"}`, i, i/250, i%250, port))
	}
	return fmt.Appendf(nil, `{"format":1,"environment":"dawn","failure_domains":[{"name":"bandung","region":"java-west"}],
		"endpoints":[%s],"services":[],"teams":[],"policy":{}}`, strings.Join(endpoints, ",\n"))
}

func isPart(key string) bool { return strings.HasPrefix(key, "/cicadatack/dawn/parts/") }

// complete says whether every part of what production and the trial name is in
// the store and whole, as a starting node needs it.
func (s *site) complete() bool {
	p, _ := s.operator()
	ctx := context.Background()
	for _, key := range []string{ProductionKey("dawn"), TrialKey("dawn")} {
		index, err := p.existing(ctx, key)
		if err == nil {
			_, err = p.whole(ctx, "dawn", index)
		}
		if err != nil && !errors.Is(err, ErrNoRecord) {
			return false
		}
	}
	return true
}

// The store goes down, or the operator's command dies, at each call of a trial
// and a promotion. Whatever was written by then, production and trial name only
// parts that are all there: the index comes last.
func TestIndexComesAfterItsParts(t *testing.T) {
	Convey("Given a text in force and an end at the n-th call", t, func() {
		ctx := context.Background()
		for n := 1; ; n++ {
			s := newSite(t)
			p, client := s.operator()
			_, err := p.Promote(ctx, "dawn", s.tried(longText(1)), 0, NewID(), "siti")
			So(err, ShouldBeNil)
			from := client.Calls(storetest.OpGet) + client.Calls(storetest.OpSwap)
			writes := 0
			client.SetFault(func(call storetest.Call) storetest.Fault {
				if call.Op == storetest.OpSwap {
					writes++
					So(s.complete(), ShouldBeTrue)
				}
				return storetest.Fault{Unavailable: call.Number >= from+n}
			})
			tried, err := p.Trial(ctx, "dawn", longText(2), "siti")
			if err == nil {
				_, err = p.Promote(ctx, "dawn", tried.Digest, 1, NewID(), "siti")
			}
			So(s.complete(), ShouldBeTrue)
			if err == nil {
				// A part or two, the trial, the history, production, and a pin for the
				// trial and one for the promotion.
				So(writes, ShouldBeBetweenOrEqual, 6, 7)
				return
			}
			So(errors.Is(err, ErrNotDone), ShouldBeTrue)
		}
	})
}

// A part of the text on trial is lost or damaged in the store. Promoting would
// put in force what no node can read; it is refused and production stays. A
// trial of the same text writes the part again, and the promotion succeeds.
func TestPromotionOfALostPart(t *testing.T) {
	Convey("Given a text on trial", t, func() {
		ctx := context.Background()
		s := newSite(t)
		p, _ := s.operator()
		digest := s.tried(longText(1))
		part := document.Parts(longText(1))[1]
		for name, write := range map[string]storetest.Write{
			"lost":    {Delete: true},
			"damaged": {Value: []byte("x")},
		} {
			Convey("a part of which is "+name, func() {
				write.Key = documentparts.Key("dawn", part.Ref.Digest)
				_, _, err := s.memory.Txn(nil, []storetest.Write{write})
				So(err, ShouldBeNil)
				_, err = p.Promote(ctx, "dawn", digest, 0, NewID(), "siti")
				So(errors.Is(err, ErrBadRecord), ShouldBeTrue)
				_, err = p.Current(ctx, "dawn")
				So(errors.Is(err, ErrNoRecord), ShouldBeTrue)
				s.tried(longText(1))
				_, err = p.Promote(ctx, "dawn", digest, 0, NewID(), "siti")
				So(err, ShouldBeNil)
				So(s.complete(), ShouldBeTrue)
			})
		}
	})
}

// Two operators try and promote texts that differ in one part, from one base,
// each call of the one between two of the other. One wins, the other sees the
// difference, and what is in force is the winner's text, whole.
func TestTwoOperatorsWithDifferentParts(t *testing.T) {
	Convey("Given the second operator at each write of the first", t, func() {
		ctx := context.Background()
		for n := 1; ; n++ {
			s := newSite(t)
			p, client := s.operator()
			other, _ := s.operator()
			_, err := p.Promote(ctx, "dawn", s.tried(longText(1)), 0, NewID(), "siti")
			So(err, ShouldBeNil)
			digest := s.tried(longText(2))
			swaps := 0
			client.SetFault(func(call storetest.Call) storetest.Fault {
				if call.Op != storetest.OpSwap {
					return storetest.Fault{}
				}
				if swaps++; swaps != n {
					return storetest.Fault{}
				}
				return storetest.Fault{Before: func() {
					_, err := other.Promote(ctx, "dawn", s.tried(longText(3)), 1, NewID(), "agus")
					So(err, ShouldBeNil)
				}}
			})
			_, err = p.Promote(ctx, "dawn", digest, 1, NewID(), "siti")
			if swaps < n {
				So(err, ShouldBeNil)
				return
			}
			var conflict *ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(len(conflict.Changes), ShouldEqual, 1)
			current, err := p.Current(ctx, "dawn")
			So(err, ShouldBeNil)
			So(string(current.Text), ShouldEqual, string(longText(3)))
		}
	})
}

// The reply to a part's write is lost, or the write itself. The trial goes on
// until the part is there, and a second trial writes no part again.
func TestLostReplyOnAPart(t *testing.T) {
	Convey("Given a store that loses the first sending of each part", t, func() {
		for name, fault := range map[string]storetest.Fault{
			"reply":   {LoseReply: true},
			"request": {LoseRequest: true},
		} {
			Convey("by its "+name, func() {
				s := newSite(t)
				p, client := s.operator()
				seen := map[string]bool{}
				client.SetFault(func(call storetest.Call) storetest.Fault {
					if call.Op != storetest.OpSwap || !isPart(call.Key) || seen[call.Key] {
						return storetest.Fault{}
					}
					seen[call.Key] = true
					return fault
				})
				tried, err := p.Trial(context.Background(), "dawn", longText(1), "siti")
				So(err, ShouldBeNil)
				So(len(seen), ShouldEqual, len(tried.Parts))
				_, err = p.Promote(context.Background(), "dawn", tried.Digest, 0, NewID(), "siti")
				So(err, ShouldBeNil)
				before := client.Calls(storetest.OpSwap)
				_, err = p.Trial(context.Background(), "dawn", longText(1), "siti")
				So(err, ShouldBeNil)
				// A pin and the index.
				So(client.Calls(storetest.OpSwap), ShouldEqual, before+2)
			})
		}
	})
}
