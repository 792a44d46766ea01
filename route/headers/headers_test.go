package headers

import "testing"

// Guards against a limit that is misread: a text that is no number must neither end a limit nor
// stand for one that blocks the replica.
func TestParseRateLimit(t *testing.T) {
	for _, c := range []struct {
		text string
		want RateLimit
	}{
		{"", RateLimit{}},
		{"4.2", RateLimit{Stated: true, RequestsPerSecond: 4.2}},
		{" 30 ", RateLimit{Stated: true, RequestsPerSecond: 30}},
		{"0", RateLimit{Stated: true}},
		{"-1", RateLimit{Malformed: "-1"}},
		{"many", RateLimit{Malformed: "many"}},
		{"NaN", RateLimit{Malformed: "NaN"}},
		{"Inf", RateLimit{Malformed: "Inf"}},
	} {
		if got := ParseRateLimit(c.text); got != c.want {
			t.Errorf("%q: %+v, want %+v", c.text, got, c.want)
		}
	}
}
