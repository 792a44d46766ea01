package docsync

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

func testRecord(revision int64, body []byte) Record {
	return Record{Environment: "stock", Revision: revision, Digest: DigestOf(body), Body: body}
}

// document returns text like an environment document of about size bytes.
func document(size int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, `{"name":"gpu-%05d","address":"10.%d.%d.%d:9000","failure_domain":"fd-%02d"},`,
			i, random.IntN(256), random.IntN(256), random.IntN(256), random.IntN(23))
	}
	return b.Bytes()[:size]
}

// A node holds revision 1 and is sent revision 2 as a difference or whole. It
// must hold exactly the accepted bytes, whatever was changed.
func TestPackedRecordArrivesWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		alphabet := rapid.SampledFrom([]byte("ab\n{"))
		base := testRecord(1, rapid.SliceOfN(alphabet, 0, 400).Draw(rt, "base"))
		body := append([]byte(nil), base.Body...)
		for range rapid.IntRange(0, 4).Draw(rt, "edits") {
			at := rapid.IntRange(0, len(body)).Draw(rt, "at")
			end := rapid.IntRange(at, len(body)).Draw(rt, "end")
			insert := rapid.SliceOfN(alphabet, 0, 80).Draw(rt, "insert")
			body = append(body[:at:at], append(insert, body[end:]...)...)
		}
		if rapid.Bool().Draw(rt, "whole") {
			base = Record{}
		}
		record := testRecord(2, body)
		got, err := Unpack("stock", 2, Pack(record, base), base)
		if err != nil || !bytes.Equal(got.Body, body) || got.Holding() != record.Holding() {
			rt.Fatalf("got %+v, %v", got, err)
		}
	})
}

// An operator changes three lines of a large document. What travels to each
// node must be in proportion to the change, not to the document.
func TestSmallChangeOfALargeDocumentIsSmall(t *testing.T) {
	for _, size := range []int{50_000, MaxBodyBytes} {
		base := testRecord(1, document(size))
		body := append([]byte(nil), base.Body...)
		for _, at := range []int{size / 10, size / 2, size - 100} {
			copy(body[at:], "10.9.9.9")
		}
		record := testRecord(2, body)
		difference, whole := len(Pack(record, base).Data), len(Pack(record, Record{}).Data)
		if difference > 300 {
			t.Errorf("%d bytes: the difference takes %d", size, difference)
		}
		t.Logf("document %d bytes: difference %d, whole %d", size, difference, whole)
	}
}

// A peer with a fault, or a stranger, sends a payload that does not fit. It is
// refused with an error that says why, and never takes memory without bound.
func TestBadPayloadIsRefused(t *testing.T) {
	base := testRecord(1, document(2000))
	good := Pack(testRecord(2, document(2500)), base)
	bomb := Pack(testRecord(2, make([]byte, 3*MaxBodyBytes)), Record{})
	bomb.Length = MaxBodyBytes
	change := func(edit func(*Payload)) Payload { p := good; edit(&p); return p }
	for _, c := range []struct {
		name    string
		payload Payload
		base    Record
		want    error
	}{
		{"too large", change(func(p *Payload) { p.Length = MaxBodyBytes + 1 }), base, ErrTooLarge},
		{"negative length", change(func(p *Payload) { p.Length = -1 }), base, ErrTooLarge},
		{"unpacks to more than a document", bomb, Record{}, ErrTooLarge},
		{"base not held", good, testRecord(1, nil), nil},
		{"base of another revision", good, testRecord(3, base.Body), ErrBase},
		{"no base held", good, Record{}, ErrBase},
		{"wrong length", change(func(p *Payload) { p.Length++ }), base, ErrMalformed},
		{"another body", change(func(p *Payload) { p.Digest = DigestOf(base.Body) }), base, ErrDigest},
		{"not packed", change(func(p *Payload) { p.Data = []byte("hello") }), base, ErrMalformed},
		{"cut short", change(func(p *Payload) { p.Data = p.Data[:len(p.Data)/2] }), base, ErrMalformed},
		{"copies beyond the base", change(func(p *Payload) { p.Data = deflate([]byte{200, 1, 255, 255, 3}) }), base, ErrMalformed},
		{"inserts beyond the data", change(func(p *Payload) { p.Data = deflate([]byte{0, 99, 'a'}) }), base, ErrMalformed},
	} {
		_, err := Unpack("stock", 2, c.payload, c.base)
		if c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if err == nil {
			t.Errorf("%s: taken", c.name)
		}
	}
}

// A few packed kilobytes stand for 32 MB. They are refused before they take
// that much memory, or one faulty peer could end every node.
func TestPackedBombTakesBoundedMemory(t *testing.T) {
	p := Payload{Length: MaxBodyBytes, Data: deflate(make([]byte, 32<<20))}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := Unpack("stock", 2, p, Record{})
	runtime.ReadMemStats(&after)
	if taken := after.TotalAlloc - before.TotalAlloc; err == nil || taken > 20<<20 {
		t.Fatalf("error %v after %d bytes", err, taken)
	}
}

// FuzzUnpack feeds operations that no node sent; they must not panic.
func FuzzUnpack(f *testing.F) {
	base := testRecord(1, document(300))
	f.Add(difference(base.Body, document(400)), 400)
	f.Add([]byte{0, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1}, 9)
	f.Fuzz(func(t *testing.T, ops []byte, length int) {
		p := Payload{Base: base.Holding(), Length: length, Data: deflate(ops)}
		record, err := Unpack("stock", 2, p, base)
		if err == nil && len(record.Body) != length {
			t.Fatalf("%d bytes taken as %d", len(record.Body), length)
		}
	})
}
