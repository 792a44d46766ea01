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
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/fleet/reads/readspb"
	"github.com/cicadatack/cicadatack/keep/store"
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

// Copy is a node's last read, which it tells to others. Safe for concurrent use.
type Copy struct {
	clock func() time.Duration

	mu   sync.Mutex
	last Read
}

// NewCopy returns an empty Copy. clock goes on while the machine is suspended.
func NewCopy(clock func() time.Duration) *Copy { return &Copy{clock: clock} }

// Set replaces the read.
func (c *Copy) Set(r Read) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = r
}

func (c *Copy) get() Read {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// Handler serves the calls of other nodes.
func (c *Copy) Handler() http.Handler { return readspb.NewReadsServer(c) }

// Since implements readspb.Reads.
func (c *Copy) Since(_ context.Context, request *readspb.SinceRequest) (*readspb.SinceResponse, error) {
	last := c.get()
	if last.Revision == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "nothing has been read yet")
	}
	answer := &readspb.SinceResponse{Revision: last.Revision}
	for _, e := range last.Entries {
		answer.Keys = append(answer.Keys, &readspb.Key{Key: e.Key, Revision: e.Revision})
		if e.Revision > request.Revision {
			answer.Changed = append(answer.Changed, &readspb.Value{Key: e.Key, Revision: e.Revision, Value: e.Value})
		}
	}
	// The age is taken last: what comes before it makes the answer older.
	answer.AgeMicros = (c.clock() - last.Proof).Microseconds() + 1
	return answer, nil
}

// askTimeout bounds a question: some hundred round trips inside a failure domain.
const askTimeout = 150 * time.Millisecond

// Asker asks other nodes. It is used by one goroutine.
type Asker struct {
	clock  func() time.Duration
	client *http.Client
	known  map[string]store.Entry
	// since is the revision up to which known is whole, 0 if it is not.
	since int64
	// floor is the newest revision taken; nothing older is taken any more.
	floor int64
}

// NewAsker returns an Asker that knows nothing.
func NewAsker(clock func() time.Duration) *Asker {
	return &Asker{
		clock:  clock,
		client: &http.Client{Timeout: askTimeout, Transport: &http.Transport{IdleConnTimeout: 30 * time.Second}},
		known:  map[string]store.Entry{},
	}
}

// Took notes a read of the store that the node has made itself.
func (a *Asker) Took(r Read) {
	a.since = r.Revision
	a.floor = max(a.floor, r.Revision)
	a.known = make(map[string]store.Entry, len(r.Entries))
	for _, e := range r.Entries {
		a.known[e.Key] = e
	}
}

// Ask returns what the node at an address read last. It fails if that read began
// longer ago than young: a node that has lost the store goes on telling what it read
// before, and whoever took it would go on asking while others can read. It also fails
// if the read is older than what is known here, or not whole.
func (a *Asker) Ask(ctx context.Context, address string, young time.Duration) (Read, error) {
	asked := a.clock()
	peer := readspb.NewReadsProtobufClient("http://"+address, a.client)
	answer, err := peer.Since(ctx, &readspb.SinceRequest{Revision: a.since})
	if err != nil {
		return Read{}, Error.Wrap(err)
	}
	if answer.Revision < a.floor {
		return Read{}, Error.New("%s has read revision %d, this node %d", address, answer.Revision, a.floor)
	}
	// The read began at least its age before the answer, which is not before the
	// question.
	age := time.Duration(answer.AgeMicros) * time.Microsecond
	if age > young {
		return Read{}, Error.New("%s has read %v ago", address, age)
	}
	entries, err := a.join(answer)
	if err != nil {
		return Read{}, err
	}
	r := Read{Entries: entries, Revision: answer.Revision, Proof: asked - max(0, age)}
	a.Took(r)
	return r, nil
}

// join puts an answer together with what is known.
func (a *Asker) join(answer *readspb.SinceResponse) ([]store.Entry, error) {
	changed := make(map[string]store.Entry, len(answer.Changed))
	for _, v := range answer.Changed {
		changed[v.Key] = store.Entry{Key: v.Key, Value: v.Value, Revision: v.Revision}
	}
	entries := make([]store.Entry, 0, len(answer.Keys))
	for _, k := range answer.Keys {
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
	slices.SortFunc(entries, func(x, y store.Entry) int { return cmp.Compare(x.Key, y.Key) })
	return entries, nil
}
