package fleet

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cicadatack/cicadatack/fleet/docsync"
	"github.com/cicadatack/cicadatack/fleet/exchange"
	"github.com/cicadatack/cicadatack/fleet/membership"
	"google.golang.org/protobuf/proto"
)

// maxTableBytes bounds an unpacked membership table: ten times 2,200 nodes.
const maxTableBytes = 4 << 20

func memberToWire(m Member) *exchange.Member {
	return &exchange.Member{
		Name:          m.Name,
		Address:       m.Address,
		CallerAddress: m.CallerAddress,
		FailureDomain: m.FailureDomain,
		Incarnation:   m.Incarnation,
		State:         exchange.State(m.State),
		Slot:          m.Slot,
	}
}

func memberFromWire(m *exchange.Member) Member {
	return Member{
		Name:          m.GetName(),
		Address:       m.GetAddress(),
		CallerAddress: m.GetCallerAddress(),
		FailureDomain: m.GetFailureDomain(),
		Incarnation:   m.GetIncarnation(),
		State:         membership.State(m.GetState()),
		Slot:          m.GetSlot(),
	}
}

func membersToWire(list []Member) []*exchange.Member {
	out := make([]*exchange.Member, 0, len(list))
	for _, m := range list {
		out = append(out, memberToWire(m))
	}
	return out
}

// membersFromWire leaves out records that no node can have sent.
func membersFromWire(list []*exchange.Member) []Member {
	out := make([]Member, 0, len(list))
	for _, w := range list {
		m := memberFromWire(w)
		if m.Name == "" || m.Address == "" || m.Incarnation <= 0 || m.Incarnation > membership.MaxIncarnation || m.State < membership.Joining || m.State > membership.Gone {
			continue
		}
		out = append(out, m)
	}
	return out
}

func packTable(list []Member) ([]byte, error) {
	if len(list) == 0 {
		return nil, nil
	}
	raw, err := proto.Marshal(&exchange.Table{Members: membersToWire(list)})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return out.Bytes(), nil
}

func unpackTable(data []byte) ([]Member, error) {
	if len(data) == 0 {
		return nil, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxTableBytes))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var table exchange.Table
	if err := proto.Unmarshal(raw, &table); err != nil {
		return nil, Error.Wrap(err)
	}
	return membersFromWire(table.GetMembers()), nil
}

func holdingFromWire(d *exchange.Document) docsync.Holding {
	return docsync.Holding{Revision: d.GetRevision(), Mark: d.GetMark()}
}

func payloadToWire(p docsync.Payload) *exchange.Payload {
	return &exchange.Payload{
		Digest:       p.Digest,
		BaseRevision: p.Base.Revision,
		BaseMark:     p.Base.Mark,
		Length:       int64(p.Length),
		Data:         p.Data,
	}
}

func payloadFromWire(p *exchange.Payload) docsync.Payload {
	return docsync.Payload{
		Digest: p.GetDigest(),
		Base:   docsync.Holding{Revision: p.GetBaseRevision(), Mark: p.GetBaseMark()},
		Length: int(p.GetLength()),
		Data:   p.GetData(),
	}
}
