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

// reachable is a dialer that reaches every address if it is true, and no address if it is false.
type reachable bool

func (r reachable) Reachable(context.Context, string, time.Duration) (accepts, answers bool) {
	return bool(r), bool(r)
}

// A node starts while a replica is dead. The first replicas of its paths refuse requests
// because this stage is dead. If these refusals counted as lack of capacity, each request of
// the node would waste an attempt on the dead replica until the retry budget is spent.
func TestDeadStageNamedInRefusalIsExcluded(t *testing.T) {
	for _, alive := range []bool{false, true} {
		m := twoReplicaModel()
		monitor, cancel := silentStream(t, m, retrybudget.New(retry.Config{Burst: 10}, time.Now), 0)
		defer cancel()
		req, target := monitor.attempt.req, monitor.attempt.target
		req.ctx, req.log = monitor.ctx, hclog.NewNullLogger()
		req.server.Prober = connprobe.New(reachable(alive), time.Now)
		req.probeFaultyReplica(target, target.Address)
		if noneSuspected := len(m.Suspects()) == 0; noneSuspected != alive {
			t.Errorf("alive %t: %d replicas are excluded", alive, len(m.Suspects()))
		}
		req.probeFaultyReplica(target, "unknown address")
	}
}
