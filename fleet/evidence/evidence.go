// Package evidence encodes what nodes tell each other of replicas that crashed. Each door's
// protocol between nodes carries the bytes.
package evidence

import (
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/fleet/evidence/evidencepb"
)

// Error is the class of this layer's errors.
var Error = errs.Class("evidence")

// Source holds the evidence of a node.
type Source interface {
	// Evidence returns what other nodes should know.
	Evidence() poison.Evidence
	// Changes returns a number that changes with what is new to this node.
	Changes() int64
	// Merge takes what another node knows.
	Merge(node string, e poison.Evidence)
}

// maxBytes bounds the evidence in one message. poison.MaxShared crashes with as many parts and
// requests as may be exposed, all of usual length, take half of it.
const maxBytes = 256 << 10

// Encode returns what a source tells other nodes; nil if that is nothing. source may be nil.
func Encode(source Source) ([]byte, error) {
	if source == nil {
		return nil, nil
	}
	e := source.Evidence()
	if len(e.Crashes)+len(e.Answers)+len(e.ServiceAnswers) == 0 {
		return nil, nil
	}
	wire := &evidencepb.Evidence{}
	for _, c := range e.Crashes {
		wire.Crashes = append(wire.Crashes, crashToWire(c))
	}
	for _, a := range e.Answers {
		wire.Answers = append(wire.Answers, &evidencepb.AnsweredPart{Service: a.Part.Service, Part: a.Part.ID, AgeMillis: ageToWire(a.Age), Complete: a.Complete})
	}
	for _, a := range e.ServiceAnswers {
		wire.ServiceAnswers = append(wire.ServiceAnswers, &evidencepb.ServiceAnswer{Service: a.Service, Id: a.ID, AgeMillis: ageToWire(a.Age), Complete: a.Complete})
	}
	data, err := proto.Marshal(wire)
	return data, Error.Wrap(err)
}

// Merge gives a source what another node has encoded. source may be nil.
func Merge(source Source, node string, data []byte) error {
	if source == nil || len(data) == 0 {
		return nil
	}
	if len(data) > maxBytes {
		return Error.New("%d bytes from %s, at most %d are taken", len(data), node, maxBytes)
	}
	var wire evidencepb.Evidence
	if err := proto.Unmarshal(data, &wire); err != nil {
		return Error.Wrap(err)
	}
	var e poison.Evidence
	for _, c := range wire.GetCrashes() {
		e.Crashes = append(e.Crashes, crashFromWire(c))
	}
	for _, a := range wire.GetAnswers() {
		e.Answers = append(e.Answers, poison.Answer{Part: poison.Part{Service: a.GetService(), ID: a.GetPart()}, Age: ageFromWire(a.GetAgeMillis()), Complete: a.GetComplete()})
	}
	for _, a := range wire.GetServiceAnswers() {
		e.ServiceAnswers = append(e.ServiceAnswers, poison.ServiceAnswer{Service: a.GetService(), ID: a.GetId(), Age: ageFromWire(a.GetAgeMillis()), Complete: a.GetComplete()})
	}
	source.Merge(node, e)
	return nil
}

func crashToWire(c poison.Crash) *evidencepb.ReplicaCrash {
	wire := &evidencepb.ReplicaCrash{
		Replica: c.Process.Replica, Incarnation: c.Process.Incarnation, Version: c.Version, AgeMillis: ageToWire(c.Age),
		Uncertain: c.Uncertain, Refuted: c.Refuted,
	}
	for _, x := range c.Exposed {
		wire.Service = x.Part.Service // a replica belongs to one service
		wire.Parts = append(wire.Parts, x.Part.ID)
		wire.SentAgeMillis = append(wire.SentAgeMillis, ageToWire(x.SentAge))
		wire.Progress = append(wire.Progress, evidencepb.ReplicaCrash_Progress(x.Progress))
	}
	return wire
}

// crashFromWire reads a crash. Of lists of different lengths, which no node writes, the parts
// without a time get an impossible one.
func crashFromWire(wire *evidencepb.ReplicaCrash) poison.Crash {
	c := poison.Crash{
		Process: poison.Process{Replica: wire.GetReplica(), Incarnation: wire.GetIncarnation()},
		Version: wire.GetVersion(), Age: ageFromWire(wire.GetAgeMillis()), Uncertain: wire.GetUncertain(), Refuted: wire.GetRefuted(),
	}
	ages, progress := wire.GetSentAgeMillis(), wire.GetProgress()
	for i, part := range wire.GetParts() {
		x := poison.Exposure{Part: poison.Part{Service: wire.GetService(), ID: part}, SentAge: -1}
		if i < len(ages) {
			x.SentAge = ageFromWire(ages[i])
		}
		if i < len(progress) {
			x.Progress = progressFromWire(progress[i])
		}
		c.Exposed = append(c.Exposed, x)
	}
	return c
}

// progressFromWire turns values that no node writes into one that is not valid.
func progressFromWire(wire evidencepb.ReplicaCrash_Progress) poison.Progress {
	if wire < 0 || wire > evidencepb.ReplicaCrash_MIXED {
		return poison.Mixed + 1
	}
	return poison.Progress(wire)
}

// ageToWire rounds up, so that evidence which is passed on again and again still grows old.
func ageToWire(age time.Duration) int64 { return age.Milliseconds() + 1 }

// maxAgeMillis keeps the conversion to a time.Duration in range.
const maxAgeMillis = int64(24 * time.Hour / time.Millisecond)

func ageFromWire(millis int64) time.Duration {
	return time.Duration(max(-1, min(millis, maxAgeMillis))) * time.Millisecond
}
