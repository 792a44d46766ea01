package httpanswer

import (
	"fmt"
	"net/http"
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
	return nil
}
