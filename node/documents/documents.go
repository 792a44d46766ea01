// Package documents reads an environment's document from the store for the
// fleet: the index in force, by a watch, and the parts of the text that are not
// on this node yet.
//
//	d := documents.New(documents.Config{Store: store, Environment: "dawn", Key: key, Slot: slot, ...})
//	f, err := fleet.New(cfg, vms, d, log)
//	d.Follow(f.Latest)
//
// Failure answered: an index whose parts are missing, damaged or out of reach.
// The index is not taken and the document in force stays; the node says which
// part, counts it, and tries again until it succeeds, a newer index comes or a
// peer brings the text.
//
// Load pattern: a change of one endpoint of 10,000 brings a watch holder an
// index of a few KB and makes it read one or two parts. Between peers the whole
// text goes as a difference, as before (package docsync).
package documents

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/documentparts"
	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/wait"
)

// Why a document was not taken, as the metric's label has it.
const (
	ReasonIndex   = "index"
	ReasonMissing = "part missing"
	ReasonDamaged = "part damaged"
	ReasonStore   = "store"
	ReasonText    = "text"
)

const (
	// retryFloor and retryCeiling bound the jittered pause before an index that
	// could not be taken is tried again.
	retryFloor   = 200 * time.Millisecond
	retryCeiling = 10 * time.Second
	// quickParts are read without a pause: what a change brings. A node that
	// lacks more is starting. When a failure domain restarts, 96 nodes would
	// read 60 parts each at once, more than the store's reads of two seconds;
	// within the pauses most get the text from the first peer that has it.
	quickParts = 8
	// partPause is the longest pause before each further part.
	partPause = 50 * time.Millisecond
)

// Store is what this package needs of the store.
type Store interface {
	store.Reader
	store.Watcher
}

// Config of a Source. All fields are needed.
type Config struct {
	Store       Store
	Environment string
	// Key is the store's key of the index, Slot the fleet's name for it.
	Key, Slot string
	Log       hclog.Logger
	// Refused is told each time that a document could not be taken, and why.
	Refused func(reason string)
}

// Source is one slot of the store. Safe for concurrent use.
type Source struct {
	cfg  Config
	held atomic.Pointer[func() (fleet.Record, bool)]

	mu    sync.Mutex
	cache documentparts.Cache
	// cached is the digest of the text that the cache was filled from.
	cached string
}

// New returns a Source that knows of no record held.
func New(cfg Config) *Source {
	return &Source{cfg: cfg, cache: documentparts.Cache{}}
}

// Follow tells how to ask for the record that this node holds, wherever it came
// from; its parts need not be read.
func (s *Source) Follow(latest func() (fleet.Record, bool)) { s.held.Store(&latest) }

// Get implements fleet.Documents.
func (s *Source) Get(ctx context.Context) (fleet.Record, error) {
	entry, err := s.cfg.Store.Get(ctx, s.cfg.Key)
	if err != nil || entry.Revision == 0 {
		return fleet.Record{}, err
	}
	index, err := document.DecodeIndex(entry.Value)
	if err != nil {
		s.cfg.Refused(ReasonIndex)
		return fleet.Record{}, err
	}
	record, err := s.record(ctx, index)
	if err != nil {
		s.cfg.Refused(reasonOf(err))
	}
	return record, err
}

// Watch implements fleet.Documents.
func (s *Source) Watch(ctx context.Context, handle func(fleet.Record)) error {
	entry, err := s.cfg.Store.Get(ctx, s.cfg.Key)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	newest := make(chan store.Entry, 1)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	work.Go(func() { s.follow(ctx, newest, handle) })
	if entry.Revision > 0 {
		newest <- entry
	}
	return s.cfg.Store.Watch(ctx, s.cfg.Key, entry.Revision, func(e store.Event) {
		if !e.Deleted && e.Entry.Key == s.cfg.Key {
			replace(newest, e.Entry)
		}
	})
}

// replace leaves the newest entry only: an index that was superseded before its
// turn need not be read.
func replace(newest chan store.Entry, entry store.Entry) {
	for {
		select {
		case newest <- entry:
			return
		default:
		}
		select {
		case <-newest:
		default:
		}
	}
}

// follow takes each new index, and tries again one that could not be taken. It
// does so beside the watch, so that a newer index ends the tries for one whose
// parts never come.
func (s *Source) follow(ctx context.Context, newest <-chan store.Entry, handle func(fleet.Record)) {
	var index document.Index
	var retry <-chan time.Time
	pause := retryFloor
	for {
		select {
		case <-ctx.Done():
			return
		case entry := <-newest:
			next, err := document.DecodeIndex(entry.Value)
			if err != nil {
				s.refuse(ReasonIndex, "error", err)
				continue // it may be mended; what was tried before goes on
			}
			index, pause = next, retryFloor
		case <-retry:
		}
		retry = nil
		record, err := s.record(ctx, index)
		if err == nil {
			handle(record)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.refuse(reasonOf(err), "revision", index.Revision, "error", err, "pause", pause)
		retry = time.After(jittered(pause))
		pause = min(2*pause, retryCeiling)
	}
}

func (s *Source) refuse(reason string, fields ...any) {
	s.cfg.Log.Error("document not read, the one in force stays", fields...)
	s.cfg.Refused(reason)
}

// jittered is a pause of half to one and a half of d: the holders of all
// failure domains met the same fault at the same moment.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

func reasonOf(err error) string {
	switch {
	case errors.Is(err, documentparts.ErrMissing):
		return ReasonMissing
	case errors.Is(err, document.ErrPart):
		return ReasonDamaged
	}
	return ReasonStore
}

// record returns the record that an index names, or the one held if that is as
// new.
func (s *Source) record(ctx context.Context, index document.Index) (fleet.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held, ok := s.heldFor(index); ok {
		return held, nil
	}
	s.fill()
	text, err := documentparts.Read(ctx, &partReader{source: s, index: index}, s.cfg.Environment, index, s.cache)
	if errors.Is(err, errHeld) {
		held, _ := s.heldFor(index)
		return held, nil
	}
	if err != nil {
		return fleet.Record{}, err
	}
	s.cached = index.Digest
	return fleet.Record{Environment: s.cfg.Slot, Revision: index.Revision, Digest: index.Digest, Body: text}, nil
}

// latest is the record held; revision zero if there is none.
func (s *Source) latest() fleet.Record {
	held := s.held.Load()
	if held == nil {
		return fleet.Record{}
	}
	record, _ := (*held)()
	return record
}

// heldFor returns the record held if it is the index's or a newer one. Another
// text of the same revision is read: the fleet reports that there are two.
func (s *Source) heldFor(index document.Index) (fleet.Record, bool) {
	held := s.latest()
	same := held.Revision == index.Revision && held.Digest == index.Digest
	return held, same || held.Revision > index.Revision
}

// fill puts the parts of the record held into the cache, wherever it came from.
func (s *Source) fill() {
	held := s.latest()
	if held.Revision == 0 || held.Digest == s.cached {
		return
	}
	s.cache.Keep(document.Refs(document.Parts(held.Body)), held.Body)
	s.cached = held.Digest
}

// errHeld ends the reading of parts once a peer has brought the text.
var errHeld = errors.New("the record is held")

// partReader reads the parts that one index lacks.
type partReader struct {
	source *Source
	index  document.Index
	reads  int
}

// Get implements documentparts.Getter.
func (r *partReader) Get(ctx context.Context, key string) (store.Entry, error) {
	if r.reads++; r.reads > quickParts {
		wait.For(ctx, rand.N(partPause))
	}
	if _, held := r.source.heldFor(r.index); held {
		return store.Entry{}, errHeld
	}
	return r.source.cfg.Store.Get(ctx, key)
}
