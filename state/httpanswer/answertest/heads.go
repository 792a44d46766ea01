package answertest

import (
	"fmt"
	"maps"
	"strings"
)

// Names that begin with these words are those of BrokenHeads.
const (
	statusName = "status "
	fieldName  = "field "
)

// brokenLines are lines of a head or a trailer that are no field, by what is wrong with the name.
var brokenLines = map[string]string{
	"with a blank": "Bad Name: x", "with two blanks": "X  Y: x", "with a blank before the colon": "X : x",
	"with a control byte": "X\x01Y: x", "with NUL": "X\x00Y: x", "with DEL": "X\x7fY: x", "with a tab": "X\tY: x", "with a tab before the colon": "X\t: x",
	"with a carriage return": "X\rY: x", "with a letter beyond ASCII": "X\u00e9: x", "with a parenthesis": "X(Y): x", "that is empty": ": x",
	"of the length, with a blank before the colon": "Content-Length : 2", "of the length, with a blank": "Content Length: 2",
}

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
	for name, line := range brokenLines {
		line += "\r\n"
		heads[fieldName+name] = answer("200 OK", line+more, body)
		heads[fieldName+name+", last"] = answer("200 OK", more+line, body)
		heads[fieldName+name+", of no length"] = "HTTP/1.1 200 OK\r\n" + line + more + closes + "\r\n" + body
		heads[fieldName+name+", in a failure"] = answer("404 Not Found", line+more, body)
		heads[fieldName+name+", in an interim answer"] = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\n" + sound
	}
	for name, line := range map[string]string{"a blank before the colon": "Transfer-Encoding : chunked\r\n", "a blank": "Transfer Encoding: chunked\r\n"} {
		heads[fieldName+"of the chunks, with "+name] = chunked("200 OK", line+more+closes, body, "")
	}
	return heads
}

const chunkedLine = "Transfer-Encoding: chunked\r\n"

// chunked returns an answer whose body is one chunk.
func chunked(status, lines, body, trailers string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\n%x\r\n%s\r\n0\r\n%s\r\n", status, lines, len(body), body, trailers)
}

// BrokenTrailers returns answers with a status whose trailers are none, each around a body, by name.
func BrokenTrailers(status, body string, lines ...string) map[string]string {
	broken := map[string]string{}
	for name, line := range brokenLines {
		broken[fieldName+name+", in the trailers"] = chunked(status, chunkedLine+strings.Join(lines, ""), body, line+"\r\n")
	}
	return broken
}

// Broken returns BrokenHeads, and answers whose trailers are none.
func Broken(body string, lines ...string) map[string]string {
	broken := BrokenHeads(body, lines...)
	maps.Copy(broken, BrokenTrailers("200 OK", body, lines...))
	return broken
}

// SoundHeads returns answers that are sound by their head, each around a body, by name.
func SoundHeads(body string, lines ...string) map[string]string {
	more := strings.Join(lines, "")
	heads := map[string]string{
		"interim answers before": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + answer("200 OK", more, body),
		"no reason":              answer("200", more, body),
		"all marks in a name":    answer("200 OK", more+"X!#$%&'*+-.^_`|~9: a\r\n", body),
		"trailers":               chunked("200 OK", chunkedLine+"Trailer: T\r\n"+more, body, "T: 1\r\nU: 2\r\n"),
		"a folded line":          answer("200 OK", more+"X: a\r\n b\r\n", body),
	}
	for _, status := range []int{200, 201, 226, 299, 400, 404, 451, 499, 500, 511, 599} {
		heads[fmt.Sprint(statusName, status)] = answer(fmt.Sprint(status, " Status"), more, body)
	}
	return heads
}

// ReasonOf returns the reason of one of Broken, "" if the standard library finds it by itself.
func ReasonOf(name string) string {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "600", "700", "999"} {
		if strings.HasPrefix(name, statusName+status) {
			return "status"
		}
	}
	if strings.HasPrefix(name, fieldName) {
		return "field"
	}
	return ""
}
