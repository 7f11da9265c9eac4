package simprotocol

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"
)

// worker decodes the number of a worker.
func (d *Decoder) worker() (uint32, error) {
	n, err := d.integer("worker")
	if err == nil && (n < 0 || n > math.MaxUint32) {
		err = fmt.Errorf("worker: %d is out of range", n)
	}
	return uint32(n), err
}

// attempt decodes the fields that identify an attempt.
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

// status decodes how an attempt or a probe ended.
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

// request decodes INGRESS.
func (d *Decoder) request() error {
	r := &d.event.Request
	var err, e error
	keepFirst := func(e error) {
		if err == nil {
			err = e
		}
	}
	var n int64
	r.ID, e = d.text("txn")
	keepFirst(e)
	r.Class, e = d.internedField("class")
	keepFirst(e)
	affinityKey, _ := d.field("entity")
	r.AffinityKey = string(affinityKey)
	n, e = d.optionalInt("cost_guess")
	r.Hint = time.Duration(n)
	keepFirst(e)
	n, e = d.integer("expires")
	r.Deadline = time.Duration(n)
	keepFirst(e)
	r.Slots, e = d.optionalFloat("width")
	keepFirst(e)
	r.Memory, e = d.optionalFloat("mem")
	keepFirst(e)
	r.Retry, e = d.flag("retry")
	keepFirst(e)
	for _, name := range [...]string{"reconnect", "write"} { // checked; the policy has no use for them
		_, e = d.flag(name)
		keepFirst(e)
	}
	if err == nil && (r.Hint < 0 || r.Slots < 0 || r.Memory < 0) {
		err = errors.New("cost_guess, width and mem must not be negative")
	}
	return err
}

// attemptResult decodes COMPLETED.
func (d *Decoder) attemptResult() error {
	r := &d.event.AttemptResult
	var err error
	if r.Request, r.Attempt, r.Worker, err = d.attempt(); err != nil {
		return err
	}
	if r.Final, err = d.flag("ended"); err != nil {
		return err
	}
	if r.Status, err = d.status(); err != nil {
		return err
	}
	r.Latency, r.Report, err = d.latencyAndReport()
	return err
}

// probeResult decodes STATUS_BACK.
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

// latencyAndReport decodes how long an attempt or a probe took, and the worker's load report.
func (d *Decoder) latencyAndReport() (time.Duration, policy.Report, error) {
	n, err := d.optionalInt("duration")
	if err != nil {
		return 0, policy.Report{}, err
	}
	r, err := d.loadReport()
	return time.Duration(n), r, err
}

// attemptUpdate decodes STATUS_NOTE. An unknown topic is an update without a kind.
func (d *Decoder) attemptUpdate() error {
	u := &d.event.AttemptUpdate
	var err error
	if u.Request, u.Attempt, u.Worker, err = d.attempt(); err != nil {
		return err
	}
	topic, err := d.optionalInt("topic")
	if err != nil {
		return err
	}
	u.Kind = 0
	if topic == int64(policy.UpdateStarted) || topic == int64(policy.UpdateProgress) {
		u.Kind = policy.UpdateKind(topic)
	}
	u.Value, err = d.optionalFloat("level")
	return err
}

// loadReport decodes the name:value pairs of a load report; unknown names are skipped.
func (d *Decoder) loadReport() (policy.Report, error) {
	var r policy.Report
	rest, ok := d.field("server_stats")
	more := ok && len(rest) > 0
	for more {
		var pair []byte
		pair, rest, more = cutByte(rest, ',')
		name, value, ok := cutByte(pair, ':')
		if !ok {
			return r, fmt.Errorf("server_stats: %q is not name:value", pair)
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

// configure decodes CONFIGURE: the settings as JSON, and the seed of the random numbers.
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

// parseSeed parses 64 bits, signed or unsigned.
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
