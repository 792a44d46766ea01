package poison

import "time"

const (
	// isolateAfter is the number of crashes, one after the other, that isolate a part which was
	// never answered. manyCrashes that overlap isolate it as well.
	isolateAfter = 3
	manyCrashes  = 5
	// maxOwnCrashes is the number of crashes that isolate a request, whatever else crashes.
	maxOwnCrashes = 5
	// suspectRepeatedAfter is the number of crashes, one after the other, that make a request suspect,
	// or a part to which answers have begun and never become complete.
	suspectRepeatedAfter = 2
	// sameMoment is the time within which replicas that crash together are seen to do so.
	sameMoment = 50 * time.Millisecond
	// settleAfter is the time after the last crash after which evidence that is not strong isolates a
	// part for longer than it lasts. Until then other nodes may refute it.
	settleAfter = time.Second
	// suspectAnsweredAfter and isolateAnsweredAfter are the numbers of crashes, one after the
	// other and without an answer between them, that make an answered part suspect and isolate
	// it. minAnswersSince is the number of answers without the part since the first of them.
	suspectAnsweredAfter = 3
	isolateAnsweredAfter = 5
	minAnswersSince      = 20
	// minRecentAnswers is the number of answers within recentFor, without the part and at any
	// nodes, that show that replicas serve other requests.
	minRecentAnswers = 3
	recentFor        = time.Minute
)

// consecutive counts the crashes of a list at which a request with the part was sent after the
// crash that was counted before.
func consecutive(list []*crash, p Part) int {
	count, last := 0, time.Time{}
	for _, c := range list {
		if c.exposed[p].sentAt.Before(last) {
			continue
		}
		count, last = count+1, c.at
	}
	return count
}

// moments counts the crashes of a list that are sameMoment after the one that was counted before.
// Replicas that crash together, such as those of a rack, have a common cause.
func moments(list []*crash) int {
	count, last := 0, time.Time{}
	for _, c := range list {
		if count > 0 && c.at.Sub(last) < sameMoment {
			continue
		}
		count, last = count+1, c.at
	}
	return count
}

// Verdict returns the verdict about a part.
func (t *Tracker) Verdict(now time.Time, p Part) Verdict {
	if t.isolated[p] != nil {
		return Isolated
	}
	if len(t.suspects[p]) == 0 {
		return Clear
	}
	verdict := t.judge(now, p, t.exposures(p))
	if verdict < Held && t.held(now, p) {
		return Held
	}
	return verdict
}

// judge weighs the crashes that count against a part.
func (t *Tracker) judge(now time.Time, p Part, list []*crash) Verdict {
	if len(list) == 0 {
		return Clear
	}
	times := t.answeredAt(p)
	switch {
	case !times.complete.IsZero():
		return t.judgeAnswered(p, list)
	case p.Own():
		return t.judgeOwn(now, p, list)
	case !times.begun.IsZero():
		return t.judgeBegun(p, list)
	}
	early, strong := filter(list, p, t.countsEarly), filter(list, p, t.countsStrongly)
	return max(t.judgeNew(now, p, strong), t.judgeWaiting(p, early), t.judgeBegun(p, list))
}

// judgeNew judges a part to which no answer has begun, by strong evidence alone. Other evidence is held
// against all parts that were under way, and a node that has just started does not know yet which of
// them are answered all the time.
func (t *Tracker) judgeNew(now time.Time, p Part, list []*crash) Verdict {
	switch {
	case len(list) == 0, !t.answering(now, p.Service):
		return Clear
	case consecutive(list, p) >= isolateAfter, len(list) >= manyCrashes:
		return Isolated
	}
	return Suspect
}

// judgeWaiting judges a part to which no answer has begun, also by ends that are not certain. Links that are
// lost look the same, but then the answers to other requests do not begin either.
func (t *Tracker) judgeWaiting(p Part, list []*crash) Verdict {
	if len(list) == 0 || !t.beginning(p.Service, list[0].at) {
		return Clear
	}
	return verdictOf(consecutive(list, p), suspectRepeatedAfter, isolateAfter)
}

// judgeOwn judges a request that was never answered. It may be sent again after the first crash, which
// has most likely another cause. Copies of one request are rarely at several replicas at a time, so
// crashes at different moments count although the copies overlap.
//
// Replicas that are restarted one after the other may break off one long request at several of them. They
// end without the request as well, before it came or while it waited, and each such crash is weighed
// against one with it.
func (t *Tracker) judgeOwn(now time.Time, p Part, list []*crash) Verdict {
	if !t.answering(now, p.Service) {
		return Clear
	}
	count, needed := max(consecutive(list, p), moments(list)), isolateAfter
	if count >= isolateAfter {
		without := t.crashesWithout(p, list[0].at.Add(-recentFor))
		needed = min(isolateAfter+moments(without), maxOwnCrashes)
	}
	return verdictOf(count, suspectRepeatedAfter, needed)
}

// judgeAnswered judges a part to which there were complete answers before the crashes. The answers since
// them are without the part, as one with it would have cleared it: one that has begun of strong evidence
// if others share the part, a complete one of all.
func (t *Tracker) judgeAnswered(p Part, list []*crash) Verdict {
	answers, certain := t.answerCounts(p.Service), filter(list, p, t.countsStrongly)
	verdict := Clear
	if !p.Own() && len(certain) > 0 && answers.begun-certain[0].answersBefore.begun >= minAnswersSince {
		verdict = verdictOf(consecutive(certain, p), suspectAnsweredAfter, isolateAnsweredAfter)
	}
	if answers.complete-list[0].answersBefore.complete >= minAnswersSince {
		verdict = max(verdict, verdictOf(consecutive(list, p), suspectAnsweredAfter, isolateAnsweredAfter))
	}
	return verdict
}

// judgeBegun judges a part to which answers have begun and never become complete.
func (t *Tracker) judgeBegun(p Part, list []*crash) Verdict {
	if !t.completing(p.Service, list[0].at) {
		return Clear
	}
	return verdictOf(consecutive(list, p), suspectRepeatedAfter, isolateAfter)
}

func verdictOf(crashes, suspectAfter, isolateAfter int) Verdict {
	switch {
	case crashes >= isolateAfter:
		return Isolated
	case crashes >= suspectAfter:
		return Suspect
	}
	return Clear
}
