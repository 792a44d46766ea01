package stream

import (
	"context"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/route/engineclient"
)

const (
	// cancelWorkers bounds the concurrent cancel calls.
	cancelWorkers = 32
	// maxQueuedCancels allows one queued cancel for each stage of all streams that a node
	// can have open.
	maxQueuedCancels = 1 << 16
	cancelTimeout    = 1 * time.Second
)

// canceller cancels an ended epoch on every stage of its chain. Closing the
// connection informs only the first stage. If that stage is frozen or has crashed, it
// does not inform the other stages, which would keep their slots for a stream without a
// caller. Workers run only while the queue is not empty.
type canceller struct {
	client *engineclient.Client

	mu             sync.Mutex
	idle           *sync.Cond
	queue          []cancelTask
	workers        int
	droppedCancels int64
}

type cancelTask struct {
	address, stream string
	epoch           uint32
}

func newCanceller(client *engineclient.Client) *canceller {
	c := &canceller{client: client}
	c.idle = sync.NewCond(&c.mu)
	return c
}

// cancel queues one cancel for every stage of chain. Each cancel ends the stream's epochs
// up to and including the given epoch. If the queue is full, the cancel is dropped and
// counted.
func (c *canceller) cancel(chain Chain, stream string, epoch uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, stage := range chain.Stages {
		if len(c.queue) >= maxQueuedCancels {
			c.droppedCancels++
			continue
		}
		c.queue = append(c.queue, cancelTask{stage.Address, stream, epoch})
		if c.workers < cancelWorkers {
			c.workers++
			go c.work()
		}
	}
}

func (c *canceller) work() {
	for {
		task, ok := c.take()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		// The error is ignored, because an engine that cannot be reached frees the
		// stream's slot by its own timeout.
		c.client.Cancel(ctx, task.address, task.stream, task.epoch)
		cancel()
	}
}

func (c *canceller) take() (cancelTask, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		c.workers--
		if c.workers == 0 {
			c.queue = nil
			c.idle.Broadcast()
		}
		return cancelTask{}, false
	}
	task := c.queue[0]
	c.queue = c.queue[1:]
	return task, true
}

// wait returns when all queued cancels have been sent, or ctx ends.
func (c *canceller) wait(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle.Broadcast()
	})
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.workers > 0 {
		if err := ctx.Err(); err != nil {
			return err
		}
		c.idle.Wait()
	}
	return nil
}
