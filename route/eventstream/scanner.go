package eventstream

import (
	"bytes"

	"github.com/cicadatack/cicadatack/route/internal/sse"
)

// lineEnd is how the lines of an answer end. The first line decides.
type lineEnd uint8

const (
	endUnknown lineEnd = iota
	// endLF also stands for CRLF.
	endLF
	endCR
)

// span is a part of an answer, by offsets in bytes from the beginning of the answer.
type span struct{ start, end int }

// scanner divides an answer into blocks.
type scanner struct {
	// buffer holds the answer from the offset base on.
	buffer  []byte
	base    int
	lineEnd lineEnd
	// start is where the block begins that is being read, offset where its next line begins. fields
	// are what its lines before that say. There is no line end before searched.
	start, offset, searched int
	fields                  fields
	// dropMark is set if a byte order mark at the beginning is no part of the first block.
	dropMark bool
}

// add appends received bytes. Those before an offset are no longer needed.
func (s *scanner) add(p []byte, needed int) {
	if n := needed - s.base; n > 0 {
		s.buffer = s.buffer[:copy(s.buffer, s.buffer[n:])]
		s.base = needed
	}
	s.buffer = append(s.buffer, p...)
}

func (s *scanner) end() int { return s.base + len(s.buffer) }

func (s *scanner) bytes(part span) []byte { return s.buffer[part.start-s.base : part.end-s.base] }

// next returns the next complete block; ok is false if it has not arrived yet.
func (s *scanner) next() (b block, ok bool, violation *Violation) {
	for {
		line, ok, violation := s.line()
		if violation == nil && len(line) > 0 {
			violation = s.fields.add(line)
		}
		if violation != nil || !ok {
			return block{}, false, violation
		}
		if len(line) > 0 {
			continue
		}
		b, violation := s.fields.block()
		b.span = span{s.start, s.offset}
		s.start, s.fields = s.offset, fields{}
		return b, violation == nil, violation
	}
}

// line returns the next complete line without its end; ok is false if it has not arrived yet.
func (s *scanner) line() (line []byte, ok bool, violation *Violation) {
	unsearched := s.bytes(span{max(s.offset, s.searched), s.end()})
	at := sse.FirstLineEnd(unsearched)
	if at < 0 {
		s.searched = s.end()
		return nil, false, nil
	}
	s.searched = max(s.offset, s.searched) + at
	end, length := s.endOf(unsearched[at:])
	if length == 0 {
		return nil, false, nil
	}
	if s.lineEnd == endUnknown {
		s.lineEnd = end
	}
	if s.lineEnd != end {
		return nil, false, &Violation{Reason: ReasonLine}
	}
	line = s.withoutMark(s.bytes(span{s.offset, s.searched}))
	s.offset = s.searched + length
	return line, true, nil
}

// endOf returns how a line ends, and the length of that end; 0 if this can't be told yet. p begins with
// LF or CR.
func (s *scanner) endOf(p []byte) (lineEnd, int) {
	switch {
	case p[0] == '\n':
		return endLF, 1
	case s.lineEnd == endCR:
		return endCR, 1
	case len(p) == 1:
		return endUnknown, 0 // it may be the half of a CRLF
	case p[1] == '\n':
		return endLF, 2
	}
	return endCR, 1
}

// withoutMark returns a line without the byte order mark that may precede the first one.
func (s *scanner) withoutMark(line []byte) []byte {
	if s.offset > 0 || !bytes.HasPrefix(line, sse.ByteOrderMark) {
		return line
	}
	if s.dropMark {
		s.start = len(sse.ByteOrderMark)
	}
	return line[len(sse.ByteOrderMark):]
}
