package promotion

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/documentparts"
	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// newest keeps production, the trial and the last two of the history.
var newest = PruneRule{Newest: 2}

// promoted puts versions 1 to n in force.
func promoted(s *site, n int) *Promoter {
	p, _ := s.operator()
	for version := 1; version <= n; version++ {
		_, err := p.Promote(context.Background(), "dawn", s.tried(longText(version)), int64(version-1), NewID(), "siti")
		So(err, ShouldBeNil)
	}
	return p
}

func (s *site) prune(rule PruneRule) (Pruned, error) {
	p, client := s.operator()
	return p.Prune(context.Background(), client, "dawn", rule)
}

func (s *site) keys(prefix string) int {
	kvs, _, _ := s.memory.Range(prefix, store.PrefixEnd(prefix), 0)
	return len(kvs)
}

// onlyNamed says whether every part that something names is there, and no other.
func (s *site) onlyNamed() bool {
	p, client := s.operator()
	r := &prune{Promoter: p, store: client, env: "dawn"}
	named, err := r.named(context.Background())
	So(err, ShouldBeNil)
	return s.complete() && s.keys(documentparts.Prefix("dawn")) == len(named)
}

func TestPrune(t *testing.T) {
	Convey("Given eight texts promoted one after the other", t, func() {
		s := newSite(t)
		p := promoted(s, 8)
		all := s.keys(documentparts.Prefix("dawn"))
		Convey("a dry run says what would go, and removes nothing", func() {
			rule := newest
			rule.DryRun = true
			would, err := s.prune(rule)
			So(err, ShouldBeNil)
			So(s.keys(documentparts.Prefix("dawn")), ShouldEqual, all)
			So(s.keys(HistoryPrefix("dawn")), ShouldEqual, 7)
			did, err := s.prune(newest)
			So(err, ShouldBeNil)
			So(did, ShouldResemble, would)
			So(did, ShouldResemble, Pruned{Kept: 2, Indexes: 5, Parts: 5})
		})
		Convey("what is kept can be read, listed and put in force again, the rest not", func() {
			_, err := s.prune(newest)
			So(err, ShouldBeNil)
			So(s.onlyNamed(), ShouldBeTrue)
			listed, err := p.History(context.Background(), "dawn", 100)
			So(err, ShouldBeNil)
			So(len(listed), ShouldEqual, 3)
			_, err = p.Rollforward(context.Background(), "dawn", 2, 8, NewID(), "siti")
			So(errors.Is(err, ErrNoRecord), ShouldBeTrue)
			_, err = p.Rollforward(context.Background(), "dawn", 6, 8, NewID(), "siti")
			So(err, ShouldBeNil)
			So(s.complete(), ShouldBeTrue)
		})
		Convey("what is young stays, and a second run finds nothing", func() {
			did, err := s.prune(PruneRule{Newest: 2, Younger: time.Hour})
			So(err, ShouldBeNil)
			So(did, ShouldResemble, Pruned{Kept: 7})
			_, err = s.prune(newest)
			So(err, ShouldBeNil)
			did, err = s.prune(newest)
			So(err, ShouldBeNil)
			So(did, ShouldResemble, Pruned{Kept: 2})
		})
		Convey("a pin of a command that died keeps its parts for a day", func() {
			index, err := p.earlier(context.Background(), "dawn", 2)
			So(err, ShouldBeNil)
			index.At = time.Now()
			_, err = p.pin(context.Background(), "dawn", index)
			So(err, ShouldBeNil)
			did, err := s.prune(newest)
			So(err, ShouldBeNil)
			So(did.Parts, ShouldEqual, 4)
			index.At = index.At.Add(-2 * pinAge)
			_, err = p.pin(context.Background(), "dawn", index)
			So(err, ShouldBeNil)
			did, err = s.prune(newest)
			So(err, ShouldBeNil)
			So(did, ShouldResemble, Pruned{Kept: 2, Parts: 1, Pins: 1})
		})
	})
}

// Nodes find every part of what is in force and on trial, whatever an operator
// does while another prunes: puts an earlier text, whose parts are about to go,
// in force again, or on trial. The operator's commands run as a whole before or
// after each call of the prune; then the prune runs before or after each call of
// theirs.
func TestPruneBesidePromotions(t *testing.T) {
	commands := map[string]func(s *site){
		"rollback": func(s *site) {
			p, _ := s.operator()
			index, err := p.Rollforward(context.Background(), "dawn", 2, 8, "again", "agus")
			So(err == nil && index.Revision == 9 || errors.Is(err, ErrNoRecord) || errors.Is(err, ErrBadRecord), ShouldBeTrue)
		},
		"trial": func(s *site) {
			p, _ := s.operator()
			_, err := p.Trial(context.Background(), "dawn", longText(2), "agus")
			So(err, ShouldBeNil)
		},
	}
	for name, command := range commands {
		Convey("Given a "+name+" at the n-th call of a prune", t, func() {
			for n := 1; ; n++ {
				s := newSite(t)
				promoted(s, 8)
				p, client := s.operator()
				reached := false
				client.SetFault(at(n, &reached, func() { command(s) }))
				_, err := p.Prune(context.Background(), client, "dawn", newest)
				So(err, ShouldBeNil)
				So(s.complete(), ShouldBeTrue)
				if !reached {
					return
				}
			}
		})
	}
	Convey("Given a prune at the n-th call of a trial and promotion of a former text", t, func() {
		for n := 1; ; n++ {
			s := newSite(t)
			promoted(s, 8)
			p, client := s.operator()
			reached := false
			client.SetFault(at(n, &reached, func() {
				_, err := s.prune(newest)
				So(err, ShouldBeNil)
			}))
			tried, err := p.Trial(context.Background(), "dawn", longText(2), "agus")
			So(err, ShouldBeNil)
			So(s.complete(), ShouldBeTrue)
			_, err = p.Promote(context.Background(), "dawn", tried.Digest, 8, NewID(), "agus")
			So(err, ShouldBeNil)
			So(s.complete(), ShouldBeTrue)
			if !reached {
				return
			}
		}
	})
}

// at runs an action before the n-th call of a client, reads of parts left out:
// they are made several at a time.
func at(n int, reached *bool, action func()) func(storetest.Call) storetest.Fault {
	seen := 0
	return func(call storetest.Call) storetest.Fault {
		if call.Op == storetest.OpGet && isPart(call.Key) {
			return storetest.Fault{}
		}
		if seen++; seen != n {
			return storetest.Fault{}
		}
		*reached = true
		return storetest.Fault{Before: action}
	}
}

// A prune that was paused after it had looked, and goes on when a second one has
// ended and an operator has named one of its parts since, removes nothing that
// is named: the second one has kept the part for a pin and written it again.
func TestPausedPruneRemovesNothingNamed(t *testing.T) {
	Convey("Given a prune paused before its first removal of a part", t, func() {
		s := newSite(t)
		promoted(s, 8)
		first, client := s.operator()
		again, _ := s.operator()
		paused := false
		client.SetFault(func(call storetest.Call) storetest.Fault {
			if call.Op != storetest.OpRemove || !isPart(call.Key) || paused {
				return storetest.Fault{}
			}
			paused = true
			return storetest.Fault{Before: func() {
				// The trial is at the moment before it looks at the plan.
				index := again.index(document.Digest(longText(2)), document.Refs(document.Parts(longText(2))), NewID(), "agus")
				_, err := again.pin(context.Background(), "dawn", index)
				So(err, ShouldBeNil)
				_, err = s.prune(newest)
				So(err, ShouldBeNil)
				_, err = again.tryPinned(context.Background(), "dawn", document.Parts(longText(2)), index)
				So(err, ShouldBeNil)
			}}
		})
		_, err := first.Prune(context.Background(), client, "dawn", newest)
		So(err, ShouldBeNil)
		So(paused, ShouldBeTrue)
		So(s.complete(), ShouldBeTrue)
	})
}

// The store goes down at the n-th call of a prune, or loses its reply. Run again,
// it ends as if nothing had happened.
func TestPruneGoesOnAfterAnOutage(t *testing.T) {
	for name, fault := range map[string]storetest.Fault{
		"outage":       {Unavailable: true},
		"lost reply":   {LoseReply: true},
		"lost request": {LoseRequest: true},
	} {
		Convey("Given a prune with an "+name+" at its n-th call", t, func() {
			for n := 1; ; n++ {
				s := newSite(t)
				promoted(s, 4)
				p, client := s.operator()
				seen := 0
				client.SetFault(func(storetest.Call) storetest.Fault {
					if seen++; seen != n {
						return storetest.Fault{}
					}
					return fault
				})
				_, err := p.Prune(context.Background(), client, "dawn", newest)
				So(err == nil || errors.Is(err, ErrNotDone) || errors.Is(err, ErrUnknown), ShouldBeTrue)
				_, err = s.prune(newest)
				So(err, ShouldBeNil)
				So(s.onlyNamed(), ShouldBeTrue)
				So(s.keys(PlanKey("dawn")), ShouldEqual, 0)
				if seen < n {
					return
				}
			}
		})
	}
}
