package settings

import (
	"strings"
	"testing"
)

const sound = `{
  "name": "entry-1", "environment": "java", "failure_domain": "bandung",
  "callers": {"listen": "0.0.0.0:8080", "advertise": "10.0.0.1:8080"},
  "peers": {"listen": "10.0.0.1:8081"},
  "operators": {"listen": "127.0.0.1:8082"},
  "store": {"address": "10.0.0.9:2379"}
}`

func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(sound))
	if err != nil {
		t.Fatal(err)
	}
	if s.Slot != SlotProduction || s.Store.CallsPerSecond != DefaultStoreCalls || s.Load.PollsPerSecond != DefaultPolls || s.Log.Level != "info" {
		t.Errorf("got %+v", s)
	}
	if s.Drain.LimitSeconds != 0 {
		t.Error("a drain has a limit by default: it would cut requests off")
	}
}

// The operator sees every fault at once, each with its JSON path, and nothing
// that follows from another.
func TestFaultsAllAtOnce(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"nothing at all", `{}`, []string{
			"name: is missing", "environment: is missing", "failure_domain: is missing",
			"callers.listen: is missing", "peers.listen: is missing", "operators.listen: is missing",
			"store.address: is missing",
		}},
		{"everything wrong", `{
		  "name": 7, "environment": "java", "failure_domain": "", "slot": "test",
		  "callers": {"listen": "entry.example:8080", "advertise": "10.0.0.1"},
		  "peers": {"listen": "10.0.0.1:70000", "port": 1},
		  "operators": [],
		  "store": {"address": "10.0.0.9:", "calls_per_second": -1, "timeout_ms": 1.5},
		  "log": {"level": "loud", "format": "xml"},
		  "drain": {"limit_s": -1}, "fleet": {"interval_ms": -5}, "load": {"polls_per_second": -2}
		}`, []string{
			"name: must be a string, is a number",
			"peers.port: unknown field",
			"operators: must be an object, is a list",
			"store.timeout_ms: must be a whole number, is 1.5",
			"failure_domain: is missing",
			`slot: "test" is not one of ["production" "trial"]`,
			`callers.listen: "entry.example:8080" is not an IP number and a port`,
			`callers.advertise: "10.0.0.1" is not an IP number and a port`,
			`peers.listen: "70000" is not a port`,
			`store.address: "" is not a port`,
			"store.calls_per_second: -1 is negative",
			`log.level: "loud" is not one of ["trace" "debug" "info" "warn" "error"]`,
			`log.format: "xml" is not one of ["json" "text"]`,
			"drain.limit_s: -1 is negative",
			"fleet.interval_ms: -5 is negative",
			"load.polls_per_second: -2 is negative",
		}},
		{"more polls than the clock can tell apart", strings.Replace(sound, `"name"`, `"load": {"polls_per_second": 2000000000}, "name"`, 1), []string{
			"load.polls_per_second: 2000000000 is over 1000",
		}},
		{"times that no duration holds", strings.Replace(sound, `"name"`,
			`"drain": {"limit_s": 9223372036854775807}, "fleet": {"interval_ms": 9223372036854775}, "name"`, 1), []string{
			"drain.limit_s: 9223372036854775807 is over 2592000",
			"fleet.interval_ms: 9223372036854775 is over 86400000",
		}},
		{"a field twice", strings.Replace(sound, `"name"`, `"name": "entry-2", "name"`, 1), []string{"name: the field appears twice"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			if err == nil {
				t.Fatal("accepted")
			}
			got := strings.Split(strings.TrimPrefix(err.Error(), "document: "), "\n")
			if want := strings.Join(c.want, "\n"); strings.Join(got, "\n") != want {
				t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), want)
			}
		})
	}
}

func TestNotJSON(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "null", sound + "{}"} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
