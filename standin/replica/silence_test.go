package replica

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	silentFor = 600 * time.Millisecond
	dialTime  = 200 * time.Millisecond
)

func addModel(t *testing.T, f *Fleet, id string, from, to int) *Replica {
	t.Helper()
	r, err := f.Add(Config{ID: id, Service: "llm", Model: true, Events: 20, Pause: 10 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	r.from, r.to = from, to
	return r
}

// Guards against a stand-in that breaks a stream off, or that goes on sending, while a replica of the
// stream's path is silent.
func TestSilentReplicaGoesOnWithItsStream(t *testing.T) {
	for _, silent := range []int{0, 1} {
		t.Run(fmt.Sprint("part ", silent), func(t *testing.T) {
			f := NewFleet(8)
			t.Cleanup(f.Close)
			parts := []*Replica{addModel(t, f, "i-0", 0, 4), addModel(t, f, "i-1", 4, 8)}
			q, err := http.NewRequest(http.MethodPost, "http://"+parts[0].Address+"/ask/x", strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}
			q.Header.Set("Request-Id", "s")
			q.Header.Set("Hop-Count", fmt.Sprintf("%s=0-4,%s=4-8", parts[0].Address, parts[1].Address))
			began := time.Now()
			response, err := http.DefaultClient.Do(q)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if !parts[silent].Silence(silentFor, LongQueue) {
				t.Fatal("it was silent already")
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || !strings.HasSuffix(string(body), "token 20 of s\n\n") {
				t.Errorf("got %q, %v", body, err)
			}
			if took := time.Since(began); took < silentFor {
				t.Errorf("the stream took %v, less than the silence", took)
			}
		})
	}
}

// Guards against silent replicas whose queue of new connections is never full, or always.
func TestQueueOfSilentReplica(t *testing.T) {
	const conns = 12
	for _, c := range []struct {
		name  string
		queue int
		hangs bool
	}{{"long", LongQueue, false}, {"short", ShortQueue, true}} {
		t.Run(c.name, func(t *testing.T) {
			f := NewFleet(8)
			t.Cleanup(f.Close)
			r, err := f.Add(Config{ID: "i-0", Service: "ledger"})
			if err != nil {
				t.Fatal(err)
			}
			r.Silence(silentFor, c.queue)
			hung := 0
			for range conns {
				conn, err := net.DialTimeout("tcp", r.Address, dialTime)
				if err != nil {
					hung++
					continue
				}
				defer conn.Close()
			}
			if c.hangs != (hung > 0) || hung == conns {
				t.Errorf("%d of %d connections hang", hung, conns)
			}
			time.Sleep(silentFor)
			response, err := http.Get("http://" + r.Address + "/read/x")
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				t.Errorf("after the silence: status %d", response.StatusCode)
			}
		})
	}
}
