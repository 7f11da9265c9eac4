package controlplane

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
	"basaltloft/internal/shared/saturating"
)

// runnerReply is the body of a runner's reply to any order.
type runnerReply struct {
	reason string                 // why the order was rejected
	report scheduler.RunnerReport // only replies to lease renewals have more than the clock
	// reportErr is set if a row of the report can't be read. The report must not be used then, because a
	// missing run would be treated as one that has ended.
	reportErr error
}

// replyParsers holds parsers for reuse, because most of the cost of parsing is the allocation of their memory.
var replyParsers fastjson.ParserPool

// parseReply parses the body of a reply. It skips unknown fields. If it returns an error, the reply has the
// fields that could be parsed.
func parseReply(content []byte) (reply runnerReply, err error) {
	if err := fastjson.ValidateBytes(content); err != nil {
		return reply, errors.Wrap(err, "read a runner's reply") // the parser alone accepts some invalid JSON
	}
	parser := replyParsers.Get()
	defer replyParsers.Put(parser) // no parsed value is used after the return
	value, err := parser.ParseBytes(content)
	if err != nil {
		return reply, errors.Wrap(err, "read a runner's reply")
	}
	if value.Type() == fastjson.TypeNull {
		return reply, nil
	}
	fields, err := value.Object()
	if err != nil {
		return reply, errors.Wrap(err, "read a runner's reply")
	}
	fields.Visit(func(name []byte, field *fastjson.Value) {
		if fieldErr := reply.setField(name, field); fieldErr != nil && err == nil {
			err = fieldErr
		}
	})
	return reply, err
}

// setField parses one field of a reply.
func (r *runnerReply) setField(name []byte, field *fastjson.Value) error {
	switch string(name) {
	case "clock_ms":
		return readInt64(field, &r.report.ClockMs)
	case "remaining_ms":
		return readInt64(field, &r.report.RemainingMs)
	case "reason":
		return readString(field, &r.reason)
	case "running":
		rows, err := readList(field)
		r.report.Running = readRows(rows, readRun, &r.reportErr)
		return err
	case "finished":
		rows, err := readList(field)
		r.report.Finished = readRows(rows, readEnd, &r.reportErr)
		return err
	}
	return nil
}

// readRows parses the rows of a list. It stops at the first row that can't be parsed and adds the error to
// rowErr.
func readRows[Row any](rows []*fastjson.Value, read func([]*fastjson.Value) (Row, error), rowErr *error) []Row {
	result := slices.Grow([]Row(nil), len(rows))
	for _, value := range rows {
		elements, err := readList(value)
		if err == nil {
			var row Row
			row, err = read(elements)
			result = append(result, row)
		}
		if err != nil {
			*rowErr = errors.CombineErrors(*rowErr, err)
			return result
		}
	}
	return result
}

// readRun parses [task, attempt, checkpoint, percent]. Missing elements at the end are treated as empty, and
// additional elements are ignored.
func readRun(row []*fastjson.Value) (run scheduler.ReportedRun, err error) {
	var percent float64
	if run.Task, err = readTask(element(row, 0)); err != nil {
		return run, err
	}
	if err = readInt(element(row, 1), &run.Attempt); err != nil {
		return run, err
	}
	if err = readString(element(row, 2), &run.Checkpoint); err != nil {
		return run, err
	}
	err = readFloat64(element(row, 3), &percent)
	run.Percent = saturating.Int(percent)
	return run, err
}

// readEnd parses [number, task, attempt, reason, checkpoint]. It treats missing and additional elements like
// readRun.
func readEnd(row []*fastjson.Value) (end scheduler.ReportedEnd, err error) {
	var reason string
	if err = readUint64(element(row, 0), &end.Number); err != nil {
		return end, err
	}
	if end.Task, err = readTask(element(row, 1)); err != nil {
		return end, err
	}
	if err = readInt(element(row, 2), &end.Attempt); err != nil {
		return end, err
	}
	if err = readString(element(row, 3), &reason); err != nil {
		return end, err
	}
	end.Reason = job.ParseEndReason(reason)
	err = readString(element(row, 4), &end.Checkpoint)
	return end, err
}

// element returns the element of a row at index, or nil if the row is shorter.
func element(row []*fastjson.Value, index int) *fastjson.Value {
	if index < len(row) {
		return row[index]
	}
	return nil
}

func readTask(value *fastjson.Value) (job.TaskRef, error) {
	var name string
	if err := readString(value, &name); err != nil {
		return job.TaskRef{}, err
	}
	return job.ParseTaskRef(name)
}

// absent reports whether a value is missing or null. Such a value leaves a field unchanged.
func absent(value *fastjson.Value) bool { return value == nil || value.Type() == fastjson.TypeNull }

// readValue parses a value into a field, unless the value is absent.
func readValue[Field any](value *fastjson.Value, field *Field, read func(*fastjson.Value) (Field, error)) error {
	if absent(value) {
		return nil
	}
	result, err := read(value)
	if err != nil {
		return errors.Wrap(err, "read a runner's reply")
	}
	*field = result
	return nil
}

func readInt(value *fastjson.Value, field *int) error {
	return readValue(value, field, (*fastjson.Value).Int)
}

func readInt64(value *fastjson.Value, field *int64) error {
	return readValue(value, field, (*fastjson.Value).Int64)
}

func readUint64(value *fastjson.Value, field *uint64) error {
	return readValue(value, field, (*fastjson.Value).Uint64)
}

func readFloat64(value *fastjson.Value, field *float64) error {
	return readValue(value, field, (*fastjson.Value).Float64)
}

func readString(value *fastjson.Value, field *string) error {
	return readValue(value, field, func(value *fastjson.Value) (string, error) {
		text, err := value.StringBytes()
		return string(text), err
	})
}

func readList(value *fastjson.Value) (list []*fastjson.Value, err error) {
	err = readValue(value, &list, (*fastjson.Value).Array)
	return list, err
}
