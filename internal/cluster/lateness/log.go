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

// LateMessage is the message under which the scheduler logs a job that missed its objective.
const LateMessage = "job missed its objective"

// formerLateMessage is the message of earlier builds.
const formerLateMessage = "a job is late"

// Keys of the attributes of a late job's line, and those of earlier builds. The time spent stands
// under the names of its causes, in milliseconds.
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

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// LateJob is one job that missed its objective, as it is logged.
type LateJob struct {
	ID        string
	Queue     string
	Arrived   time.Duration // time of day from which on the objective counts, since 1970
	Took      time.Duration // from then to its end
	Objective time.Duration // how long it may have taken
	Cost      float64       // core-seconds, as estimated when it arrived
	Spent     Breakdown     // along its critical path
}

// Attributes returns the job as attributes of a log line, which ReadLog reads.
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

// ReadLog returns the late jobs of a log in logfmt, in the form of this build or of earlier ones;
// all other lines are passed over.
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

// setAttribute sets what one attribute of a late job's line says.
func (j *LateJob) setAttribute(key, value string) {
	switch key {
	case keyJob:
		j.ID = value
	case keyQueue:
		j.Queue = value
	case keyCost:
		j.Cost, _ = strconv.ParseFloat(value, 64) // 0 where it can't be read
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return // no time
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
