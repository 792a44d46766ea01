package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority signs certificates for a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	key := newKey(t)
	template := template(1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{certificate, key}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "vm"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

// write puts a certificate with a serial number into dir, signed by a, with
// trusted as the authorities.
func write(t *testing.T, dir string, serial int64, a, trusted authority) Paths {
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template(serial), a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	p := Paths{filepath.Join(dir, "vm.pem"), filepath.Join(dir, "vm.key"), filepath.Join(dir, "ca.pem")}
	for path, block := range map[string]*pem.Block{
		p.Certificate: {Type: "CERTIFICATE", Bytes: der},
		p.Key:         {Type: "EC PRIVATE KEY", Bytes: rawKey},
		p.Authorities: {Type: "CERTIFICATE", Bytes: trusted.certificate.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

func files(t *testing.T, a, trusted authority) *Files {
	f, err := New(write(t, t.TempDir(), 2, a, trusted))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// A program that is no peer calls a node's peers' listener, or answers on an
// address that a peer had. Without a certificate of the fleet's authority it
// gets no exchange through in either direction; a peer does.
func TestOnlyPeersMeet(t *testing.T) {
	fleet, other := newAuthority(t), newAuthority(t)
	peer := files(t, fleet, fleet)
	for _, c := range []struct {
		name           string
		server, client *Files
		works          bool
	}{
		{"two peers", peer, files(t, fleet, fleet), true},
		{"a stranger calls", peer, files(t, other, fleet), false},
		{"a stranger answers", files(t, other, fleet), peer, false},
		{"each trusts another authority", peer, files(t, other, other), false},
	} {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		server.TLS = c.server.MutualServer()
		server.StartTLS()
		client := http.Client{Transport: &http.Transport{TLSClientConfig: c.client.MutualClient()}}
		response, err := client.Get(server.URL)
		if err == nil {
			response.Body.Close()
		}
		if (err == nil) != c.works {
			t.Errorf("%s: error %v, works should be %t", c.name, err, c.works)
		}
		client.CloseIdleConnections()
		server.Close()
	}
	plain := http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = peer.MutualServer()
	server.StartTLS()
	defer server.Close()
	if response, err := plain.Get(server.URL); err == nil {
		response.Body.Close()
		t.Error("a caller without a certificate was served as a peer")
	}
}

// The certificate's files are replaced while the node runs, first half of them
// and then all. The old certificate stays in force until the new files fit
// together; no restart is needed.
func TestReplacedFilesAreFollowed(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	f, err := New(write(t, dir, 2, a, a))
	if err != nil {
		t.Fatal(err)
	}
	newer := write(t, t.TempDir(), 3, a, a)
	later := time.Now().Add(time.Minute)
	for i, step := range []struct {
		from, to string
		serial   int64
	}{
		{newer.Certificate, f.paths.Certificate, 2},
		{newer.Key, f.paths.Key, 3},
	} {
		text, err := os.ReadFile(step.from)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(step.to, text, 0o600); err != nil {
			t.Fatal(err)
		}
		stamp := later.Add(time.Duration(i) * time.Second)
		if err := os.Chtimes(step.to, stamp, stamp); err != nil {
			t.Fatal(err)
		}
		f.looked = time.Time{}
		if got := f.current().certificate.Leaf.SerialNumber.Int64(); got != step.serial {
			t.Errorf("after %s: certificate %d in force, want %d", filepath.Base(step.to), got, step.serial)
		}
	}
}
