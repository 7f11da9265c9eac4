package controlplane

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
)

// referenceReply parses a reply with encoding/json, which is slower and serves as the reference.
func referenceReply(content []byte) (reply runnerReply, err error) {
	var fields struct {
		ClockMs     int64             `json:"clock_ms"`
		Reason      string            `json:"reason"`
		Running     []json.RawMessage `json:"running"`
		Finished    []json.RawMessage `json:"finished"`
		RemainingMs int64             `json:"remaining_ms"`
	}
	err = json.Unmarshal(content, &fields)
	reply.reason = fields.Reason
	reply.report = scheduler.RunnerReport{ClockMs: fields.ClockMs, RemainingMs: fields.RemainingMs}
	for _, row := range fields.Running {
		var name string
		var percent float64
		run := scheduler.ReportedRun{}
		if reply.reportErr = referenceRow(row, &name, &run.Attempt, &run.Checkpoint, &percent); reply.reportErr != nil {
			return reply, err
		}
		run.Percent = int(percent)
		if run.Task, reply.reportErr = job.ParseTaskRef(name); reply.reportErr != nil {
			return reply, err
		}
		reply.report.Running = append(reply.report.Running, run)
	}
	for _, row := range fields.Finished {
		var name, reason string
		end := scheduler.ReportedEnd{}
		if reply.reportErr = referenceRow(row, &end.Number, &name, &end.Attempt, &reason, &end.Checkpoint); reply.reportErr != nil {
			return reply, err
		}
		end.Reason = job.ParseEndReason(reason)
		if end.Task, reply.reportErr = job.ParseTaskRef(name); reply.reportErr != nil {
			return reply, err
		}
		reply.report.Finished = append(reply.report.Finished, end)
	}
	return reply, err
}

func referenceRow(row json.RawMessage, fields ...any) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(row, &elements); err != nil {
		return err
	}
	for i, element := range elements[:min(len(elements), len(fields))] {
		if err := json.Unmarshal(element, fields[i]); err != nil {
			return err
		}
	}
	return nil
}

// requireAsReference requires that parseReply accepts or rejects a reply as referenceReply does, with the same
// result.
func requireAsReference(t require.TestingT, content []byte) {
	want, wantErr := referenceReply(content)
	reply, err := parseReply(content)
	require.Equal(t, wantErr == nil, err == nil, "%s: %v, %v", content, wantErr, err)
	require.Equal(t, want.reason, reply.reason, "%s", content)
	require.Equal(t, want.report.ClockMs, reply.report.ClockMs, "%s", content)
	if wantErr != nil {
		return // the report of an invalid reply is not used
	}
	require.Equal(t, want.reportErr == nil, reply.reportErr == nil, "%s: %v, %v", content, want.reportErr, reply.reportErr)
	if want.reportErr == nil {
		require.Equal(t, want.report, reply.report, "%s", content)
	}
}

// replyValues generates JSON values of all types, and invalid ones, for any position in a reply.
func replyValues() *rapid.Generator[string] {
	text := rapid.Custom(func(t *rapid.T) string {
		content, err := json.Marshal(rapid.String().Draw(t, "text"))
		require.NoError(t, err)
		return string(content)
	})
	number := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(rapid.Int64().Draw(t, "number")) })
	fraction := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(rapid.Float64Range(-1e6, 1e6).Draw(t, "fraction")) })
	return rapid.OneOf(text, number, fraction, rapid.SampledFrom([]string{
		"null", "true", "{}", "[]", `{"a":[1,{"b":null}]}`, `"a.1.2.3"`, `"\u0061.0.0.0"`, `"done"`, `"\ud83d\ude00"`, "1e3", "-0", "01", "1.", "", "18446744073709551616", `"open`, `"\z"`,
	}))
}

// mostly draws a value from the generator that fits a position, or rarely any other value.
func mostly(t *rapid.T, fitting *rapid.Generator[string]) string {
	const oneIn = 40
	if rapid.IntRange(1, oneIn).Draw(t, "unusual") == 1 {
		return replyValues().Draw(t, "value")
	}
	return fitting.Draw(t, "meant")
}

// replyRows draws a JSON list of rows whose elements are mostly drawn from the given generators.
func replyRows(t *rapid.T, kinds ...*rapid.Generator[string]) string {
	return mostly(t, rapid.Custom(func(t *rapid.T) string {
		rows := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) string {
			return mostly(t, rapid.Custom(func(t *rapid.T) string {
				var row []string
				for _, kind := range kinds[:rapid.IntRange(2, len(kinds)).Draw(t, "length")] {
					row = append(row, mostly(t, kind))
				}
				return jsonList(row)
			}))
		}), 0, 5).Draw(t, "rows")
		return jsonList(rows)
	}))
}

func jsonList(elements []string) string {
	list := "["
	for i, element := range elements {
		if i > 0 {
			list += " , "
		}
		list += element
	}
	return list + "]"
}

// TestRepliesAreReadAsByEncodingJSON guards against replies that are parsed differently from the protocol's JSON:
// tasks that are running would be started again or treated as ended.
func TestRepliesAreReadAsByEncodingJSON(t *testing.T) {
	task := rapid.SampledFrom([]string{`"5c0e7a21d94b36f8.0.1.17"`, `"a.1.2.3"`, `"\u0061.0.0.0"`, `"a.b.c.d"`, `"a.1.2"`})
	number := rapid.SampledFrom([]string{"0", "1", "58", "482113", "9223372036854775807"})
	text := rapid.SampledFrom([]string{`""`, `"done"`, `"00000bb87a21d94b"`, `"room"`, `"\u00e9\n"`})
	percent := rapid.SampledFrom([]string{"0", "41", "56.7", "1e1"})
	rapid.Check(t, func(t *rapid.T) {
		content := fmt.Sprintf(` {"clock_ms":%s,"running":%s,"other":%s,"finished":%s,"remaining_ms":%s,"reason":%s}%s`,
			mostly(t, number), replyRows(t, task, number, text, percent, text), mostly(t, text), replyRows(t, number, task, number, text, text, percent),
			mostly(t, number), mostly(t, text), mostly(t, rapid.Just("\n")))
		requireAsReference(t, []byte(content))
		requireAsReference(t, []byte(content[:rapid.IntRange(0, len(content)).Draw(t, "cut")]))
	})
}
