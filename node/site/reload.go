package site

import (
	"context"
	"reflect"
	"time"

	"github.com/cicadatack/cicadatack/platform/boot"
)

// reloadEvery is how often the settings are read again without a signal: they may
// change without one.
const reloadEvery = 5 * time.Second

// watchSettings puts changed settings in force, at a signal and now and then. The
// process has no other use for the signal, whose default is to end it.
func (n *Node) watchSettings(ctx context.Context, signals <-chan struct{}) {
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	for {
		select {
		case <-signals:
			n.reload(true)
		case <-tick.C:
			n.reload(false)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the settings. Bounds come into force at once; addresses, which the
// listeners are bound to, with the next start. Settings that can't be read leave the
// old ones in force.
func (n *Node) reload(signalled bool) {
	now, err := n.read()
	if err != nil {
		n.log.Error("settings refused", "error", err)
		return
	}
	old := n.bounds()
	if signalled || now.Bounds != old {
		n.log.Info("settings read", "signal", signalled, "bounds_changed", now.Bounds != old,
			"restart_needed", !reflect.DeepEqual(unbounded(now), unbounded(n.settings)))
	}
	if now.Bounds == old {
		return
	}
	n.inForce.Store(&now.Bounds)
	n.lease.Lock()
	defer n.lease.Unlock()
	n.lease.MaxAge = freshLimit(now.Bounds)
}

// unbounded are the settings without what a reload puts in force.
func unbounded(s *boot.Settings) boot.Settings {
	rest := *s
	rest.Bounds = boot.Bounds{}
	return rest
}

// bounds are those in force.
func (n *Node) bounds() boot.Bounds { return *n.inForce.Load() }

func freshLimit(b boot.Bounds) time.Duration {
	return time.Duration(float64(b.Revoke) * freshFor)
}
