// Package loadreport reads the load reports that pool members send: in a header or a probe's body as text,
//
//	TEXT inflight=7, queue=2, util=0.61
//
// and in the callback that ends a job as an object, "load":{"inflight":7,...}. It does no I/O. Only the
// fields that a report holds are set in Has; unknown names are skipped, so that a deployment may have fields
// of its own.
package loadreport

import (
	"bytes"
	"fmt"
	"strconv"

	"basaltloft/internal/dispatcher/policy"

	"github.com/valyala/fastjson"
)

// field returns a pointer to the field with a name, and the field's bit in Has; the pointer is nil if the name is
// unknown. In each case the protocol's name comes first, then the simulator's name for the same field.
func field(r *policy.Report, name string) (*float64, policy.ReportField) {
	switch name {
	case "inflight", "outstanding":
		return &r.InFlight, policy.HasInFlight
	case "queue", "backlog":
		return &r.Queue, policy.HasQueue
	case "util", "utilization":
		return &r.Util, policy.HasUtil
	case "latency_ms", "recent_ms":
		return &r.LatencyMS, policy.HasLatency
	case "qps", "throughput":
		return &r.QPS, policy.HasQPS
	case "eps", "errors_per_s":
		return &r.ErrorsPerS, policy.HasErrors
	case "x0":
		return &r.X0, policy.HasX0
	case "x1":
		return &r.X1, policy.HasX1
	}
	return nil, 0
}

// set sets the field with a name; an unknown name changes nothing.
func set(r *policy.Report, name string, value float64) {
	if at, has := field(r, name); at != nil {
		*at, r.Has = value, r.Has|has
	}
}

// Parse reads a report in text: an optional first word without '=' (the name of the format), then
// name=value pairs separated by commas or spaces. Empty text is an empty report. A pair that is not
// name=value, or a value that is not a finite number, is an error of the whole report: the remaining pairs would
// be mistaken for a complete report.
func Parse(text []byte) (policy.Report, error) {
	var r policy.Report
	parts := bytes.FieldsFunc(text, func(c rune) bool { return c == ',' || c == ' ' || c == '\t' })
	for i, part := range parts {
		name, value, ok := bytes.Cut(part, []byte("="))
		if !ok {
			if i == 0 {
				continue // the name of the format, such as TEXT
			}
			return policy.Report{}, fmt.Errorf("load report: %q is not name=value", part)
		}
		f, err := strconv.ParseFloat(string(value), 64)
		if err != nil || f != f || f > 1e300 || f < -1e300 {
			return policy.Report{}, fmt.Errorf("load report: %q has no finite number as its value", part)
		}
		set(&r, string(name), f)
	}
	return r, nil
}

// ParseBody reads a probe's body: a JSON object as in a callback, or text as Parse does.
func ParseBody(text []byte) (policy.Report, error) {
	if t := bytes.TrimSpace(text); len(t) > 0 && t[0] == '{' {
		v, err := fastjson.ParseBytes(t)
		if err != nil {
			return policy.Report{}, fmt.Errorf("load report: %w", err)
		}
		return ParseObject(v)
	}
	return Parse(text)
}

// ParseObject reads a report given as a JSON object; nil is an empty report. A value that is not a number is
// an error.
func ParseObject(v *fastjson.Value) (policy.Report, error) {
	var r policy.Report
	if v == nil {
		return r, nil
	}
	o, err := v.Object()
	if err != nil {
		return r, fmt.Errorf("load report: %w", err)
	}
	o.Visit(func(key []byte, value *fastjson.Value) {
		f, e := value.Float64()
		if e != nil {
			err = fmt.Errorf("load report: %s: %w", key, e)
			return
		}
		set(&r, string(key), f)
	})
	if err != nil {
		return policy.Report{}, err
	}
	return r, nil
}
