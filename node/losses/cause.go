package losses

import (
	"slices"
	"strconv"
	"strings"
)

// Cause is what a request was lost by.
type Cause string

// Causes, in the order of the tables.
const (
	LostPart       Cause = "lost part noticed late"
	BusyLinks      Cause = "led around over busy links"
	Rereading      Cause = "prompt read again after a lost part"
	OthersReread   Cause = "replicas busy reading others' prompts again"
	NoRoom         Cause = "no room"
	NoCover        Cause = "no cover of some layer"
	Stale          Cause = "stale configuration"
	BudgetSpent    Cause = "try budget spent"
	PushedBack     Cause = "replicas want no requests"
	ReplicaRefused Cause = "replica refused"
	ReplicaGone    Cause = "replica broke off or did not answer"
	StrayBytes     Cause = "replica sent stray bytes"
	UnsoundAnswer  Cause = "replica sent no sound answer"
	SilentLeft     Cause = "silent replica left"
	ReplicaSlow    Cause = "replica slow"
	ReplicaError   Cause = "replica's own error"
	ReplicaUnclear Cause = "replica refused without proof"
	NodeLost       Cause = "caller's node lost"
	NodeLeaving    Cause = "caller's node leaving"
	NodeStill      Cause = "node stood still"
	FleetStarted   Cause = "replicas busy with what lost nodes had begun"
	CallerLeft     Cause = "caller left"
	Limited        Cause = "team's limit or queue"
	ShedLoad       Cause = "shed under load"
	CrashingPart   Cause = "replicas crash on a part of the prompt"
	Unexplained    Cause = "unexplained"
)

// causes lists all of them in order.
var causes = []Cause{
	LostPart, BusyLinks, Rereading, OthersReread, NoRoom, NoCover, Stale, BudgetSpent, PushedBack, ReplicaRefused, ReplicaGone,
	StrayBytes, UnsoundAnswer, SilentLeft, ReplicaSlow, ReplicaError, ReplicaUnclear, NodeLost, NodeLeaving, NodeStill, FleetStarted, CallerLeft, Limited, ShedLoad, CrashingPart, Unexplained,
}

// CauseOf is the cause with a name, as tables show it.
func CauseOf(name string) (Cause, error) {
	if slices.Contains(causes, Cause(name)) {
		return Cause(name), nil
	}
	var known []string
	for _, c := range causes {
		known = append(known, strconv.Quote(string(c)))
	}
	return "", Error.New("%q is no cause; there are %s", name, strings.Join(known, ", "))
}

// Outcome is what became of a lost request.
type Outcome string

// Outcomes.
const (
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	// Left is a request whose caller went before its answer was whole, without a
	// silence that would be a reason.
	Left Outcome = "left"
)

// refusals gives the cause that a reason of a refusal names by itself.
var refusals = map[string]Cause{
	"stale_configuration": Stale,
	"no_configuration":    Stale,
	"older_configuration": Stale,
	"newer_configuration": Stale,
	"older_document":      Stale,
	"newer_document":      Stale,
	"unknown_service":     NoCover,
	"no_chain":            NoCover,
	"no_adapter":          NoCover,
	"no_endpoint":         NoCover,
	"no_room":             NoRoom,
	"pushed_back":         PushedBack,
	"shed_load":           ShedLoad,
	"isolated_part":       CrashingPart,
	"suspect_part":        CrashingPart,
	"timeout":             NoRoom,
	"leaving":             NodeLeaving,
	"not_ready":           NodeLeaving,
	"overloaded":          Limited,
	"team_limit":          Limited,
	"unknown":             ReplicaGone,
	"unproven_refusal":    ReplicaUnclear,
	"in_doubt":            ReplicaGone,
	"deadline":            ReplicaGone,
}

// denials are refusals of what the configuration does not allow, and of what can't be
// read: no losses.
var denials = map[string]bool{
	"malformed": true, "no_route": true, "unknown_key": true, "bad_key": true, "body_too_large": true,
	"slow_body": true, "key_reused": true, "in_progress": true,
}

// ofRefusal is the cause of a refusal, by its reason and the tries before it.
func (t *trace) ofRefusal(l line) Cause {
	cause, known := refusals[l.Reason]
	switch {
	case !known:
		return Unexplained
	case t.spent:
		return BudgetSpent
	case cause != NoRoom && cause != NoCover && cause != ReplicaGone:
		return cause
	case t.tries > 0 && t.lastTry != "":
		return ofTry(t.lastTry, t.notRun)
	}
	return cause
}

// ofCut is the cause of an answer that was cut, by what was done before.
func (t *trace) ofCut(l line) Cause {
	cause := refusals[strings.TrimPrefix(l.Reason, reasonCut)]
	switch {
	case cause == CrashingPart, cause == NodeLeaving:
		return cause
	case l.Left != "":
		return SilentLeft
	case t.spent:
		return BudgetSpent
	case l.Reason == "answer cut: no_endpoint":
		return NoRoom
	case t.lastTry != "":
		return ofTry(t.lastTry, t.notRun)
	}
	return LostPart
}

// slowPace is the pace from which a replica counts as slow.
const slowPace = 1.5

// ofLate is the cause of an answer that came late; ok is false if its own lines don't
// tell.
func (t *trace) ofLate(l line) (cause Cause, ok bool) {
	lateness := l.lateness()
	if l.paused() {
		if c, led := t.ofPause(l.LongestMillis); led {
			return c, true
		}
	}
	switch {
	case l.WaitedBudgetMillis > 0 && l.WaitedBudgetMillis >= lateness/2:
		return BudgetSpent, true
	case t.tries > 0:
		return ofTry(t.lastTry, t.notRun), true
	case l.WaitedRoomMillis > 0 && l.WaitedRoomMillis >= lateness/2:
		return NoRoom, true
	case len(t.detours) > 0:
		return LostPart, true
	case l.SlowestPace >= slowPace:
		return ReplicaSlow, true
	case !l.stream():
		// Sent at once and once, it was with the replica all the time.
		return ReplicaSlow, true
	}
	return Unexplained, false
}

// ofPause is the cause of a pause in which the stream was led around.
func (t *trace) ofPause(pauseMillis float64) (cause Cause, led bool) {
	var longest detour
	for _, d := range t.detours {
		if d.taken && d.silentMillis > longest.silentMillis && d.silentMillis <= pauseMillis {
			longest = d
		}
	}
	switch {
	case !longest.taken:
		return "", false
	case longest.silentMillis >= pauseMillis/2:
		return LostPart, true
	case longest.crossings > 0:
		return BusyLinks, true
	}
	return Rereading, true
}
