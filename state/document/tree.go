package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// maxDepth bounds the nesting of a text, so that a hostile one cannot exhaust
// the stack.
const maxDepth = 32

// member is one name and value of an object, in the text's order.
type member struct {
	name  string
	value any
}

// object is a JSON object with its order and duplicates kept, which a map
// would lose. Lists are []any, numbers json.Number.
type object []member

func (o object) get(name string) (any, bool) {
	for _, m := range o {
		if m.name == name {
			return m.value, true
		}
	}
	return nil, false
}

// readTree parses one JSON value and refuses anything after it.
func readTree(text []byte) (any, error) {
	if !utf8.Valid(text) {
		return nil, errors.New("the text is not valid UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	value, err := readValue(decoder, 0)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, fmt.Errorf("at byte %d: %w", decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("at byte %d: text after the document's end", decoder.InputOffset())
	}
	return value, nil
}

func readValue(decoder *json.Decoder, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested deeper than %d", maxDepth)
	}
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return readObject(decoder, depth)
	case json.Delim('['):
		return readList(decoder, depth)
	}
	return token, nil
}

func readObject(decoder *json.Decoder, depth int) (any, error) {
	o := object{}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		value, err := readValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		// Inside an object the decoder hands out names as strings only.
		o = append(o, member{name.(string), value})
	}
	_, err := decoder.Token()
	return o, err
}

func readList(decoder *json.Decoder, depth int) (any, error) {
	list := []any{}
	for decoder.More() {
		value, err := readValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := decoder.Token()
	return list, err
}

// kindOf names a value's JSON type for messages.
func kindOf(value any) string {
	switch value.(type) {
	case nil:
		return "null"
	case bool:
		return "a boolean"
	case json.Number:
		return "a number"
	case string:
		return "a string"
	case []any:
		return "a list"
	}
	return "an object"
}
