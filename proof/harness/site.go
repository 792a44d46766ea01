package harness

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cicadatack/cicadatack/node/server"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/platform/document"
	"github.com/cicadatack/cicadatack/platform/store"
)

// Names of the small site that the demo and the process tests run.
const (
	Environment = "java"
	Region      = "java-west"
	Model       = "pastry-llm"
	Plain       = "stock-ledger"
	Team        = "menteng"
	TeamKey     = "menteng-demo-key"
	Layers      = 8
)

// domains of the site, in the order in which nodes and replicas take them.
var domains = []string{"bandung", "bekasi", "bogor"}

// Config sizes a site.
type Config struct {
	// Bin holds the binaries, Dir takes settings and documents.
	Bin, Dir string
	Nodes    int
	Replicas int
	Plains   int
	// StepMicros is the engines' time for a step.
	StepMicros int
	// EntryValidSeconds is how long entry answers hold.
	EntryValidSeconds int
}

// Site is a running site: a store, engines in chains of two, plain services and
// nodes. Close ends them all.
type Site struct {
	Config  Config
	Store   *Process
	Engines [][2]*Process
	Plains  []*Process
	Nodes   []*Process
}

// StartSite starts everything but documents.
func StartSite(cfg Config) (*Site, error) {
	s := &Site{Config: cfg}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start() error {
	var err error
	if s.Store, err = StartStandin(s.Config.Bin, "standin-store", "store"); err != nil {
		return err
	}
	for i := range s.Config.Replicas {
		pair, err := s.startChain(i)
		s.Engines = append(s.Engines, pair)
		if err != nil {
			return err
		}
	}
	for i := range s.Config.Plains {
		p, err := StartStandin(s.Config.Bin, "standin-plain", plainName(i), "--name", plainName(i))
		if err != nil {
			return err
		}
		s.Plains = append(s.Plains, p)
	}
	for i := range s.Config.Nodes {
		if err := s.StartNode(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startChain(replica int) ([2]*Process, error) {
	var pair [2]*Process
	for stage := range pair {
		first := stage * Layers / 2
		name := engineName(replica, stage)
		p, err := StartStandin(s.Config.Bin, "standin-engine", name,
			"--name", name, "--model", Model,
			"--first", fmt.Sprint(first), "--last", fmt.Sprint(first+Layers/2-1),
			"--version", "0", "--step-us", fmt.Sprint(s.Config.StepMicros))
		if err != nil {
			return pair, err
		}
		pair[stage] = p
	}
	return pair, nil
}

// StartNode starts node i, and lists it with the platform.
func (s *Site) StartNode(i int) error {
	name := fmt.Sprintf("entry-%d", i+1)
	domain := domains[i%len(domains)]
	path := filepath.Join(s.Config.Dir, name+".json")
	text, err := json.MarshalIndent(settings.Settings{
		Name:          name,
		Environment:   Environment,
		FailureDomain: domain,
		Callers:       settings.Listener{Listen: "127.0.0.1:0"},
		Peers:         settings.Listener{Listen: "127.0.0.1:0"},
		Operators:     settings.Listener{Listen: "127.0.0.1:0"},
		Store:         settings.Store{Address: s.Store.Address},
	}, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return Error.Wrap(err)
	}
	p, err := StartNode(s.Config.Bin, name, path)
	if err != nil {
		return err
	}
	s.Nodes = append(s.Nodes, p)
	return s.ListVM(name, p.Addresses.Peers, domain)
}

// ListVM puts an entry VM on the platform's list.
func (s *Site) ListVM(name, address, domain string) error {
	value, err := json.Marshal(map[string]string{"name": name, "address": address, "failure_domain": domain, "state": "live"})
	if err != nil {
		return Error.Wrap(err)
	}
	client, err := store.New(store.Config{Address: s.Store.Address})
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

// Document is the site's environment document, indented.
func (s *Site) Document(weight float64) ([]byte, error) {
	digest := sha256.Sum256([]byte(TeamKey))
	doc := document.Document{
		Format:      document.Format,
		Environment: Environment,
		Teams:       []document.Team{{Name: Team, Weight: weight, KeySHA256: []string{hex.EncodeToString(digest[:])}}},
		Policy:      document.Policy{EntryValidSeconds: s.Config.EntryValidSeconds},
	}
	for _, name := range domains {
		doc.FailureDomains = append(doc.FailureDomains, document.FailureDomain{Name: name, Region: Region})
	}
	model := &document.Model{Layers: Layers}
	for i, pair := range s.Engines {
		replica := document.Replica{Name: fmt.Sprintf("replica-%d", i+1)}
		for stage, p := range pair {
			first := stage * Layers / 2
			doc.Endpoints = append(doc.Endpoints, document.Endpoint{Name: p.Name, Address: p.Address, FailureDomain: domains[i%len(domains)], Accelerator: "a"})
			replica.Stages = append(replica.Stages, document.Stage{Endpoint: p.Name, Layers: []int{first, first + Layers/2 - 1}})
		}
		model.Replicas = append(model.Replicas, replica)
	}
	plain := &document.Plain{NonIdempotent: []document.Call{{Method: http.MethodPost, Path: "/orders"}}}
	for i, p := range s.Plains {
		doc.Endpoints = append(doc.Endpoints, document.Endpoint{Name: p.Name, Address: p.Address, FailureDomain: domains[i%len(domains)]})
		plain.Endpoints = append(plain.Endpoints, p.Name)
	}
	doc.Services = []document.Service{
		{Name: Model, Kind: document.KindModel, Model: model},
		{Name: Plain, Kind: document.KindPlain, Plain: plain},
	}
	text, err := json.MarshalIndent(doc, "", "  ")
	return text, Error.Wrap(err)
}

// Ctl runs the operators' command against the site and returns its output.
func (s *Site) Ctl(args ...string) (string, error) {
	all := append([]string{"--store", s.Store.Address, "--environment", Environment, "--operator", "siti"}, args...)
	out, err := exec.Command(filepath.Join(s.Config.Bin, "cicadactl"), all...).CombinedOutput()
	if err != nil {
		return string(out), Error.New("cicadactl %v: %v: %s", args, err, out)
	}
	return string(out), nil
}

// statusPause is between two questions for a node's state. Nothing pushes that
// state, so it has to be asked for; the wait ends with the state, not the time.
const statusPause = 20 * time.Millisecond

// WaitStatus waits until a node's state fits.
func WaitStatus(ctx context.Context, node *Process, fits func(server.Status) bool) (server.Status, error) {
	for {
		status, err := nodeStatus(ctx, node)
		if err == nil && fits(status) {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return status, Error.New("%s: the state did not come about: %+v", node.Name, status)
		case <-time.After(statusPause):
		}
	}
}

func nodeStatus(ctx context.Context, node *Process) (server.Status, error) {
	var status server.Status
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

// Close ends every process that the site started.
func (s *Site) Close() {
	all := append([]*Process{s.Store}, s.Plains...)
	all = append(all, s.Nodes...)
	for _, pair := range s.Engines {
		all = append(all, pair[0], pair[1])
	}
	for _, p := range all {
		if p != nil {
			p.Kill()
		}
	}
}

func engineName(replica, stage int) string {
	return fmt.Sprintf("engine-%d-%c", replica+1, 'a'+stage)
}

func plainName(i int) string {
	return fmt.Sprintf("ledger-%d", i+1)
}
