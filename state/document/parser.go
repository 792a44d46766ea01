package document

import (
	"bytes"
	"crypto/sha256"
	"reflect"
	"slices"
)

// Parser reads one text after another of an environment. It reads a piece of a
// text that the text before had as well only once, and the documents share what
// stands in it.
//
// Load pattern answered: one endpoint of 10,000 changes, every six seconds, on
// every node. Parse takes as long as the whole text is, most of it in reading JSON.
//
// A Parser must not be used by two goroutines at once. The zero value is ready.
type Parser struct {
	// sizes of the pieces; zero: storedPieces.
	sizes     pieceSizes
	endpoints pieceCache[Endpoint]
	replicas  pieceCache[Replica]
}

// Parse returns what the function Parse does, errors included. The document's
// parts must not be changed: later documents share them.
func (p *Parser) Parse(text []byte) (*Document, error) {
	if len(text) > MaxTextBytes {
		return Parse(text)
	}
	if p.sizes.max == 0 {
		p.sizes = storedPieces
	}
	doc := p.assembled(split(text, p.sizes))
	p.endpoints.turn()
	p.replicas.turn()
	if doc == nil {
		// Something is wrong with the text, or it is in one piece. Reading all
		// of it tells what, with each fault's place in the whole.
		return Parse(text)
	}
	faults := &Faults{}
	c := newChecker(doc, faults)
	c.pathless = true
	if c.check(); faults.err() != nil {
		return Parse(text)
	}
	return doc, nil
}

// assembled returns the unchecked document of the pieces, or nil if they don't
// read as one.
func (p *Parser) assembled(pieces []piece) *Document {
	if !haveLists(pieces) {
		return nil
	}
	doc := readFrame(pieces)
	if doc == nil {
		return nil
	}
	var endpoints [][]Endpoint
	replicas := make([][][]Replica, len(doc.Services))
	for _, each := range pieces {
		ok := true
		switch each.kind {
		case endpointsPiece:
			ok = p.endpoints.appendTo(&endpoints, each.text)
		case replicasPiece:
			ok = each.service < len(replicas) && p.replicas.appendTo(&replicas[each.service], each.text)
		}
		if !ok {
			return nil
		}
	}
	return filled(doc, endpoints, replicas)
}

// filled puts the lists of the pieces into the document; nil if one has no
// place there.
func filled(doc *Document, endpoints [][]Endpoint, replicas [][][]Replica) *Document {
	if len(endpoints) > 0 {
		doc.Endpoints = slices.Concat(endpoints...)
	}
	for i, lists := range replicas {
		if len(lists) == 0 {
			continue
		}
		if doc.Services[i].Model == nil {
			return nil
		}
		doc.Services[i].Model.Replicas = slices.Concat(lists...)
	}
	return doc
}

func haveLists(pieces []piece) bool {
	for _, each := range pieces {
		if each.kind != framePiece {
			return true
		}
	}
	return false
}

// readFrame reads the text around the lists, which stand empty in it.
func readFrame(pieces []piece) *Document {
	var frame []byte
	for _, each := range pieces {
		if each.kind == framePiece {
			frame = append(frame, each.text...)
		}
	}
	tree, err := readTree(frame)
	if err != nil {
		return nil
	}
	members, ok := tree.(object)
	if !ok {
		return nil
	}
	faults := &Faults{}
	if checkFormat(members, faults); faults.err() != nil {
		return nil
	}
	doc := &Document{}
	if (binder{faults}).bind(tree, reflect.ValueOf(doc).Elem(), ""); faults.err() != nil {
		return nil
	}
	return doc
}

// pieceCache keeps the elements read from the pieces of the last text.
type pieceCache[T any] struct {
	last, next map[[sha256.Size]byte][]T
}

// appendTo appends the elements of a piece to the lists; false if they don't
// read.
func (c *pieceCache[T]) appendTo(lists *[][]T, text []byte) bool {
	key := sha256.Sum256(text)
	elements, known := c.last[key]
	if !known {
		elements, known = readElements[T](text)
	}
	if !known {
		return false
	}
	if c.next == nil {
		c.next = map[[sha256.Size]byte][]T{}
	}
	c.next[key] = elements
	*lists = append(*lists, elements)
	return true
}

// turn forgets what the last text did not have.
func (c *pieceCache[T]) turn() { c.last, c.next = c.next, nil }

// readElements reads a run of list elements with separators between them and
// perhaps behind them.
func readElements[T any](text []byte) ([]T, bool) {
	text = bytes.TrimRight(text, " \n\t\r")
	text = bytes.TrimSuffix(text, []byte(","))
	whole := append(append([]byte{'['}, text...), ']')
	tree, err := readTree(whole)
	if err != nil {
		return nil, false
	}
	var elements []T
	faults := &Faults{}
	binder{faults}.bind(tree, reflect.ValueOf(&elements).Elem(), "")
	return elements, faults.err() == nil
}
