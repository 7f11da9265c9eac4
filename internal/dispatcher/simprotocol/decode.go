// Package simprotocol reads and writes the line format between a host and its
// dispatchers. It makes no decisions: it turns words and units into the types
// of package basaltloft and back, and rejects what it cannot read.
package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"
)

// Kind is the kind of an event on the wire.
type Kind uint8

// Kinds of events.
const (
	BatchStart Kind = iota
	BatchEnd
	Configure
	Teardown
	MembershipChanged
	RequestArrived
	AttemptEnded
	ProbeAnswered
	AttemptUpdated
	StreamStarted
	ClientGone
	TimerFired
	PeerMessage
)

// Event is one event of a batch. Only the fields of its kind are set; it is
// valid until the next call of Next.
type Event struct {
	Kind     Kind
	Instance string
	Now      time.Duration

	Settings      policy.Settings
	ListKind      policy.ListKind
	Members       []policy.Member
	Request       policy.Request
	AttemptResult policy.AttemptResult
	ProbeResult   policy.ProbeResult
	AttemptUpdate policy.AttemptUpdate
	StreamStart   policy.StreamStart
	RequestID     string // Lapsed: the request
	TimerToken    string // Elapsed
}

const (
	maxLineBytes = 64 << 20
	maxLists     = 16
)

// Decoder reads events from a stream.
type Decoder struct {
	in          *bufio.Scanner
	line        int
	inBatch     bool
	event       Event
	interned    map[string]string // names seen, so that each is allocated once
	memberLists [maxLists][]policy.Member
	listDefined [maxLists]bool
	fields      []field
}

type field struct{ name, value []byte }

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

func (d *Decoder) scan() bool {
	if !d.in.Scan() {
		return false
	}
	d.line++
	return true
}

func (d *Decoder) endOfInput() error {
	if err := d.in.Err(); err != nil {
		return fmt.Errorf("line %d: %w", d.line+1, err)
	}
	if d.inBatch {
		return fmt.Errorf("line %d: input ends inside a batch", d.line+1)
	}
	return io.EOF
}

// decodeLine reads one line. It reports whether the line made an event.
func (d *Decoder) decodeLine(line []byte) (bool, error) {
	name, err := d.split(line)
	if err != nil {
		return false, err
	}
	if !d.inBatch {
		if string(name) != "BEGIN_BATCH" {
			return false, fmt.Errorf("%q outside a batch", name)
		}
		now, err := d.integer("at_time")
		if err != nil {
			return false, err
		}
		if now < int64(d.event.Now) {
			return false, errors.New("at_time: the clock runs backward")
		}
		d.inBatch = true
		d.event = Event{Kind: BatchStart, Now: time.Duration(now)}
		return true, nil
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

// decodeMessage reads the line of a message that belongs to an instance.
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
		ev.StreamStart.Request, ev.StreamStart.Attempt, ev.StreamStart.Worker, err = d.attempt()
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

// split cuts a line into the message name and its fields.
func (d *Decoder) split(line []byte) ([]byte, error) {
	d.fields = d.fields[:0]
	name, rest, more := cutByte(line, '\t')
	for more {
		var part []byte
		part, rest, more = cutByte(rest, '\t')
		key, value, ok := cutByte(part, '=')
		if !ok || len(key) == 0 {
			return nil, fmt.Errorf("%s: %q is not name=value", name, part)
		}
		if string(key) == "conf" && more { // text runs to the end of the line
			value = line[len(line)-len(rest)-1-len(value):]
			more = false
		}
		if _, twice := d.field(string(key)); twice {
			return nil, fmt.Errorf("%s: %s given twice", name, key)
		}
		d.fields = append(d.fields, field{key, value})
	}
	return name, nil
}

func cutByte(b []byte, sep byte) (before, after []byte, found bool) {
	for i, c := range b {
		if c == sep {
			return b[:i], b[i+1:], true
		}
	}
	return b, nil, false
}

func (d *Decoder) field(name string) ([]byte, bool) {
	for i := range d.fields {
		if string(d.fields[i].name) == name {
			return d.fields[i].value, true
		}
	}
	return nil, false
}

func (d *Decoder) required(name string) ([]byte, error) {
	v, ok := d.field(name)
	if !ok {
		return nil, fmt.Errorf("%s is missing", name)
	}
	return v, nil
}

// text returns a field as a string of its own.
func (d *Decoder) text(name string) (string, error) {
	v, err := d.required(name)
	if err == nil && len(v) == 0 {
		err = fmt.Errorf("%s is empty", name)
	}
	return string(v), err
}

// internedField returns a field whose values repeat; each is allocated once.
func (d *Decoder) internedField(name string) (string, error) {
	v, err := d.required(name)
	if err != nil {
		return "", err
	}
	return d.intern(v), nil
}

func (d *Decoder) optionalInterned(name string) string {
	v, _ := d.field(name)
	return d.intern(v)
}

func (d *Decoder) intern(v []byte) string {
	if w, ok := d.interned[string(v)]; ok {
		return w
	}
	w := string(v)
	d.interned[w] = w
	return w
}

func (d *Decoder) integer(name string) (int64, error) {
	v, err := d.required(name)
	if err != nil {
		return 0, err
	}
	return parseInt(name, v)
}

func (d *Decoder) optionalInt(name string) (int64, error) {
	v, ok := d.field(name)
	if !ok {
		return 0, nil
	}
	return parseInt(name, v)
}

func parseInt(name string, v []byte) (int64, error) {
	neg := len(v) > 0 && v[0] == '-'
	digits := v
	if neg {
		digits = v[1:]
	}
	if len(digits) == 0 || len(digits) > 18 {
		n, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: bad integer %q", name, v)
		}
		return n, nil
	}
	var n int64
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, fmt.Errorf("%s: bad integer %q", name, v)
		}
		n = n*10 + int64(c-'0')
	}
	if neg {
		n = -n
	}
	return n, nil
}

func (d *Decoder) optionalFloat(name string) (float64, error) {
	v, ok := d.field(name)
	if !ok {
		return 0, nil
	}
	return parseFloat(name, v)
}

func parseFloat(name string, v []byte) (float64, error) {
	f, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%s: bad number %q", name, v)
	}
	return f, nil
}

func (d *Decoder) flag(name string) (bool, error) {
	v, ok := d.field(name)
	switch {
	case !ok || string(v) == "0":
		return false, nil
	case string(v) == "1":
		return true, nil
	}
	return false, fmt.Errorf("%s: bad bool %q", name, v)
}

func (d *Decoder) worker() (uint32, error) {
	n, err := d.integer("worker")
	if err == nil && (n < 0 || n > math.MaxUint32) {
		err = fmt.Errorf("worker: %d is out of range", n)
	}
	return uint32(n), err
}

// attempt reads the fields that name an attempt.
func (d *Decoder) attempt() (id string, n int, worker uint32, err error) {
	if id, err = d.text("txn"); err != nil {
		return "", 0, 0, err
	}
	k, err := d.optionalInt("copy")
	if err == nil && (k < 0 || k > math.MaxInt32) {
		err = fmt.Errorf("copy: %d is out of range", k)
	}
	if err != nil {
		return "", 0, 0, err
	}
	worker, err = d.worker()
	return id, int(k), worker, err
}

func (d *Decoder) status() (policy.Status, error) {
	n, err := d.optionalInt("state_code")
	if err != nil {
		return 0, err
	}
	switch n {
	case 0:
		return policy.OK, nil
	case 255:
		return policy.Error, nil
	case 254:
		return policy.Rejected, nil
	case 253:
		return policy.TimedOut, nil
	case 252:
		return policy.ConnectFailed, nil
	case 251:
		return policy.Reset, nil
	case 250:
		return policy.Cancelled, nil
	case 249:
		return policy.NotSent, nil
	}
	return 0, fmt.Errorf("state_code: unknown code %d", n)
}

func (d *Decoder) request() error {
	r := &d.event.Request
	var err error
	keep := func(e error) {
		if err == nil {
			err = e
		}
	}
	var e error
	var n int64
	r.ID, e = d.text("txn")
	keep(e)
	r.Class, e = d.internedField("class")
	keep(e)
	subject, _ := d.field("entity")
	r.AffinityKey = string(subject)
	n, e = d.optionalInt("cost_guess")
	r.Hint = time.Duration(n)
	keep(e)
	n, e = d.integer("expires")
	r.Deadline = time.Duration(n)
	keep(e)
	r.Slots, e = d.optionalFloat("width")
	keep(e)
	r.Memory, e = d.optionalFloat("mem")
	keep(e)
	r.Retry, e = d.flag("retry")
	keep(e)
	for _, name := range [...]string{"reconnect", "write"} {
		_, e = d.flag(name)
		keep(e)
	}
	if err == nil && (r.Hint < 0 || r.Slots < 0 || r.Memory < 0) {
		err = errors.New("cost_guess, width and mem must not be negative")
	}
	return err
}

func (d *Decoder) attemptResult() error {
	o := &d.event.AttemptResult
	var err error
	if o.Request, o.Attempt, o.Worker, err = d.attempt(); err != nil {
		return err
	}
	if o.Final, err = d.flag("ended"); err != nil {
		return err
	}
	if o.Status, err = d.status(); err != nil {
		return err
	}
	o.Latency, o.Report, err = d.latencyAndReport()
	return err
}

func (d *Decoder) probeResult() error {
	p := &d.event.ProbeResult
	var err error
	if p.Worker, err = d.worker(); err != nil {
		return err
	}
	if p.Status, err = d.status(); err != nil {
		return err
	}
	p.Latency, p.Report, err = d.latencyAndReport()
	return err
}

func (d *Decoder) latencyAndReport() (time.Duration, policy.Report, error) {
	n, err := d.optionalInt("duration")
	if err != nil {
		return 0, policy.Report{}, err
	}
	r, err := d.loadReport()
	return time.Duration(n), r, err
}

func (d *Decoder) attemptUpdate() error {
	n := &d.event.AttemptUpdate
	var err error
	if n.Request, n.Attempt, n.Worker, err = d.attempt(); err != nil {
		return err
	}
	topic, err := d.optionalInt("topic")
	if err != nil {
		return err
	}
	n.Kind = 0 // topics that are not known say no more than that there is news
	if topic == int64(policy.UpdateStarted) || topic == int64(policy.UpdateProgress) {
		n.Kind = policy.UpdateKind(topic)
	}
	n.Value, err = d.optionalFloat("level")
	return err
}

// loadReport reads the pairs of a load report; pairs that are not known are skipped.
func (d *Decoder) loadReport() (policy.Report, error) {
	var r policy.Report
	rest, ok := d.field("server_stats")
	more := ok && len(rest) > 0
	for more {
		var part []byte
		part, rest, more = cutByte(rest, ',')
		name, value, ok := cutByte(part, ':')
		if !ok {
			return r, fmt.Errorf("server_stats: %q is not name:value", part)
		}
		f, err := parseFloat("server_stats", value)
		if err != nil {
			return r, err
		}
		switch string(name) {
		case "outstanding":
			r.InFlight, r.Has = f, r.Has|policy.HasInFlight
		case "backlog":
			r.Queue, r.Has = f, r.Has|policy.HasQueue
		case "utilization":
			r.Util, r.Has = f, r.Has|policy.HasUtil
		case "recent_ms":
			r.LatencyMS, r.Has = f, r.Has|policy.HasLatency
		case "throughput":
			r.QPS, r.Has = f, r.Has|policy.HasQPS
		case "errors_per_s":
			r.ErrorsPerS, r.Has = f, r.Has|policy.HasErrors
		case "x0":
			r.X0, r.Has = f, r.Has|policy.HasX0
		case "x1":
			r.X1, r.Has = f, r.Has|policy.HasX1
		}
	}
	return r, nil
}

// roster reads a numbered list and its ROW lines.
func (d *Decoder) roster() error {
	id, err := d.listID()
	if err != nil {
		return fmt.Errorf("ROSTER: %w", err)
	}
	count, err := d.integer("records")
	if err != nil || count < 0 {
		return fmt.Errorf("ROSTER: bad records: %w", orOutOfRange(err))
	}
	var entries []policy.Member
	for range count {
		if !d.scan() {
			return errors.New("ROSTER: input ends inside a list")
		}
		m, err := d.row(d.in.Bytes())
		if err != nil {
			return err
		}
		entries = append(entries, m)
	}
	d.memberLists[id], d.listDefined[id] = entries, true
	return nil
}

func orOutOfRange(err error) error {
	if err == nil {
		return errors.New("out of range")
	}
	return err
}

func (d *Decoder) listID() (int, error) {
	n, err := d.integer("set_id")
	if err != nil {
		return 0, err
	}
	if n < 0 || n >= maxLists {
		return 0, fmt.Errorf("set_id: %d is out of range", n)
	}
	return int(n), nil
}

func (d *Decoder) row(line []byte) (policy.Member, error) {
	var m policy.Member
	name, err := d.split(line)
	if err != nil {
		return m, err
	}
	if string(name) != "ROW" {
		return m, fmt.Errorf("%q where a ROW belongs", name)
	}
	if m.Worker, err = d.worker(); err != nil {
		return m, fmt.Errorf("ROW: %w", err)
	}
	m.Kind, m.Zone = d.optionalInterned("type"), d.optionalInterned("dc")
	cell, err := d.optionalInt("cluster")
	if err != nil {
		return m, fmt.Errorf("ROW: %w", err)
	}
	m.Cell = int(cell)
	since, err := d.optionalInt("since")
	if err != nil {
		return m, fmt.Errorf("ROW: %w", err)
	}
	m.StartedAt = time.Duration(since)
	if m.Weight, err = d.optionalFloat("scale"); err != nil {
		return m, fmt.Errorf("ROW: %w", err)
	}
	switch state, _ := d.field("stage_state"); string(state) {
	case "healthy":
		m.State = policy.Ready
	case "cordoned":
		m.State = policy.Draining
	case "deregistered":
		m.State = policy.Removed
	default:
		return m, fmt.Errorf("ROW: stage_state: unknown state %q", state)
	}
	return m, nil
}

func (d *Decoder) members() error {
	kind, err := d.required("kind")
	if err != nil {
		return err
	}
	switch string(kind) {
	case "update":
		d.event.ListKind = policy.ListDelta
	case "replace":
		d.event.ListKind = policy.ListSnapshot
	case "restored":
		d.event.ListKind = policy.ListRestored
	case "unavailable":
		d.event.ListKind, d.event.Members = policy.ListFailed, nil
		return nil
	default:
		return fmt.Errorf("kind: unknown kind %q", kind)
	}
	id, err := d.listID()
	if err != nil {
		return err
	}
	if !d.listDefined[id] {
		return fmt.Errorf("set_id: no list %d yet", id)
	}
	d.event.Members = d.memberLists[id]
	return nil
}

// Position names the line of input last read, for errors about its event.
func (d *Decoder) Position() string { return "line " + strconv.Itoa(d.line) }

func (d *Decoder) configure() error {
	seed, err := d.required("nonce64")
	if err != nil {
		return err
	}
	text, err := d.required("conf")
	if err != nil {
		return err
	}
	s, err := settings.Parse(text)
	if err != nil {
		return fmt.Errorf("conf: %w", err)
	}
	if s.Seed, err = parseSeed(string(seed)); err != nil {
		return err
	}
	d.event.Settings = s
	return nil
}

// parseSeed accepts the whole range of 64 bits, with or without a sign.
func parseSeed(v string) (uint64, error) {
	if n, err := strconv.ParseUint(v, 10, 64); err == nil {
		return n, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("nonce64: bad integer %q", v)
	}
	return uint64(n), nil
}
