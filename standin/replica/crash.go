package replica

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Crash says on which requests replicas end, and how their end shows.
type Crash struct {
	// Part of a prompt ends model replicas, unless it is the last one; "" for none.
	Part string
	// LastPart ends them if it is the last part of a prompt; "" for none.
	LastPart string
	// Target of a request ends replicas of plain services; "" for none.
	Target string
	// AfterEvents is the number of events that a model replica sends before it ends.
	AfterEvents int
	// DownFor is how long a replica is gone. With HoldPort its port accepts and resets connections
	// meanwhile, as if something else held it; otherwise it refuses them.
	DownFor  time.Duration
	HoldPort bool
}

// CrashOn makes each model replica end when it begins to answer a request that has the part,
// unless the part is the last one of its prompt. An ended replica holds no layers, and is back at
// its address after downFor. An empty part ends this.
func (f *Fleet) CrashOn(part string, downFor time.Duration) {
	f.CrashBy(Crash{Part: part, DownFor: downFor})
}

// CrashBy makes replicas end on requests from now on, in place of what was said before.
func (f *Fleet) CrashBy(c Crash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash = c
}

// crashing returns on which requests replicas end.
func (f *Fleet) crashing() Crash {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crash
}

// Crashes returns when replicas have ended, in order.
func (f *Fleet) Crashes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.crashes)
}

// endsAt returns after how many events a prompt ends its replica; ok is false if it does not.
func (c Crash) endsAt(prefix string) (events int, ok bool) {
	entries := strings.Split(prefix, ",")
	for i, entry := range entries {
		id, _, _ := strings.Cut(entry, ":")
		ends := c.Part
		if i == len(entries)-1 {
			ends = c.LastPart
		}
		if ends != "" && id == ends {
			return c.AfterEvents, true
		}
	}
	return 0, false
}

// holdPort accepts and resets connections at an address.
func holdPort(address string) (net.Listener, error) {
	listener, err := listenAgain(address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the replica comes back
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	return listener, nil
}

// crash ends the replica and starts it again after a while.
func (r *Replica) crash() {
	r.mu.Lock()
	if r.down || r.killed {
		r.mu.Unlock()
		return
	}
	r.down = true
	r.mu.Unlock()
	r.fleet.mu.Lock()
	r.fleet.crashes = append(r.fleet.crashes, time.Now())
	crash := r.fleet.crash
	r.fleet.mu.Unlock()
	r.end()
	if crash.HoldPort {
		port, err := holdPort(r.Address)
		if err != nil {
			r.fleet.problem("the port of %s is not held: %v", r.ID, err)
		}
		r.mu.Lock()
		r.port = port
		r.mu.Unlock()
	}
	time.AfterFunc(crash.DownFor, r.comeBack)
}

// comeBack starts the replica at its address as a new incarnation without layers.
func (r *Replica) comeBack() {
	r.mu.Lock()
	killed, port := r.killed, r.port
	r.port = nil
	r.mu.Unlock()
	if port != nil {
		_ = port.Close()
	}
	if killed {
		return
	}
	listener, err := listenAgain(r.Address)
	if err != nil {
		r.fleet.problem("%s does not come back: %v", r.ID, err)
		return
	}
	r.mu.Lock()
	r.down, r.orders, r.from, r.to = false, 0, 0, 0
	r.Born++
	r.mu.Unlock()
	r.serve(listener)
}
