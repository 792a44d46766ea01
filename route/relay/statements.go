package relay

import (
	"net/http"

	"github.com/cicadatack/cicadatack/decide/endpointrate"
)

// observeStatements records what the head of the answer says of the requests that the endpoint
// wants. An answer from another endpoint that has the address now says nothing.
func (a *attempt) observeStatements(status int) {
	if a.head.Misdirected {
		return
	}
	a.observeRateLimit(status)
	a.observePushback()
	a.observeLeaving()
}

// warnMalformed logs that the endpoint states something that can't be read.
func (a *attempt) warnMalformed(message, text string) {
	a.req.log.Warn(message, "service", a.req.Service, "replica", a.target.Replica, "text", text)
}

// observeLeaving records that the endpoint is about to exit.
func (a *attempt) observeLeaving() {
	leaving := a.head.Leaving
	if leaving.Malformed != "" {
		a.warnMalformed("what the replica states about its leaving can't be read, want 1 or 0", leaving.Malformed)
		return
	}
	if leaving.Stated && a.req.Targets.MarkLeaving(a.target) {
		a.req.log.Info("replica says that it is leaving", "service", a.req.Service, "replica", a.target.Replica, "request", a.req.Call.ID)
	}
}

// observeRateLimit records what the answer states of the endpoint's rate limit. An answer
// without a limit ends the limit only if it is a success: a refusal may be written before the
// endpoint looks at its load.
func (a *attempt) observeRateLimit(status int) {
	limit := a.head.RateLimit
	switch {
	case limit.Malformed != "":
		a.warnMalformed("replica's rate limit can't be read, want requests per second as a decimal number", limit.Malformed)
		return
	case !limit.Stated && (a.head.NotRun || status >= http.StatusMultipleChoices):
		return
	}
	changed := a.req.Targets.Limits().Observe(endpointrate.Statement{
		Replica: a.target.Replica, Limited: limit.Stated, RequestsPerSecond: limit.RequestsPerSecond,
	})
	if changed {
		a.req.log.Info("replica's rate limit", "service", a.req.Service, "replica", a.target.Replica,
			"limited", limit.Stated, "requests_per_second", limit.RequestsPerSecond)
	}
}

// observePushback records for how long the endpoint wants no further requests.
func (a *attempt) observePushback() {
	wanted := a.head.Pushback
	if wanted.Malformed != "" {
		a.warnMalformed("replica's Retry-After can't be read, want seconds as a decimal number", wanted.Malformed)
		return
	}
	if a.req.Targets.Limits().ObservePushback(a.target.Replica, wanted.Duration) {
		a.req.log.Info("replica wants no requests", "service", a.req.Service, "replica", a.target.Replica,
			"request", a.req.Call.ID, "for_ms", wanted.Duration.Milliseconds())
	}
}

// pushedBack reports whether the endpoint itself wants no requests. What it states then replaces
// any guess of how long it refuses requests. If the refusal names another stage as faulty, that
// stage is judged as after any refusal.
func (a *attempt) pushedBack() bool {
	ownFault := a.head.FaultAddress == "" || a.head.FaultAddress == a.target.Address
	return a.head.Pushback.Duration > 0 && !a.head.Misdirected && ownFault
}
