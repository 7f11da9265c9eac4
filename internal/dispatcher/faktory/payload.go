package faktory

import (
	"strings"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/jsontext"

	"github.com/valyala/fastjson"
)

// workerPayload returns the job as FETCH replies with it: a pushed one as the client sent it, one
// of another front as a Faktory job with its body as the only argument.
func workerPayload(t *engine.Transaction, queue string) []byte {
	if t.BodyFormat == jobBodyFormat {
		return payloadWithFailure(t)
	}
	var a fastjson.Arena
	custom, args, v := a.NewObject(), a.NewArray(), a.NewObject()
	custom.Set("target", a.NewString(t.Target))
	custom.Set("tenant", a.NewString(t.Tenant))
	custom.Set("key", a.NewString(t.Key))
	args.SetArrayItem(0, a.NewString(strings.ToValidUTF8(string(t.Body), "\uFFFD")))
	v.Set("jid", a.NewString(t.ID))
	v.Set("queue", a.NewString(queue))
	v.Set("jobtype", a.NewString(t.Class))
	v.Set("args", args)
	v.Set("custom", custom)
	return jsontext.Append(nil, v)
}

// payloadWithFailure returns a pushed job, with the details of its last failure if it has failed.
func payloadWithFailure(t *engine.Transaction) []byte {
	pushed, ok := t.Client.(*task)
	if !ok || pushed.job == nil || pushed.job.Failure == nil {
		return t.Body
	}
	v, err := fastjson.ParseBytes(t.Body)
	if err != nil {
		return t.Body
	}
	var a fastjson.Arena
	v.Set("failure", failureJSON(&a, pushed.job.Failure))
	return jsontext.Append(nil, v)
}

// failureJSON returns the details of a failure in the protocol's format.
func failureJSON(a *fastjson.Arena, f *sets.Failure) *fastjson.Value {
	v, trace := a.NewObject(), a.NewArray()
	v.Set("retry_count", a.NewNumberInt(f.RetryCount))
	v.Set("remaining", a.NewNumberInt(f.Remaining))
	v.Set("failed_at", a.NewString(f.FailedAt.UTC().Format(time.RFC3339Nano)))
	if !f.NextAt.IsZero() {
		v.Set("next_at", a.NewString(f.NextAt.UTC().Format(time.RFC3339Nano)))
	}
	v.Set("message", a.NewString(f.Message))
	v.Set("errtype", a.NewString(f.ErrorType))
	for i, line := range f.Backtrace {
		trace.SetArrayItem(i, a.NewString(line))
	}
	v.Set("backtrace", trace)
	return v
}
