package replica

import (
	"net"
	"net/http"
	"os/exec"
	"sync"
	"testing"
	"time"
)

// Guards against a replica that can't come back after a crash, because a connection of another process
// has got its port meanwhile.
func TestPortOfReplicaThatIsGoneIsKept(t *testing.T) {
	fleet := NewFleet(8)
	t.Cleanup(fleet.Close)
	r := servingReplica(t, fleet)
	fleet.CrashBy(Crash{DownFor: time.Hour})
	r.crash()
	if conn, err := net.Dial("tcp", r.Address); err == nil {
		_ = conn.Close()
		t.Fatal("a replica that is gone accepts connections")
	}
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	port, err := net.ResolveTCPAddr("tcp", r.Address)
	if err != nil {
		t.Fatal(err)
	}
	fromPort := net.Dialer{LocalAddr: port}
	if conn, err := fromPort.Dial("tcp", other.Addr().String()); err == nil {
		defer conn.Close()
		t.Error("the replica's port is given to a connection")
	}
	r.comeBack()
	conn, err := net.Dial("tcp", r.Address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}

// Guards against a replica that can't come back, or whose port is not held, because a process that is
// being started still has a copy of the listener that was closed.
func TestReplicaComesBackWhileProcessesStart(t *testing.T) {
	fleet := NewFleet(8)
	t.Cleanup(fleet.Close)
	r := servingReplica(t, fleet)
	fleet.CrashBy(Crash{DownFor: time.Hour, HoldPort: true})
	stop := make(chan struct{})
	var starts sync.WaitGroup
	for range 4 {
		starts.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 300 {
		r.crash()
		r.comeBack()
	}
	close(stop)
	starts.Wait()
	for _, problem := range fleet.Problems() {
		t.Error(problem)
	}
}

// servingReplica returns a replica that has answered a request.
func servingReplica(t *testing.T, fleet *Fleet) *Replica {
	r, err := fleet.Add(Config{ID: "i-0", Service: "llm"})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Get("http://" + r.Address + "/")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return r
}
