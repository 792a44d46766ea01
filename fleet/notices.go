package fleet

import (
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/fleet/drainnotice"
	"github.com/cicadatack/cicadatack/fleet/exchange"
	"github.com/cicadatack/cicadatack/fleet/membership"
)

// maxNotices bounds the notices taken from one message.
const maxNotices = 64

// noticeShard holds what is known of endpoints that leave.
type noticeShard struct {
	sync.Mutex
	machine *drainnotice.Machine
}

// EndpointsListed takes what this node has read of the platform's list of
// endpoint VMs, and tells the peers of those that leave.
func (f *Fleet) EndpointsListed(list drainnotice.Listed) { f.stepNotices(list) }

// LeavingEndpoints returns the endpoints that leave, by this node's own list or
// by peers'.
func (f *Fleet) LeavingEndpoints() []drainnotice.Endpoint {
	f.notices.Lock()
	defer f.notices.Unlock()
	return f.notices.machine.Leaving(time.Now())
}

func (f *Fleet) stepNotices(in drainnotice.Input) {
	f.notices.Lock()
	batch := f.notices.machine.Step(time.Now(), in)
	f.notices.Unlock()
	if batch.Relay {
		f.stepView(membership.Relay{})
	}
	if batch.Changed {
		f.cfg.OnLeaving()
	}
}

func (f *Fleet) hearNotices(list []*exchange.Notice) {
	if len(list) > 0 {
		f.stepNotices(drainnotice.Heard{Notices: noticesFromWire(list)})
	}
}

// takeNotices returns the notices for one message to a peer, without those that
// it has just sent.
func (f *Fleet) takeNotices(known []*exchange.Notice) []*exchange.Notice {
	nodes := len(f.Members())
	f.notices.Lock()
	defer f.notices.Unlock()
	return noticesToWire(f.notices.machine.Take(nodes, noticesFromWire(known)))
}

func noticesToWire(list []drainnotice.Notice) []*exchange.Notice {
	out := make([]*exchange.Notice, 0, len(list))
	for _, n := range list {
		out = append(out, &exchange.Notice{Endpoint: n.Endpoint, Revision: n.Revision})
	}
	return out
}

// noticesFromWire leaves out what no node can have sent.
func noticesFromWire(list []*exchange.Notice) []drainnotice.Notice {
	out := make([]drainnotice.Notice, 0, min(len(list), maxNotices))
	for _, n := range list[:min(len(list), maxNotices)] {
		if n.GetEndpoint() != "" && n.GetRevision() > 0 {
			out = append(out, drainnotice.Notice{Endpoint: n.GetEndpoint(), Revision: n.GetRevision()})
		}
	}
	return out
}
