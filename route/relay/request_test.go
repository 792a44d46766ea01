package relay

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/retrybudget"
)

// reachable is what a dialer finds at every address.
type reachable bool

func (r reachable) Reachable(context.Context, string, time.Duration) (accepts, answers bool) {
	return bool(r), bool(r)
}

// A node starts while a replica is dead, and the first replica of its paths refuses for
// that. Taken for want of room, each request of the node would spend a try on the dead
// one until its budget is gone.
func TestDeadStageNamedInRefusalIsExcluded(t *testing.T) {
	for _, alive := range []bool{false, true} {
		m := twoReplicaModel()
		monitor, cancel := silentStream(t, m, retrybudget.New(retry.Config{Burst: 10}, time.Now), 0)
		defer cancel()
		req, target := monitor.attempt.request, monitor.attempt.target
		req.ctx, req.log = monitor.ctx, hclog.NewNullLogger()
		req.server.Prober = connprobe.New(reachable(alive), time.Now)
		req.probeFault(target, target.Address)
		if left := len(m.Suspects()) == 0; left != alive {
			t.Errorf("alive %t: %d are left out", alive, len(m.Suspects()))
		}
		req.probeFault(target, "another's address")
	}
}
