package simprotocol

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"
)

// request decodes INGRESS.
func (d *Decoder) request() error {
	in, r := fieldReader{d: d}, &d.event.Request
	r.ID = in.text("txn")
	r.Class = in.interned("class")
	affinityKey, _ := d.field("entity")
	r.AffinityKey = string(affinityKey)
	r.Hint = in.optionalDuration("cost_guess")
	r.Deadline = time.Duration(in.integer("expires"))
	r.Slots = in.optionalFloat("width")
	r.Memory = in.optionalFloat("mem")
	r.Retry = in.flag("retry")
	for _, name := range [...]string{"reconnect", "write"} { // validated only: the policy does not use them
		in.flag(name)
	}
	if r.Hint < 0 || r.Slots < 0 || r.Memory < 0 {
		in.fail(errors.New("cost_guess, width and mem must not be negative"))
	}
	return in.err
}

// attemptResult decodes COMPLETED.
func (d *Decoder) attemptResult() error {
	in, r := fieldReader{d: d}, &d.event.AttemptResult
	r.Request, r.Attempt, r.Worker = in.attempt()
	r.Final = in.flag("ended")
	r.Status = in.status()
	r.Latency, r.Report = in.latencyAndReport()
	return in.err
}

// probeResult decodes STATUS_BACK.
func (d *Decoder) probeResult() error {
	in, p := fieldReader{d: d}, &d.event.ProbeResult
	p.Worker = in.worker()
	p.Status = in.status()
	p.Latency, p.Report = in.latencyAndReport()
	return in.err
}

// attemptUpdate decodes STATUS_NOTE. For an unknown topic the kind of the update is 0.
func (d *Decoder) attemptUpdate() error {
	in, u := fieldReader{d: d}, &d.event.AttemptUpdate
	u.Request, u.Attempt, u.Worker = in.attempt()
	u.Kind = 0
	if topic := in.optionalInt("topic"); topic == int64(policy.UpdateStarted) || topic == int64(policy.UpdateProgress) {
		u.Kind = policy.UpdateKind(topic)
	}
	u.Value = in.optionalFloat("level")
	return in.err
}

// streamStart decodes OPENED.
func (d *Decoder) streamStart() error {
	in, s := fieldReader{d: d}, &d.event.StreamStart
	s.Request, s.Attempt, s.Worker = in.attempt()
	return in.err
}

// loadReport decodes the name:value pairs of a worker's load report. Unknown names are ignored, but their
// values must be numbers.
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

// parseSeed parses a 64-bit integer, signed or unsigned; a negative one becomes its two's complement.
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
