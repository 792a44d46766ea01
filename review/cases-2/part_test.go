package cases

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
)

func init() { cases["part"] = partCase }

const (
	// crashPart ends each server that begins to write an answer on it; the server is back after downFor.
	// Its port resets connections meanwhile.
	crashPart = "bad0"
	downFor   = 5 * time.Second
	// Requests with the part come for partFor; no two are alike.
	partFor = 30 * time.Second
	// fatal is the number of crashes after which, stableMs later, at most tolerated requests with the
	// part may reach servers.
	fatal, tolerated = 5, 3
	streamBudget     = 20 * time.Second
	modelLayers      = 8
)

// partLoad says how often requests come.
type partLoad struct {
	marked, sound time.Duration
	// soundFrom is when the first other request comes.
	soundFrom, lasts time.Duration
	servers          int
	crash            replica.Crash
}

// loads are those of the case and, with QUIET=1, of a quiet hour, in which ports refuse connections.
var (
	usualLoad = partLoad{
		marked: 100 * time.Millisecond, sound: time.Second, lasts: partFor, servers: 6,
		crash: replica.Crash{Part: crashPart, DownFor: downFor, HoldPort: true},
	}
	quietLoad = partLoad{
		marked: 2 * time.Second, sound: 30 * time.Second, soundFrom: 25 * time.Second, lasts: 45 * time.Second, servers: 9,
		crash: replica.Crash{Part: crashPart, DownFor: 3 * time.Second},
	}
)

const partConfig = `{"version":7,
 "routes":[{"name":"feed-plan","host":"ficu95.example","prefix":"/lohu930/","kind":"stream","timeoutMs":20000,"goalMs":500,"gapAimMs":200,"priority":1,
  "service":"deckhand-llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true}],
 "services":[{"name":"deckhand-llm","healthPath":"/health","maxConns":908,"proto":"h1","tls":false,
  "engine":{"slots":192,"kvTokens":100000,"kvBytes":8000,"stride":2,"layers":8,"layerMb":100,"step_ms":1,"read_per_s":196000,"actBytes":29500,"pipeMbps":11000,
   "models":[{"name":"m0","pace":1.0,"loadS":0.5,"warmS":0}],"kinds":[{"name":"l4","mb":1400,"pace":1,"readX":1}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

// partCase has a part of prompts that crashes each model server.
func partCase(s *scene) bool {
	load := usualLoad
	if os.Getenv("QUIET") == "1" {
		load = quietLoad
	}
	s.put("op/config", partConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet := replica.NewFleet(modelLayers)
	s.atClose(fleet.Close)
	var servers []*replica.Replica
	for i := range load.servers {
		r, err := fleet.Add(replica.Config{
			ID: fmt.Sprintf("i-%08x", 0x3e1b0700+i), Service: "deckhand-llm", Domain: zones[i%len(zones)], Kind: "l4", Model: true, Events: 86, Pause: 20 * time.Millisecond,
		})
		if err != nil {
			panic(err)
		}
		servers = append(servers, r)
	}
	go func() {
		for ; ctx.Err() == nil; sleep(ctx, beat) {
			for _, r := range servers {
				s.put("servers/"+r.ID, string(r.Entry()))
			}
		}
	}()
	s.startNodes()
	s.await("the servers hold layers", 15*time.Second, func() bool { return s.ask(s.nodes[0], "first", "").status == http.StatusOK })
	if s.trouble {
		fleet.CrashBy(load.crash)
	}
	time.Sleep(stable)
	var wg sync.WaitGroup
	start := time.Now()
	wg.Go(func() { s.every(load.sound, load.lasts, start.Add(load.soundFrom), "sound", "", fleet) })
	wg.Go(func() { s.every(load.marked, load.lasts, start.Add(time.Second), "marked", crashPart, fleet) })
	wg.Wait()
	return s.judgePart(fleet)
}

// ask asks for a stream. The prompt has the part if that is not empty.
func (s *scene) ask(n *node, id, part string) reply {
	prefix := "5c1e07a2:40,"
	if part != "" {
		prefix += part + ":300,"
	}
	prefix += fmt.Sprintf("%x:400", id)
	return ask(n.front, call{
		id: id, method: http.MethodPost, target: "/lohu930/2f", body: "plan", budget: streamBudget,
		extra: "Model: m0\r\nToken-Count: 740,172\r\nPrefix-Hash: " + prefix + "\r\n",
	})
}

// every sends requests at all nodes in turn.
func (s *scene) every(interval, lasts time.Duration, start time.Time, name, part string, fleet *replica.Fleet) {
	var wg sync.WaitGroup
	for k := 0; time.Duration(k)*interval < lasts; k++ {
		time.Sleep(time.Until(start.Add(time.Duration(k) * interval)))
		wg.Go(func() {
			n, id := s.nodes[k%len(s.nodes)], fmt.Sprintf("%s-%03d", name, k)
			r := s.ask(n, id, part)
			s.say("%s at %s, sent at %.3f s: %d after %d ms, %d events, error %v, ran %d times", id, n.name, s.seconds(r.sent), r.status,
				r.ended.Sub(r.sent).Milliseconds(), strings.Count(r.body, "data:"), r.err, len(fleet.Runs(id)))
		})
	}
	wg.Wait()
}

// judgePart applies rule BUDGET to the requests with the part.
func (s *scene) judgePart(fleet *replica.Fleet) bool {
	crashes := fleet.Crashes()
	for i, at := range crashes {
		s.say("crash %d at %.3f s", i+1, s.seconds(at))
	}
	if len(crashes) < fatal {
		return false
	}
	from, late := crashes[fatal-1].Add(stable), 0
	for _, id := range fleet.ReplicaIDs() {
		for _, a := range fleet.Arrivals(id) {
			if strings.HasPrefix(a.Request, "marked") && a.At.After(from) {
				s.say("%s reaches %s at %.3f s", a.Request, id, s.seconds(a.At))
				late++
			}
		}
	}
	s.say("%d requests with the part reached servers later than stableMs after crash %d at %.3f s; %d are allowed", late, fatal, s.seconds(crashes[fatal-1]), tolerated)
	return late > tolerated
}
