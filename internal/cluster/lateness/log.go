package lateness

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// LateMessage is the message of the log line that the scheduler writes for a job that missed its objective.
const LateMessage = "job missed its objective"

// formerLateMessage is the same message in earlier builds.
const formerLateMessage = "a job is late"

// Keys of the attributes of a late job's log line, in this build and in earlier ones. The keys of the time spent
// are the names of the causes; the values are in milliseconds.
const (
	keyJob          = "job"
	keyQueue        = "queue"
	keyCost         = "cost"
	keyArrived      = "arrived_ms"
	keyTook         = "took_ms"
	keyObjective    = "objective_ms"
	formerArrived   = "came_ms"
	formerObjective = "owed_ms"
)

// maxLogLine is the maximum length of a line of a log, in bytes.
const maxLogLine = 1 << 20

// LateJob is the logged account of a job that missed its objective.
type LateJob struct {
	ID        string
	Queue     string
	Arrived   time.Duration // time from which the objective counts, since the Unix epoch
	Took      time.Duration // from Arrived to the job's end
	Objective time.Duration // maximum for Took
	Cost      float64       // in core-seconds, as estimated when the job arrived
	Spent     Breakdown     // along its critical path
}

// Attributes returns the job as attributes of a log line, in the form that ReadLog reads.
func (j *LateJob) Attributes() []any {
	attributes := []any{
		slog.String(keyJob, j.ID), slog.String(keyQueue, j.Queue), slog.Int64(keyArrived, j.Arrived.Milliseconds()),
		slog.Int64(keyTook, j.Took.Milliseconds()), slog.Int64(keyObjective, j.Objective.Milliseconds()), slog.Float64(keyCost, j.Cost),
	}
	for cause, span := range j.Spent {
		if span > 0 {
			attributes = append(attributes, slog.Int64(Cause(cause).String(), span.Milliseconds()))
		}
	}
	return attributes
}

// ReadLog returns the late jobs of a log in logfmt, in the form of this build or of earlier ones. It ignores all
// other lines.
func ReadLog(from io.Reader) ([]LateJob, error) {
	var jobs []LateJob
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if found, ok := parseLine(lines.Bytes()); ok {
			jobs = append(jobs, found)
		}
	}
	return jobs, errors.Wrap(lines.Err(), "read the log: give the text log of control-plane processes")
}

func parseLine(line []byte) (LateJob, bool) {
	found, late := LateJob{}, false
	decoder := logfmt.NewDecoder(bytes.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			if key == slog.MessageKey {
				late = value == LateMessage || value == formerLateMessage
				continue
			}
			found.setAttribute(key, value)
		}
	}
	return found, late && decoder.Err() == nil
}

// setAttribute sets the field for one attribute of a late job's log line.
func (j *LateJob) setAttribute(key, value string) {
	switch key {
	case keyJob:
		j.ID = value
	case keyQueue:
		j.Queue = value
	case keyCost:
		j.Cost, _ = strconv.ParseFloat(value, 64) // 0 if the value is not a number
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return // the value is not a time
	}
	span := time.Duration(ms) * time.Millisecond
	switch key {
	case keyArrived, formerArrived:
		j.Arrived = span
	case keyTook:
		j.Took = span
	case keyObjective, formerObjective:
		j.Objective = span
	}
	if cause, ok := ParseCause(key); ok {
		j.Spent[cause] = span
	}
}
