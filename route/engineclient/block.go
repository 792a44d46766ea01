package engineclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/cicadatack/cicadatack/route/internal/sse"
)

// lineSplitter splits an answer into lines without their ends: LF, CRLF or CR.
type lineSplitter struct {
	// afterCR is set if the last line has ended with a CR that was the last byte received. An LF at the
	// beginning of the next bytes belongs to it.
	afterCR bool
	// unfinished is set if the last line is the rest of the answer and has no end.
	unfinished bool
}

// split is a bufio.SplitFunc.
func (s *lineSplitter) split(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if s.afterCR && len(data) > 0 {
		s.afterCR = false
		if data[0] == '\n' {
			return 1, nil, nil
		}
	}
	length, advance := firstLine(data)
	switch {
	case advance == 0 && atEOF && len(data) > 0:
		s.unfinished = true
		return len(data), data, nil
	case advance == 0 && len(data) >= MaxEventBytes:
		return 0, nil, violates(ReasonTooLong, data)
	case advance == 0:
		return 0, nil, nil
	}
	s.afterCR = advance == len(data) && data[advance-1] == '\r'
	return advance, data[:length], nil
}

// firstLine returns the length of the first line and its length with its end; zeros if the line is not
// complete.
func firstLine(data []byte) (length, withEnd int) {
	at := sse.FirstLineEnd(data)
	switch {
	case at < 0:
		return 0, 0
	case data[at] == '\r' && at+1 < len(data) && data[at+1] == '\n':
		return at, at + 2
	}
	return at, at + 1
}

// blockReader reads the blocks of an answer: lines up to an empty one.
type blockReader struct {
	lines    *bufio.Scanner
	splitter *lineSplitter
	// begun is set once a line was read, returned once the present block was returned.
	begun, returned bool
	// data are the data lines of the present block, joined by line feeds.
	data []byte
	// dataLines is the number of these lines.
	dataLines int
}

func newBlockReader(r io.Reader) blockReader {
	b := blockReader{lines: bufio.NewScanner(r), splitter: &lineSplitter{}}
	b.lines.Buffer(make([]byte, 0, initialBufferBytes), MaxEventBytes)
	b.lines.Split(b.splitter.split)
	return b
}

// next returns the data of the next block that has any. The data is valid until the next call.
// unfinished is set if the answer has ended without the empty line after the block. A line that is a
// *Violation does not end its block.
func (b *blockReader) next() (data []byte, unfinished bool, err error) {
	if b.returned {
		b.reset()
	}
	for b.lines.Scan() {
		line := b.line()
		switch {
		case len(line) == 0 && b.hasData():
			b.returned = true
			return b.data, false, nil
		case len(line) == 0:
			b.reset()
			continue
		}
		if err := b.add(line); err != nil && !b.splitter.unfinished {
			return nil, false, err
		}
	}
	if err := b.lines.Err(); err != nil || b.returned || !b.hasData() {
		return nil, false, endError(err)
	}
	b.returned = true
	return b.data, true, nil
}

func (b *blockReader) reset() { b.data, b.dataLines, b.returned = b.data[:0], 0, false }

func (b *blockReader) hasData() bool { return len(bytes.TrimSpace(b.data)) > 0 }

// line returns the present line.
func (b *blockReader) line() []byte {
	line := b.lines.Bytes()
	if !b.begun {
		b.begun = true
		return bytes.TrimPrefix(line, sse.ByteOrderMark)
	}
	return line
}

// endError returns the error of an answer that has ended without another event.
func endError(err error) error {
	var violation *Violation
	if errors.As(err, &violation) {
		return violation
	}
	return errors.Join(ErrTruncated, err)
}

// add reads a line of a block.
func (b *blockReader) add(line []byte) error {
	if line[0] == ':' {
		return nil
	}
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.Equal(name, sse.FieldData):
		return b.addData(value)
	case bytes.Equal(name, sse.FieldID), bytes.Equal(name, sse.FieldEvent), bytes.Equal(name, sse.FieldRetry):
		return nil
	case hasColon && sse.IsFieldName(name):
		return nil
	}
	return violates(ReasonLine, line)
}

func (b *blockReader) addData(value []byte) error {
	if b.dataLines > 0 {
		b.data = append(b.data, '\n')
	}
	b.dataLines++
	b.data = append(b.data, bytes.TrimPrefix(value, []byte(" "))...)
	if len(b.data) > MaxEventBytes {
		return violates(ReasonTooLong, b.data)
	}
	return nil
}
