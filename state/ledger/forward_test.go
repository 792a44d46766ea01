package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// link is how one node reaches the others. owner is its view of who writes the
// shards; carry, if set, stands between it and the owner.
type link struct {
	nodes map[string]*Ledger
	owner func() string
	// refused, if set, is told of nodes that could not do what this one could.
	refused func(node string)
	carry   func(ctx context.Context, serve func(context.Context) ([]Reply, error)) ([]Reply, error)
}

func (l *link) Owner(int) string { return l.owner() }
func (l *link) Routed(Way)       {}

func (l *link) Refused(node string) {
	if l.refused != nil {
		l.refused(node)
	}
}

func (l *link) Forward(ctx context.Context, node string, shard int, operations []Operation) ([]Reply, error) {
	serve := func(ctx context.Context) ([]Reply, error) { return l.nodes[node].Serve(ctx, shard, operations) }
	if l.carry == nil {
		return serve(ctx)
	}
	return l.carry(ctx, serve)
}

// pair is a node "near" that takes "far" for the owner of all shards, which
// takes itself for it.
type pair struct {
	near, far   *Ledger
	nearLink    *link
	nearC, farC *storetest.Client
	other       *Ledger
}

func newPair(s *site) *pair {
	p := &pair{nearLink: &link{nodes: map[string]*Ledger{}, owner: func() string { return "far" }}}
	p.far, p.farC = s.node()
	p.other, _ = s.node()
	p.nearC = storetest.NewClient(s.memory)
	p.near = New(p.nearC, "dawn", Config{WritesPerSecond: 1e6, Burst: 1000, Peers: p.nearLink, ForwardTimeout: time.Minute})
	s.t.Cleanup(p.near.Close)
	p.nearLink.nodes["far"] = p.far
	return p
}

func stateAt(node *Ledger) State {
	claim, err := node.Claim(context.Background(), butter, "20 kg")
	So(err, ShouldBeNil)
	return claim.State
}

var errCut = errors.New("the connection was cut")

func TestOwnerWritesForOthers(t *testing.T) {
	Convey("Given a node whose shard belongs to another", t, func() {
		ctx, p := context.Background(), newPair(newSite(t))
		claim, err := p.near.Claim(ctx, butter, "20 kg")
		So(err, ShouldBeNil)
		So(claim.State, ShouldEqual, Fresh)
		So(claim.Node, ShouldEqual, "far")
		Convey("claim, result and replay are the owner's calls of the store alone", func() {
			So(p.near.Record(ctx, butter, claim, placed), ShouldBeNil)
			repeat, err := p.near.Claim(ctx, butter, "20 kg")
			So(err, ShouldBeNil)
			So(*repeat.Result, ShouldResemble, placed)
			So(p.nearC.Calls(storetest.OpGet)+p.nearC.Calls(storetest.OpSwap), ShouldEqual, 0)
		})
		Convey("a release frees the key", func() {
			So(p.near.Release(ctx, butter, claim), ShouldBeNil)
			So(stateAt(p.other), ShouldEqual, Fresh)
		})
		Convey("a result of a claim that is not its own is refused", func() {
			err := p.near.Record(ctx, butter, Claim{Attempt: "another"}, placed)
			So(errors.Is(err, ErrNotHolder), ShouldBeTrue)
		})
		Convey("malformed operations are refused", func() {
			for _, o := range []Operation{{}, {Kind: KindClaim, ID: "aaaa"}, {Kind: KindRecord, ID: "aaaa", Attempt: "b"}, {Kind: KindClaim, ID: "!", Attempt: "b"}} {
				_, err := p.far.Serve(ctx, 0, []Operation{o})
				So(err, ShouldNotBeNil)
			}
			_, err := p.far.Serve(ctx, Shards, nil)
			So(err, ShouldNotBeNil)
		})
	})
}

// The caller's order is placed once although the owner's answer to its claim
// is lost. The owner writes the claim, the answer does not come, the node
// claims by itself under the same attempt id and finds its own claim: it sends,
// and nobody else does.
func TestForwardedReplyLost(t *testing.T) {
	Convey("Given an owner whose answers are lost", t, func() {
		ctx, p := context.Background(), newPair(newSite(t))
		p.nearLink.carry = func(ctx context.Context, serve func(context.Context) ([]Reply, error)) ([]Reply, error) {
			_, _ = serve(ctx)
			return nil, errCut
		}
		claim, err := p.near.Claim(ctx, butter, "20 kg")
		So(err, ShouldBeNil)
		So(claim.State, ShouldEqual, Fresh)
		So(claim.Node, ShouldBeEmpty)
		So(stateAt(p.other), ShouldEqual, InDoubt)
		Convey("its result is kept, told to the owner twice", func() {
			So(p.near.Record(ctx, butter, claim, placed), ShouldBeNil)
			So(stateAt(p.other), ShouldEqual, Done)
		})
		Convey("its release frees the key", func() {
			So(p.near.Release(ctx, butter, claim), ShouldBeNil)
			So(stateAt(p.other), ShouldEqual, Fresh)
		})
	})
}

// The caller's order is placed once although the connection to the owner
// breaks while the owner writes the claim. The node claims by itself, finds its
// own claim and sends. The owner notices that nobody waits for its answer any
// more; were it to give the claim back, as it does with its own callers', the
// key would be free and a third node would send the order again.
func TestOwnerKeepsClaimsOfOthers(t *testing.T) {
	Convey("Given a connection that breaks while the owner writes", t, func() {
		p := newPair(newSite(t))
		written, goOn, left := make(chan struct{}), make(chan struct{}), make(chan struct{})
		onSwap(p.farC, 1, storetest.Fault{After: func() { close(written); <-goOn }})
		p.nearLink.carry = func(ctx context.Context, serve func(context.Context) ([]Reply, error)) ([]Reply, error) {
			ctx, cut := context.WithCancel(ctx)
			go func() { _, _ = serve(ctx); close(left) }()
			<-written
			cut()
			<-left
			return nil, errCut
		}
		So(stateAt(p.near), ShouldEqual, Fresh)
		close(goOn)
		// The first waits for the claim's write, the second would write a release.
		p.far.Flush(context.Background())
		p.far.Flush(context.Background())
		So(stateAt(p.other), ShouldEqual, InDoubt)
	})
	Convey("Given an owner that says no, after a write that took effect unseen", t, func() {
		p := newPair(newSite(t))
		p.farC.SetFault(func(call storetest.Call) storetest.Fault {
			return storetest.Fault{LoseReply: call.Op == storetest.OpSwap, Unavailable: call.Op == storetest.OpGet && call.Number > 1}
		})
		So(stateAt(p.near), ShouldEqual, Fresh)
		p.farC.SetFault(nil)
		So(p.far.Flush(context.Background()), ShouldEqual, 0)
		So(stateAt(p.other), ShouldEqual, InDoubt)
	})
}

// The caller is told "not run" and may place its order later, although a
// frozen owner wakes with the claim still to be made. The owner is silent, the
// store is down for this node, which gives the claim up. Once the owner wakes
// the time that the claim was good for is over and it is not written: the order
// would be in doubt for a day though nobody sent it.
func TestFrozenOwnerWakesLate(t *testing.T) {
	for name, wake := range map[string]func(p *pair, serve func(context.Context) ([]Reply, error)) []Reply{
		"after the release was written": func(p *pair, serve func(context.Context) ([]Reply, error)) []Reply {
			p.nearC.SetFault(nil)
			So(p.near.Flush(context.Background()), ShouldEqual, 0)
			replies, err := serve(context.Background())
			So(err, ShouldBeNil)
			So(errors.Is(replies[0].Err, ErrLate), ShouldBeTrue)
			return replies
		},
		"before the release was written": func(p *pair, serve func(context.Context) ([]Reply, error)) []Reply {
			replies, err := serve(context.Background())
			So(err, ShouldBeNil)
			p.nearC.SetFault(nil)
			So(p.near.Flush(context.Background()), ShouldEqual, 0)
			return replies
		},
	} {
		Convey("Given a frozen owner that wakes "+name, t, func() {
			p := newPair(newSite(t))
			p.near.config.ForwardTimeout = time.Millisecond
			asked := make(chan func(context.Context) ([]Reply, error), 1)
			p.nearLink.carry = func(ctx context.Context, serve func(context.Context) ([]Reply, error)) ([]Reply, error) {
				asked <- serve
				<-ctx.Done()
				return nil, ctx.Err()
			}
			p.nearC.SetFault(func(storetest.Call) storetest.Fault { return storetest.Fault{Unavailable: true} })
			_, err := p.near.Claim(context.Background(), butter, "20 kg")
			So(errors.Is(err, ErrNotRun), ShouldBeTrue)
			p.far.config.Now = func() time.Time { return time.Now().Add(time.Second) }
			replies := wake(p, <-asked)
			So(replies[0].Claim.State, ShouldNotEqual, Fresh)
			So(stateAt(p.other), ShouldEqual, Fresh)
		})
	}
}

// The caller's order is placed although the owner is frozen: after a bounded
// wait, half of the caller's own at most, the node claims by itself.
func TestFrozenOwnerIsPassedOver(t *testing.T) {
	Convey("Given an owner that never answers", t, func() {
		p := newPair(newSite(t))
		p.nearLink.carry = func(ctx context.Context, _ func(context.Context) ([]Reply, error)) ([]Reply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		p.near.config.ForwardTimeout = time.Millisecond
		claims := make(chan Claim, 2*maxBatch)
		for i := range cap(claims) {
			go func() {
				claim, _ := p.near.Claim(context.Background(), Key{Team: "bogor", Service: "stock-ledger", Key: fmt.Sprint(i)}, "20 kg")
				claims <- claim
			}()
		}
		for range cap(claims) {
			So((<-claims).State, ShouldEqual, Fresh)
		}
		Convey("the caller's deadline leaves time for it", func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			p.near.config.ForwardTimeout = time.Hour
			So(p.near.patience(ctx), ShouldBeLessThanOrEqualTo, 30*time.Second)
			So(p.near.patience(context.Background()), ShouldEqual, time.Hour)
		})
	})
}

// The callers see at most one "fresh" for one order while the nodes differ over
// who writes its shard: each asks another node, which asks nobody in turn. The
// store takes the first write of each order.
func TestNodesDifferOverTheOwner(t *testing.T) {
	Convey("Given four nodes, each of which takes the next for the owner", t, func() {
		s, nodes := newSite(t), map[string]*Ledger{}
		for i := range 4 {
			l := New(storetest.NewClient(s.memory), "dawn", Config{
				WritesPerSecond: 1e6, Burst: 1000,
				Peers: &link{nodes: nodes, owner: func() string { return fmt.Sprint((i + 1) % 4) }},
			})
			s.t.Cleanup(l.Close)
			nodes[fmt.Sprint(i)] = l
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		fresh := map[string]int{}
		for _, node := range nodes {
			for i := range 20 {
				key := butter
				key.Key = fmt.Sprint("reorder-", i)
				wg.Go(func() {
					claim, err := node.Claim(context.Background(), key, "20 kg")
					mu.Lock()
					defer mu.Unlock()
					if err == nil && claim.State == Fresh {
						fresh[key.Key]++
					}
				})
			}
		}
		wg.Wait()
		So(len(fresh), ShouldEqual, 20)
		for _, n := range fresh {
			So(n, ShouldEqual, 1)
		}
	})
}

// A caller of a node that gave up a claim, or holds a result that the store
// did not take, learns the truth from it, though the shard is another's.
func TestNodeThatKnowsMoreThanTheOwner(t *testing.T) {
	Convey("Given a result that is only in this node's memory", t, func() {
		ctx, p := context.Background(), newPair(newSite(t))
		claim, err := p.near.Claim(ctx, butter, "20 kg")
		So(err, ShouldBeNil)
		down := func(call storetest.Call) storetest.Fault {
			return storetest.Fault{Unavailable: call.Op == storetest.OpSwap}
		}
		p.nearC.SetFault(down)
		p.farC.SetFault(down)
		So(errors.Is(p.near.Record(ctx, butter, claim, placed), ErrNotKept), ShouldBeTrue)
		p.nearC.SetFault(nil)
		p.farC.SetFault(nil)
		So(stateAt(p.near), ShouldEqual, Done)
	})
}

// randomLink loses requests and answers and changes its mind about the owner.
func randomLink(nodes map[string]*Ledger, seed uint64) *link {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 7))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	return &link{
		nodes: nodes,
		owner: func() string { return []string{"", "0", "1", "2"}[draw(4)] },
		carry: func(ctx context.Context, serve func(context.Context) ([]Reply, error)) ([]Reply, error) {
			switch draw(5) {
			case 0:
				return nil, errCut
			case 1:
				_, _ = serve(ctx)
				return nil, errCut
			case 2: // the connection breaks at some moment
				ctx, cut := context.WithTimeout(ctx, time.Duration(draw(3000))*time.Microsecond)
				defer cut()
				_, _ = serve(ctx)
				return nil, errCut
			}
			return serve(ctx)
		},
	}
}

// The caller's order is placed although the owner alone is cut off from the
// store: the owner refuses the claim, the node claims by itself and says which
// node it passed over for it. With no store for anybody the order is refused and
// nobody is passed over: after the outage the shard has its owner at once.
func TestOwnerWithoutStoreIsToldOf(t *testing.T) {
	Convey("Given an owner that is cut off from the store", t, func() {
		ctx, p := context.Background(), newPair(newSite(t))
		cut := func(storetest.Call) storetest.Fault { return storetest.Fault{Unavailable: true} }
		p.farC.SetFault(cut)
		var refused []string
		p.nearLink.refused = func(node string) { refused = append(refused, node) }
		Convey("the node claims, records and names it each time", func() {
			claim, err := p.near.Claim(ctx, butter, "20 kg")
			So(err, ShouldBeNil)
			So(claim.State, ShouldEqual, Fresh)
			So(refused, ShouldResemble, []string{"far"})
			So(p.near.Record(ctx, butter, claim, placed), ShouldBeNil)
			So(stateAt(p.other), ShouldEqual, Done)
		})
		Convey("without a store of its own it names nobody", func() {
			p.nearC.SetFault(cut)
			_, err := p.near.Claim(ctx, butter, "20 kg")
			So(errors.Is(err, ErrNotRun), ShouldBeTrue)
			So(refused, ShouldBeEmpty)
		})
	})
}
