package cases

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stray"] = strayCase }

const (
	// One of the three servers is faulty; one in 34 of its answers (0.029) is followed by further bytes.
	strayEvery = 34
	// Consumers keep their connections and send one request after the other.
	strayConsumers = 18
	strayFor       = 25 * time.Second
	strayPause     = 100 * time.Millisecond
	strayWork      = 20 * time.Millisecond
	strayTimeout   = 1500 * time.Millisecond
	// strayBytes come after a complete answer, at the point where the next answer is expected. They
	// bear no Request-Id, so that they are no answer of this server to any request.
	strayBytes = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\nbad request"
)

// rawServer is a server that writes the bytes of its answers itself.
type rawServer struct {
	scene   *scene
	id      string
	address string
	faulty  bool
	answers atomic.Int64
	strays  atomic.Int64
	// struck are the requests that strays came before the answers to.
	struck sync.Map
}

func (s *scene) newRaw(id string, faulty bool) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	v := &rawServer{scene: s, id: id, address: l.Addr().String(), faulty: faulty}
	s.atClose(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go v.serve(c)
		}
	}()
	return v
}

func (v *rawServer) serve(c net.Conn) {
	defer c.Close()
	in, extra := bufio.NewReader(c), false
	for {
		_ = c.SetDeadline(time.Now().Add(15 * time.Second))
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := q.Header.Get("Request-Id")
		if expected := q.Header.Get("Expect-Replica"); expected != "" && expected != v.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", id, v.id)
			continue
		}
		if extra {
			extra = false
			v.strays.Add(1)
			v.struck.Store(id, true)
			fmt.Fprint(c, strayBytes)
		}
		time.Sleep(strayWork)
		body := "stock of " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\nReplica-Load: 1,0,6\r\nKeep-Alive: timeout=15\r\nContent-Length: %d\r\n\r\n%s",
			id, v.id, id, len(body), body); err != nil {
			return
		}
		extra = v.faulty && v.answers.Add(1)%strayEvery == 0
	}
}

// strayCase has a faulty server that sends additional bytes after a complete response. The next request
// on that connection to it is another consumer's.
func strayCase(s *scene) bool {
	s.put("op/config", readsConfig)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var servers []*rawServer
	for i, zone := range zones {
		v := s.newRaw(fmt.Sprintf("i-%08x", 0x02d9e6b0+i), s.trouble && i == 0)
		servers = append(servers, v)
		go func() {
			for seq := 1; ctx.Err() == nil; seq++ {
				s.put("servers/"+v.id, plainEntry("stock-ledger", v.address, zone, "ready", s.begun, seq))
				sleep(ctx, beat)
			}
		}()
	}
	s.startNodes()
	time.Sleep(stable)
	replies := s.readStock()
	denied, answered := 0, 0
	for _, r := range replies {
		switch {
		case r.status == http.StatusOK && r.err == nil:
			answered++
		case r.status >= 300 && r.status < 500 && r.header.Get("Server-Stamp") == "":
			denied++
		}
	}
	for _, v := range servers {
		s.say("server %s gave %d answers, with additional bytes before the answer to %d further requests", v.id, v.answers.Load(), v.strays.Load())
	}
	s.say("%d requests, %d served, %d ended with a 3xx or 4xx that no server has given; %.1f are allowed", len(replies), answered, denied, 5+float64(len(replies))/500)
	return float64(denied) > 5+float64(len(replies))/500
}

// readStock lets consumers read for a while and returns what they got.
func (s *scene) readStock() []reply {
	var mu sync.Mutex
	var replies []reply
	var wg sync.WaitGroup
	until := time.Now().Add(strayFor)
	for i := range strayConsumers {
		wg.Go(func() {
			var c *connection
			for n := 0; time.Now().Before(until); n++ {
				if c == nil {
					var err error
					if c, err = dial(s.nodes[i%len(s.nodes)].front); err != nil {
						continue
					}
				}
				id := fmt.Sprintf("read-%d-%04d", i, n)
				r := c.send(call{id: id, method: http.MethodGet, target: "/cufi504/fi50/2f", budget: strayTimeout})
				if r.status != http.StatusOK {
					s.say("%s: %v", id, r)
				}
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
				if r.err != nil || r.header.Get("Connection") == "close" {
					_ = c.Close()
					c = nil
				}
				time.Sleep(strayPause)
			}
		})
	}
	wg.Wait()
	return replies
}
