// Package catchup lets requests wait until this node has a version of the configuration in force that
// another node already has.
//
// Nodes learn of a new version at different moments. A node that forwards its callers' requests would
// let some of them be handled by a newer version and later ones by an older version, as it asks one
// node after the other. So a forwarded request is handled only by a node that has the same version in
// force, and whichever of the two is behind reads the store at once.
package catchup

import (
	"context"
	"sync"
	"time"
)

const (
	// maxWait bounds the wait of one request. It is many times what a read of the store takes.
	maxWait = 300 * time.Millisecond
	// pauseAfterUselessRead is the least time between a read that brought nothing new and the next
	// one. Without it, requests would read without end while the store is away.
	pauseAfterUselessRead = 50 * time.Millisecond
)

// Reader reads the configuration. Several requests share a read.
type Reader struct {
	revision func() int64
	read     func(ctx context.Context) error
	// report is called with the result of each read.
	report func(err error)

	mu sync.Mutex
	// running is closed when the read under way has ended; nil if there is none.
	running chan struct{}
	// notBefore is the earliest time of the next read.
	notBefore time.Time
}

// New returns a Reader. revision returns the version in force; read reads the newest version from the
// store and puts it in force. report, which may be nil, is called with the result of each read.
func New(revision func() int64, read func(ctx context.Context) error, report func(err error)) *Reader {
	return &Reader{revision: revision, read: read, report: report}
}

// Revision returns the version in force.
func (r *Reader) Revision() int64 { return r.revision() }

// readsPerRequest bounds the reads that a request waits for. The first may have begun before the request
// arrived, and so before the version was written; the second one shows what the store has.
const readsPerRequest = 2

// CatchUp waits until a version or a newer one is in force, but not longer than readsPerRequest,
// maxWait and the context allow. It returns the version in force.
func (r *Reader) CatchUp(ctx context.Context, revision int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for reads := 0; r.revision() < revision && reads < readsPerRequest; reads++ {
		select {
		case <-r.join():
		case <-ctx.Done():
			return r.revision()
		}
	}
	return r.revision()
}

// join returns a channel that is closed when the read under way has ended. If there is none, it begins
// one.
func (r *Reader) join() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = make(chan struct{})
		go r.run(r.running, time.Until(r.notBefore))
	}
	return r.running
}

func (r *Reader) run(done chan struct{}, pause time.Duration) {
	time.Sleep(pause)
	before := r.revision()
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	err := r.read(ctx)
	if r.report != nil {
		r.report(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revision() == before {
		r.notBefore = time.Now().Add(pauseAfterUselessRead)
	}
	r.running = nil
	close(done)
}
