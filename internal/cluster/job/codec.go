package job

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Batches are the log's entries. They are encoded by hand: gob would describe its types in
// each of them, which is many times the size of a command and of the work to read it.

// batchFormat is the first byte of a batch. Readers take the format before it too, in which
// commands had no queue and no version, and turn others down.
const (
	batchFormat  = 2
	formatBefore = 1
)

// ErrFormat is a batch that can't be read.
var ErrFormat = errors.New("a batch of commands can't be read: run the same version on all core machines")

// Encode returns the batch as bytes.
func (b Batch) Encode() []byte {
	to := []byte{batchFormat}
	to = binary.AppendUvarint(to, uint64(len(b.Commands)))
	for at := range b.Commands {
		to = appendCommand(to, &b.Commands[at])
	}
	return to
}

func appendCommand(to []byte, c *Command) []byte {
	to = append(to, byte(c.Kind), byte(c.EndReason))
	to = appendText(to, c.Task.Job)
	for _, number := range []int{c.Task.Occurrence, c.Task.Step, c.Task.Index, c.Attempt} {
		to = binary.AppendUvarint(to, uint64(number))
	}
	to = appendText(to, c.Runner)
	to = appendText(to, c.Address)
	to = appendText(to, c.Checkpoint)
	to = binary.AppendVarint(to, c.ProposedAtMs)
	to = appendText(to, c.Queue)
	to = binary.AppendVarint(to, c.ConfigVersion)
	if c.Kind != AcceptJob {
		return to
	}
	body, err := json.Marshal(c.Submission)
	if err != nil { // no field of New can fail
		body = nil
	}
	return appendText(to, string(body))
}

func appendText(to []byte, text string) []byte {
	to = binary.AppendUvarint(to, uint64(len(text)))
	return append(to, text...)
}

// reader reads the parts of a batch; after a fault all it reads is zero.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) number() uint64 {
	number, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.rest = r.rest[n:]
	return number
}

func (r *reader) signed() int64 {
	number, n := binary.Varint(r.rest)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.rest = r.rest[n:]
	return number
}

func (r *reader) byte() byte {
	if len(r.rest) == 0 {
		r.bad = true
		return 0
	}
	first := r.rest[0]
	r.rest = r.rest[1:]
	return first
}

func (r *reader) text() string {
	length := r.number()
	if length > uint64(len(r.rest)) {
		r.bad = true
		return ""
	}
	text := string(r.rest[:length])
	r.rest = r.rest[length:]
	return text
}

// DecodeBatch reads a batch.
func DecodeBatch(content []byte) (Batch, error) {
	r := &reader{rest: content}
	format := r.byte()
	if format != batchFormat && format != formatBefore {
		return Batch{}, ErrFormat
	}
	count := r.number()
	if count > uint64(len(content)) {
		return Batch{}, ErrFormat
	}
	b := Batch{Commands: make([]Command, 0, count)}
	for range count {
		c, err := r.command(format)
		if err != nil {
			return Batch{}, err
		}
		b.Commands = append(b.Commands, c)
	}
	return b, nil
}

func (r *reader) command(format byte) (Command, error) {
	c := Command{Kind: CommandKind(r.byte()), EndReason: EndReason(r.byte())}
	c.Task.Job = r.text()
	for _, to := range []*int{&c.Task.Occurrence, &c.Task.Step, &c.Task.Index, &c.Attempt} {
		*to = int(r.number())
	}
	c.Runner, c.Address, c.Checkpoint = r.text(), r.text(), r.text()
	c.ProposedAtMs = r.signed()
	if format != formatBefore {
		c.Queue = r.text()
		c.ConfigVersion = r.signed()
	}
	if c.Kind == AcceptJob {
		c.Submission = &New{}
		if body := r.text(); !r.bad && json.Unmarshal([]byte(body), c.Submission) != nil {
			return c, ErrFormat
		}
	}
	if r.bad {
		return c, ErrFormat
	}
	return c, nil
}
