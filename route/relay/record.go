package relay

import (
	"time"

	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// refuse writes a refusal to the caller and records its reason.
func (req *requestState) refuse(r *outcome.Refusal) {
	d := decisionlog.Decision{
		Kind: decisionlog.Refuse, Reason: r.Code,
		TextValues: req.withRoute(decisionlog.TextValue{Name: "outcome", Text: string(r.Outcome)}, decisionlog.TextValue{Name: "last_try", Text: req.lastResult.detail}),
		Values: map[string]float64{
			"status": float64(r.Status), "waited_ms": millis(req.server.Now().Sub(req.Arrived)), "sends": float64(req.attemptCount),
			"retry_after_ms": millis(r.RetryAfter),
		},
	}
	req.shedFigures(&d)
	if req.guardRefusal != nil {
		d.TextValues = append(d.TextValues, decisionlog.TextValue{Name: "part", Text: req.guardRefusal.Part.ID})
	}
	req.record(d)
	req.server.Metrics.Refused(req.Service, r.Code)
	if req.Forwarded != nil {
		result := refusalResult(r)
		result.Revision = req.Revision
		if r.Code == ReasonUnreachable && req.server.Forwarder != nil {
			result.Serving = req.server.Forwarder.Serving(req.Service)
		}
		result.Set(req.w.Header())
	}
	req.server.HeaderCodec.WriteRefusal(req.w, req.Call, r)
}

// record adds the request's fields to a decision and records it.
func (req *requestState) record(d decisionlog.Decision) {
	d.At, d.Request, d.Team, d.Service, d.Revision = req.server.Now(), req.Call.ID, req.Team, req.Service, req.Revision
	if req.Freshness != nil && d.Values != nil {
		d.Values["proof_age_ms"] = millis(req.Freshness.Age())
	}
	req.server.Recorder.Record(d)
}

// withRoute appends the name of the route, and the node that forwarded the request.
func (req *requestState) withRoute(list ...decisionlog.TextValue) []decisionlog.TextValue {
	if req.Forwarded != nil {
		list = append(list, decisionlog.TextValue{Name: "forwarded_by", Text: req.Forwarded.Node})
	}
	if req.Route != nil {
		list = append(list, decisionlog.TextValue{Name: "route", Text: req.Route.Name})
	}
	return list
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func boolFigure(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
