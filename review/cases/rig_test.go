// Package cases holds the scripts of the review. Each test is one script: it starts nodes as
// separate processes with the command of the deploy file, plays a disruption, and judges by what
// callers and replicas have seen.
//
// The program exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run.
package cases

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

const (
	host   = "a.example"
	key    = "k-review-0"
	tenant = "bogor"
	// heartbeat is how often replicas write their entries.
	heartbeat = 1200 * time.Millisecond
	// longest is how long a script may run.
	longest = 116 * time.Second
)

// trouble says whether the disruption takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// rig is a small deployment: nodes, the platform's store and replicas of plain services.
type rig struct {
	root, dir string
	contracts string // the parts of the rules that are in force
	site      *site.Site
	views     map[string]*site.View // the platform as the nodes of a zone see it
	nodes     []*node
	began     time.Time

	mu     sync.Mutex
	record *os.File
	silent map[string]bool // replicas that no longer write their entries
	sent   []*call
}

// node is one node process.
type node struct {
	name, zone, front, directory string
	process                      *exec.Cmd
	ended                        chan struct{}
}

// call is one request with what its caller saw.
type call struct {
	id, node, target      string
	sent, answered, ended time.Time
	status                int // 0 if no answer came
	stamp                 string
	leaving               bool
	err                   error
}

// cannotRun ends the program with the status for a case that could not run.
func (r *rig) cannotRun(format string, args ...any) {
	r.tell("could not run: "+format, args...)
	r.close()
	os.Exit(2)
}

// finish ends the program with the verdict.
func (r *rig) finish(broken bool) {
	r.close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

func newRig(zones ...string) *rig {
	r := &rig{root: os.Getenv("REVIEW_ROOT"), site: site.New(), views: map[string]*site.View{}, began: time.Now(), silent: map[string]bool{},
		contracts: "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers"}
	var err error
	if r.record, err = os.Create(os.Getenv("REVIEW_RECORD")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if r.dir, err = os.MkdirTemp("", "review-"); err != nil {
		r.cannotRun("%v", err)
	}
	time.AfterFunc(longest, func() { r.cannotRun("not over after %v", longest) })
	for _, zone := range zones {
		if r.views[zone] == nil {
			r.views[zone] = r.site.NewView()
		}
	}
	return r
}

// tell writes a line into the record.
func (r *rig) tell(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.record, line)
	fmt.Println(line)
}

// note writes a line into the record only.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, format+"\n", args...)
}

func (r *rig) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.began).Seconds()) }

// addPlain starts replicas of a plain service, one in each zone.
func (r *rig) addPlain(service string, zones ...string) {
	for i, zone := range zones {
		if err := r.site.Add(replica.Config{ID: fmt.Sprintf("i-%s-%d", service, i), Service: service, Domain: zone}); err != nil {
			r.cannotRun("%v", err)
		}
	}
}

// beat writes the entries of the replicas as they do themselves.
func (r *rig) beat(ctx context.Context) {
	for ctx.Err() == nil {
		for id, each := range r.site.Replicas() {
			r.mu.Lock()
			silent := r.silent[id]
			r.mu.Unlock()
			if !silent {
				r.site.Put("servers/"+id, each.Entry())
			}
		}
		time.Sleep(heartbeat)
	}
}

// silence keeps a replica from writing its entry, or lets it go on.
func (r *rig) silence(id string, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[id] = silent
}

// freePort is a port of a loopback address on which nothing listens.
func (r *rig) freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		r.cannotRun("%v", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// start starts a node in each of the zones and waits until all serve.
func (r *rig) start(probe string, zones ...string) {
	run := os.Getpid()
	for i, zone := range zones {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+run%250, 1+run/250%250, 11+i)
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, ended: make(chan struct{})}
		n.front, n.directory = fmt.Sprintf("%s:%d", ip, r.freePort(ip)), fmt.Sprintf("%s:%d", ip, r.freePort(ip))
		control, ready, peers := r.freePort(ip), r.freePort(ip), r.freePort(ip)
		settings := []string{
			"node=" + n.name, "role=entry", "machineClass=front", "serves=front,directory,control", "ip=" + ip, "zone=" + zone, "region=java-west",
			"listen.front=" + n.front, fmt.Sprintf("listen.ready=%s:%d", ip, ready), fmt.Sprintf("listen.control=%s:%d", ip, control),
			"listen.directory=" + n.directory, fmt.Sprintf("portRange=%d,%d", peers, peers+1),
			"bootstrap=true", "bearLoss=false", "limits.cpuShare=0.4", "limits.cpuCores=1", "limits.ramMb=284", "limits.maxFds=4200", "limits.linkMbps=1000.0",
			"discovery=platform", "entry=directory", "heartbeatMs=1200", "contracts=" + r.contracts,
			"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.stableMs=3000", "bounds.ackMs=4000", "bounds.syncS=4", "bounds.drainMs=2000", "bounds.graceS=8",
			"bounds.lossSlackMs=200", "bounds.applyMs=2000", "bounds.rewindMs=250", "bounds.stretchMs=5000", "bounds.strictRevoke=true", "bounds.revokeMs=5000",
			"bounds.retryRatio=0.2", "bounds.retryWindowS=10", "bounds.retrySlack=196", "bounds.recoverS=12", "bounds.passMs=120", "bounds.ttl_max_s=5",
			"platform.addr=" + r.storeOf(zone), "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
			"platform.valueBytes=1048576", "platform.ttlMinMs=1000",
		}
		path := filepath.Join(r.dir, n.name+".conf")
		if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
			r.cannotRun("%v", err)
		}
		n.process = exec.Command("target/cicadatack", "--metrics-port", "9464")
		n.process.Dir = r.root
		n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADATACK_BOOT=" + path}
		logs, err := os.Create(filepath.Join(r.dir, n.name+".log"))
		if err != nil {
			r.cannotRun("%v", err)
		}
		n.process.Stdout, n.process.Stderr = logs, logs
		if err := n.process.Start(); err != nil {
			r.cannotRun("the node does not start: %v", err)
		}
		go func() {
			_ = n.process.Wait()
			close(n.ended)
		}()
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		until := time.Now().Add(20 * time.Second)
		for served := 0; served < 3; {
			if time.Now().After(until) {
				r.cannotRun("%s does not serve: %s", n.name, r.log(n))
			}
			if c := r.ask(n, http.MethodGet, probe, ""); c.status == http.StatusOK {
				served++
			} else {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	time.Sleep(4 * time.Second) // all know of one another
}

// storeOf is the address of the store for the nodes of a zone.
func (r *rig) storeOf(zone string) string {
	if v := r.views[zone]; v != nil {
		return v.Address()
	}
	return r.site.Address()
}

// log is the end of what a node has logged.
func (r *rig) log(n *node) string {
	data, _ := os.ReadFile(filepath.Join(r.dir, n.name+".log"))
	return string(data[max(0, len(data)-1500):])
}

// close ends all that was started.
func (r *rig) close() {
	for _, n := range r.nodes {
		if n.process.Process != nil {
			_ = n.process.Process.Signal(syscall.SIGKILL)
			<-n.ended
		}
	}
	for _, v := range r.views {
		v.Heal()
		v.Close()
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep == "" {
		_ = os.RemoveAll(r.dir)
	}
	_ = r.record.Close()
}

// ask sends one request to a node on a connection of its own, and notes what came of it.
func (r *rig) ask(n *node, method, target, body string) *call {
	return r.askWith(n, method, target, body, 3*time.Second)
}

func (r *rig) askWith(n *node, method, target, body string, patience time.Duration) *call {
	c := &call{id: fmt.Sprintf("%016x", rand.Uint64()), node: n.name, target: target}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+target, strings.NewReader(body))
	if err != nil {
		r.cannotRun("%v", err)
	}
	q.Host = host
	q.Header.Set("Request-Id", c.id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	q.Header.Set("Authorization", "Token "+key)
	dialer := net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}
	c.sent = time.Now()
	response, err := transport.RoundTrip(q)
	if err != nil {
		c.err, c.ended = err, time.Now()
	} else {
		c.status, c.stamp, c.answered = response.StatusCode, response.Header.Get("Server-Stamp"), time.Now()
		c.leaving = response.Header.Get("Server-Leaving") == "1"
		_, c.err = io.Copy(io.Discard, bufio.NewReader(response.Body))
		c.ended = time.Now()
		response.Body.Close()
	}
	r.mu.Lock()
	r.sent = append(r.sent, c)
	r.mu.Unlock()
	return c
}

// calls are the requests so far, in the order of their sending.
func (r *rig) calls() []*call {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Clone(r.sent)
	slices.SortFunc(list, func(a, b *call) int { return a.sent.Compare(b.sent) })
	return list
}

// load sends requests to some nodes until the context ends, each node one every so often.
func (r *rig) load(ctx context.Context, wg *sync.WaitGroup, nodes []*node, every time.Duration, method, target, body string) {
	for _, n := range nodes {
		wg.Go(func() {
			tick := time.NewTicker(every)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				wg.Go(func() { r.ask(n, method, target, body) })
			}
		})
	}
}

// noteAll writes all requests with their answers and runs into the record.
func (r *rig) noteAll() {
	r.note("requests: sent at, id, node, method and path, answer, replicas that ran it")
	runs := map[string][]string{}
	for _, run := range r.site.Fleet.Runs("") {
		runs[run.Request] = append(runs[run.Request], fmt.Sprintf("%s at %s", run.Replica, r.at(run.At)))
	}
	for _, c := range r.calls() {
		r.note("%s %s %s %s -> %d in %d ms %v; ran: %s", r.at(c.sent), c.id, c.node, c.target, c.status, c.ended.Sub(c.sent).Milliseconds(), c.err, strings.Join(runs[c.id], ", "))
	}
}

func TestMain(m *testing.M) { os.Exit(m.Run()) }
