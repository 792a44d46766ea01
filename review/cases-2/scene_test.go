package cases

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// Names that the configurations of the cases use.
const (
	host       = "ficu95.example"
	tenantKey  = "n2ctnfzs989anu6wsjnb"
	tenantName = "hule930"
)

// zones of the deployment, with one node in each.
var zones = []string{"bandung", "bekasi", "bogor"}

// Bounds of the platform, as on the sheets of small installations.
const (
	drain  = 2 * time.Second
	grace  = 8 * time.Second
	stable = 3 * time.Second
	beat   = 1200 * time.Millisecond
)

// scene is a small deployment: the platform's store, nodes as processes, and what the case adds.
type scene struct {
	trouble bool
	begun   time.Time
	store   *storefake.Server
	nodes   []*node
	dir     string

	mu      sync.Mutex
	out     *os.File
	closers []func()
}

// newScene starts the store. The files of the nodes stand in the temporary folder of the script.
func newScene() (*scene, error) {
	out, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), store: storefake.New(), dir: os.Getenv("TEMP_DIR"), out: out}
	s.closers = append(s.closers, s.store.Close)
	return s, nil
}

// close ends all that was started.
func (s *scene) close() {
	s.mu.Lock()
	list := s.closers
	s.closers = nil
	s.mu.Unlock()
	for i := len(list) - 1; i >= 0; i-- {
		list[i]()
	}
}

func (s *scene) atClose(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, f)
}

// say writes a line of the record.
func (s *scene) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%8.3f s  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

// seconds is a time as the record shows it.
func (s *scene) seconds(at time.Time) float64 { return at.Sub(s.begun).Seconds() }

// put writes an item of the store as the operator or a server does.
func (s *scene) put(key, value string) {
	if _, _, err := s.store.Memory().Txn(nil, []storetest.Write{{Key: key, Value: []byte(value)}}); err != nil {
		panic(err)
	}
}

// remove removes an item of the store.
func (s *scene) remove(key string) {
	if _, _, err := s.store.Memory().Txn(nil, []storetest.Write{{Key: key, Delete: true}}); err != nil {
		panic(err)
	}
}

// node is one node, run as the deploy file says.
type node struct {
	name, zone, ip          string
	front, ready, directory string
	settings                string
	command                 *exec.Cmd
	ended                   chan struct{}

	mu sync.Mutex
	// readAt are the times at which the store had answered reads of this node, and began them.
	reads []read
}

// read is one read of the store by a node.
type read struct{ begun, answered time.Time }

// net127 is a part of the loopback network that other runs hardly use.
var net127 = fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, 1+rand.IntN(250))

// freePorts returns addresses of an IP number that nobody listens on, all different.
func freePorts(ip string, count int) []string {
	var list []string
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

// startNodes starts one node in each zone and waits until all are ready and known to each other.
func (s *scene) startNodes() {
	for i, zone := range zones {
		s.nodes = append(s.nodes, s.newNode(fmt.Sprintf("front-%s-1", zone), zone, fmt.Sprintf("%s.%d", net127, 10+i)))
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	s.await("all nodes are ready and know each other", 20*time.Second, func() bool {
		for _, n := range s.nodes {
			if !n.isReady() || len(n.resolve()) != len(s.nodes) {
				return false
			}
		}
		return true
	})
}

// newNode writes the settings of a node, like those of DEPLOY.md.
func (s *scene) newNode(name, zone, ip string) *node {
	n := &node{name: name, zone: zone, ip: ip}
	free := freePorts(ip, 4)
	n.front, n.ready, n.directory = free[0], free[1], free[2]
	lines := []string{
		"node=" + name, "role=entry", "machineClass=front", "serves=front,control,directory", "ip=" + ip, "zone=" + zone, "region=java-west",
		"zones.bandung=java-west", "zones.bekasi=java-west", "zones.bogor=java-west",
		"listen.front=" + n.front, "listen.ready=" + n.ready, "listen.directory=" + n.directory,
		"listen.control=" + free[3], "portRange=7340,7355", "bootstrap=true", "bearLoss=false",
		"limits.cpuShare=0.4", "limits.cpuCores=1", "limits.ramMb=284", "limits.maxFds=4200", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=directory", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers",
		"tolerate.machines=2", "tolerate.zones=0", "tolerate.regions=0",
		"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.stableMs=3000", "bounds.ackMs=4000", "bounds.syncS=4", "bounds.drainMs=2000",
		"bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.applyMs=2000", "bounds.rewindMs=250", "bounds.stretchMs=5000",
		"bounds.strictRevoke=true", "bounds.revokeMs=5000", "bounds.retryRatio=0.2", "bounds.retryWindowS=10", "bounds.retrySlack=196",
		"bounds.recoverS=12", "bounds.passMs=120", "bounds.againS=0", "bounds.stall_ms=2500", "bounds.requireFence=false", "bounds.ttl_max_s=5",
		"platform.addr=" + s.door(n), "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.ttlMinMs=1000",
	}
	n.settings = filepath.Join(s.dir, name+".conf")
	if err := os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		panic(err)
	}
	return n
}

// door opens a listener of the store for one node, so that its reads are known.
func (s *scene) door(n *node) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun := time.Now()
		s.store.ServeHTTP(w, r)
		if r.URL.Path == "/kv-range" && r.URL.Query().Get("prefix") == "" {
			n.mu.Lock()
			n.reads = append(n.reads, read{begun, time.Now()})
			n.mu.Unlock()
		}
	})}
	go func() { _ = server.Serve(l) }()
	s.atClose(func() { _ = server.Close() })
	return l.Addr().String()
}

// ackedAt is when the store had answered the first read of a node that began after a time; zero if
// there was none.
func (n *node) ackedAt(after time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.reads {
		if r.begun.After(after) {
			return r.answered
		}
	}
	return time.Time{}
}

// start runs a node with the command of the deploy file, from the root of the repository.
func (s *scene) start(n *node) {
	words := strings.Fields(os.Getenv("RUN"))
	n.command = exec.Command(filepath.Join(os.Getenv("ROOT"), words[0]), words[1:]...)
	n.command.Dir = os.Getenv("ROOT")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADATACK_BOOT=" + n.settings}
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(s.dir, n.name+".log"))
	if err != nil {
		panic(err)
	}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		panic(err)
	}
	s.say("%s is started", n.name)
	command, ended := n.command, make(chan struct{})
	n.ended = ended
	go func() {
		err := command.Wait()
		s.say("the process of %s has ended: %v", n.name, err)
		if data, _ := os.ReadFile(log.Name()); command.ProcessState.ExitCode() > 0 {
			s.say("its log ends: %s", data[max(0, len(data)-400):])
		}
		_ = log.Close()
		close(ended)
	}()
	s.atClose(func() {
		_ = command.Process.Kill()
		<-ended
	})
}

// signal sends a signal to a node's process.
func (s *scene) signal(n *node, sig syscall.Signal) {
	s.say("%s gets %v", n.name, sig)
	if err := n.command.Process.Signal(sig); err != nil {
		s.say("%s did not get it: %v", n.name, err)
	}
}

// logged returns the lines of a node's log that contain a text.
func (s *scene) logged(n *node, text string) []string {
	data, err := os.ReadFile(filepath.Join(s.dir, n.name+".log"))
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// await waits until a condition holds. The case can't run if it does not in time.
func (s *scene) await(what string, within time.Duration, holds func() bool) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if holds() {
			s.say("%s", what)
			return
		}
	}
	panic("not in time: " + what)
}

// plainEntry is what a server of a plain service writes of itself into the store.
func plainEntry(service, address, zone, state string, born time.Time, seq int) string {
	return fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":6,"state":%q,"coldLeftMs":0,"seq":%d,"born":%d}`,
		service, netip.MustParseAddrPort(address).String(), zone, state, seq, born.UnixMilli())
}
