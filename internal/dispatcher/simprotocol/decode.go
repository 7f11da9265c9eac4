package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

const (
	maxLineBytes = 64 << 20
	maxLists     = 16 // member lists are numbered from 0 to maxLists-1
)

// Decoder reads events from a stream. It is not safe for concurrent use.
type Decoder struct {
	in          *bufio.Scanner
	line        int // number of the line last read
	inBatch     bool
	event       Event
	interned    map[string]string // strings that were read before; each value is allocated once
	memberLists [maxLists][]policy.Member
	listDefined [maxLists]bool // whether memberLists has the list
	fields      []field        // of the line last read; they point into the scanner's buffer
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 1<<20), maxLineBytes)
	return &Decoder{in: in, interned: make(map[string]string)}
}

// Next returns the next event. It returns io.EOF if the input ends between batches; any other error names
// the line of input.
func (d *Decoder) Next() (*Event, error) {
	for {
		if !d.scan() {
			return nil, d.endOfInput()
		}
		done, err := d.decodeLine(d.in.Bytes())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", d.line, err)
		}
		if done {
			return &d.event, nil
		}
	}
}

// scan reads the next line into the scanner's buffer. It reports whether there is one.
func (d *Decoder) scan() bool {
	if !d.in.Scan() {
		return false
	}
	d.line++
	return true
}

// endOfInput returns the error for a scan that found no line: io.EOF if the input ended between batches.
func (d *Decoder) endOfInput() error {
	if err := d.in.Err(); err != nil {
		return fmt.Errorf("line %d: %w", d.line+1, err)
	}
	if d.inBatch {
		return fmt.Errorf("line %d: input ends inside a batch", d.line+1)
	}
	return io.EOF
}

// decodeLine decodes one line. It reports whether the line completes an event, which is then in d.event.
func (d *Decoder) decodeLine(line []byte) (bool, error) {
	name, err := d.split(line)
	if err != nil {
		return false, err
	}
	if !d.inBatch {
		if string(name) != "BEGIN_BATCH" {
			return false, fmt.Errorf("%q outside a batch", name)
		}
		return true, d.beginBatch()
	}
	switch string(name) {
	case "BEGIN_BATCH":
		return false, errors.New("BEGIN_BATCH inside a batch")
	case "EOB":
		d.inBatch = false
		d.event.Kind = BatchEnd
		return true, nil
	case "INSTANCE":
		d.event.Instance, err = d.text("i")
		return false, err
	case "ROSTER":
		return false, d.roster()
	}
	if err := d.decodeMessage(string(name)); err != nil {
		return false, fmt.Errorf("%s: %w", name, err)
	}
	if d.event.Instance == "" {
		return false, fmt.Errorf("%s before any INSTANCE", name)
	}
	return true, nil
}

// beginBatch decodes the first line of a batch. The times of batches must not decrease.
func (d *Decoder) beginBatch() error {
	now, err := d.integer("at_time")
	if err != nil {
		return err
	}
	if now < int64(d.event.Now) {
		return errors.New("at_time: the clock runs backward")
	}
	d.inBatch = true
	d.event = Event{Kind: BatchStart, Now: time.Duration(now)}
	return nil
}

// decodeMessage decodes a message that is for an instance into d.event.
func (d *Decoder) decodeMessage(name string) error {
	ev := &d.event
	var err error
	switch name {
	case "CONFIGURE":
		ev.Kind = Configure
		err = d.configure()
	case "TEARDOWN":
		ev.Kind = Teardown
	case "DISCOVERY":
		ev.Kind = MembershipChanged
		err = d.members()
	case "INGRESS":
		ev.Kind = RequestArrived
		err = d.request()
	case "COMPLETED":
		ev.Kind = AttemptEnded
		err = d.attemptResult()
	case "STATUS_BACK":
		ev.Kind = ProbeAnswered
		err = d.probeResult()
	case "STATUS_NOTE":
		ev.Kind = AttemptUpdated
		err = d.attemptUpdate()
	case "OPENED":
		ev.Kind = StreamStarted
		err = d.streamStart()
	case "LAPSED":
		ev.Kind = ClientGone
		ev.RequestID, err = d.text("txn")
	case "ELAPSED":
		ev.Kind = TimerFired
		ev.TimerToken, err = d.internedField("ctx")
	case "MEMO":
		ev.Kind = PeerMessage
		_, err = d.integer("by")
	default:
		err = errors.New("unknown message")
	}
	return err
}

// Position returns the number of the line last read as text, for errors about its event.
func (d *Decoder) Position() string { return "line " + strconv.Itoa(d.line) }
