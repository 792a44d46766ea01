package site

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/cicadatack/cicadatack/decide/nodelist"
	"github.com/cicadatack/cicadatack/state/store"
)

const (
	// maxNameBytes is the longest name of a node or failure domain.
	maxNameBytes = 100
	// maxLinkMbps is more than any VM may send.
	maxLinkMbps = 1e7
)

// decodeMember reads the entry of a node. known is false if the entry is none of a node. One that
// can't be read, or that stands under the key of another node, names no node to use. What else is
// odd about it counts as not stated.
func decodeMember(e store.Entry) (m member, known bool, err error) {
	name, known := strings.CutPrefix(e.Key, memberPrefix)
	if !known {
		return m, false, nil
	}
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return member{}, true, Error.Wrap(err)
	}
	if m.Name != name || !validName(m.Name) || !validName(m.Domain) {
		return member{}, true, Error.New("it names the node %.100q of the domain %.100q", m.Name, m.Domain)
	}
	m.Callers, m.Peers, m.Link = address(m.Callers), address(m.Peers), knownLink(m.Link)
	m.Near = usableNodes(m.Near)
	m.created = e.Created
	return m, true, nil
}

// validName reports whether a text may name a node or a failure domain: it has no control
// characters, which would break lines of logs and headers.
func validName(name string) bool {
	control := func(r rune) bool { return r < ' ' || r == 0x7f }
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, control)
}

// usableNodes returns the nodes of a list that callers can be sent to.
func usableNodes(list []nodelist.Node) []nodelist.Node {
	var usable []nodelist.Node
	for _, each := range list {
		if !validName(each.Name) {
			continue
		}
		each.CallerAddress, each.PeerAddress, each.LinkMbps = address(each.CallerAddress), address(each.PeerAddress), knownLink(each.LinkMbps)
		if each.Valid() {
			usable = append(usable, each)
		}
	}
	return usable
}

// address returns a text that is the IP number and port of a node, and "" for any other.
func address(text string) string {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return ""
	}
	return text
}

// knownLink returns a bandwidth in Mbit/s, or 0, which is not known, for one that no VM has. NaN is none.
func knownLink(mbps float64) float64 {
	if mbps > 0 && mbps <= maxLinkMbps {
		return mbps
	}
	return 0
}

// tellFaulty logs, once for each revision of it, that an entry can't be read.
func (n *Node) tellFaulty(what string, e store.Entry, err error) {
	if n.poll.faulty[e.Key] != e.Revision {
		n.poll.faulty[e.Key] = e.Revision
		n.log.Warn(what, "key", e.Key, "revision", e.Revision, "error", err)
	}
}
