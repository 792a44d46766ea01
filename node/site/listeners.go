package site

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// doors are the node's listeners with their servers.
type doors struct {
	servers   []*http.Server
	listeners []net.Listener
}

const (
	// headerTimeout bounds how long a caller may take over its head before the
	// configuration's bound is known.
	headerTimeout = 3 * time.Second
	// idleTimeout is longer than callers keep idle connections for reuse (four
	// fifths of the configured bound), so that none sends into a closing one.
	idleTimeout = 45 * time.Second
	// maxHeaderBytes is above what configurations allow.
	maxHeaderBytes = 64 << 10
)

func (n *Node) open() (*doors, error) {
	d := &doors{}
	figures := n.metricsAddress()
	for _, door := range []struct {
		address *netip.AddrPort
		handler http.Handler
	}{
		{&n.settings.Ready, http.HandlerFunc(n.serveReady)},
		{&n.settings.Directory, http.HandlerFunc(n.serveDirectory)},
		{&n.settings.Control, n.operatorsDoor()},
		{&n.settings.Callers, n.counted(n.door)},
		{&figures, n.metricsDoor()},
		{&n.peerDoor, n.peersDoor()},
	} {
		if !door.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", door.address.String())
		if err != nil {
			d.close()
			return nil, Error.Wrap(err)
		}
		// A port 0 in the settings is known only now.
		*door.address = listener.Addr().(*net.TCPAddr).AddrPort()
		d.listeners = append(d.listeners, listener)
		d.servers = append(d.servers, &http.Server{
			Handler:           door.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          n.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		})
	}
	return d, nil
}

func (d *doors) serve() <-chan error {
	failed := make(chan error, len(d.servers))
	for i, s := range d.servers {
		go func() {
			if err := s.Serve(d.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return failed
}

// closeTimeout bounds the wait for answers whose handlers have ended and that are still being written.
const closeTimeout = 100 * time.Millisecond

// close closes the listeners and the connections, each once its last answer is written.
func (d *doors) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range d.servers {
		group.Go(func() {
			if s.Shutdown(ctx) != nil {
				_ = s.Close() // the process ends; what is underway was waited for
			}
		})
	}
	group.Wait()
	for _, l := range d.listeners {
		_ = l.Close() // those that no server has taken over
	}
}

// counted counts requests underway.
func (n *Node) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.underway.Add(1)
		defer n.underway.Add(-1)
		next.ServeHTTP(w, r)
	})
}
