package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/standin/engine"
)

const (
	nodeKills  = 3
	nodeTokens = 1500
	// tryAgain is a caller's pause between two tries of all its addresses.
	tryAgain = 10 * time.Millisecond
	// tryTimeout bounds a caller's try of one address.
	tryTimeout = time.Second
	// recoveryPace is the engines' time for a token.
	recoveryPace = 20 * time.Millisecond
)

// nodeRecovery kills the node that a caller streams from, who then asks another
// node for addresses and begins anew.
func nodeRecovery(ctx context.Context, s *suite) error {
	t, err := s.newSite()
	if err != nil {
		return err
	}
	defer t.close()
	if _, err := t.engines("pastry-llm", 6, engine.Config{Step: recoveryPace}); err != nil {
		return err
	}
	if err := t.start(ctx, 3); err != nil {
		return err
	}
	result := table{
		title:   "A node is killed",
		columns: []string{"kill", "caller saw the break after", "first token elsewhere after", "tries", "first entry answer without it after"},
		note:    fmt.Sprintf("Three nodes, the default interval of a second. The caller asks the other nodes for addresses in turn and tries these in the order given; an engine's first token takes %v.", recoveryPace),
	}
	for i := range nodeKills {
		if err := t.killNode(ctx, i, &result); err != nil {
			return err
		}
	}
	s.add(result)
	return nil
}

func (t *site) killNode(ctx context.Context, i int, result *table) error {
	victim, other := t.nodes[0], t.nodes[1]
	begun := make(chan struct{}, nodeTokens)
	broken := make(chan time.Time, 1)
	go func() {
		ask(ctx, question{address: victim.addresses.Callers, key: teamKey(0), model: "pastry-llm", tokens: nodeTokens, onToken: func(int) { begun <- struct{}{} }})
		broken <- time.Now()
	}()
	select {
	case <-begun:
	case <-broken:
		return Error.New("the stream ended before the kill")
	}
	killed := time.Now()
	victim.kill()
	saw := (<-broken).Sub(killed)
	tries, err := reconnect(ctx, other.addresses.Callers)
	if err != nil {
		return err
	}
	first := time.Since(killed)
	if err := awaitLeftOut(ctx, other, victim.addresses.Callers); err != nil {
		return err
	}
	result.row(i+1, saw, first, tries, time.Since(killed))
	return t.replace(ctx, i)
}

// reconnect asks a node for addresses and tries them until a first token comes.
func reconnect(ctx context.Context, node string) (tries int, err error) {
	for ctx.Err() == nil {
		answer, err := askEntry(ctx, node, teamKey(0))
		if err != nil {
			return tries, err
		}
		for _, a := range answer.Addresses {
			tries++
			if ask(ctx, question{address: a.Address, key: teamKey(0), model: "pastry-llm", tokens: 1, timeout: tryTimeout}).whole {
				return tries, nil
			}
		}
		time.Sleep(tryAgain)
	}
	return tries, Error.Wrap(ctx.Err())
}

func awaitLeftOut(ctx context.Context, node *node, address string) error {
	for ctx.Err() == nil {
		answer, err := askEntry(ctx, node.addresses.Callers, teamKey(0))
		if err != nil {
			return err
		}
		named := false
		for _, a := range answer.Addresses {
			named = named || a.Address == address
		}
		if !named {
			return nil
		}
		time.Sleep(tryAgain)
	}
	return Error.Wrap(ctx.Err())
}

// replace starts a new VM for the one that was killed.
func (t *site) replace(ctx context.Context, killed int) error {
	t.nodes = t.nodes[1:]
	if _, err := t.addNode(ctx, killed+3); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return t.waitAll(ctx, func(s operators.Status) bool { return s.Ready && liveMembers(s) == len(t.nodes) })
}
