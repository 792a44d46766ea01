package document

// Bounds of adapters.
const (
	maxAdapters     = 1000
	maxAdapterBytes = 1 << 40
	maxHolders      = 1 << 20
)

// checkArtifacts checks the version and the adapters that a model names.
func (c *checker) checkArtifacts(path string, m *Model) {
	c.figure(c.sub(path, ".rollout_part"), m.RolloutPart, 0, 1)
	if m.Version != "" {
		c.name(c.sub(path, ".version"), m.Version)
		c.ordered(c.sub(path, ".version"), m)
		c.checkRollout(path, m)
	}
	if len(m.Adapters) > 0 {
		c.ordered(c.sub(path, ".adapters"), m)
	}
	if len(m.Adapters) > maxAdapters {
		c.fault(c.sub(path, ".adapters"), "are %d, at most %d", len(m.Adapters), maxAdapters)
	}
	names, teams := map[string]bool{}, map[string]bool{}
	for i, a := range m.Adapters {
		at := c.at(c.sub(path, ".adapters"), i)
		c.name(c.sub(at, ".name"), a.Name)
		c.unique(c.sub(at, ".name"), a.Name, names)
		c.name(c.sub(at, ".version"), a.Version)
		c.whole(c.sub(at, ".bytes"), a.Bytes, 1, maxAdapterBytes)
		c.whole(c.sub(at, ".replicas"), a.Replicas, 1, maxHolders)
		c.checkAdapterTeams(c.sub(at, ".teams"), a.Teams, teams)
	}
}

// ordered notes what nobody would order: engines whose layers the document names
// are given no orders, so a new version there would be waited for for ever.
func (c *checker) ordered(path string, m *Model) {
	for _, r := range m.Replicas {
		if len(r.Stages) > 0 && len(r.Stages[0].Layers) > 0 {
			c.fault(path, "replica %q names its layers; versions and adapters are ordered only where the planner cuts the layers", r.Name)
			return
		}
	}
}

// checkRollout notes a part that is less than one replica of some failure domain:
// the next version would never begin there.
func (c *checker) checkRollout(path string, m *Model) {
	domainOf := make(map[string]string, len(c.doc.Endpoints))
	for _, e := range c.doc.Endpoints {
		domainOf[e.Name] = e.FailureDomain
	}
	replicas := map[string]int{}
	for _, r := range m.Replicas {
		if len(r.Stages) > 0 {
			replicas[domainOf[r.Stages[0].Endpoint]]++
		}
	}
	for _, d := range c.doc.FailureDomains {
		if n := replicas[d.Name]; n > 0 && m.Rollout()*float64(n) < 1 {
			c.fault(c.sub(path, ".rollout_part"), "is %v: of the %d replicas in failure domain %q none may be taken, so no version could follow %q", m.Rollout(), n, d.Name, m.Version)
			return
		}
	}
}

// checkAdapterTeams notes teams that do not exist, and a team of two adapters.
func (c *checker) checkAdapterTeams(path string, teams []string, seen map[string]bool) {
	for i, name := range teams {
		c.reference(c.at(path, i), "team", name, c.teams)
		c.unique(c.at(path, i), name, seen)
	}
}
