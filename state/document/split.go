package document

import (
	"errors"
	"hash/crc32"
)

// Sizes of the pieces that a text is cut into, in bytes. A list's pieces end
// behind an element whose checksum says so, so that a change moves the ends of
// the pieces next to it only. Pieces of about 30 KB are what one endpoint's
// change costs the store and each watch holder (3 KB compressed), and keep the
// index of a text with 10,000 replicas at a few KB.
const (
	minPieceBytes = 16 << 10
	maxPieceBytes = 64 << 10
	// boundaryMask makes one element in 128 the end of a piece.
	boundaryMask = 1<<7 - 1
)

// pieceSizes bounds pieces, in bytes.
type pieceSizes struct{ min, max int }

// storedPieces are the sizes of the parts in the store.
var storedPieces = pieceSizes{minPieceBytes, maxPieceBytes}

// pieceKind says what a piece of a text holds.
type pieceKind int

const (
	// framePiece is text around the long lists. All of them together are the
	// text with these lists empty.
	framePiece pieceKind = iota
	// endpointsPiece and replicasPiece hold whole elements of a list and the
	// separators behind them.
	endpointsPiece
	replicasPiece
)

// piece is a run of a text's bytes. All pieces in order are the text.
type piece struct {
	kind pieceKind
	// service is the place in `services` of the service whose replicas these
	// are.
	service int
	text    []byte
}

// split cuts a text into pieces that share its memory. A text that is short, or
// not of the expected form, comes back as frame pieces only.
func split(text []byte, sizes pieceSizes) []piece {
	s := splitter{text: text, sizes: sizes}
	if len(text) > sizes.min && s.document() == nil {
		s.frame(len(text))
	} else {
		s.pieces = []piece{{kind: framePiece, text: text}}
	}
	var pieces []piece
	for _, p := range s.pieces {
		pieces = append(pieces, bounded(p, sizes.max)...)
	}
	return pieces
}

// bounded cuts a frame piece that is too long wherever it falls: frames are
// read only once they are put together.
func bounded(p piece, most int) []piece {
	var pieces []piece
	for p.kind == framePiece && len(p.text) > most {
		pieces = append(pieces, piece{kind: framePiece, text: p.text[:most]})
		p.text = p.text[most:]
	}
	return append(pieces, p)
}

var (
	errForm      = errors.New("the text does not have the form of a document")
	errLongValue = errors.New("an element is too long for a piece")
)

// splitter walks a text once. It looks at brackets and strings only: what it
// accepts need not be JSON, and whoever reads the pieces has to parse them.
type splitter struct {
	text   []byte
	sizes  pieceSizes
	at     int
	framed int // where the frame piece underway begins
	pieces []piece
}

func (s *splitter) document() error {
	err := s.members(func(name string) error {
		switch name {
		case "endpoints":
			return s.list(endpointsPiece, 0)
		case "services":
			return s.services()
		}
		return s.skip()
	})
	if err != nil {
		return err
	}
	if s.space(); s.at != len(s.text) {
		return errForm
	}
	return nil
}

func (s *splitter) services() error {
	return s.elements(func(service int) error {
		return s.members(func(name string) error {
			if name != "model" {
				return s.skip()
			}
			return s.members(func(name string) error {
				if name != "replicas" {
					return s.skip()
				}
				return s.list(replicasPiece, service)
			})
		})
	})
}

// list cuts a list into pieces, unless it is short.
func (s *splitter) list(kind pieceKind, service int) error {
	begin, count, ends := s.at, 0, []int(nil)
	first, last := 0, 0
	err := s.elements(func(i int) error {
		from := s.at
		if err := s.skip(); err != nil {
			return err
		}
		if s.at-from > s.sizes.max {
			return errLongValue
		}
		if count++; i == 0 {
			first = from
			ends = append(ends, from)
		}
		if size := from - ends[len(ends)-1]; i > 0 && size > 0 && s.ends(last, from, size, s.at-from) {
			ends = append(ends, from)
		}
		last = from
		return nil
	})
	if err != nil || count == 0 || s.at-begin < s.sizes.min {
		return err
	}
	s.frame(first)
	end := s.lastEnd(last)
	ends = append(ends, end)
	for i := 1; i < len(ends); i++ {
		s.pieces = append(s.pieces, piece{kind, service, s.text[ends[i-1]:ends[i]]})
	}
	s.framed = end
	return nil
}

// ends says whether a piece of size bytes ends behind the element that begins
// at last, before one of next bytes that begins at from.
func (s *splitter) ends(last, from, size, next int) bool {
	if size+next > s.sizes.max {
		return true
	}
	return size >= s.sizes.min && crc32.ChecksumIEEE(s.text[last:from])&boundaryMask == 0
}

// lastEnd returns the end of the element that begins at from.
func (s *splitter) lastEnd(from int) int {
	again := splitter{text: s.text, at: from}
	_ = again.skip() // it was skipped before
	return again.at
}

// frame ends the frame piece underway at a place.
func (s *splitter) frame(end int) {
	if end > s.framed {
		s.pieces = append(s.pieces, piece{kind: framePiece, text: s.text[s.framed:end]})
	}
	s.framed = end
}

// members calls read at the value of each member of an object.
func (s *splitter) members(read func(name string) error) error {
	return s.sequence('{', '}', func(int) error {
		begin := s.at
		if err := s.str(); err != nil {
			return err
		}
		name := string(s.text[begin+1 : s.at-1])
		if s.space(); s.peek() != ':' {
			return errForm
		}
		s.at++
		s.space()
		return read(name)
	})
}

// elements calls read at each element of a list.
func (s *splitter) elements(read func(i int) error) error {
	return s.sequence('[', ']', read)
}

// sequence walks what stands between two brackets, separated by commas. A value
// of another kind is skipped: whoever parses the text says what is wrong.
func (s *splitter) sequence(open, end byte, read func(i int) error) error {
	if s.space(); s.peek() != open {
		return s.skip()
	}
	s.at++
	if s.space(); s.peek() == end {
		s.at++
		return nil
	}
	for i := 0; ; i++ {
		if err := read(i); err != nil {
			return err
		}
		s.space()
		separator := s.peek()
		s.at++
		switch separator {
		case end:
			return nil
		case ',':
			s.space()
		default:
			return errForm
		}
	}
}

// skip passes over one value.
func (s *splitter) skip() error {
	depth := 0
	begin := s.at
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case '"':
			if err := s.str(); err != nil {
				return err
			}
			if depth == 0 {
				return nil
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.some(begin)
			}
			if depth--; depth == 0 {
				s.at++
				return nil
			}
		case ',', ' ', '\n', '\t', '\r':
			if depth == 0 {
				return s.some(begin)
			}
		}
		s.at++
	}
	return errForm
}

func (s *splitter) some(begin int) error {
	if s.at == begin {
		return errForm
	}
	return nil
}

// str passes over a string.
func (s *splitter) str() error {
	if s.peek() != '"' {
		return errForm
	}
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return nil
		}
	}
	return errForm
}

func (s *splitter) space() {
	for s.at < len(s.text) && isSpace(s.text[s.at]) {
		s.at++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\t' || c == '\r' }

func (s *splitter) peek() byte {
	if s.at >= len(s.text) {
		return 0
	}
	return s.text[s.at]
}
