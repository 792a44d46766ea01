// Package eventstream reads the streams of server-sent events that replicas send. It returns the events
// of a stream and nothing else: what is written to a caller is what a Reader has judged to be the next
// event. A faulty replica may send other bytes before, between or after its events: the rest of another
// answer, a second answer, empty lines, or bytes without any form. A caller that takes whatever stands
// between two empty lines for an event would take them for one.
//
// # Contract of a stream
//
// The form is that of server-sent events (https://html.spec.whatwg.org/multipage/server-sent-events.html):
//
//   - A stream consists of blocks of lines. An empty line ends a block. Lines end with LF or CRLF, or
//     all lines of an answer end with CR.
//   - A line is a comment, which begins with a colon, or a field: a name, a colon and a value. Names are
//     lower-case letters, digits and hyphens. The fields of the standard may lack the colon and the value.
//   - A block of nothing but comments, empty lines and retry fields is no event. It may stand anywhere.
//
// An event must be one after which another replica can resume the stream:
//
//   - It has one id and at least one line of data. Its lines of data follow each other. A numeric field
//     of the Format stands at most once.
//   - Its id is a whole number of at most MaxIDDigits digits, above that of the event before it in the
//     same answer. An answer that resumes a stream may begin with events that the stream already has. It
//     then goes on with a further event. It may be empty, if the stream has none.
//   - Ids rise by one where the stream has begun with 0 or 1, goes on after a position of which no more is
//     known, or has had one id follow another by one: otherwise an event in between would be missing, or
//     the id would be that of another stream.
//   - In other streams an id that rises by a larger step than any before it counts only once the next event
//     of the answer follows it, with an id above it. The first event of a stream counts also if the answer
//     is complete without another one.
//
// What breaks the contract is a *Violation. The events before it are sound, and nothing after it is.
//
// # What is returned
//
// An event is returned in one form, whatever its form was: the numeric fields of the Format, the id, the
// lines of data, and an empty line. Each line is a name, a colon, a space, a value and LF. All else that
// the contract allows is ignored, and counted: a receiver of the standard ignores comments and unknown
// fields, and retry would tell a caller of the node how to reconnect to the replica. The field event is
// returned for no replica, as no Format has it.
package eventstream
