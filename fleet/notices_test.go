package fleet

import (
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/fleet/drainnotice"
	"github.com/cicadatack/cicadatack/fleet/exchange"
)

// manyNodesInterval is a quarter of the real interval. At 50 ms, 45 nodes in one
// process owe 900 exchanges a second; where other processes take the processors, these
// come later than nodes wait for them, and live nodes stay suspected without end.
const manyNodesInterval = 250 * time.Millisecond

// The platform says that an endpoint leaves, and in a fleet of over 40 nodes only
// one has looked since. The others would send it new work until their own look,
// seconds or minutes later. They hear it from that node, as a hint, and each is
// called once it has changed; when a node reads that the endpoint is live again it
// uses it, whatever notice still comes.
func TestLeavingEndpointReachesAll(t *testing.T) {
	const n = 45
	store := newFakeStore(record(7, "first"))
	nodes := startNodes(t, store, n, 3, manyNodesInterval)
	for _, each := range nodes {
		each.EndpointsListed(drainnotice.Listed{Revision: 10})
		await(t, "all live", 30*time.Second, func() bool { return each.count("live") == n })
	}
	nodes[0].EndpointsListed(drainnotice.Listed{VMs: []drainnotice.VM{{Name: "gpu-1", Revision: 20, Leaving: true}}, Revision: 20})
	for i, each := range nodes {
		await(t, "the notice", 10*time.Second, func() bool { return len(each.LeavingEndpoints()) == 1 })
		if got := each.LeavingEndpoints()[0]; got.Name != "gpu-1" || got.Confirmed != (i == 0) {
			t.Errorf("%s holds %+v", each.cfg.Name, got)
		}
		await(t, "the call", 10*time.Second, func() bool { return each.leavingCalls.Load() > 0 })
	}
	nodes[1].EndpointsListed(drainnotice.Listed{VMs: []drainnotice.VM{{Name: "gpu-1", Revision: 30}}, Revision: 30})
	nodes[1].hearNotices([]*exchange.Notice{{Endpoint: "gpu-1", Revision: 20}})
	if got := nodes[1].LeavingEndpoints(); len(got) > 0 {
		t.Errorf("a node that read the endpoint live holds %+v", got)
	}
}
