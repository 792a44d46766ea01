// Package reads lets the nodes of a failure domain share what they read from the
// platform's store, with its age: a few read, the others ask them.
//
// What is told is as good as read, for two reasons that hold whoever tells it: an
// answer bears the age of the read that it comes from, on a clock that goes on while
// a machine is suspended, and the asker counts that age from the moment before it
// asked; and an answer that is older than what the asker has is not taken.
package reads

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/fleet/reads/readspb"
	"github.com/cicadatack/cicadatack/state/httpanswer"
	"github.com/cicadatack/cicadatack/state/store"
)

// Error is the class of this layer's errors.
var Error = errs.Class("shared reads")

// Read is all that the store held at one read.
type Read struct {
	Entries []store.Entry
	// Revision is the store's.
	Revision int64
	// Proof is a reading of the clock, at or before the beginning of the read.
	Proof time.Duration
}

// Peer is what a node says of itself when it asks.
type Peer struct {
	// Name and Callers, the address where callers reach it, are empty if it is not to be
	// listed.
	Name, Callers string
	// Address is where it is asked in turn, "" if it can't be.
	Address string
	// Age is how long ago the read began that it has made itself; 0 if there is none.
	Age time.Duration
	// Link is what its VM may send, in Mbit/s; 0 if that is not known.
	Link float64
}

// Listener hears of nodes that ask.
type Listener interface {
	// Heard notes that a node is there. It says whether it is listed in the store.
	Heard(Peer) bool
	// Left notes that a node leaves.
	Left(name string)
}

// Copy is what a node has read or was told last, which it tells to others with its age. Safe for concurrent use.
type Copy struct {
	clock    func() time.Duration
	listener Listener

	mu   sync.Mutex
	last Read
	// packed are contents of answers about the last read, by the asker's revision: most
	// askers have one of the reads before it.
	packed map[int64][]byte
}

// mostPacked bounds the contents that are kept.
const mostPacked = 8

// NewCopy returns an empty Copy. clock goes on while the machine is suspended; listener
// may be nil.
func NewCopy(clock func() time.Duration, listener Listener) *Copy {
	return &Copy{clock: clock, listener: listener}
}

// Set replaces the read.
func (c *Copy) Set(r Read) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.packed = r, map[int64][]byte{}
}

func (c *Copy) get() Read {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// Handler serves the calls of other nodes.
func (c *Copy) Handler() http.Handler { return readspb.NewReadsServer(c) }

// Held implements readspb.Reads.
func (c *Copy) Held(_ context.Context, request *readspb.HeldRequest) (*readspb.HeldResponse, error) {
	listed := c.heard(request)
	last := c.get()
	if last.Revision == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "nothing has been read yet")
	}
	answer := &readspb.HeldResponse{Revision: last.Revision, Listed: listed}
	if request.Revision != last.Revision {
		content, err := c.content(last, request.Revision)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		answer.Content = content
	}
	// The age is taken last: what comes before it makes the answer older.
	answer.AgeMicros = (c.clock() - last.Proof).Microseconds() + 1
	return answer, nil
}

// content is what an asker is told that has what the store held at a revision.
func (c *Copy) content(last Read, since int64) ([]byte, error) {
	c.mu.Lock()
	packed, ok := c.packed[since]
	c.mu.Unlock()
	if ok {
		return packed, nil
	}
	content := &readspb.Content{}
	for _, e := range last.Entries {
		content.Keys = append(content.Keys, &readspb.Key{Key: e.Key, Revision: e.Revision})
		if e.Revision > since {
			content.Changed = append(content.Changed, &readspb.Value{Key: e.Key, Revision: e.Revision, Value: e.Value, Created: e.Created})
		}
	}
	packed, err := pack(content)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Revision == last.Revision && len(c.packed) < mostPacked {
		c.packed[since] = packed
	}
	return packed, nil
}

func (c *Copy) heard(request *readspb.HeldRequest) bool {
	if c.listener == nil || request.GetNode() == "" {
		return false // it has an entry of its own
	}
	return c.listener.Heard(Peer{
		Name: request.GetNode(), Callers: request.GetCallers(), Address: request.GetAddress(),
		Age: max(0, ageFromWire(request.GetAgeMicros())), Link: request.GetLinkMbps(),
	})
}

// maxAge is more than any read is old; it keeps the conversion to a time.Duration in range.
const maxAge = 24 * time.Hour

// ageFromWire converts an age. One below 0 stays negative.
func ageFromWire(micros int64) time.Duration {
	const most = int64(maxAge / time.Microsecond)
	return time.Duration(min(max(micros, -most), most)) * time.Microsecond
}

// Leave implements readspb.Reads.
func (c *Copy) Leave(_ context.Context, request *readspb.LeaveRequest) (*readspb.LeaveResponse, error) {
	if c.listener != nil {
		c.listener.Left(request.GetNode())
	}
	return &readspb.LeaveResponse{}, nil
}

// askTimeout bounds a question: some hundred round trips inside a failure domain.
const askTimeout = 150 * time.Millisecond

// Asker asks other nodes. Ask and Took are for one goroutine.
type Asker struct {
	clock  func() time.Duration
	self   func() Peer
	client *http.Client
	known  map[string]store.Entry
	// since is the revision up to which known is whole, 0 if it is not.
	since int64
	// floor is the newest revision taken; nothing older is taken any more.
	floor int64
}

// NewAsker returns an Asker that knows nothing. self is what it says of itself.
func NewAsker(clock func() time.Duration, self func() Peer) *Asker {
	return &Asker{
		clock:  clock,
		self:   self,
		client: &http.Client{Timeout: askTimeout, Transport: httpanswer.Checked(&http.Transport{IdleConnTimeout: 30 * time.Second}, nil)},
		known:  map[string]store.Entry{},
	}
}

// Took notes a read of the store that the node has made itself. The store is never behind what
// other nodes have read there: a higher revision was none of the store's, and would keep this node
// from taking any answer.
func (a *Asker) Took(r Read) {
	a.since, a.floor = r.Revision, r.Revision
	a.known = make(map[string]store.Entry, len(r.Entries))
	for _, e := range r.Entries {
		a.known[e.Key] = e
	}
}

// Answer is what came of a question.
type Answer struct {
	// Read is what the other node has read; it is empty if that is not taken.
	Read Read
	// Reached says that the other node answered, Listed that it lists the asker.
	Reached, Listed bool
}

// Ask asks the node at an address what it read last. It fails if that read began longer
// ago than young: a node that has lost the store goes on telling what it read before, and
// whoever took it would go on asking while others can read. It also fails if the read is
// older than what is known here, or not whole. What is known of the other node is told in
// any case.
func (a *Asker) Ask(ctx context.Context, address string, young time.Duration) (Answer, error) {
	asked := a.clock()
	own := a.self()
	peer := readspb.NewReadsProtobufClient("http://"+address, a.client)
	response, err := peer.Held(ctx, &readspb.HeldRequest{
		Revision: a.since, Node: own.Name, Callers: own.Callers, Address: own.Address, AgeMicros: own.Age.Microseconds(),
		LinkMbps: own.Link,
	})
	if err != nil {
		var answered twirp.Error
		reached := errors.As(err, &answered) && answered.Code() == twirp.Unavailable
		return Answer{Reached: reached}, Error.Wrap(err)
	}
	answer := Answer{Reached: true, Listed: response.Listed}
	answer.Read, err = a.judge(address, response, asked, young)
	return answer, err
}

// judge takes an answer if it is young, new and whole.
func (a *Asker) judge(address string, response *readspb.HeldResponse, asked, young time.Duration) (Read, error) {
	if response.Revision < a.floor {
		return Read{}, Error.New("%s has read revision %d, this node %d", address, response.Revision, a.floor)
	}
	// The read began at least its age before the answer, which is not before the
	// question.
	age := ageFromWire(response.AgeMicros)
	if age <= 0 {
		return Read{}, Error.New("%s dates its read ahead, by %v", address, -age)
	}
	if age > young {
		return Read{}, Error.New("%s has read %v ago", address, age)
	}
	entries, err := a.join(response)
	if err != nil {
		return Read{}, err
	}
	r := Read{Entries: entries, Revision: response.Revision, Proof: asked - age}
	a.Took(r)
	return r, nil
}

// Leave tells the node at an address that this one, whose name is given, leaves.
func (a *Asker) Leave(ctx context.Context, address, name string) error {
	peer := readspb.NewReadsProtobufClient("http://"+address, a.client)
	_, err := peer.Leave(ctx, &readspb.LeaveRequest{Node: name})
	return Error.Wrap(err)
}

// join puts an answer together with what is known.
func (a *Asker) join(answer *readspb.HeldResponse) ([]store.Entry, error) {
	if len(answer.Content) == 0 {
		if a.since == 0 || answer.Revision != a.since {
			return nil, Error.New("the answer for revision %d is empty, this node has %d", answer.Revision, a.since)
		}
		return sorted(slices.Collect(maps.Values(a.known))), nil
	}
	content, err := unpack(answer.Content)
	if err != nil {
		return nil, err
	}
	changed := make(map[string]store.Entry, len(content.Changed))
	for _, v := range content.Changed {
		changed[v.Key] = store.Entry{Key: v.Key, Value: v.Value, Revision: v.Revision, Created: v.Created}
	}
	entries := make([]store.Entry, 0, len(content.Keys))
	for _, k := range content.Keys {
		if k.Revision < 0 || k.Revision-maxAhead > answer.Revision {
			return nil, Error.New("%.100q has revision %d in a read of revision %d", k.Key, k.Revision, answer.Revision)
		}
		e, ok := changed[k.Key]
		if !ok {
			e, ok = a.known[k.Key]
		}
		if !ok || e.Revision != k.Revision {
			// What this node holds is not what the other thinks: the next question
			// asks for everything.
			a.since = 0
			return nil, Error.New("the answer lacks %s at revision %d", k.Key, k.Revision)
		}
		entries = append(entries, e)
	}
	return sorted(entries), nil
}

// maxAhead is how far the revision of an entry may lie above that of the read. A read takes several
// calls, and entries may change between them; no store makes a million changes meanwhile. A node
// takes nothing older than what it has, so that a revision which is none of the store's would keep
// it from following an entry.
const maxAhead = 1 << 20

func sorted(entries []store.Entry) []store.Entry {
	slices.SortFunc(entries, func(x, y store.Entry) int { return cmp.Compare(x.Key, y.Key) })
	return entries
}
