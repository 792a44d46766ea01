package bookings

import (
	"context"
	"errors"

	"github.com/cicadatack/cicadatack/fleet/bookings/bookingspb"
	"github.com/cicadatack/cicadatack/fleet/evidence"
)

// SetCrashes sets the source of the evidence about crashes, and what is told of evidence that can't
// be read. Without a source, none is exchanged. It is called before the first exchange.
func (e *Exchange) SetCrashes(source evidence.Source, onError func(error)) {
	e.crashes, e.onCrashError = source, onError
}

// ShareCrashes exchanges the evidence about crashes with nodes of any failure domain. It asks all
// of them and joins their errors. A node of an older version does not know the call.
func (e *Exchange) ShareCrashes(ctx context.Context, peers []Peer) error {
	var failed error
	for _, peer := range peers {
		client := bookingspb.NewBookingsProtobufClient("http://"+peer.Address, e.client)
		answer, err := client.ShareCrashes(ctx, e.crashEvidence())
		if err != nil {
			failed = errors.Join(failed, Error.Wrap(err))
			continue
		}
		e.mergeEvidence(peer.Name, answer.GetEvidence())
	}
	return failed
}

// ShareCrashes implements bookingspb.Bookings.
func (s server) ShareCrashes(_ context.Context, request *bookingspb.CrashEvidence) (*bookingspb.CrashEvidence, error) {
	s.e.mergeEvidence(request.GetNode(), request.GetEvidence())
	return s.e.crashEvidence(), nil
}

// crashEvidence is what this node knows, as a message of its own.
func (e *Exchange) crashEvidence() *bookingspb.CrashEvidence {
	return &bookingspb.CrashEvidence{Node: e.name, Evidence: e.ownEvidence()}
}

// ownEvidence is what this node knows; nil if it has nothing to tell.
func (e *Exchange) ownEvidence() []byte {
	data, err := evidence.Encode(e.crashes)
	if err != nil {
		e.onCrashError(err)
	}
	return data
}

func (e *Exchange) mergeEvidence(node string, data []byte) {
	if err := evidence.Merge(e.crashes, node, data); err != nil {
		e.onCrashError(err)
	}
}
