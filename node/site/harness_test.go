package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/platform/boot"
	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

// patience bounds a wait for an event that has to come.
const patience = 20 * time.Second

const goodKey = "key-of-bogor"

// platform is a store, an operator and replicas in one process, and the log of the
// nodes that run on it.
type platform struct {
	*site.Site
	t    testing.TB
	addr netip.AddrPort

	mu   sync.Mutex
	logs bytes.Buffer
}

func newPlatform(t testing.TB) *platform {
	p := &platform{Site: site.New(), t: t}
	p.addr = netip.MustParseAddrPort(p.Address())
	t.Cleanup(p.Close)
	p.Configure(goodKey)
	return p
}

// chains starts two whole chains' worth of replicas and two of a plain service.
func (p *platform) chains(events int, pause time.Duration) {
	p.t.Helper()
	if err := p.AddUsual(replica.Config{Domain: "bandung", Events: events, Pause: pause}); err != nil {
		p.t.Fatal(err)
	}
}

// running is a node underway.
type running struct {
	*Node
	stop func()
	done chan error
}

// free asks for any port.
var free = netip.MustParseAddrPort("127.0.0.1:0")

// quick is the pace of the nodes under test.
var quick = Timing{
	Poll: 20 * time.Millisecond, PollSoon: 10 * time.Millisecond, Settle: 30 * time.Millisecond,
	EntryTTL: 200 * time.Millisecond,
}

// settings are those of a node on loopback.
func (p *platform) settings(name string) *boot.Settings {
	return &boot.Settings{
		Node: name, Domain: "bandung", IP: netip.MustParseAddr("127.0.0.1"),
		Callers: free, Ready: free, Control: free, Directory: free,
		Store: p.addr, LeaseMin: time.Second, MemoryMB: 256,
		Bounds: boot.Bounds{
			Apply: 2 * time.Second, Revoke: 5 * time.Second, Drain: 2 * time.Second, Grace: 8 * time.Second,
			EntryTTL:   5 * time.Second,
			RetryRatio: 0.2, RetrySlack: 2000, RetryWindow: 10 * time.Second,
		},
	}
}

// node starts a node that no other can ask, and waits until it serves.
func (p *platform) node(settings *boot.Settings) *running {
	p.t.Helper()
	return p.start(settings, quick, netip.AddrPort{})
}

// start starts a node whose door for other nodes is at an address, and waits until it
// serves.
func (p *platform) start(settings *boot.Settings, timing Timing, peers netip.AddrPort) *running {
	p.t.Helper()
	log := hclog.New(&hclog.LoggerOptions{Output: &lockedBuffer{p: p}, JSONFormat: true})
	n, err := New(settings, func() (*boot.Settings, error) { return settings, nil }, timing, log)
	if err != nil {
		p.t.Fatal(err)
	}
	n.peerDoor = peers
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Node: n, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- n.Run(ctx, nil) }()
	p.t.Cleanup(func() {
		cancel()
		select {
		case err := <-r.done:
			if err != nil {
				p.t.Error(err)
			}
		case <-time.After(patience):
			p.t.Error("the node did not end")
		}
	})
	p.until("the node serves", func() bool {
		p.Beat()
		return n.serving() && n.pathsKnown()
	})
	return r
}

// pathsKnown says whether the node could send to the model and the plain service.
func (n *Node) pathsKnown() bool {
	held := 0
	for _, r := range n.replicas() {
		held += r.Holds.Len()
	}
	return held >= 8
}

// until waits for a condition.
func (p *platform) until(what string, ok func() bool) {
	p.t.Helper()
	deadline := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(deadline) {
			p.t.Fatalf("it never came that %s\n%s", what, p.log())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

type lockedBuffer struct{ p *platform }

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.p.mu.Lock()
	defer b.p.mu.Unlock()
	return b.p.logs.Write(line)
}

func (p *platform) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.String()
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends one request over a connection of its own and reads the whole answer.
func (r *running) ask(method, path, id, key string, headers ...string) answer {
	return r.upload(method, path, id, key, strings.NewReader(bodyOf(method)), headers...)
}

// upload does the same with a body of the caller's. With the header Expect the body is read once the node
// asks for it.
func (r *running) upload(method, path, id, key string, body io.Reader, headers ...string) answer {
	transport := &http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: patience}
	q, err := http.NewRequest(method, "http://"+r.settings.Callers.String()+path, body)
	if err != nil {
		return answer{err: err}
	}
	q.Host = site.Host
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", "15000")
	q.Header.Set("Token-Count", "10,20")
	if key != "" {
		q.Header.Set("Authorization", "Token "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	response, err := transport.RoundTrip(q)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

func bodyOf(method string) string {
	if method == http.MethodPost {
		return "some cream"
	}
	return ""
}

// wholeStream says whether a body is all events of a request, each once, in order.
func wholeStream(body, id string, events int) error {
	var want strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: token %d of %s\n\n", n, n, id)
	}
	if body != want.String() {
		return fmt.Errorf("got %d bytes of %d: ...%q", len(body), want.Len(), body[max(0, len(body)-80):])
	}
	return nil
}

// sendInTurn lets callers send requests to nodes in turn, one per interval, until stop is closed. wait
// returns what they got.
func sendInTurn(nodes []*running, every time.Duration, stop <-chan struct{}, ask func(node *running, i int) answer) (wait func() []call) {
	var calls []call
	var mu sync.Mutex
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
			group.Go(func() {
				begun := time.Now()
				got := ask(nodes[i%len(nodes)], i)
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, call{got, time.Since(begun)})
			})
		}
	})
	return func() []call {
		group.Wait()
		return calls
	}
}
