package site

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/fleet/reads"
	"github.com/cicadatack/cicadatack/platform/operator"
	"github.com/cicadatack/cicadatack/platform/replicas"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/state/store"
)

// use puts a read in force.
func (n *Node) use(ctx context.Context, begun time.Time, r reads.Read) {
	n.take(begun, r.Proof, r.Entries)
	n.pool.Prune()
	n.peerPool.Prune()
	n.plan(ctx, r.Revision)
}

// take puts in force what one read has found.
func (n *Node) take(begun time.Time, proof time.Duration, entries []store.Entry) {
	n.taking.Lock()
	defer n.taking.Unlock()
	var found []*replicalist.Replica
	var members []member
	var isolated []poison.Isolation
	current := false
	for _, e := range entries {
		if e.Key == operator.Key {
			current = n.takeRules(e)
			continue
		}
		if id, ok := replicas.ID(e.Key); ok {
			if r := n.decode(id, e); r != nil {
				found = append(found, r)
			}
			continue
		}
		if m, known, err := decodeMember(e); known {
			if err == nil {
				members = append(members, m)
			} else {
				n.tellFaulty("node's entry can't be read", e, err)
			}
			continue
		}
		if i, ok := n.decodeIsolation(e); ok {
			isolated = append(isolated, i)
		}
	}
	n.guard.SetStored(isolated)
	if current {
		n.prove(proof)
	}
	n.poll.forget(found)
	n.poll.tracker.MaxReadInterval = n.maxReadInterval()
	list, changes := n.poll.tracker.Update(begun, found)
	n.tellChanges(changes, len(list))
	n.poll.mu.Lock()
	n.poll.list = list
	n.poll.mu.Unlock()
	n.members.update(begun, n.maxReadInterval(), members)
	n.services.update(list)
	if n.rules.Load() != nil {
		n.tookFirst.Do(func() { close(n.first) })
	}
}

// readRules reads the configuration alone and puts it in force, with the replicas that are known. It
// renews no proof: a node decides by the age of its proof when to read all, and would let its list of
// replicas grow old.
func (n *Node) readRules(ctx context.Context) error {
	entry, err := n.store.Get(ctx, operator.Key)
	n.storeCalled("configuration", err)
	if err != nil {
		n.log.Warn("configuration not read for a forwarded request", "error", err, "version", n.Revision())
		return Error.Wrap(err)
	}
	n.taking.Lock()
	defer n.taking.Unlock()
	before := n.Revision()
	if n.takeRules(entry); n.Revision() > before {
		n.services.update(n.replicas())
	}
	return nil
}

// takeRules puts a newer configuration in force. It says whether the one in force is
// the store's. The caller holds n.taking.
func (n *Node) takeRules(e store.Entry) bool {
	if e.Revision == n.poll.ruleRev {
		return true
	}
	if e.Revision < n.poll.ruleRev {
		return false // a read that began before the one that brought the configuration in force
	}
	rules, err := operator.Decode(e.Value)
	if err != nil {
		// The last good one stays, and is not proved by this read.
		if n.poll.faulty[e.Key] != e.Revision {
			n.poll.faulty[e.Key] = e.Revision
			n.log.Error("configuration refused", "revision", e.Revision, "error", err)
		}
		return false
	}
	if old := n.rules.Load(); old != nil && rules.Version < old.Version {
		n.log.Error("configuration refused", "revision", e.Revision, "error", errors.New("its version is older than the one in force"),
			"version", rules.Version, "in_force", old.Version)
		return false
	}
	n.poll.ruleRev = e.Revision
	n.rules.Store(rules)
	n.log.Info("configuration in force", "version", rules.Version, "revision", e.Revision)
	return true
}

// decode reads a replica's entry, once for each revision of it.
func (n *Node) decode(id string, e store.Entry) *replicalist.Replica {
	if known := n.poll.decoded[id]; known != nil && known.Revision == e.Revision {
		return known
	}
	if known, ok := n.poll.passedOver[id]; ok && known.revision == e.Revision {
		n.poll.passing[id] = known
		return nil
	}
	r, err := replicas.Decode(id, e)
	if err != nil {
		delete(n.poll.decoded, id)
		n.passOver(id, e.Revision, err)
		return nil
	}
	n.poll.decoded[id] = r
	return r
}

// passOver notes an entry that names no replica to use. The log has a line if the reason is new: a
// replica whose entry can't be read renews it all the time.
func (n *Node) passOver(id string, revision int64, err error) {
	reason := shortened(err.Error())
	if known, ok := n.poll.passedOver[id]; !ok || known.reason != reason {
		n.log.Warn("replica's entry can't be read", "replica", shortened(id), "revision", revision, "error", reason)
	}
	n.poll.passing[id] = passedEntry{revision: revision, reason: reason}
}

// maxToldBytes bounds what the log has of a text from outside.
const maxToldBytes = 200

func shortened(text string) string {
	if len(text) <= maxToldBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxToldBytes], "") + "..."
}

// forget drops what is remembered of entries that the last read did not find. found are the
// replicas that it found.
func (p *poller) forget(found []*replicalist.Replica) {
	p.passedOver, p.passing = p.passing, map[string]passedEntry{}
	if len(p.decoded) == len(found) {
		return
	}
	p.decoded = make(map[string]*replicalist.Replica, len(found))
	for _, r := range found {
		p.decoded[r.ID] = r
	}
}

// replicas is the list in force.
func (n *Node) replicas() []*replicalist.Replica {
	n.poll.mu.Lock()
	defer n.poll.mu.Unlock()
	return n.poll.list
}
