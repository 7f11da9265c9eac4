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
	maxLists     = 16 // numbers of lists of members are below this
)

// Decoder reads events from a stream. It must not be used concurrently.
type Decoder struct {
	in          *bufio.Scanner
	line        int // number of the line last read
	inBatch     bool
	event       Event
	interned    map[string]string // so that each name is allocated once
	memberLists [maxLists][]policy.Member
	listDefined [maxLists]bool
	fields      []field // of the line last read; they point into the scanner's buffer
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 1<<20), maxLineBytes)
	return &Decoder{in: in, interned: make(map[string]string)}
}

// Next returns the next event. It returns io.EOF at the end of input between
// batches; any other error names the line of input.
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

// scan reads the next line into the scanner's buffer.
func (d *Decoder) scan() bool {
	if !d.in.Scan() {
		return false
	}
	d.line++
	return true
}

// endOfInput is the error of a scan that read nothing.
func (d *Decoder) endOfInput() error {
	if err := d.in.Err(); err != nil {
		return fmt.Errorf("line %d: %w", d.line+1, err)
	}
	if d.inBatch {
		return fmt.Errorf("line %d: input ends inside a batch", d.line+1)
	}
	return io.EOF
}

// decodeLine decodes one line. It reports whether the line is an event.
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

// beginBatch decodes the first line of a batch. Times never run backward.
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

// decodeMessage decodes the line of a message that belongs to an instance.
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

// Position names the line last read, for errors about its event.
func (d *Decoder) Position() string { return "line " + strconv.Itoa(d.line) }
