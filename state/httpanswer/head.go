package httpanswer

import (
	"fmt"
	"net/http"
	"strings"
)

// The statuses of RFC 9110, section 15.
const (
	firstInterimStatus = 100
	firstFinalStatus   = 200
	lastFinalStatus    = 599
)

func isInterim(status int) bool { return status >= firstInterimStatus && status < firstFinalStatus }

// judgeHead returns a *Fault if the head of a final answer is none.
func judgeHead(r *http.Response) error {
	if r.StatusCode < firstFinalStatus || r.StatusCode > lastFinalStatus {
		return &Fault{Reason: ReasonStatus, Detail: fmt.Sprintf("status %.20q", r.Status)}
	}
	return judgeFields(r.Header)
}

// judgeFields returns a *Fault if the name of a field is none. The standard library keeps names with blanks as they
// are: one that looks like a length or chunks does not frame the body that is read then.
func judgeFields(fields map[string][]string) error {
	for name := range fields {
		if !isToken(name) {
			return &Fault{Reason: ReasonField, Detail: fmt.Sprintf("name of a field %.100q", name)}
		}
	}
	return nil
}

// tokenMarks are the characters of a token that are neither letters nor digits (RFC 9110, section 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

func isToken(name string) bool {
	return name != "" && strings.IndexFunc(name, func(c rune) bool { return !isTokenChar(c) }) < 0
}

func isTokenChar(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune(tokenMarks, c)
}
