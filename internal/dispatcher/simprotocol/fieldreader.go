package simprotocol

import (
	"fmt"
	"math"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// fieldReader reads the fields of a line and keeps the first error. After an error, each further read returns
// the zero value.
type fieldReader struct {
	d   *Decoder
	err error
}

// readField reads a field with a method of the decoder, or returns the zero value after an earlier error.
func readField[T any](r *fieldReader, read func(*Decoder, string) (T, error), name string) (value T) {
	if r.err == nil {
		value, r.err = read(r.d, name)
	}
	return value
}

func (r *fieldReader) text(name string) string { return readField(r, (*Decoder).text, name) }

func (r *fieldReader) interned(name string) string {
	return readField(r, (*Decoder).internedField, name)
}

func (r *fieldReader) integer(name string) int64 { return readField(r, (*Decoder).integer, name) }

func (r *fieldReader) optionalInt(name string) int64 {
	return readField(r, (*Decoder).optionalInt, name)
}

func (r *fieldReader) optionalFloat(name string) float64 {
	return readField(r, (*Decoder).optionalFloat, name)
}

func (r *fieldReader) flag(name string) bool { return readField(r, (*Decoder).flag, name) }

// optionalDuration returns the value of a field in nanoseconds, or 0 if the field is missing.
func (r *fieldReader) optionalDuration(name string) time.Duration {
	return time.Duration(r.optionalInt(name))
}

// fail records err, unless there is an earlier error.
func (r *fieldReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// worker returns the number of a worker.
func (r *fieldReader) worker() uint32 {
	n := r.integer("worker")
	if n < 0 || n > math.MaxUint32 {
		r.fail(fmt.Errorf("worker: %d is out of range", n))
	}
	return uint32(n)
}

// attempt returns an attempt's request ID, its number among the request's attempts, and its worker.
func (r *fieldReader) attempt() (id string, number int, worker uint32) {
	id = r.text("txn")
	n := r.optionalInt("copy")
	if n < 0 || n > math.MaxInt32 {
		r.fail(fmt.Errorf("copy: %d is out of range", n))
	}
	return id, int(n), r.worker()
}

// status returns the status with which an attempt or a probe ended.
func (r *fieldReader) status() policy.Status {
	switch n := r.optionalInt("state_code"); n {
	case 0:
		return policy.OK
	case 255:
		return policy.Error
	case 254:
		return policy.Rejected
	case 253:
		return policy.TimedOut
	case 252:
		return policy.ConnectFailed
	case 251:
		return policy.Reset
	case 250:
		return policy.Cancelled
	case 249:
		return policy.NotSent
	default:
		r.fail(fmt.Errorf("state_code: unknown code %d", n))
		return 0
	}
}

// latencyAndReport returns the latency of an attempt or a probe, and the worker's load report.
func (r *fieldReader) latencyAndReport() (latency time.Duration, report policy.Report) {
	latency = r.optionalDuration("duration")
	if r.err == nil {
		report, r.err = r.d.loadReport()
	}
	return latency, report
}
