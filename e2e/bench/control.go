package bench

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// idleSettle passes after the nodes have met: the news of the start is
	// passed on a few times.
	idleSettle = 4 * time.Second
	idleTime   = 8 * time.Second
	// roundTime passes first where endpoints are polled once a second: until each of
	// a node's 40 has been asked, loads and cache events are asked for side by side.
	roundTime = 45 * time.Second
	// idleListeners is how many addresses answer for load; further endpoints get
	// addresses where nobody listens, whose polls end at once.
	idleListeners = 1000
	promotionRuns = 5
)

// pollStandin answers the questions for load and cache events like an idle
// engine.
func pollStandin(w http.ResponseWriter, r *http.Request) {
	load := engineapi.Load{Slots: coreSlots}
	var answer any = load
	if r.URL.Path == engineapi.PathEvents {
		answer = engineapi.CachePage{Instance: "1", Load: &load}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the node may have gone
}

// addIdle enters a model with that many replicas of one engine, and puts the
// engines on the platform's list of VMs.
func (t *site) addIdle(ctx context.Context, replicas int) error {
	var chains [][]place
	for i := range replicas {
		p := place{fmt.Sprintf("gpu-%05d", i), "", domains[i%len(domains)]}
		if i < idleListeners {
			address, err := t.serve(http.HandlerFunc(pollStandin), &t.endpointTraffic)
			if err != nil {
				return err
			}
			p.address = address
		} else {
			p.address = fmt.Sprintf("127.1.%d.%d:9", i/250, 1+i%250)
		}
		chains = append(chains, []place{p})
		if err := t.listVM(ctx, "endpoint", p); err != nil {
			return err
		}
	}
	t.addModel("pastry-llm", chains)
	return nil
}

// siteSize is what control is measured by.
type siteSize struct {
	nodes, replicas, teams int
	// polls a second of each kind; zero: the defaults, which fall to largeFleetPolls
	// as the fleet grows.
	polls int
}

// largeFleetPolls is the pace of polls in fleets of 144 nodes on, which one
// machine does not run.
const largeFleetPolls = 1

func (s siteSize) pace() string {
	if s.polls == 0 {
		return "default"
	}
	return fmt.Sprint(s.polls, "/s")
}

// targetReplicas is the size that the design is meant for.
const targetReplicas = 10_000

var siteSizes = []siteSize{
	{nodes: 3, replicas: 10, teams: 10},
	{nodes: 3, replicas: 100, teams: 10},
	{nodes: 3, replicas: 1000, teams: 10},
	{nodes: 3, replicas: 5000, teams: 10},
	{nodes: 3, replicas: targetReplicas, teams: 10},
	{nodes: 3, replicas: targetReplicas, teams: 10, polls: largeFleetPolls},
	{nodes: 6, replicas: 100, teams: 10},
	{nodes: 9, replicas: 100, teams: 10},
	{nodes: 20, replicas: 40, teams: 10},
	{nodes: 20, replicas: 40, teams: 10, polls: largeFleetPolls},
	{nodes: 3, replicas: 100, teams: 240},
}

// teamLimit in tokens a second makes the homes of a team lend to each other.
const teamLimit = 100_000

// control measures nodes that serve nobody, and how promotions reach them, by
// nodes, replicas and teams.
func control(ctx context.Context, s *suite) error {
	idle := table{
		title: "What control costs a node that serves nobody",
		columns: []string{"nodes", "replicas", "teams", "polls", "document KB", "index KB", "parts", "CPU, % of a core", "resident MB", "exchange B/s", "store B/s", "polls B/s", "sum B/s",
			"store calls/s, all nodes", "watches"},
		note: fmt.Sprintf("Each figure is a node's mean over %v at the default settings; bytes sent and received, with HTTP headers and without TCP/IP. The endpoint VMs are on the platform's list; each team has a limit. Processor time to one tick of 10 ms: %.2f%% of a core for three nodes. From %d replicas on, the further addresses refuse polls. Polls: of load and of cache events, at the default pace or as in a large fleet.",
			idleTime, 100*tick.Seconds()/idleTime.Seconds()/3, idleListeners),
	}
	changes := table{
		title:   "Promotion to in force everywhere, and a node's start",
		columns: []string{"nodes", "replicas", "teams", "document KB", "change KB", "in force p50", "max", "nodes' CPU a change, each", "resident MB after", "process start to serving", "to ready"},
		note: fmt.Sprintf("%d promotions of a change of one endpoint each; from the promotion's answer until every node says so, asked each %v. Change KB is what it brings a watch holder: the index and the parts that changed, in base64. The starts are of one further node. Texts up to %d KB are read.",
			promotionRuns, statusPause, document.MaxTextBytes/1000),
	}
	for _, size := range siteSizes {
		if err := s.controlOf(ctx, size, &idle, &changes); err != nil {
			return err
		}
	}
	s.add(idle)
	s.add(changes)
	return nil
}

func (s *suite) controlOf(ctx context.Context, size siteSize, idle, changes *table) error {
	t, err := s.newSite()
	if err != nil {
		return err
	}
	defer t.close()
	t.doc.Teams = newTeams(size.teams, teamLimit)
	t.load = settings.Load{PollsPerSecond: size.polls, CacheEventPollsPerSecond: size.polls}
	if err := t.addIdle(ctx, size.replicas); err != nil {
		return err
	}
	if err := t.start(ctx, size.nodes); err != nil {
		return err
	}
	if err := t.idleRow(ctx, size, idle); err != nil {
		return err
	}
	return t.promotionRow(ctx, size, changes)
}

func (t *site) idleRow(ctx context.Context, size siteSize, result *table) error {
	current, err := t.promoter.Current(ctx, environment)
	if err != nil {
		return err
	}
	index, err := current.Index.Encode()
	if err != nil {
		return Error.Wrap(err)
	}
	time.Sleep(idleSettle)
	if size.polls == largeFleetPolls {
		time.Sleep(roundTime)
	}
	use, err := beginUsage(t.pids()...)
	if err != nil {
		return err
	}
	calls := t.store.Status().Calls
	before := t.traffic()
	time.Sleep(idleTime)
	seconds := time.Since(use.began).Seconds()
	cores, err := use.cores()
	if err != nil {
		return err
	}
	resident, err := t.meanResident()
	if err != nil {
		return err
	}
	perNode := seconds * float64(size.nodes)
	now := t.traffic()
	// Each byte of an exchange is sent by one node and received by another.
	peers := 2 * float64(now.peers-before.peers) / perNode
	stored := float64(now.store-before.store) / perNode
	polls := float64(now.endpoints-before.endpoints) / perNode
	status := t.store.Status()
	result.row(size.nodes, size.replicas, size.teams, size.pace(), float64(len(current.Text))/1e3, float64(len(index))/1e3, len(current.Parts), 100*cores/float64(size.nodes), resident/1e6,
		peers, stored, polls, peers+stored+polls, float64(status.Calls-calls)/seconds, status.Watches)
	return nil
}

type byteCounts struct{ peers, store, endpoints int64 }

func (t *site) traffic() byteCounts {
	return byteCounts{t.peerTraffic.bytes.Load(), t.storeTraffic.bytes.Load(), t.endpointTraffic.bytes.Load()}
}

func (t *site) meanResident() (float64, error) {
	sum := 0.0
	for _, n := range t.nodes {
		resident, err := residentBytes(n.pid())
		if err != nil {
			return 0, err
		}
		sum += resident
	}
	return sum / float64(len(t.nodes)), nil
}

// changeBytes returns what a change from one text to the next brings a watch
// holder, in base64 as the store sends it.
func changeBytes(before, after document.Record) (int, error) {
	known := map[document.PartDigest]bool{}
	for _, ref := range before.Parts {
		known[ref.Digest] = true
	}
	value, err := after.Index.Encode()
	if err != nil {
		return 0, Error.Wrap(err)
	}
	total := len(value)
	for _, part := range document.Parts(after.Text) {
		if known[part.Ref.Digest] {
			continue
		}
		value, err := part.Encode()
		if err != nil {
			return 0, Error.Wrap(err)
		}
		total += len(value)
	}
	return base64.StdEncoding.EncodedLen(total), nil
}

func (t *site) promotionRow(ctx context.Context, size siteSize, result *table) error {
	before, err := t.promoter.Current(ctx, environment)
	if err != nil {
		return err
	}
	if err := t.waitWatch(ctx); err != nil {
		return err
	}
	took := newTimes()
	use, err := beginUsage(t.pids()...)
	if err != nil {
		return err
	}
	for revision := int64(2); revision < 2+promotionRuns; revision++ {
		d, err := t.promoteOnce(ctx, revision)
		if err != nil {
			return err
		}
		took.record(d)
	}
	used, err := use.total()
	if err != nil {
		return err
	}
	resident, err := t.meanResident()
	if err != nil {
		return err
	}
	after, err := t.promoter.Current(ctx, environment)
	if err != nil {
		return err
	}
	change, err := changeBytes(before, after)
	if err != nil {
		return err
	}
	serving, ready, err := t.startOne(ctx)
	if err != nil {
		return err
	}
	result.row(size.nodes, size.replicas, size.teams, float64(len(before.Text))/1e3, float64(change)/1e3, took.at(50), took.max(), used/time.Duration(promotionRuns*size.nodes), resident/1e6, serving, ready)
	return nil
}

// waitWatch waits until a node holds a watch: before, promotions are found by
// other, slower ways.
func (t *site) waitWatch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for t.store.Status().ByPath[storefake.PathWatch] == 0 {
		select {
		case <-ctx.Done():
			return Error.New("no node holds a watch")
		case <-time.After(statusPause):
		}
	}
	return nil
}

func (t *site) promoteOnce(ctx context.Context, revision int64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	changed := &t.doc.Endpoints[len(t.doc.Endpoints)/2]
	changed.ChecksFencing = !changed.ChecksFencing
	if err := t.promoteDocument(ctx); err != nil {
		return 0, err
	}
	began := time.Now()
	err := t.waitAll(ctx, func(s operators.Status) bool { return s.Revision >= revision })
	return time.Since(began), err
}

// startOne starts one more node and returns the times from the process's start
// until it serves and until it is ready.
func (t *site) startOne(ctx context.Context) (serving, ready time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	n, err := t.addNode(ctx, len(t.nodes))
	if err != nil {
		return 0, 0, err
	}
	serving = time.Since(n.started)
	err = n.wait(ctx, func(s operators.Status) bool { return s.Ready })
	return serving, time.Since(n.started), err
}
