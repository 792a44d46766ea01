package harness

import (
	"fmt"
)

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
		p, err := StartStandin(s.Config.Bin, "standin-plain", PlainName(i), "--name", PlainName(i))
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
		first, last := StageLayers(stage)
		name := EngineName(replica, stage)
		p, err := StartStandin(s.Config.Bin, "standin-engine", name,
			"--name", name, "--model", Model,
			"--first", fmt.Sprint(first), "--last", fmt.Sprint(last),
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
	p, err := StartListedNode(s.Config.Bin, s.Config.Dir, Loopback, s.Store.Address, i, "")
	if err != nil {
		return err
	}
	s.Nodes = append(s.Nodes, p)
	return nil
}

// Document is the site's environment document, indented.
func (s *Site) Document(weight float64) ([]byte, error) {
	l := Layout{EntryValidSeconds: s.Config.EntryValidSeconds}
	for _, pair := range s.Engines {
		l.Chains = append(l.Chains, [2]Endpoint{{pair[0].Name, pair[0].Address}, {pair[1].Name, pair[1].Address}})
	}
	for _, p := range s.Plains {
		l.Plains = append(l.Plains, Endpoint{p.Name, p.Address})
	}
	return l.Document(weight)
}

// Ctl runs the operators' command against the site and returns its output.
func (s *Site) Ctl(args ...string) (string, error) {
	return Ctl(s.Config.Bin, s.Store.Address, args...)
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
