package fleet

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/fleet/docsync"
	"github.com/cicadatack/cicadatack/fleet/membership"
	"github.com/cicadatack/cicadatack/state/wait"
)

// watchCheck intervals pass between two looks at whether this node is to hold
// a watch; as many after the start, by when it has met its failure domain.
const watchCheck = 3

// stepRecords gives the record shard an input and carries out what it asks.
func (f *Fleet) stepRecords(in docsync.Input) docsync.Batch {
	batch, ready := f.stepMachine(in)
	f.carryOut(batch, ready)
	return batch
}

// stepMachine gives the machine an input. It says whether the record may be served.
func (f *Fleet) stepMachine(in docsync.Input) (batch docsync.Batch, ready bool) {
	f.records.Lock()
	defer f.records.Unlock()
	batch = f.records.machine.Step(in)
	return batch, f.records.machine.Ready()
}

// carryOut does what a step of the record shard asks for.
func (f *Fleet) carryOut(batch docsync.Batch, ready bool) {
	if batch.Conflict {
		f.log.Error("two records of one revision; the first one stays", "environment", f.cfg.Environment)
	}
	if ready {
		f.stepView(membership.Serve{})
	}
	f.deliver()
	if batch.Accepted != nil {
		f.log.Info("record in force", "environment", f.cfg.Environment,
			"revision", batch.Accepted.Revision, "digest", batch.Accepted.Digest)
	}
	for _, peer := range batch.Push {
		f.start(func() { f.push(peer) })
	}
}

func (f *Fleet) latest() Record {
	f.records.Lock()
	defer f.records.Unlock()
	return f.records.machine.Latest()
}

func (f *Fleet) storeAnswered() {
	f.records.Lock()
	f.records.lastStore = time.Now()
	f.records.Unlock()
}

// startupLoop asks the store until the node is ready; peers' answers, which
// come with the exchanges, may be quicker.
func (f *Fleet) startupLoop() {
	for pause := retryFloor; ; pause = min(2*pause, retryCeiling) {
		if f.askStore() {
			return
		}
		if !wait.For(f.running, jittered(pause)) {
			return
		}
		if _, ready := f.Latest(); ready {
			return
		}
	}
}

// askStore returns true once the store answered. If it holds no record yet,
// the first one will come by a watch holder: 2,200 nodes that keep asking
// would take a tenth of the store's reads.
func (f *Fleet) askStore() bool {
	ctx, cancel := context.WithTimeout(f.running, storeTimeout)
	defer cancel()
	record, err := f.documents.Get(ctx)
	if err != nil {
		f.log.Warn("store not read", "error", Error.Wrap(err))
		return false
	}
	f.storeAnswered()
	if record.Revision == 0 {
		f.stepRecords(docsync.StoreEmpty{})
		return true
	}
	f.stepRecords(docsync.Learned{Record: record, Source: docsync.FromStore})
	return true
}

// Refresh reads the record from the store. It returns before a newer record is in force.
func (f *Fleet) Refresh(ctx context.Context) error {
	record, err := f.documents.Get(ctx)
	if err != nil {
		f.log.Warn("store not read", "error", Error.Wrap(err))
		return Error.Wrap(err)
	}
	f.storeAnswered()
	f.stepRecords(docsync.Learned{Record: record, Source: docsync.FromStore})
	return nil
}

// watchLoop holds a watch while this node is one of its failure domain's
// holders. A broken watch is taken up again with a jittered, growing pause.
func (f *Fleet) watchLoop() {
	pause := retryFloor
	for wait.For(f.running, watchCheck*f.cfg.Interval) {
		if !f.isHolder() {
			continue
		}
		began := time.Now()
		err := f.holdWatch()
		if f.running.Err() != nil {
			return
		}
		if time.Since(began) > retryCeiling {
			pause = retryFloor
		}
		if err != nil && f.isHolder() {
			f.log.Warn("watch ended", "error", Error.Wrap(err), "pause", pause)
			if !wait.For(f.running, jittered(pause)) {
				return
			}
			pause = min(2*pause, retryCeiling)
		}
	}
}

func (f *Fleet) isHolder() bool {
	f.records.Lock()
	defer f.records.Unlock()
	return f.records.machine.Watching()
}

func (f *Fleet) setWatching(on bool) {
	f.records.Lock()
	f.records.watching = on
	f.records.Unlock()
}

// holdWatch watches until the connection fails or another node's turn comes.
func (f *Fleet) holdWatch() error {
	ctx, cancel := context.WithCancel(f.running)
	defer cancel()
	f.start(func() {
		for wait.For(ctx, watchCheck*f.cfg.Interval) {
			if !f.isHolder() {
				cancel()
			}
		}
	})
	f.setWatching(true)
	defer f.setWatching(false)
	return f.documents.Watch(ctx, func(r Record) {
		f.storeAnswered()
		f.stepRecords(docsync.Learned{Record: r, Source: docsync.FromStore})
	})
}
