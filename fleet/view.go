package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cicadatack/cicadatack/fleet/docsync"
	"github.com/cicadatack/cicadatack/fleet/membership"
	"github.com/cicadatack/cicadatack/state/wait"
)

// stepView gives the view an input and carries out what it asks for.
func (f *Fleet) stepView(in membership.Input) membership.Batch {
	batch := f.stepViewQuiet(in)
	for _, send := range batch.Sends {
		f.start(func() { f.exchangeWith(f.running, send) })
	}
	return batch
}

// stepViewQuiet leaves the sends to the caller.
func (f *Fleet) stepViewQuiet(in membership.Input) membership.Batch {
	f.view.Lock()
	batch := f.view.machine.Step(time.Now(), in)
	if len(batch.Changes) > 0 {
		f.view.stale = true
	}
	f.view.Unlock()
	f.report(batch.Changes)
	return batch
}

// report logs changes and tells the record shard who is there.
func (f *Fleet) report(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.New.State != c.Old.State || c.Old.Name == "" {
			f.log.Info("member", "name", c.New.Name, "state", c.New.State.String(),
				"incarnation", c.New.Incarnation, "failure_domain", c.New.FailureDomain)
		}
	}
	f.tellMembers()
}

// tellMembers tells the record shard who is there. Looking and telling are one step: of two
// changes that come at once, the view of the older one must not be told last.
func (f *Fleet) tellMembers() {
	f.telling.Lock()
	batch, ready := f.stepMachine(docsync.Members{Nodes: f.nodes(), Whole: f.joined()})
	f.telling.Unlock()
	f.carryOut(batch, ready)
}

// nodes are the others that serve the same slot. One of another slot takes no
// part in spreading this one's record: as a watch holder it would watch its
// own, as an inner node of the tree it would pass nothing on.
func (f *Fleet) nodes() []docsync.Node {
	members := f.Members()
	nodes := make([]docsync.Node, 0, len(members))
	for _, m := range members {
		if m.Name == f.cfg.Name || m.State == membership.Gone || !f.SameSlot(m) {
			continue
		}
		nodes = append(nodes, docsync.Node{
			Name:          m.Name,
			FailureDomain: m.FailureDomain,
			Heard:         m.Incarnation > 0,
			Steady:        m.State != membership.Suspect,
		})
	}
	return nodes
}

func (f *Fleet) joined() bool {
	f.view.Lock()
	defer f.view.Unlock()
	return f.view.machine.Joined()
}

// lookup returns a member by name.
func (f *Fleet) lookup(name string) (Member, bool) {
	f.view.Lock()
	defer f.view.Unlock()
	return f.view.machine.Member(name)
}

// listLoop reads the platform's list at the pace that the fleet's size allows.
func (f *Fleet) listLoop() {
	pause := retryFloor
	for {
		size, err := f.readList()
		if err != nil {
			f.log.Warn("platform list not read", "error", err)
			pause = min(2*pause, retryCeiling)
		} else {
			pause = max(listFloor*f.cfg.Interval, time.Duration(size)*listPerMember)
		}
		if !wait.For(f.running, jittered(pause)) {
			return
		}
	}
}

func (f *Fleet) readList() (int, error) {
	ctx, cancel := context.WithTimeout(f.running, storeTimeout)
	defer cancel()
	vms, err := f.vms.VMs(ctx)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	f.storeAnswered()
	f.stepView(membership.Listed{VMs: vms})
	return len(vms), nil
}

// jittered draws from half to one and a half of d.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rand.Float64()))
}
