package document

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this layer.
var Error = errs.Class("document")

// MaxTextBytes is the longest text that is read.
const MaxTextBytes = 4 << 20

// maxFaults bounds a report; a text of the wrong kind would fill pages.
const maxFaults = 200

// Fault is one thing wrong with a text. Path is the JSON path, empty for the
// text as a whole.
type Fault struct {
	Path    string
	Message string
}

// String gives the fault as "path: message".
func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// Faults is the error of a refused text: all that is wrong with it, in the
// order of the checks. Omitted counts those beyond the first 200.
type Faults struct {
	List    []Fault
	Omitted int
}

// Error lists one fault a line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List)+1)
	for _, fault := range f.List {
		lines = append(lines, fault.String())
	}
	if f.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more faults", f.Omitted))
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(path, format string, args ...any) {
	if len(f.List) >= maxFaults {
		f.Omitted++
		return
	}
	f.List = append(f.List, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// covers says whether a fault already stands at path or at a value around it.
// A value that could not be read is not also reported as missing.
func (f *Faults) covers(path string) bool {
	for _, fault := range f.List {
		if fault.Path == path || strings.HasPrefix(path, fault.Path+".") || strings.HasPrefix(path, fault.Path+"[") {
			return true
		}
	}
	return false
}

// inside says whether a fault stands at a part of the value at path.
func (f *Faults) inside(path string) bool {
	for _, fault := range f.List {
		if strings.HasPrefix(fault.Path, path+"[") || strings.HasPrefix(fault.Path, path+".") {
			return true
		}
	}
	return false
}

// err returns f as an error, or nil if there are no faults.
func (f *Faults) err() error {
	if len(f.List) == 0 {
		return nil
	}
	return Error.Wrap(f)
}
