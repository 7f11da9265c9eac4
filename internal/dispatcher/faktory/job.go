package faktory

import (
	"cmp"
	"errors"
	"fmt"
	"strings"
	"time"
	"unique"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/jsontext"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/settings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fastjson"
)

// form marks a transaction whose body is a whole Faktory job.
const form = "faktory job"

const (
	leastID   = 8 // the protocol asks for ids that are likely to be unique
	maxName   = 128
	mostBulk  = 100 // jobs of one PUSHB
	soonest   = time.Minute
	workQueue = "default"
)

// job is the part of a Faktory job that the front reads.
type job struct {
	id, kind, queue string
	at, expires     time.Time
	retries         int
	reserveFor      time.Duration // 0: not told
	batch           string
	unique          uint64
	uniqueFor       time.Duration
	uniqueUntil     sets.LockRelease
	plan            string // it is run as; empty: it is fetched
	arrival         pipeline.Submission
}

const (
	usualRetries = 25 // where a job does not say
	mostRetries  = 1000
)

// readJob reads a pushed job into an arrival.
func readJob(v *fastjson.Value, set *settings.Faktory, now time.Time) (job, error) {
	if v.Type() != fastjson.TypeObject {
		return job{}, errors.New("a job is a JSON object")
	}
	j := job{id: string(v.GetStringBytes("jid")), kind: string(v.GetStringBytes("jobtype")), queue: string(v.GetStringBytes("queue")), retries: usualRetries}
	if j.queue == "" {
		j.queue = workQueue
	}
	switch {
	case len(j.id) < leastID:
		return j, fmt.Errorf("a jid has at least %d characters", leastID)
	case strings.ContainsFunc(j.id, func(r rune) bool { return r <= ' ' || r > '~' }):
		return j, errors.New("a jid has plain printable characters without spaces")
	case j.kind == "":
		return j, errors.New("a job has a jobtype")
	case len(j.kind) > maxName || len(j.queue) > maxName || len(j.id) > maxName:
		return j, errors.New("a name is too long")
	case !nameable(j.queue):
		return j, errors.New("a queue's name has letters, digits, and . _ - only")
	case v.Get("args") == nil || v.Get("args").Type() != fastjson.TypeArray:
		return j, errors.New("a job has a list of args")
	}
	var err error
	if j.at, err = timeOf(v, "at"); err != nil {
		return j, err
	}
	switch r := v.Get("retry"); {
	case r == nil || r.Type() == fastjson.TypeNull:
	case r.Type() != fastjson.TypeNumber:
		return j, errors.New("retry is a number")
	default:
		j.retries = min(wholeNumber(r.GetFloat64()), mostRetries)
	}
	j.reserveFor = seconds(v.GetFloat64("reserve_for"))
	as, ok := set.JobTypes[j.kind]
	if !ok {
		if as, ok = set.Queues[j.queue]; !ok {
			as = set.Default
		}
	}
	if j.plan, err = planOf(v, j.id); err != nil {
		return j, err
	}
	if as.Class == "" && j.plan == "" {
		return j, fmt.Errorf("neither jobtype %q nor queue %q is set up here", j.kind, j.queue)
	}
	j.arrival = pipeline.Submission{
		ID: j.id, Class: as.Class, Tenant: as.Tenant, Front: Front, Key: j.id, BodyFormat: form, Body: jsontext.Append(nil, v), Hint: as.Cost, Slots: 1,
		Capability: j.queue, NoRetryOnError: true,
	}
	if len(j.arrival.Body) > pipeline.MaxBody {
		return j, pipeline.ErrTooLarge
	}
	if as.Deadline > 0 {
		j.arrival.ClientDeadline = now.Add(as.Deadline)
	}
	return j, j.custom(v)
}

// waiting is the job as the sets keep it.
func (j job) waiting() *sets.Job {
	w := &sets.Job{ID: j.id, Type: unique.Make(j.kind).Value(), Queue: unique.Make(j.queue).Value(), Body: j.arrival.Body, Retries: int32(j.retries)}
	if !j.at.IsZero() || !j.expires.IsZero() || j.unique != 0 || j.batch != "" {
		w.Options = &sets.Options{NotBefore: j.at, ExpiresAt: j.expires, UniqueKey: j.unique, UniqueTTL: j.uniqueFor, ReleaseOn: j.uniqueUntil, Batch: j.batch}
	}
	return w
}

// nameable tells whether a queue can be named in a command.
func nameable(name string) bool {
	for _, c := range []byte(name) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-') {
			return false
		}
	}
	return name != ""
}

func timeOf(v *fastjson.Value, key string) (time.Time, error) {
	at := v.Get(key)
	if at == nil || at.Type() == fastjson.TypeNull || len(at.GetStringBytes()) == 0 && at.Type() == fastjson.TypeString {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, string(at.GetStringBytes()))
	if err != nil {
		return t, fmt.Errorf("%s is no time in RFC 3339", key)
	}
	return t, nil
}

// custom reads what a client says of one job beyond the operator's defaults.
func (j *job) custom(whole *fastjson.Value) error {
	v := whole.Get("custom")
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	if v.Type() != fastjson.TypeObject {
		return errors.New("custom is an object")
	}
	if n := v.GetInt64("cost_us"); n > 0 {
		j.arrival.Hint = time.Duration(n) * time.Microsecond
	}
	if f := v.GetFloat64("slots"); f > 0 {
		j.arrival.Slots = f
	}
	if tenant := string(v.GetStringBytes("tenant")); tenant != "" {
		j.arrival.Tenant = tenant
	}
	var err error
	if j.expires, err = timeOf(v, "expires_at"); err != nil {
		return err
	}
	if !j.expires.IsZero() && (j.arrival.ClientDeadline.IsZero() || j.expires.Before(j.arrival.ClientDeadline)) {
		j.arrival.ClientDeadline = j.expires
	}
	j.batch = string(v.GetStringBytes("bid"))
	if j.uniqueFor = seconds(v.GetFloat64("unique_for")); j.uniqueFor <= 0 {
		return nil
	}
	switch until := string(v.GetStringBytes("unique_until")); until {
	case "", "success":
	case "start":
		j.uniqueUntil = sets.ReleaseOnStart
	default:
		return errors.New("custom.unique_until is start or success")
	}
	// What makes two jobs the same: type, queue and arguments.
	var d xxhash.Digest
	d.Reset()
	d.WriteString(j.kind + "\x00" + j.queue + "\x00")
	d.Write(jsontext.Append(nil, whole.Get("args")))
	j.unique = max(1, d.Sum64())
	return nil
}

// forWorker is the job that a worker fetches: a pushed one as it came, one of
// another front in Faktory's form, with its body as the only argument.
func forWorker(t *engine.Transaction, queue string) []byte {
	if t.BodyFormat == form {
		return withFailure(t)
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

// withFailure is a pushed job with what is known of how it failed last.
func withFailure(t *engine.Transaction) []byte {
	tried, ok := t.Client.(*task)
	if !ok || tried.job == nil || tried.job.Failure == nil {
		return t.Body
	}
	v, err := fastjson.ParseBytes(t.Body)
	if err != nil {
		return t.Body
	}
	var a fastjson.Arena
	v.Set("failure", failureJSON(&a, tried.job.Failure))
	return jsontext.Append(nil, v)
}

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

// QueueOf names the queue that jobs of other fronts wait in at workers: the one
// that the operator set up for their class, or one by the name of the class.
func QueueOf(class string, set *settings.Faktory) string {
	first := ""
	for name, as := range set.Queues {
		if as.Class == class && (first == "" || name < first) {
			first = name
		}
	}
	return cmp.Or(first, class)
}

// reservation is how long a worker may keep a job. What a job asks for counts
// from one minute on, as the protocol has it.
func reservation(t *engine.Transaction, set *settings.Faktory) time.Duration {
	if t.BodyFormat == form {
		if v, err := fastjson.ParseBytes(t.Body); err == nil {
			if s := v.GetFloat64("reserve_for"); s > 0 {
				return max(seconds(s), min(soonest, set.ReserveFor))
			}
		}
	}
	return set.ReserveFor
}
