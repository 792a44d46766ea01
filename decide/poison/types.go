package poison

import (
	"strings"
	"time"
)

const (
	// ProvenAfter is how long an answer must go on after its first event, and ProvenEvents how many
	// events it must have, to clear its parts. Replicas that crash on a part do so as they begin to
	// answer. A longer time would clear nothing while replicas crash again and again.
	ProvenAfter  = 100 * time.Millisecond
	ProvenEvents = 3
	// Window is how long crashes are evidence.
	Window = 10 * time.Minute
	// ShareFor is how long crashes are told to other nodes, and the answers to the parts that are held
	// against them. Some crashes are found seconds later, and several exchanges take place in this time.
	ShareFor = 10 * time.Second
	// MaxShared bounds the items of each kind in one message.
	MaxShared = 32
	// MaxExposed bounds the shared parts of one crash, and MaxOwnExposed the requests.
	MaxExposed    = 32
	MaxOwnExposed = 64

	// maxCrashes bounds the crashes that are kept, the latest first.
	maxCrashes = 128
	// maxAnswered bounds the answered parts of one generation; two generations are kept.
	maxAnswered = 4096
	// maxServices bounds the services that a node keeps answers of.
	maxServices = 256
	// maxIDLength is the length of the longest ID of a part or of a replica, in bytes.
	maxIDLength = 200
)

// Part is a part of the prompts of one service, or what identifies one request of it; see Own.
type Part struct{ Service, ID string }

// ownPrefix marks the IDs of what identifies a request.
const ownPrefix = "request:"

// OwnPart returns what identifies one request of a service, however often and by whom it is sent.
func OwnPart(service, id string) Part { return Part{Service: service, ID: ownPrefix + id} }

// Own reports whether the part identifies one request. Other requests have other ones, so no answer
// to them clears it.
func (p Part) Own() bool { return strings.HasPrefix(p.ID, ownPrefix) }

// Process is one run of a replica. Incarnation is 0 if it is not known.
type Process struct {
	Replica     string
	Incarnation int64
}

// Exposure is a part that was at a replica when it crashed.
type Exposure struct {
	Part Part
	// SentAge is the time since the request with the part was sent to the replica.
	SentAge  time.Duration
	Progress Progress
}

// Progress says how far the answers to the requests with a part had come when their replica crashed.
type Progress uint8

const (
	// Waiting means that none of the answers had gone on for ProvenAfter.
	Waiting Progress = iota
	// Begun means that each of them had.
	Begun
	// Mixed means that some of them had.
	Mixed
)

// with is the progress of the answers of two groups together.
func (p Progress) with(other Progress) Progress {
	if p == other {
		return p
	}
	return Mixed
}

// Crash is the end of a replica's process.
type Crash struct {
	Process Process
	// Version is the version of the replica's software; "" if it is not known.
	Version string
	// Age is the time since the crash.
	Age     time.Duration
	Exposed []Exposure
	// Uncertain is set if no node is certain that the process has ended.
	Uncertain bool
	// Refuted is set if the replica has gone on with a request that was sent before, so that it
	// has not crashed: the links of those that saw a crash have failed.
	Refuted bool
}

// Answer says that a request with a part was answered. Complete is not set if the answer has only
// gone on for ProvenAfter.
type Answer struct {
	Part     Part
	Age      time.Duration
	Complete bool
}

// ServiceAnswer says that a request of a service was answered, whatever its parts. Three of them, at
// any nodes, show that the replicas of the service answer some requests.
type ServiceAnswer struct {
	Service string
	// ID identifies the answer at all nodes that are told of it.
	ID  uint64
	Age time.Duration
	// Complete is not set if the answer has only gone on for ProvenAfter.
	Complete bool
}

// Evidence is what nodes tell each other.
type Evidence struct {
	Crashes        []Crash
	Answers        []Answer
	ServiceAnswers []ServiceAnswer
}

// Verdict says what may be done with a part.
type Verdict uint8

// Verdicts, the mildest first.
const (
	Clear Verdict = iota
	// Suspect parts may be sent to one replica at a time.
	Suspect
	// Held parts are sent to no replica for a while, at most HoldFor, until it is found out whether
	// replicas crash without them as well.
	Held
	// Isolated parts are sent to no replica.
	Isolated
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "held", "isolated"}[v] }

// Isolation is a part that is sent to no replica.
type Isolation struct {
	Part Part
	// Crashes are the processes that ended under the part. Versions are the versions of their
	// software, without duplicates.
	Crashes  []Process
	Versions []string
	// Trials is the number of requests that were sent to find out whether the part still crashes
	// replicas.
	Trials int
	// Revision is that of the isolation in the store; 0 if it is not stored yet.
	Revision int64
}

// valid reports whether a node could have seen the crash.
func (c Crash) valid() bool {
	return validID(c.Process.Replica) && c.Process.Incarnation >= 0 && len(c.Version) <= maxIDLength && validAge(c.Age) && len(c.Exposed) <= MaxExposed+MaxOwnExposed
}

func (e Exposure) valid() bool {
	return e.Part.valid() && e.SentAge >= 0 && e.SentAge <= Window && e.Progress <= Mixed
}

func (a Answer) valid() bool { return a.Part.valid() && a.Age >= 0 && a.Age < Window }

func (a ServiceAnswer) valid() bool { return validID(a.Service) && a.Age >= 0 && a.Age < Window }

func (p Part) valid() bool { return validID(p.Service) && validID(p.ID) }

func validID(id string) bool { return id != "" && len(id) <= maxIDLength }

// validAge reports whether a crash of this age is still told.
func validAge(age time.Duration) bool { return age >= 0 && age < ShareFor }
