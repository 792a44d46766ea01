// Package tlstest makes certificates for tests. It is not shipped.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/node/tlsfiles"
)

// Authority signs certificates for a test.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a key of its own.
func NewAuthority(t testing.TB) Authority {
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
	return Authority{certificate, key}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
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

// Write puts a certificate for 127.0.0.1 with a serial number into dir, signed by
// a, with trusted as the authorities.
func Write(t testing.TB, dir string, serial int64, a, trusted Authority) tlsfiles.Paths {
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template(serial), a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	p := tlsfiles.Paths{
		Certificate: filepath.Join(dir, "vm.pem"),
		Key:         filepath.Join(dir, "vm.key"),
		Authorities: filepath.Join(dir, "ca.pem"),
	}
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
