package fleet

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cicadatack/cicadatack/fleet/docsync"
	"github.com/cicadatack/cicadatack/fleet/exchange"
	"github.com/cicadatack/cicadatack/fleet/membership"
	"github.com/twitchtv/twirp"
)

// packedCache keeps the last payload, which is the same for most peers.
type packedCache struct {
	of, base docsync.Holding
	payload  docsync.Payload
}

// pack returns the latest record as the difference to base.
func (f *Fleet) pack(base Record) packedCache {
	f.records.Lock()
	record := f.records.machine.Latest()
	cached := f.records.packed
	f.records.Unlock()
	of, from := record.Holding(), base.Holding()
	if cached.of == of && cached.base == from {
		return cached
	}
	packed := packedCache{of: of, base: from, payload: docsync.Pack(record, base)}
	f.records.Lock()
	f.records.packed = packed
	f.records.Unlock()
	return packed
}

// document says what this node holds, for any message.
func (f *Fleet) document() *exchange.Document {
	return f.documentOf(f.latest().Holding())
}

func (f *Fleet) documentOf(held docsync.Holding) *exchange.Document {
	return &exchange.Document{Environment: f.cfg.Environment, Revision: held.Revision, Mark: held.Mark}
}

// base returns the record that a difference for a peer can start from.
func (f *Fleet) base(held docsync.Holding) Record {
	f.records.Lock()
	defer f.records.Unlock()
	return f.records.machine.Base(held)
}

// call makes one exchange, which carries the notices of leaving endpoints and the
// evidence of crashes both ways.
func (f *Fleet) call(ctx context.Context, to Member, request *exchange.ExchangeRequest) (*exchange.ExchangeResponse, error) {
	request.Notices = f.takeNotices(nil)
	request.Evidence = f.takeEvidence()
	answer, err := f.newPeer(to, f.client).Exchange(ctx, request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.hearNotices(answer.GetNotices())
	f.hearEvidence(to.Name, answer.GetEvidence())
	return answer, nil
}

func (f *Fleet) request(msg membership.Message) *exchange.ExchangeRequest {
	return &exchange.ExchangeRequest{
		Sender:        memberToWire(msg.Sender),
		Updates:       membersToWire(msg.Updates),
		MembersDigest: msg.Digest,
		WantMembers:   msg.WantTable,
		Document:      f.document(),
	}
}

// exchangeWith carries out one regular exchange. An answer later than an
// interval counts as none: a peer that slow is no use to callers either.
func (f *Fleet) exchangeWith(ctx context.Context, send membership.Send) {
	ctx, cancel := context.WithTimeout(ctx, max(f.cfg.Interval, retryFloor))
	defer cancel()
	asked := time.Now()
	request := f.request(send.Message)
	// Only here are limits asked for: a question whose answer is not taken
	// would make the node do without what it was lent.
	request.Asks = asksToWire(f.cfg.Limits.RequestLoans(asked, send.To.Name))
	answer, err := f.call(ctx, send.To, request)
	if err != nil {
		if f.running.Err() == nil {
			f.log.Debug("exchange failed", "peer", send.To.Name, "error", err)
			f.stepView(membership.Failed{Peer: send.To.Name, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		}
		return
	}
	f.absorbAnswer(answer, send.Message.WantTable)
	f.cfg.Limits.Borrow(asked, send.To.Name, loansFromWire(answer.GetLoans()))
	f.settle(send.To, answer.GetDocument(), true)
}

func (f *Fleet) absorbAnswer(answer *exchange.ExchangeResponse, askedTable bool) {
	sender := membersFromWire([]*exchange.Member{answer.GetSender()})
	if len(sender) == 0 {
		return
	}
	table, err := unpackTable(answer.GetTable())
	if err != nil {
		f.log.Warn("membership table refused", "peer", sender[0].Name, "error", err)
	}
	f.stepView(membership.Answered{
		AskedTable: askedTable,
		Message: membership.Message{
			Sender:  sender[0],
			Updates: membersFromWire(answer.GetUpdates()),
			Digest:  answer.GetMembersDigest(),
			Table:   table,
		},
	})
	if askedTable {
		f.tellMembers()
	}
}

// settle takes a peer's record or fetches it, or offers this node's own.
func (f *Fleet) settle(peer Member, theirs *exchange.Document, asked bool) {
	if theirs.GetEnvironment() != f.cfg.Environment {
		return
	}
	f.take(peer, theirs)
	batch := f.stepRecords(docsync.Heard{Peer: peer.Name, Holding: holdingFromWire(theirs), Asked: asked})
	if batch.Fetch != "" {
		f.start(func() { f.fetch(peer, theirs.GetRevision()) })
	}
}

// take unpacks a payload if the document carries one.
func (f *Fleet) take(peer Member, theirs *exchange.Document) {
	if theirs.GetPayload() == nil || theirs.GetRevision() <= f.latest().Revision {
		return
	}
	payload := payloadFromWire(theirs.GetPayload())
	record, err := docsync.Unpack(f.cfg.Environment, theirs.GetRevision(), payload, f.base(payload.Base))
	if errors.Is(err, docsync.ErrBase) {
		return // the answer says what is held here; the peer packs anew
	}
	if err != nil {
		f.log.Warn("record refused", "peer", peer.Name, "revision", theirs.GetRevision(), "error", err)
		return
	}
	f.stepRecords(docsync.Learned{Record: record, Source: docsync.FromPeer})
}

// startFetch returns false while the same record, or a higher one, is on its
// way: exchanges with several peers show the need at once, and a large body
// would come as often.
func (f *Fleet) startFetch(revision int64) bool {
	f.records.Lock()
	defer f.records.Unlock()
	if f.records.fetching >= revision || f.records.machine.Latest().Revision >= revision {
		return false
	}
	f.records.fetching = revision
	return true
}

func (f *Fleet) endFetch() {
	f.records.Lock()
	f.records.fetching = 0
	f.records.Unlock()
}

// fetch asks a peer for its higher record.
func (f *Fleet) fetch(peer Member, revision int64) {
	if !f.startFetch(revision) {
		return
	}
	defer f.endFetch()
	ctx, cancel := context.WithTimeout(f.running, pushTimeout)
	defer cancel()
	request := f.request(f.quietMessage())
	request.WantDocument = true
	answer, err := f.call(ctx, peer, request)
	if err != nil {
		f.log.Debug("fetch failed", "peer", peer.Name, "error", err)
		return
	}
	f.take(peer, answer.GetDocument())
}

// quietMessage names the sender and carries no news.
func (f *Fleet) quietMessage() membership.Message {
	f.view.Lock()
	defer f.view.Unlock()
	return membership.Message{Sender: f.view.machine.Self(), Digest: f.view.machine.Digest()}
}

// push offers the latest record to a peer: with a small difference at once,
// else by digest first and the body once the answer shows that it is needed.
func (f *Fleet) push(name string) {
	peer, ok := f.lookup(name)
	if !ok {
		return
	}
	offered, answer, err := f.offer(peer, f.previous(), inlineBytes)
	if err == nil && answer.GetDocument().GetRevision() < offered {
		held := holdingFromWire(answer.GetDocument())
		_, _, err = f.offer(peer, f.base(held), maxMessageBytes)
	}
	if err != nil && f.running.Err() == nil {
		f.log.Debug("push failed", "peer", name, "revision", offered, "error", err)
		f.stepRecords(docsync.PushFailed{Peer: name, Revision: offered})
	}
}

func (f *Fleet) previous() Record {
	f.records.Lock()
	defer f.records.Unlock()
	return f.records.machine.Previous()
}

// offer sends the latest record, with a payload of at most limit bytes, and
// returns the revision that was offered.
func (f *Fleet) offer(peer Member, base Record, limit int) (int64, *exchange.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(f.running, pushTimeout)
	defer cancel()
	request := f.request(f.quietMessage())
	packed := f.pack(base)
	request.Document = f.documentOf(packed.of)
	if len(packed.payload.Data) <= limit {
		request.Document.Payload = payloadToWire(packed.payload)
	}
	answer, err := f.call(ctx, peer, request)
	return request.GetDocument().GetRevision(), answer, err
}

// peerServer answers the peers' calls.
type peerServer struct{ f *Fleet }

// Exchange implements exchange.Peer.
func (s peerServer) Exchange(_ context.Context, request *exchange.ExchangeRequest) (*exchange.ExchangeResponse, error) {
	f := s.f
	if f.running.Err() != nil {
		return nil, twirp.NewError(twirp.Unavailable, "this node has stopped")
	}
	sender := membersFromWire([]*exchange.Member{request.GetSender()})
	if len(sender) == 0 {
		return nil, twirp.InvalidArgumentError("sender", "is incomplete")
	}
	batch := f.stepView(membership.Received{Message: membership.Message{
		Sender:    sender[0],
		Updates:   membersFromWire(request.GetUpdates()),
		Digest:    request.GetMembersDigest(),
		WantTable: request.GetWantMembers(),
	}})
	f.settle(sender[0], request.GetDocument(), false)
	f.hearNotices(request.GetNotices())
	f.hearEvidence(sender[0].Name, request.GetEvidence())
	return f.answer(sender[0], request, *batch.Reply)
}

func (f *Fleet) answer(to Member, request *exchange.ExchangeRequest, reply membership.Message) (*exchange.ExchangeResponse, error) {
	table, err := packTable(reply.Table)
	if err != nil {
		f.log.Error("membership table not packed", "error", err)
	}
	answer := &exchange.ExchangeResponse{
		Sender:        memberToWire(reply.Sender),
		Updates:       membersToWire(reply.Updates),
		MembersDigest: reply.Digest,
		Table:         table,
		Document:      f.documentFor(request),
		Loans:         loansToWire(f.cfg.Limits.Lend(to.Name, asksFromWire(request.GetAsks()))),
		Notices:       f.takeNotices(request.GetNotices()),
		Evidence:      f.takeEvidence(),
	}
	return answer, nil
}

// documentFor carries the payload too for a peer that holds an older record:
// if it asked, or if the payload is small.
func (f *Fleet) documentFor(request *exchange.ExchangeRequest) *exchange.Document {
	theirs := request.GetDocument()
	held := f.latest().Holding()
	if theirs.GetEnvironment() != f.cfg.Environment || theirs.GetRevision() >= held.Revision {
		return f.documentOf(held)
	}
	packed := f.pack(f.base(holdingFromWire(theirs)))
	ours := f.documentOf(packed.of)
	if request.GetWantDocument() || len(packed.payload.Data) <= inlineBytes {
		ours.Payload = payloadToWire(packed.payload)
	}
	return ours
}
