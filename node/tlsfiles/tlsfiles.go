// Package tlsfiles makes TLS settings from certificate files and follows the
// files when they are replaced.
//
//	files, err := tlsfiles.New(tlsfiles.Paths{Certificate: "vm.pem", Key: "vm.key", Authorities: "ca.pem"})
//	server := &http.Server{TLSConfig: files.MutualServer()}
//
// The failure that it answers: certificates run out. A node that read them only
// at its start would have to be restarted for each new one, and one that was
// forgotten would drop out of the fleet on the day its certificate ends.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this layer's errors.
var Error = errs.Class("tls")

var errNoAuthority = errors.New("holds no certificate in PEM form")

// lookInterval is the least time between two looks at the files. Certificates
// are replaced days before they end.
const lookInterval = 10 * time.Second

// Paths name PEM files. Authorities may be empty where no peer's certificate is
// checked.
type Paths struct {
	Certificate string
	Key         string
	Authorities string
}

// Files holds what the files said when last read. Safe for concurrent use.
type Files struct {
	paths Paths

	mu     sync.Mutex
	looked time.Time
	stamp  stamp
	now    content
}

// stamp tells whether files were replaced.
type stamp [3]time.Time

// content is what the files say.
type content struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// New reads the files; it fails if one can't be read.
func New(p Paths) (*Files, error) {
	f := &Files{paths: p}
	read, err := p.read()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.now = read
	f.stamp = p.stamp()
	f.looked = time.Now()
	return f, nil
}

func (p Paths) read() (content, error) {
	certificate, err := tls.LoadX509KeyPair(p.Certificate, p.Key)
	if err != nil || p.Authorities == "" {
		return content{certificate: certificate}, err
	}
	pem, err := os.ReadFile(p.Authorities)
	if err != nil {
		return content{}, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return content{}, fmt.Errorf("%s: %w", p.Authorities, errNoAuthority)
	}
	return content{certificate: certificate, authorities: pool}, nil
}

func (p Paths) stamp() stamp {
	var s stamp
	for i, path := range []string{p.Certificate, p.Key, p.Authorities} {
		if info, err := os.Stat(path); err == nil {
			s[i] = info.ModTime()
		}
	}
	return s
}

// current returns what the files say, reading them again if they were replaced.
// Files that are half replaced don't fit together; the ones before stay in force
// until all have come.
func (f *Files) current() content {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.looked) < lookInterval {
		return f.now
	}
	f.looked = time.Now()
	seen := f.paths.stamp()
	if seen == f.stamp {
		return f.now
	}
	if read, err := f.paths.read(); err == nil {
		f.now = read
		f.stamp = seen
	}
	return f.now
}

// Server identifies the node to callers and operators.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c := f.current()
			return &c.certificate, nil
		},
	}
}

// MutualServer identifies the node to peers and takes only peers whose
// certificate comes from the authorities.
func (f *Files) MutualServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := f.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				CurvePreferences: peerCurves,
				Certificates:     []tls.Certificate{c.certificate},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        c.authorities,
				// A ticket would hold the peer's certificate, cross the link at the
				// end of this handshake and again in the next one, and save less
				// than it takes (BenchmarkHandshake).
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// peerCurves leaves out the key exchange with ML-KEM: its keys are 2.3 KB of a
// handshake, at 0.14 handshakes a second a sixth of what control may send. It
// guards what is recorded today against computers to come. Peers tell each other
// who is alive, a document without callers' keys, and the answers to orders, which
// endpoints and store get in the clear. A peer proves itself by its certificate as
// before.
var peerCurves = []tls.CurveID{tls.X25519}

// MutualClient identifies the node to peers that it calls and checks theirs.
// Peers are known by IP number, and VMs are replaced, so it is the authority
// that makes a peer, not the number in its certificate.
func (f *Files) MutualClient() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		CurvePreferences:   peerCurves,
		InsecureSkipVerify: true, // VerifyConnection checks the chain instead
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c := f.current()
			return &c.certificate, nil
		},
		VerifyConnection: f.verifyPeer,
	}
}

// verifyPeer checks that a peer's certificate comes from the authorities and is
// meant for a server.
func (f *Files) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return Error.New("the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         f.current().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return Error.Wrap(err)
}
