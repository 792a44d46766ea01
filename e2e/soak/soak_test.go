package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
	"github.com/cicadatack/cicadatack/standin/storefake"
)

const (
	// revoke is the time after which a key that was taken away runs nothing.
	revoke = 2 * time.Second
	// events and pause shape the streams: some seconds long, so that faults meet them.
	events = 40
	pause  = 15 * time.Millisecond
	// steps of a run, each one fault or the end of one, stepTime apart.
	steps    = 24
	stepTime = 250 * time.Millisecond
	// healTime bounds the wait until all is served again after the last fault.
	healTime = 30 * time.Second
	// usualNodes is the number of nodes of a failure domain today.
	usualNodes = 3
)

// failedSeeds have failed once, each with its cause; they run always.
var failedSeeds = []uint64{}

// domainNames are the failure domains; the replicas stand in the first one.
var domainNames = []string{"bandung", "bekasi", "bogor", "cirebon", "depok", "garut", "karawang"}

// vmIP is the IP number of a VM on loopback. Nodes ask each other at fixed ports, so runs of
// several processes at once take different numbers.
func vmIP(i int) string {
	run := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+run%250, 1+run/250%250, 11+i)
}

// ciSeed is the one seed of a usual run.
const ciSeed = 1

func seeds(t *testing.T) []uint64 {
	list := append([]uint64{ciSeed}, failedSeeds...)
	var from, to uint64
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		if _, err := fmt.Sscanf(text, "%d-%d", &from, &to); err != nil {
			t.Fatalf("SOAK_SEEDS=%q is not FROM-TO", text)
		}
		list = nil
		for seed := from; seed <= to; seed++ {
			list = append(list, seed)
		}
	}
	return list
}

// Nodes are killed, frozen, told to stop and cut off from the store, the store goes
// away, replicas die, refuse, with proof and without, lose, double and break off answers, and
// keys are taken away, drawn from a seed, while callers ask. Whatever happens, callers see whole
// events in order and no other's answer; an order runs at most once, and not at all if
// its caller was told so; every layer runs once and in order; no key runs anything
// after its time; and when the faults have ended everybody is served again.
func TestSoak(t *testing.T) {
	bin := build(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newRun(t, bin, seed, usualNodes, 1)
			r.play(steps, stepTime, r.step)
		})
	}
}

// run is one seed's run.
type run struct {
	t     *testing.T
	seed  uint64
	draw  *rand.Rand
	site  *site.Site
	vms   []*vm
	crowd *crowd
	// events is how many events a stream has.
	events int

	mu      sync.Mutex
	key     string
	retired map[string]time.Time // keys taken away, and when
	added   int
	// healedAt is when all faults were ended; healMore, if not nil, ends those of one kind of run.
	healedAt time.Time
	healMore func()
	story    []string
	began    time.Time
	// told are the processes that were told to stop, and endedAlone those that ended though they were not.
	told       map[*harness.Process]bool
	endedAlone []string
}

func newRun(t *testing.T, bin string, seed uint64, nodes, domains int) *run {
	var places []vmPlace
	for i := range nodes {
		places = append(places, vmPlace{name: fmt.Sprint("front-", i), domain: domainNames[i%domains], ip: vmIP(i)})
	}
	return newRunAt(t, bin, seed, usualGrace, places, func(s *site.Site, _ vmPlace) string { return s.Address() })
}

// newRunAt returns a run with nodes at the given places. storeOf returns the address of the store
// for a node.
func newRunAt(t *testing.T, bin string, seed uint64, grace time.Duration, places []vmPlace, storeOf func(*site.Site, vmPlace) string) *run {
	r := &run{
		t: t, seed: seed, draw: rand.New(rand.NewPCG(seed, 7)), site: site.New(),
		key: "key-0", retired: map[string]time.Time{}, began: time.Now(), events: events,
		told: map[*harness.Process]bool{},
	}
	t.Cleanup(r.site.Close)
	r.site.Configure(r.key)
	if err := r.site.AddUsual(replica.Config{Domain: "bandung", Events: events, Pause: pause}); err != nil {
		t.Fatal(err)
	}
	var domains []string
	for _, place := range places {
		r.vms = append(r.vms, newVM(t, bin, place, storeOf(r.site, place), grace))
		if !slices.Contains(domains, place.domain) {
			domains = append(domains, place.domain)
		}
	}
	r.crowd = &crowd{vms: r.vms, domains: domains, current: r.current, number: callers}
	return r
}

func (r *run) current() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.key
}

func (r *run) tell(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.story = append(r.story, fmt.Sprintf("%6.2f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// play makes as many steps, which are pause apart, while callers ask, and judges the run.
func (r *run) play(steps int, pause time.Duration, step func()) {
	beating, stopBeating := context.WithCancel(context.Background())
	defer stopBeating()
	go r.beat(beating)
	for _, v := range r.vms {
		v.start(r.t)
	}
	if !r.served(healTime) {
		r.t.Fatalf("never served before the first fault\n%s", r.vms[0].log())
	}
	asking, stopAsking := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.crowd.run(asking, r.seed)
	}()
	for range steps {
		step()
		time.Sleep(pause)
	}
	r.heal()
	if !r.served(healTime) {
		r.t.Errorf("not served again %v after the last fault", healTime)
	}
	stopAsking()
	<-done
	r.judge()
	if r.t.Failed() {
		r.t.Logf("what happened:\n%s", strings.Join(r.story, "\n"))
		for _, v := range r.vms {
			r.t.Logf("%s:\n%s", v.name, v.log())
		}
	}
}

// beat keeps the replicas' entries, as they do themselves.
func (r *run) beat(ctx context.Context) {
	for ctx.Err() == nil {
		r.site.Beat()
		time.Sleep(100 * time.Millisecond)
	}
}

// step begins one fault, or ends those of a part.
func (r *run) step() {
	r.revive()
	v := r.vms[r.draw.IntN(len(r.vms))]
	switch r.draw.IntN(14) {
	case 0:
		r.tell("%s is killed and starts again", v.name)
		v.kill()
		v.start(r.t)
	case 1:
		r.tell("%s is told to stop", v.name)
		r.signal(v, syscall.SIGTERM)
	case 2:
		r.freeze(v)
	case 3:
		r.tell("%s is cut off from the store", v.name)
		v.store.Cut()
	case 4:
		r.tell("%s's way to the store goes silent", v.name)
		v.store.Freeze()
	case 5:
		r.tell("the ways to the store are well")
		r.healLinks()
	case 6:
		r.tell("the store refuses")
		r.site.Store.SetFaults(storefake.Faults{Refuse: true})
	case 7:
		r.tell("the store is well")
		r.site.Store.SetFaults(storefake.Faults{})
	case 8:
		r.replaceReplica()
	case 9, 10:
		r.spoilReplica()
	case 11:
		r.healReplicas()
	case 12:
		r.takeKey()
	case 13:
		r.tell("%s is told to read its settings", v.name)
		r.signal(v, syscall.SIGHUP)
	}
}

func (r *run) signal(v *vm, s os.Signal) {
	if s == syscall.SIGTERM {
		r.told[v.now()] = true
	}
	if err := v.now().Signal(s); err != nil {
		r.tell("%s could not be told: %v", v.name, err)
	}
}

// revive starts nodes that have ended, as the platform does.
func (r *run) revive() {
	for _, v := range r.vms {
		if p := v.now(); p.Ended() {
			r.noteEnd(v, p)
			r.tell("%s starts again", v.name)
			v.start(r.t)
		}
	}
}

// noteEnd notes a process that has ended and was not told to.
func (r *run) noteEnd(v *vm, p *harness.Process) {
	if !r.told[p] {
		r.endedAlone = append(r.endedAlone, fmt.Sprintf("%s: %v\n%s", v.name, p.Wait(time.Second), v.log()))
	}
}

// freeze stands a process still for up to a second and a half, and returns for how long.
func (r *run) freeze(v *vm) time.Duration {
	p := v.now()
	for_ := time.Duration(200+r.draw.IntN(1300)) * time.Millisecond
	r.tell("%s stands still for %v", v.name, for_)
	if err := p.Freeze(); err != nil {
		r.tell("it did not: %v", err)
		return 0
	}
	time.AfterFunc(for_, func() { _ = p.Thaw() }) // it may have been killed since
	return for_
}

func (r *run) healLinks() {
	for _, v := range r.vms {
		v.store.Heal()
	}
}

// replaceReplica ends a model replica without a word; another one comes, empty, and
// the entry of the first goes a little later.
func (r *run) replaceReplica() {
	ids := r.models()
	if len(ids) == 0 {
		return
	}
	id := ids[r.draw.IntN(len(ids))]
	r.added++
	fresh := fmt.Sprint("i-new-", r.added)
	r.tell("%s dies, %s comes", id, fresh)
	r.site.Lose(id)
	time.AfterFunc(600*time.Millisecond, func() { r.site.Forget(id) })
	err := r.site.Add(replica.Config{
		ID: fresh, Service: site.ModelService, Domain: "bandung", Kind: site.Card, Model: true, Events: r.events, Pause: pause,
	})
	if err != nil {
		r.t.Error(err)
	}
}

// models are the ids of the model replicas, in order.
func (r *run) models() []string {
	var ids []string
	for _, prefix := range []string{"i-model-", "i-new-"} {
		for i := range 4 + r.added + 1 {
			id := fmt.Sprint(prefix, i)
			if r.site.Replica(id) != nil {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func (r *run) spoilReplica() {
	ids := append(r.models(), "i-plain-0", "i-plain-1")
	id := ids[r.draw.IntN(len(ids))]
	faults := []replica.Fault{
		{Refuse: true}, {LoseAnswer: true}, {Twice: true}, {Unproved: true}, {CutAfter: 5}, {Hang: true},
		{Unproven: http.StatusServiceUnavailable}, {Unproven: http.StatusTooManyRequests},
	}
	name, broken := brokenAnswer(r.draw)
	faults = append(faults, broken)
	fault := faults[r.draw.IntN(len(faults))]
	if fault.Raw != nil {
		r.tell("%s: %s", id, name)
	} else {
		r.tell("%s: %+v", id, fault)
	}
	r.site.Replica(id).SetFault(fault)
}

func (r *run) healReplicas() {
	r.tell("replicas are well")
	for _, each := range r.site.Replicas() {
		each.SetFault(replica.Fault{})
	}
}

// takeKey replaces the one key. Callers use the new one from now on; what they sent
// before still bears the old one.
func (r *run) takeKey() {
	r.mu.Lock()
	old := r.key
	r.key = fmt.Sprint("key-", len(r.retired)+1)
	fresh := r.key
	r.mu.Unlock()
	r.tell("%s is taken away, %s given", old, fresh)
	r.site.Configure(fresh)
	r.mu.Lock()
	r.retired[old] = time.Now()
	r.mu.Unlock()
	// One caller goes on with the old key.
	go func() {
		draw := rand.New(rand.NewPCG(r.seed, 99))
		for n := 0; n < 20; n++ {
			r.crowd.note(r.crowd.ask(read, fmt.Sprint("old-", old, "-", r.seed, "-", n), old, draw))
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// heal ends all faults; nodes that have ended start again.
func (r *run) heal() {
	r.tell("all is well again")
	r.healedAt = time.Now()
	r.healLinks()
	if r.healMore != nil {
		r.healMore()
	}
	r.site.Store.SetFaults(storefake.Faults{})
	r.healReplicas()
	for _, v := range r.vms {
		_ = v.now().Thaw() // it may have ended
	}
	r.revive()
}

// served waits until a request of each kind succeeds.
func (r *run) served(within time.Duration) bool {
	draw := rand.New(rand.NewPCG(r.seed, 3))
	deadline := time.Now().Add(within)
	for n := 0; time.Now().Before(deadline); n++ {
		r.revive() // one that was told to stop ends seconds later
		well := true
		for _, kind := range []string{stream, order, read} {
			a := r.crowd.ask(kind, fmt.Sprint("probe", kind, r.seed, "-", n, "-", time.Since(r.began)), r.current(), draw)
			well = well && a.status == http.StatusOK && a.whole
		}
		if well {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
