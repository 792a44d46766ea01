package document

import (
	"crypto/sha256"
	"encoding/hex"
	"reflect"
)

// Parse reads and checks a text. The error, if any, holds a *Faults with
// everything that is wrong with it.
func Parse(text []byte) (*Document, error) {
	faults := &Faults{}
	if len(text) > MaxTextBytes {
		faults.add("", "the text has %d bytes, more than %d", len(text), MaxTextBytes)
		return nil, faults.err()
	}
	tree, err := readTree(text)
	if err != nil {
		faults.add("", "not JSON: %v", err)
		return nil, faults.err()
	}
	// A text of another format is refused before its fields are looked at:
	// they may mean something else there.
	if members, ok := tree.(object); ok {
		checkFormat(members, faults)
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	doc := &Document{}
	binder{faults}.bind(tree, reflect.ValueOf(doc).Elem(), "")
	if _, ok := tree.(object); ok {
		newChecker(doc, faults).check()
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	return doc, nil
}

func checkFormat(members object, faults *Faults) {
	value, ok := members.get("format")
	if !ok {
		faults.add("format", "is missing; this program reads format %d", Format)
		return
	}
	var format int
	binder{faults}.bindInt(value, reflect.ValueOf(&format).Elem(), "format")
	if len(faults.List) == 0 && format != Format {
		faults.add("format", "is %d; this program reads format %d", format, Format)
	}
}

// Digest returns the hex SHA-256 of a text, by which a trial and its promotion
// name the same bytes.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
