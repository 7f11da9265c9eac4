package protocol_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The functions of this file decode a gob stream according to the documentation of encoding/gob, without using
// the program's types: the type definitions in the stream and the messages that follow them.

// gobReader decodes the basic values of gob.
type gobReader struct {
	t    *testing.T
	rest []byte
}

func (r *gobReader) uint() uint64 {
	r.t.Helper()
	require.NotEmpty(r.t, r.rest)
	first := r.rest[0]
	r.rest = r.rest[1:]
	if first < 128 {
		return uint64(first)
	}
	var number uint64
	for _, b := range r.bytes(256 - int(first)) {
		number = number<<8 | uint64(b)
	}
	return number
}

func (r *gobReader) int() int {
	r.t.Helper()
	number := r.uint()
	if number&1 == 1 {
		return int(^(number >> 1))
	}
	return int(number >> 1)
}

func (r *gobReader) bytes(length int) []byte {
	r.t.Helper()
	require.LessOrEqual(r.t, length, len(r.rest))
	content := r.rest[:length]
	r.rest = r.rest[length:]
	return content
}

func (r *gobReader) text() string {
	r.t.Helper()
	return string(r.bytes(int(r.uint())))
}

// fields decodes a struct. It calls read with the number, counted from 0, of each field that is present.
func (r *gobReader) fields(read func(field int)) {
	r.t.Helper()
	field := -1
	for delta := r.uint(); delta != 0; delta = r.uint() {
		field += int(delta)
		read(field)
	}
}

// gobType is a type definition in a stream.
type gobType struct {
	kind      int // index of the field of gob's wireType that is set
	key, elem int // type numbers
	length    int // of an array
	names     []string
	types     []int
}

// Kinds of types: indexes of the fields of gob's wireType.
const (
	gobArray  = 0
	gobSlice  = 1
	gobStruct = 2
	gobMap    = 3
)

func (r *gobReader) definition() gobType {
	r.t.Helper()
	defined := gobType{}
	r.fields(func(kind int) {
		defined.kind = kind
		r.fields(func(field int) {
			switch {
			case field == 0:
				r.commonType()
			case kind == gobStruct:
				r.structFields(&defined)
			case kind == gobMap && field == 1:
				defined.key = r.int()
			case kind == gobArray && field == 2:
				defined.length = r.int()
			default:
				defined.elem = r.int()
			}
		})
	})
	return defined
}

// commonType skips a type's Go name and number, on which nothing depends.
func (r *gobReader) commonType() {
	r.t.Helper()
	r.fields(func(field int) {
		if field == 0 {
			r.text()
		} else {
			r.int()
		}
	})
}

func (r *gobReader) structFields(defined *gobType) {
	r.t.Helper()
	for range r.uint() {
		name, number := "", 0
		r.fields(func(field int) {
			if field == 0 {
				name = r.text()
			} else {
				number = r.int()
			}
		})
		defined.names = append(defined.names, name)
		defined.types = append(defined.types, number)
	}
}

var basicTypes = map[int]string{1: "bool", 2: "int", 3: "uint", 4: "float", 5: "bytes", 6: "string", 7: "complex", 8: "interface"}

// typeText describes the structure of a type, independent of its number and Go name.
func typeText(types map[int]gobType, number int) string {
	if name, ok := basicTypes[number]; ok {
		return name
	}
	defined, ok := types[number]
	if !ok {
		return fmt.Sprintf("undefined type %d", number)
	}
	switch defined.kind {
	case gobArray:
		return fmt.Sprintf("[%d]%s", defined.length, typeText(types, defined.elem))
	case gobSlice:
		return "[]" + typeText(types, defined.elem)
	case gobMap:
		return "map[" + typeText(types, defined.key) + "]" + typeText(types, defined.elem)
	case gobStruct:
		var fields []string
		for i, name := range defined.names {
			fields = append(fields, name+":"+typeText(types, defined.types[i]))
		}
		return "{" + strings.Join(fields, " ") + "}"
	}
	return fmt.Sprintf("unexpected kind %d of type", defined.kind)
}

// sentFrame is a frame of package rpc as encoded in a stream.
type sentFrame struct {
	frameType string // structure of the frame
	id, kind  uint64
	name      string // registered name of the message's type
	bodyType  string // structure of the message
	body      string // encoded field numbers and values, without type numbers
}

// frameStream reads frames from a connection or from a recording of one.
type frameStream struct {
	t     *testing.T
	from  *bufio.Reader
	types map[int]gobType
}

func newFrameStream(t *testing.T, from io.Reader) *frameStream {
	return &frameStream{t: t, from: bufio.NewReader(from), types: map[int]gobType{}}
}

// frames returns all frames of a recorded stream.
func frames(t *testing.T, recorded []byte) []sentFrame {
	t.Helper()
	stream := newFrameStream(t, bytes.NewReader(recorded))
	var found []sentFrame
	for {
		if _, err := stream.from.Peek(1); err == io.EOF {
			return found
		}
		found = append(found, stream.frame())
	}
}

// message reads one gob message, which begins with its length, and returns a reader of its content.
func (s *frameStream) message() *gobReader {
	s.t.Helper()
	first, err := s.from.ReadByte()
	require.NoError(s.t, err)
	prefix := []byte{first}
	if first >= 128 {
		prefix = append(prefix, s.exactly(256-int(first))...)
	}
	length := (&gobReader{t: s.t, rest: prefix}).uint()
	return &gobReader{t: s.t, rest: s.exactly(int(length))}
}

func (s *frameStream) exactly(length int) []byte {
	s.t.Helper()
	content := make([]byte, length)
	_, err := io.ReadFull(s.from, content)
	require.NoError(s.t, err)
	return content
}

// typeNumber reads the type number of the value that follows, and the type definitions before it. Each
// definition is either the end of a message or followed by a length.
func (s *frameStream) typeNumber(r *gobReader) int {
	s.t.Helper()
	for {
		number := r.int()
		if number > 0 {
			return number
		}
		s.types[-number] = r.definition()
		if len(r.rest) > 0 {
			r.uint()
			continue
		}
		r.rest = s.message().rest
	}
}

// frame reads the next frame.
func (s *frameStream) frame() sentFrame {
	s.t.Helper()
	r := s.message()
	number := s.typeNumber(r)
	frame := sentFrame{frameType: typeText(s.types, number)}
	r.fields(func(field int) {
		switch field {
		case 0:
			frame.id = r.uint()
		case 1:
			frame.kind = r.uint()
		case 2:
			frame.name = r.text()
			bodyNumber := s.typeNumber(r)
			frame.bodyType = typeText(s.types, bodyNumber)
			frame.body = string(r.bytes(int(r.uint())))
		}
	})
	return frame
}

// describe returns a text that lists the frames of both directions with their numbers, names and fields.
func describe(t *testing.T, recorded capture) string {
	t.Helper()
	var to strings.Builder
	for _, stream := range [][]byte{recorded.request, recorded.response} {
		for _, frame := range frames(t, stream) {
			fmt.Fprintf(&to, "frame %s id=%d kind=%d\n  %s %s\n", frame.frameType, frame.id, frame.kind, frame.name, frame.bodyType)
		}
	}
	return to.String()
}
