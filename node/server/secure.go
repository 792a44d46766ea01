package server

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"slices"

	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/node/tlsfiles"
	"github.com/cicadatack/cicadatack/route/docindex"
)

func filesOf(t *settings.TLS) (*tlsfiles.Files, error) {
	return tlsfiles.New(tlsfiles.Paths{Certificate: t.Certificate, Key: t.Key, Authorities: t.Authorities})
}

// secureListeners sets TLS where the settings name certificates. Between peers
// both sides show one: an exchange can bring a new document, so whoever could
// pose as a peer could put a document of its own in force.
func (s *Server) secureListeners() error {
	for h, t := range map[*http.Server]*settings.TLS{
		s.callers:   s.settings.Callers.TLS,
		s.operators: s.settings.Operators.TLS,
	} {
		if t == nil {
			continue
		}
		files, err := filesOf(t)
		if err != nil {
			return err
		}
		h.TLSConfig = files.Server()
	}
	if s.peerFiles != nil {
		s.peers.TLSConfig = s.peerFiles.MutualServer()
	}
	return nil
}

// peerConfig is how this node meets its peers.
func (s *Server) peerConfig() (fleet.Config, error) {
	cfg := s.fleetConfig()
	if s.settings.Peers.TLS == nil {
		return cfg, nil
	}
	files, err := filesOf(s.settings.Peers.TLS)
	if err != nil {
		return cfg, err
	}
	s.peerFiles = files
	cfg.Scheme = "https"
	cfg.Transport = fleet.NewTransport(files.MutualClient())
	return cfg, nil
}

// serveOn serves on a listener, with TLS if the server has certificates.
func serveOn(h *http.Server, l net.Listener) error {
	if h.TLSConfig != nil {
		return h.ServeTLS(l, "", "")
	}
	return h.Serve(l)
}

// operatorsOnly lets calls through that bring one of the operators' keys. Keys
// are compared by digest, so the time taken tells nothing of them.
func (s *Server) operatorsOnly(next http.Handler) http.Handler {
	keys := s.settings.Operators.KeySHA256
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.Sum256([]byte(docindex.BearerKey(r)))
		if len(keys) > 0 && !slices.Contains(keys, hex.EncodeToString(sum[:])) {
			http.Error(w, "an operator's key is needed", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
