package engine

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// artifacts is what an engine holds beside its place in the chain. Engine.mu guards
// it.
type artifacts struct {
	adapters []engineapi.Adapter
	// version is the fencing number of the last order for adapters.
	version int64
	uses    map[string]uint64
	// stopLoad ends the load of layers that is underway, stopAdapters that of
	// adapters; nil if there is none.
	stopLoad, stopAdapters context.CancelFunc
	// loading is the order whose layers are on their way.
	loading engineapi.Order
}

// salt makes a token's bytes tell what its layers ran; nothing for no artifact.
func salt(a engineapi.Artifact) uint64 {
	if a == (engineapi.Artifact{}) {
		return 0
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%s", a.Weights, a.Adapter)
	return h.Sum64()
}

// runs is what a stream runs on this engine: what it was opened with, or, on an
// engine that checks nothing, whatever it holds now.
func (e *Engine) runs(s *session) engineapi.Artifact {
	if e.cfg.CheckFencing {
		return s.artifact
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.artifactFor(s.artifact.Adapter)
}

// artifactFor is what a stream that asks for an adapter runs. The caller holds mu.
func (e *Engine) artifactFor(adapter string) engineapi.Artifact {
	a := engineapi.Artifact{Weights: e.holding.Weights}
	if e.holds(adapter) {
		a.Adapter = adapter
	}
	return a
}

// holds reports whether an adapter can be used. The caller holds mu.
func (e *Engine) holds(adapter string) bool {
	return slices.ContainsFunc(e.artifacts.adapters, func(a engineapi.Adapter) bool { return a.String() == adapter })
}

// report is the answer to PathHolding. The caller holds mu.
func (e *Engine) report() engineapi.Report {
	uses := make(map[string]uint64, len(e.artifacts.uses))
	for adapter, n := range e.artifacts.uses {
		uses[adapter] = n
	}
	return engineapi.Report{
		Holding:        e.holding,
		Adapters:       slices.Clone(e.artifacts.adapters),
		AdapterVersion: e.artifacts.version,
		Running:        len(e.table.sessions),
		Uses:           uses,
		Cache:          e.cache.instance,
	}
}

// Order changes what the engine holds. An engine with CheckFencing refuses a
// placement version below the last that it took. Layers that it lacks take
// Config.LayerLoad each; until they are there it holds none.
func (e *Engine) Order(order engineapi.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFencing && order.PlacementVersion < e.holding.PlacementVersion {
		return Error.Wrap(errOldOrder)
	}
	if e.artifacts.stopLoad != nil && order == e.artifacts.loading {
		return nil // underway
	}
	if e.artifacts.stopLoad != nil {
		e.artifacts.stopLoad()
		e.artifacts.stopLoad = nil
	}
	take := time.Duration(missingLayers(e.holding, order)) * e.cfg.LayerLoad
	if take == 0 {
		e.holding = engineapi.Holding(order)
		return nil
	}
	e.holding = engineapi.Holding{First: 0, Last: -1, PlacementVersion: order.PlacementVersion}
	e.artifacts.loading = order
	e.artifacts.stopLoad = e.after(take, func() {
		e.holding = engineapi.Holding(order)
		e.artifacts.stopLoad = nil
	})
	return nil
}

// missingLayers is how many of an order's layers an engine has to fetch.
func missingLayers(held engineapi.Holding, order engineapi.Order) int {
	all := order.Last - order.First + 1
	if held.Model != order.Model || held.Weights != order.Weights {
		return all
	}
	return all - max(min(held.Last, order.Last)-max(held.First, order.First)+1, 0)
}

// after runs f with mu held once d has passed, unless it is stopped or the engine
// closed before. The caller holds mu.
func (e *Engine) after(d time.Duration, f func()) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	select {
	case <-e.closed:
		return cancel
	default:
		e.wg.Add(1)
	}
	go func() {
		defer e.wg.Done()
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		case <-e.closed:
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if ctx.Err() == nil {
			f()
		}
	}()
	return cancel
}

// OrderAdapters changes which adapters the engine holds. Those that it lacks take
// Config.AdapterLoad each; those that the order leaves out are gone at once.
func (e *Engine) OrderAdapters(order engineapi.AdapterOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFencing && order.Version < e.artifacts.version {
		return Error.Wrap(errOldOrder)
	}
	if order.Version == e.artifacts.version && e.artifacts.stopAdapters != nil {
		return nil // underway
	}
	if e.artifacts.stopAdapters != nil {
		e.artifacts.stopAdapters()
		e.artifacts.stopAdapters = nil
	}
	missing := 0
	var kept []engineapi.Adapter
	for _, a := range order.Adapters {
		if e.holds(a.String()) {
			kept = append(kept, a)
		} else {
			missing++
		}
	}
	e.artifacts.version = order.Version
	take := time.Duration(missing) * e.cfg.AdapterLoad
	if take == 0 {
		e.artifacts.adapters = slices.Clone(order.Adapters)
		return nil
	}
	e.artifacts.adapters = kept
	e.artifacts.stopAdapters = e.after(take, func() {
		e.artifacts.adapters = slices.Clone(order.Adapters)
		e.artifacts.stopAdapters = nil
	})
	return nil
}

// DropAdapters forgets every adapter and tells nobody, as an engine whose memory
// ran out does.
func (e *Engine) DropAdapters() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.artifacts.adapters = nil
}

func (e *Engine) handleAdapters(w http.ResponseWriter, r *http.Request) {
	var order engineapi.AdapterOrder
	if !readJSON(w, r, &order) {
		return
	}
	if err := e.OrderAdapters(order); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
