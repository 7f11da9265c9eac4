package job

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Batches have a hand-written encoding. gob would add a description of its types to each batch, which is many
// times the size of a command and takes many times as long to decode.

// The first byte of a batch is its format. Batches of previousFormat, whose commands have no
// queue and no version, may still be in a log on disk and are read; other formats are rejected.
const (
	batchFormat    = 2
	previousFormat = 1
)

// ErrFormat is returned by DecodeBatch for a batch that can't be decoded.
var ErrFormat = errors.New("a batch of commands can't be read: run the same version on all core machines")

// Encode returns the encoded batch.
func (b Batch) Encode() []byte {
	buffer := []byte{batchFormat}
	buffer = binary.AppendUvarint(buffer, uint64(len(b.Commands)))
	for i := range b.Commands {
		buffer = appendCommand(buffer, &b.Commands[i])
	}
	return buffer
}

// appendCommand appends an encoded command. decoder.command is its inverse.
func appendCommand(buffer []byte, command *Command) []byte {
	buffer = append(buffer, byte(command.Kind), byte(command.EndReason))
	buffer = appendString(buffer, command.Task.Job)
	for _, number := range []int{command.Task.Occurrence, command.Task.Step, command.Task.Index, command.Attempt} {
		buffer = binary.AppendUvarint(buffer, uint64(number))
	}
	buffer = appendString(buffer, command.Runner)
	buffer = appendString(buffer, command.Address)
	buffer = appendString(buffer, command.Checkpoint)
	buffer = binary.AppendVarint(buffer, command.ProposedAtMs)
	buffer = appendString(buffer, command.Queue)
	buffer = binary.AppendVarint(buffer, command.ConfigVersion)
	if command.Kind != AcceptJob {
		return buffer
	}
	submission, err := json.Marshal(command.Submission)
	if err != nil { // no field of Submission can fail
		submission = nil
	}
	return appendString(buffer, string(submission))
}

func appendString(buffer []byte, text string) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(text)))
	return append(buffer, text...)
}

// decoder reads the fields of a batch in order. Once failed is set, the values that it returns have no meaning.
type decoder struct {
	rest   []byte
	failed bool
}

// advance skips an encoded number of n bytes; n is 0 or less if package binary could not decode it.
func (d *decoder) advance(n int) {
	if n <= 0 {
		d.failed = true
		return
	}
	d.rest = d.rest[n:]
}

func (d *decoder) uvarint() uint64 {
	number, n := binary.Uvarint(d.rest)
	d.advance(n)
	return number
}

func (d *decoder) varint() int64 {
	number, n := binary.Varint(d.rest)
	d.advance(n)
	return number
}

func (d *decoder) byte() byte {
	if len(d.rest) == 0 {
		d.failed = true
		return 0
	}
	first := d.rest[0]
	d.rest = d.rest[1:]
	return first
}

func (d *decoder) string() string {
	length := d.uvarint()
	if length > uint64(len(d.rest)) {
		d.failed = true
		return ""
	}
	text := string(d.rest[:length])
	d.rest = d.rest[length:]
	return text
}

// DecodeBatch returns the decoded batch, or ErrFormat if the content is not a valid batch.
func DecodeBatch(content []byte) (Batch, error) {
	d := &decoder{rest: content}
	format := d.byte()
	if format != batchFormat && format != previousFormat {
		return Batch{}, ErrFormat
	}
	count := d.uvarint()
	if count > uint64(len(content)) {
		return Batch{}, ErrFormat
	}
	batch := Batch{Commands: make([]Command, 0, count)}
	for range count {
		command, err := d.command(format)
		if err != nil {
			return Batch{}, err
		}
		batch.Commands = append(batch.Commands, command)
	}
	return batch, nil
}

// command reads one command of a batch of the given format.
func (d *decoder) command(format byte) (Command, error) {
	command := Command{Kind: CommandKind(d.byte()), EndReason: EndReason(d.byte())}
	command.Task.Job = d.string()
	for _, field := range []*int{&command.Task.Occurrence, &command.Task.Step, &command.Task.Index, &command.Attempt} {
		*field = int(d.uvarint())
	}
	command.Runner = d.string()
	command.Address = d.string()
	command.Checkpoint = d.string()
	command.ProposedAtMs = d.varint()
	if format != previousFormat {
		command.Queue = d.string()
		command.ConfigVersion = d.varint()
	}
	if command.Kind == AcceptJob {
		command.Submission = &Submission{}
		if submission := d.string(); !d.failed && json.Unmarshal([]byte(submission), command.Submission) != nil {
			return command, ErrFormat
		}
	}
	if d.failed {
		return command, ErrFormat
	}
	return command, nil
}
