package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"github.com/cicadatack/cicadatack/platform/kv"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/state/store"
)

// intervalMillis lets a site of a few nodes come together in well under a
// second; only the time differs from the default.
const intervalMillis = 100

// Loopback is the IP number that a site's processes listen on.
const Loopback = "127.0.0.1"

// StartListedNode starts node i on free ports of an IP number against a store and
// puts it on the platform's list of entry VMs. Peers are told to reach it at the
// address peers; empty means its own.
func StartListedNode(bin, dir, ip, storeAddress string, i int, peers string) (*Process, error) {
	name := fmt.Sprintf("entry-%d", i+1)
	domain := domains[i%len(domains)]
	path := filepath.Join(dir, name+".json")
	listener := settings.Listener{Listen: net.JoinHostPort(ip, "0")}
	text, err := json.MarshalIndent(settings.Settings{
		Name:          name,
		Environment:   Environment,
		FailureDomain: domain,
		Callers:       listener,
		Peers:         settings.Listener{Listen: listener.Listen, Advertise: peers},
		Operators:     listener,
		Store:         settings.Store{Address: storeAddress},
		Fleet:         settings.Fleet{IntervalMillis: intervalMillis},
	}, "", "  ")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	p, err := StartNode(bin, name, path)
	if err != nil {
		return nil, err
	}
	if peers == "" {
		peers = p.Addresses.Peers
	}
	return p, listVM(storeAddress, name, peers, domain)
}

// listVM puts an entry VM on the platform's list.
func listVM(storeAddress, name, address, domain string) error {
	value, err := json.Marshal(map[string]string{"name": name, "address": address, "failure_domain": domain, "state": "live"})
	if err != nil {
		return Error.Wrap(err)
	}
	client, err := kv.Open(storeAddress, store.Config{})
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	key := "/platform/vms/entry/" + name
	old, err := client.Get(ctx, key)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = client.CompareAndSwap(ctx, key, old.Revision, value)
	return Error.Wrap(err)
}

// statusPause is between two questions for a node's state. Nothing pushes that
// state, so it has to be asked for; the wait ends with the state, not the time.
const statusPause = 20 * time.Millisecond

// WaitStatus waits until a node's state fits.
func WaitStatus(ctx context.Context, node *Process, fits func(operators.Status) bool) (operators.Status, error) {
	for {
		status, err := nodeStatus(ctx, node)
		if err == nil && fits(status) {
			return status, nil
		}
		if node.Ended() {
			return status, Error.Wrap(fmt.Errorf("%s: %w", node.Name, ErrEnded))
		}
		select {
		case <-ctx.Done():
			return status, Error.New("%s: the state did not come about: %+v", node.Name, status)
		case <-time.After(statusPause):
		}
	}
}

func nodeStatus(ctx context.Context, node *Process) (operators.Status, error) {
	var status operators.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Addresses.Operators+"/v1/status", nil)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}
