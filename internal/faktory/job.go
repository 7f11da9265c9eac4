package faktory

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"basaltloft/internal/core"
	"basaltloft/internal/settings"
	"basaltloft/internal/stage"

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
	reserveFor      time.Duration // 0: not told
	arrival         stage.Arrival
}

// readJob reads a pushed job into an arrival.
func readJob(v *fastjson.Value, set *settings.Faktory, now time.Time) (job, error) {
	if v.Type() != fastjson.TypeObject {
		return job{}, errors.New("a job is a JSON object")
	}
	j := job{id: string(v.GetStringBytes("jid")), kind: string(v.GetStringBytes("jobtype")), queue: string(v.GetStringBytes("queue"))}
	if j.queue == "" {
		j.queue = workQueue
	}
	switch {
	case len(j.id) < leastID:
		return j, fmt.Errorf("a jid has at least %d characters", leastID)
	case j.kind == "":
		return j, errors.New("a job has a jobtype")
	case len(j.kind) > maxName || len(j.queue) > maxName:
		return j, errors.New("a name is too long")
	case v.Get("args") == nil || v.Get("args").Type() != fastjson.TypeArray:
		return j, errors.New("a job has a list of args")
	}
	if at := string(v.GetStringBytes("at")); at != "" {
		t, err := time.Parse(time.RFC3339Nano, at)
		if err != nil {
			return j, errors.New("at is no time in RFC 3339")
		}
		if t.After(now) {
			return j, errors.New("scheduled jobs are not offered")
		}
	}
	j.reserveFor = time.Duration(v.GetInt64("reserve_for")) * time.Second
	as, ok := set.JobTypes[j.kind]
	if !ok {
		if as, ok = set.Queues[j.queue]; !ok {
			as = set.Default
		}
	}
	if as.Class == "" {
		return j, fmt.Errorf("neither jobtype %q nor queue %q is set up here", j.kind, j.queue)
	}
	j.arrival = stage.Arrival{
		ID: j.id, Class: as.Class, Tenant: as.Tenant, Front: Front, Key: j.id, Form: form, Body: v.MarshalTo(nil), Hint: as.Cost, Slots: 1,
	}
	if as.Deadline > 0 {
		j.arrival.GivesUp = now.Add(as.Deadline)
	}
	return j, j.custom(v.Get("custom"))
}

// custom reads what a client says of one job beyond the operator's defaults.
func (j *job) custom(v *fastjson.Value) error {
	if v == nil {
		return nil
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
	if text := string(v.GetStringBytes("expires_at")); text != "" {
		t, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return errors.New("custom.expires_at is no time in RFC 3339")
		}
		j.arrival.GivesUp = t
	}
	return nil
}

// forWorker is the job that a worker fetches: a pushed one as it came, one of
// another front in Faktory's form, with its body as the only argument.
func forWorker(t *core.Transaction, queue string) []byte {
	if t.Form == form {
		return t.Body
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
	return v.MarshalTo(nil)
}

// queueOf is the queue that a transaction waits in: its own, or the one that
// the operator set up for its class, or one by the name of its class.
func queueOf(t *core.Transaction, set *settings.Faktory) string {
	if t.Form == form {
		if v, err := fastjson.ParseBytes(t.Body); err == nil {
			if q := string(v.GetStringBytes("queue")); q != "" {
				return q
			}
		}
		return workQueue
	}
	first := ""
	for name, as := range set.Queues {
		if as.Class == t.Class && (first == "" || name < first) {
			first = name
		}
	}
	if first == "" {
		return t.Class
	}
	return first
}

// reservation is how long a worker may keep a job. What a job asks for counts
// from one minute on, as the protocol has it.
func reservation(t *core.Transaction, set *settings.Faktory) time.Duration {
	if t.Form == form {
		if v, err := fastjson.ParseBytes(t.Body); err == nil {
			if s := v.GetInt64("reserve_for"); s > 0 {
				return max(time.Duration(s)*time.Second, min(soonest, set.ReserveFor))
			}
		}
	}
	return set.ReserveFor
}
