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
	format                  Format
	ignored                 Ignored
}

// Ignored are lines that the contract allows and that are no part of what Next returns.
type Ignored struct {
	// Bytes is the number of their bytes, without the ends of lines that are not empty. First is the first
	// of these lines.
	Bytes int
	First string
	// After is the id of the event before the first of these lines, "" if there is none.
	After string
}

func (i *Ignored) add(p []byte) {
	if i.Bytes == 0 {
		i.First = firstOf(p)
	}
	i.Bytes += len(p)
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
		text, ok, violation := s.line()
		switch {
		case violation != nil || !ok:
			return block{}, false, violation
		case len(text) == 0:
			return s.endBlock()
		}
		l := s.format.parse(text)
		if l.kind.ignored() {
			s.ignored.add(text)
		}
		if violation := s.fields.add(&l, &s.format); violation != nil {
			return block{}, false, violation
		}
	}
}

// endBlock returns the block that ends where the next line begins.
func (s *scanner) endBlock() (block, bool, *Violation) {
	if s.fields.lines == 0 {
		s.ignored.add(s.bytes(span{s.start, s.offset}))
	}
	b, violation := s.fields.block()
	b.span = span{s.start, s.offset}
	s.start, s.fields = s.offset, fields{}
	return b, violation == nil, violation
}

// line returns the next complete line without its end; ok is false if it has not arrived yet.
func (s *scanner) line() (text []byte, ok bool, violation *Violation) {
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
	if s.offset == 0 {
		s.skipMark()
	}
	text = s.bytes(span{s.offset, s.searched})
	s.offset = s.searched + length
	s.fields.unusual = s.fields.unusual || s.lineEnd == endCR || length > 1
	return text, true, nil
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

// skipMark leaves out the byte order mark that may precede the first line.
func (s *scanner) skipMark() {
	mark := s.bytes(span{0, min(len(sse.ByteOrderMark), s.searched)})
	if !bytes.Equal(mark, sse.ByteOrderMark) {
		return
	}
	s.ignored.add(mark)
	s.start, s.offset = len(mark), len(mark)
}
