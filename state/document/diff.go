package document

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Change is one difference between two texts. Before or After is empty if the
// value is missing on that side, else it is JSON.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String gives the change on one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
}

// Diff lists what turns text a into text b, by path. Elements of a list are
// matched by their names where they have them (`endpoints["e9"].address`), so
// that one inserted in the middle is one change, and by their place elsewhere.
// A text that is not JSON counts as one value.
func Diff(a, b []byte) []Change {
	var changes []Change
	diffValues("", treeOrText(a), treeOrText(b), &changes)
	return changes
}

func treeOrText(text []byte) any {
	if len(text) == 0 {
		return missing{}
	}
	tree, err := readTree(text)
	if err != nil {
		return string(text)
	}
	return tree
}

// missing stands for a value that one side does not have.
type missing struct{}

func diffValues(path string, a, b any, changes *[]Change) {
	left, isLeft := children(a)
	right, isRight := children(b)
	if !isLeft || !isRight {
		diffLeaf(path, a, b, changes)
		return
	}
	inLeft, inRight := byStep(left), byStep(right)
	for _, p := range left {
		diffValues(path+p.step, p.value, valueAt(inRight, p.step), changes)
	}
	for _, p := range right {
		if _, both := inLeft[p.step]; !both {
			diffValues(path+p.step, missing{}, p.value, changes)
		}
	}
}

func diffLeaf(path string, a, b any, changes *[]Change) {
	before, after := render(a), render(b)
	if before != after {
		*changes = append(*changes, Change{Path: trimDot(path), Before: before, After: after})
	}
}

// part is one element of an object or list and its step in the path.
type part struct {
	step  string
	value any
}

// children returns a value's parts in the text's order.
func children(value any) ([]part, bool) {
	var parts []part
	switch v := value.(type) {
	case object:
		for _, m := range v {
			parts = append(parts, part{"." + m.name, m.value})
		}
		return parts, true
	case []any:
		named := allNamed(v)
		for i, element := range v {
			parts = append(parts, part{step(element, i, named), element})
		}
		return parts, true
	}
	return nil, false
}

func byStep(parts []part) map[string]any {
	values := make(map[string]any, len(parts))
	for _, p := range parts {
		values[p.step] = p.value
	}
	return values
}

func step(element any, index int, named bool) string {
	if !named {
		return fmt.Sprintf("[%d]", index)
	}
	name, _ := element.(object).get("name")
	return "[" + strconv.Quote(name.(string)) + "]"
}

// allNamed says whether every element is an object with a name of its own.
func allNamed(list []any) bool {
	seen := map[string]bool{}
	for _, element := range list {
		members, ok := element.(object)
		if !ok {
			return false
		}
		value, _ := members.get("name")
		name, ok := value.(string)
		if !ok || seen[name] {
			return false
		}
		seen[name] = true
	}
	return true
}

func valueAt(parts map[string]any, key string) any {
	if value, ok := parts[key]; ok {
		return value
	}
	return missing{}
}

func render(value any) string {
	if _, none := value.(missing); none {
		return ""
	}
	text, err := json.Marshal(plain(value))
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

// plain turns a tree into what encoding/json writes.
func plain(value any) any {
	switch v := value.(type) {
	case object:
		members := map[string]any{}
		for _, m := range v {
			members[m.name] = plain(m.value)
		}
		return members
	case []any:
		list := make([]any, len(v))
		for i, element := range v {
			list[i] = plain(element)
		}
		return list
	}
	return value
}

func trimDot(path string) string {
	if len(path) > 0 && path[0] == '.' {
		return path[1:]
	}
	return path
}
