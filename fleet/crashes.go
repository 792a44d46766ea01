package fleet

import (
	"github.com/cicadatack/cicadatack/fleet/evidence"
	"github.com/cicadatack/cicadatack/fleet/membership"
)

// crashNews reports whether the evidence of crashes has changed since the last call.
func (f *Fleet) crashNews() bool {
	if f.cfg.Crashes == nil {
		return false
	}
	changes := f.cfg.Crashes.Changes()
	return f.crashesTold.Swap(changes) != changes
}

// TellCrashes exchanges with a peer at once if there is new evidence of crashes. The peers
// that are told do the same, so all nodes know it within a few exchanges.
func (f *Fleet) TellCrashes() {
	if f.crashNews() {
		f.stepView(membership.Relay{})
	}
}

func (f *Fleet) takeEvidence() []byte {
	data, err := evidence.Encode(f.cfg.Crashes)
	if err != nil {
		f.log.Warn("evidence of crashes not told", "error", Error.Wrap(err))
	}
	return data
}

func (f *Fleet) hearEvidence(peer string, data []byte) {
	if err := evidence.Merge(f.cfg.Crashes, peer, data); err != nil {
		f.log.Warn("evidence of crashes passed over", "peer", peer, "error", Error.Wrap(err))
		return
	}
	if len(data) > 0 {
		f.TellCrashes()
	}
}
