// Package strictcaller reads streams as the strictest of the users' callers does: whatever stands between
// two empty lines is a piece, and its id is what its line "id: " says, "" if it has none.
//
//	problems := strictcaller.Problems(requestID, 120, body, whole)
//
// It holds each piece against what the run of the request at a stand-in replica writes.
package strictcaller

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// maxProblems bounds the problems that are told of one stream.
	maxProblems = 5
	// maxShown bounds the bytes of a piece that are shown.
	maxShown = 80
	between  = "\n\n"
)

// Problems returns what is wrong with a stream of a request whose run has that many events. whole says
// that the answer has ended as complete; one that is cut may end in the middle of the piece that is due.
func Problems(request string, events int, body string, whole bool) []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	seen, highest := map[int]bool{}, 0
	for {
		piece, rest, ended := strings.Cut(body, between)
		if !ended {
			break
		}
		body = rest
		n := numberOf(piece, request, events)
		switch {
		case n == 0:
			add("no run made the piece with the id %q: %.*q", idOf(piece), maxShown, piece)
		case seen[n]:
			add("piece %d is doubled", n)
		case n < highest:
			add("piece %d is out of order, after %d", n, highest)
		}
		seen[n], highest = true, max(highest, n)
	}
	due := ""
	if highest < events {
		due = pieceOf(highest+1, request) + between
	}
	if body != "" && (whole || !strings.HasPrefix(due, body)) {
		add("no run made the end, with the id %q: %.*q", idOf(body), maxShown, body)
	}
	last := highest
	if whole {
		last = events
	}
	for n := 1; n <= last; n++ {
		if !seen[n] {
			add("piece %d is missing", n)
		}
	}
	if more := len(list) - maxProblems; more > 0 {
		list = append(list[:maxProblems], fmt.Sprintf("and %d more", more))
	}
	return list
}

// pieceOf is the piece of an event as a replica writes it.
func pieceOf(n int, request string) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s", n, n, request)
}

// numberOf returns which of the run's events a piece is, 0 for none.
func numberOf(piece, request string, events int) int {
	n, err := strconv.Atoi(idOf(piece))
	if err != nil || n < 1 || n > events || piece != pieceOf(n, request) {
		return 0
	}
	return n
}

// idOf returns the id of a piece, "" if it has none.
func idOf(piece string) string {
	for line := range strings.SplitSeq(piece, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			return id
		}
	}
	return ""
}
