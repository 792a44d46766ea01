package answertest

import (
	"fmt"
	"strings"
)

// Names that begin with these words are those of BrokenHeads.
const (
	statusName = "status "
	fieldName  = "field "
)

// answer returns an answer with a status, further lines of its head and a body.
func answer(status, lines, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, lines, len(body), body)
}

// BrokenHeads returns answers that are none by their head, each around a body, by name. In some an answer that is
// sound by itself follows, which answers nothing. lines are further ones of all heads.
func BrokenHeads(body string, lines ...string) map[string]string {
	more := strings.Join(lines, "")
	sound := answer("200 OK", more, body)
	heads := map[string]string{}
	for _, status := range []string{"000", "001", "099", "+20", "-00", "600", "700", "999", "20", "0200", "1000", "2e2", "abc"} {
		heads[statusName+status] = answer(status+" Status", more, body)
		heads[statusName+status+" around an answer"] = answer(status+" Status", more, sound)
		heads[statusName+status+" before an answer"] = fmt.Sprintf("HTTP/1.1 %s Status\r\n%s\r\n%s", status, closes, sound)
		heads[statusName+status+" of no length"] = fmt.Sprintf("HTTP/1.1 %s Status\r\n%s%s\r\n%s", status, more, closes, body)
	}
	return heads
}

// SoundHeads returns answers that are sound by their head, each around a body, by name.
func SoundHeads(body string, lines ...string) map[string]string {
	more := strings.Join(lines, "")
	heads := map[string]string{
		"interim answers before": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + answer("200 OK", more, body),
		"no reason":              answer("200", more, body),
		"a folded line":          answer("200 OK", more+"X: a\r\n b\r\n", body),
	}
	for _, status := range []int{200, 201, 226, 299, 400, 404, 451, 499, 500, 511, 599} {
		heads[fmt.Sprint(statusName, status)] = answer(fmt.Sprint(status, " Status"), more, body)
	}
	return heads
}

// ReasonOf returns the reason of one of BrokenHeads, "" if the standard library finds it by itself.
func ReasonOf(name string) string {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "600", "700", "999"} {
		if strings.HasPrefix(name, statusName+status) {
			return "status"
		}
	}
	return ""
}
