package soak

import (
	"fmt"
	"strings"
)

// oddEntries are what another writer may leave at the key of a replica. None of them names a replica
// that can be used.
var oddEntries = append(oddFields(), oddDocuments...)

// oddDocuments are odd as a whole.
var oddDocuments = []string{
	"", "null", "[]", `"i-model-0"`, "7", "\xff\xfe\x00", `{"service":"llm",`,
	oddEntry("slots", "8") + oddEntry("slots", "8"),
	strings.Repeat("[", 200_000), nested(9_000), nested(200_000),
}

// nested returns an object that is as deep.
func nested(depth int) string {
	return strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)
}

// oddEntry returns the entry of a replica, at an address where nothing listens, with one field's value.
func oddEntry(field, value string) string {
	fields := []string{
		`"service":"llm"`, `"addr":"127.0.0.1:1"`, `"zone":"bandung"`, `"state":"ready"`, `"slots":8`, `"kind":"l4"`, `"born":1`, `"seq":1`,
	}
	changed := fmt.Sprintf("%q:%s", field, value)
	for i, each := range fields {
		if strings.HasPrefix(each, fmt.Sprintf("%q:", field)) {
			fields[i] = changed
			return "{" + strings.Join(fields, ",") + "}"
		}
	}
	return "{" + strings.Join(append(fields, changed), ",") + "}"
}

// oddFields returns entries with one odd field each.
func oddFields() []string {
	deep := nested(9_000)
	var list []string
	for _, each := range [][2]string{
		{"service", "[]"}, {"service", `""`}, {"service", "null"}, {"zone", "{}"}, {"state", `"cracked"`}, {"state", "1"},
		{"addr", "7"}, {"addr", `"here"`}, {"addr", `"127.0.0.1"`}, {"addr", `"127.0.0.1:0"`}, {"addr", `"127.0.0.1:-1"`},
		{"addr", `"127.0.0.1:70000"`}, {"addr", `"127.0.0.1:100000000000000000000"`},
		{"slots", `"8"`}, {"slots", "-8"}, {"slots", "9223372036854775807"}, {"slots", "99999999999999999999"}, {"slots", "1e400"},
		{"born", `"1"`}, {"born", "-1"}, {"born", "9223372036854775807"}, {"born", "1e30"}, {"seq", "1e400"},
		{"kind", deep}, {"unknown", deep}, {"version", deep}, {"layers", deep},
		{"layers", `"all"`}, {"layers", `{"from":"a"}`}, {"layers", `{"from":6,"target":2}`}, {"layers", `{"from":-4,"target":4}`},
		{"layers", `{"from":0,"target":1e30}`}, {"layers", `[[0,8]]`},
		// Beyond the model's.
		{"layers", `{"from":0,"target":9}`}, {"layers", `{"from":0,"target":1000000000}`},
		{"layers", `{"from":0,"target":9223372036854775807}`}, {"layers", `{"from":9223372036854775806,"target":9223372036854775807}`},
	} {
		list = append(list, oddEntry(each[0], each[1]))
	}
	return list
}
