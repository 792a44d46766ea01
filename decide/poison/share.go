package poison

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Share returns the evidence that other nodes should know, the latest first: this node's own and
// what it was told.
func (t *Tracker) Share(now time.Time) Evidence {
	answers := t.shareAnswered(now)
	crashes := t.shareCrashes(now, answers)
	return Evidence{Crashes: crashes, Answers: answers, ServiceAnswers: t.shareServiceAnswers(now, crashes)}
}

// shareAnswered returns the answers to parts that other nodes should know. Each request with a shared part
// needs the answers to it, so these go first.
func (t *Tracker) shareAnswered(now time.Time) []Answer {
	var list []Answer
	for p, since := range t.toShare {
		if now.Sub(since) < ShareFor {
			list = append(list, t.answeredAt(p).share(now, p)...)
		}
	}
	slices.SortFunc(list, func(a, b Answer) int {
		return cmp.Or(compareOwn(a.Part, b.Part), cmp.Compare(a.Age, b.Age), strings.Compare(a.Part.ID, b.Part.ID))
	})
	return list[:min(len(list), MaxShared)]
}

// shareCrashes returns the crashes that other nodes should know. A part that is answered is left out if its
// answers are not told: a node that does not know of them would hold the crash against it.
func (t *Tracker) shareCrashes(now time.Time, answers []Answer) []Crash {
	told := map[Part]bool{}
	for _, a := range answers {
		told[a.Part] = true
	}
	var list []Crash
	for _, c := range t.crashes {
		if age := now.Sub(c.at); !validAge(age) {
			continue
		}
		shared := c.share(now)
		shared.Exposed = slices.DeleteFunc(shared.Exposed, func(x Exposure) bool {
			_, isAnswered := t.toShare[x.Part]
			return isAnswered && !told[x.Part]
		})
		list = append(list, shared)
	}
	slices.SortFunc(list, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), strings.Compare(a.Process.Replica, b.Process.Replica))
	})
	return list[:min(len(list), MaxShared)]
}

// compareOwn orders shared parts before those that identify one request.
func compareOwn(a, b Part) int {
	switch {
	case a.Own() == b.Own():
		return 0
	case b.Own():
		return -1
	}
	return 1
}

// share returns the answers to a part that other nodes are told of.
func (a answerTimes) share(now time.Time, p Part) []Answer {
	var list []Answer
	if !a.complete.IsZero() {
		list = append(list, Answer{Part: p, Age: now.Sub(a.complete), Complete: true})
	}
	if a.begun.After(a.complete) {
		list = append(list, Answer{Part: p, Age: now.Sub(a.begun)})
	}
	return list
}

func (c *crash) share(now time.Time) Crash {
	shared := Crash{Process: c.process, Version: c.version, Age: now.Sub(c.at), Uncertain: c.uncertain, Refuted: c.refuted}
	shared.Process.Incarnation = max(0, c.process.Incarnation)
	for p, x := range c.exposed {
		shared.Exposed = append(shared.Exposed, Exposure{Part: p, SentAge: now.Sub(x.sentAt), Progress: x.progress})
	}
	slices.SortFunc(shared.Exposed, func(a, b Exposure) int { return strings.Compare(a.Part.ID, b.Part.ID) })
	return shared
}

// Merge takes the evidence of another node. It returns the number of items that no node could have
// told, which are dropped, and whether something is new to this node.
func (t *Tracker) Merge(now time.Time, e Evidence) (dropped int, isNew bool) {
	for i, c := range e.Crashes {
		if i >= MaxShared || !c.valid() {
			dropped++
			continue
		}
		exposed := len(c.Exposed)
		c.Exposed = slices.DeleteFunc(slices.Clone(c.Exposed), func(x Exposure) bool { return !x.valid() })
		dropped += exposed - len(c.Exposed)
		if t.Crashed(now, c) {
			isNew = true
		}
	}
	for i, a := range e.Answers {
		if i >= MaxShared || !a.valid() {
			dropped++
			continue
		}
		if t.mergeAnswer(now, a) {
			isNew = true
		}
	}
	for i, a := range e.ServiceAnswers {
		if i >= MaxShared || !a.valid() {
			dropped++
			continue
		}
		if t.mergeServiceAnswer(now, a) {
			isNew = true
		}
	}
	return dropped, isNew
}

// mergeAnswer takes the answer that another node tells, and reports whether it is new and concerns
// a suspect part. Each node that passes an answer on adds the delay of the message to its age, so
// answers within sameAnswer are one.
func (t *Tracker) mergeAnswer(now time.Time, a Answer) bool {
	at := now.Add(-a.Age)
	known := t.answeredAt(a.Part)
	last := known.begun
	if a.Complete {
		last = known.complete
	}
	if !last.IsZero() && at.Sub(last) < sameAnswer {
		return false
	}
	suspect := len(t.suspects[a.Part]) > 0
	if suspect {
		t.toShare[a.Part] = now
	}
	t.clear(a.Part, at, a.Complete)
	return suspect
}

// sameAnswer is longer than any message takes.
const sameAnswer = time.Second

// shareAnswers tells other nodes which of the parts that are held against a crash were answered here. A
// node that has just started knows of no answers, and would hold the crash against parts that are
// answered all the time.
func (t *Tracker) shareAnswers(now time.Time, c Crash) {
	for _, x := range c.Exposed {
		if at := t.answeredAt(x.Part).begun; !at.IsZero() && now.Sub(at) < Window {
			t.toShare[x.Part] = now
		}
	}
}
