package tlsfiles_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/node/tlsfiles"
	"github.com/cicadatack/cicadatack/node/tlsfiles/tlstest"
)

// The certificate's files are replaced while the node runs, first half of them
// and then all. The old certificate stays in force until the new files fit
// together; no restart is needed.
func TestReplacedFilesAreFollowed(t *testing.T) {
	a := tlstest.NewAuthority(t)
	dir := t.TempDir()
	paths := tlstest.Write(t, dir, 2, a, a)
	f, err := tlsfiles.New(paths)
	if err != nil {
		t.Fatal(err)
	}
	newer := tlstest.Write(t, t.TempDir(), 3, a, a)
	later := time.Now().Add(time.Minute)
	for i, step := range []struct {
		from, to string
		serial   int64
	}{
		{newer.Certificate, paths.Certificate, 2},
		{newer.Key, paths.Key, 3},
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
		f.LookAgain()
		if got := serialOf(t, f); got != step.serial {
			t.Errorf("after %s: certificate %d in force, want %d", filepath.Base(step.to), got, step.serial)
		}
	}
}

func serialOf(t *testing.T, f *tlsfiles.Files) int64 {
	certificate, err := f.Server().GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	return certificate.Leaf.SerialNumber.Int64()
}
