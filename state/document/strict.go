package document

import "reflect"

// Strict fills into, a pointer to a struct, from a JSON text in the same strict
// way as Parse, for other texts that operators write. The result is never nil;
// the caller may add faults of its own and ends with Err.
func Strict(text []byte, into any) *Faults {
	faults := &Faults{}
	if len(text) > MaxTextBytes {
		faults.add("", "the text has %d bytes, more than %d", len(text), MaxTextBytes)
		return faults
	}
	tree, err := readTree(text)
	if err != nil {
		faults.add("", "not JSON: %v", err)
		return faults
	}
	binder{faults}.bind(tree, reflect.ValueOf(into).Elem(), "")
	return faults
}

// Add notes a fault at a JSON path.
func (f *Faults) Add(path, format string, args ...any) { f.add(path, format, args...) }

// Covers says whether a fault already stands at path or at a value around it.
func (f *Faults) Covers(path string) bool { return f.covers(path) }

// Err returns the faults as an error, or nil if there are none.
func (f *Faults) Err() error { return f.err() }
