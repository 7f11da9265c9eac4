package faktory

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
	"unique"

	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/jsontext"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/settings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fastjson"
)

// jobBodyFormat marks a transaction whose body is a complete Faktory job.
const jobBodyFormat = "faktory job"

// Limits and defaults of jobs.
const (
	minIDLength    = 8 // the protocol asks for ids that are likely to be unique
	maxNameLength  = 128
	maxBulkJobs    = 100 // of one PUSHB
	minReservation = time.Minute
	defaultQueue   = "default"
	defaultRetries = 25 // of a job that names no number
	maxRetries     = 1000
)

// job is the part of a Faktory job that the front reads.
type job struct {
	id, jobType, queue   string
	notBefore, expiresAt time.Time // zero: no bound
	retries              int       // as sets.Job.Retries
	batch                string    // bid; empty: none
	uniqueKey            uint64    // 0: not unique
	uniqueTTL            time.Duration
	releaseOn            sets.LockRelease
	plan                 string // the plan that the job runs as; empty: workers fetch it
	submission           pipeline.Submission
}

// parseJob reads a job as a client pushes it. The settings name the class of its jobtype or
// its queue.
func parseJob(v *fastjson.Value, config *settings.Faktory, now time.Time) (job, error) {
	if v.Type() != fastjson.TypeObject {
		return job{}, errors.New("a job is a JSON object")
	}
	j := job{
		id: string(v.GetStringBytes("jid")), jobType: string(v.GetStringBytes("jobtype")),
		queue: cmp.Or(string(v.GetStringBytes("queue")), defaultQueue),
	}
	if err := j.checkNames(); err != nil {
		return j, err
	}
	if args := v.Get("args"); args == nil || args.Type() != fastjson.TypeArray {
		return j, errors.New("a job has a list of args")
	}
	var err error
	if j.notBefore, err = timeField(v, "at"); err != nil {
		return j, err
	}
	if j.retries, err = retriesField(v); err != nil {
		return j, err
	}
	if j.plan, err = planField(v, j.id); err != nil {
		return j, err
	}
	target := j.target(config)
	if target.Class == "" && j.plan == "" {
		return j, fmt.Errorf("neither jobtype %q nor queue %q is set up here", j.jobType, j.queue)
	}
	j.submission = pipeline.Submission{
		ID: j.id, Class: target.Class, Tenant: target.Tenant, Front: FrontName, Key: j.id,
		BodyFormat: jobBodyFormat, Body: jsontext.Append(nil, v), Hint: target.Cost, Slots: 1,
		Capability: j.queue, NoRetryOnError: true,
	}
	if len(j.submission.Body) > pipeline.MaxBody {
		return j, pipeline.ErrTooLarge
	}
	if target.Deadline > 0 {
		j.submission.ClientDeadline = now.Add(target.Deadline)
	}
	return j, j.parseCustom(v)
}

// checkNames checks the jid, the jobtype and the queue.
func (j *job) checkNames() error {
	switch {
	case len(j.id) < minIDLength:
		return fmt.Errorf("a jid has at least %d characters", minIDLength)
	case strings.ContainsFunc(j.id, func(r rune) bool { return r <= ' ' || r > '~' }):
		return errors.New("a jid has plain printable characters without spaces")
	case j.jobType == "":
		return errors.New("a job has a jobtype")
	case len(j.jobType) > maxNameLength || len(j.queue) > maxNameLength || len(j.id) > maxNameLength:
		return errors.New("a name is too long")
	case !isQueueName(j.queue):
		return errors.New("a queue's name has letters, digits, and . _ - only")
	}
	return nil
}

// target returns the settings that apply to the job: those of its jobtype, else those of its
// queue, else those of all other jobs.
func (j *job) target(config *settings.Faktory) settings.FaktoryJob {
	if target, ok := config.JobTypes[j.jobType]; ok {
		return target
	}
	if target, ok := config.Queues[j.queue]; ok {
		return target
	}
	return config.Default
}

// retriesField reads how often a job may be tried again.
func retriesField(v *fastjson.Value) (int, error) {
	retry := v.Get("retry")
	switch {
	case isAbsent(retry):
		return defaultRetries, nil
	case retry.Type() != fastjson.TypeNumber:
		return 0, errors.New("retry is a number")
	}
	return min(truncateToInt(retry.GetFloat64()), maxRetries), nil
}

// parseCustom reads the object custom, with which a client overrides the operator's settings
// for one job.
func (j *job) parseCustom(v *fastjson.Value) error {
	custom := v.Get("custom")
	if isAbsent(custom) {
		return nil
	}
	if custom.Type() != fastjson.TypeObject {
		return errors.New("custom is an object")
	}
	if err := j.parseCostAndSlots(custom); err != nil {
		return err
	}
	if tenant := string(custom.GetStringBytes("tenant")); tenant != "" {
		j.submission.Tenant = tenant
	}
	var err error
	if j.expiresAt, err = timeField(custom, "expires_at"); err != nil {
		return err
	}
	if !j.expiresAt.IsZero() && (j.submission.ClientDeadline.IsZero() || j.expiresAt.Before(j.submission.ClientDeadline)) {
		j.submission.ClientDeadline = j.expiresAt
	}
	j.batch = string(custom.GetStringBytes("bid"))
	return j.parseUnique(custom, v.Get("args"))
}

// parseCostAndSlots reads the job's cost and slots. A number that the job's transaction can't have is
// an error of the push, because a later error could not be reported to the client.
func (j *job) parseCostAndSlots(custom *fastjson.Value) error {
	if custom.GetFloat64("cost_us") > float64(maxDuration/time.Microsecond) {
		return errors.New("custom.cost_us is out of range")
	}
	if n := custom.GetInt64("cost_us"); n > 0 {
		j.submission.Hint = time.Duration(n) * time.Microsecond
	}
	slots := custom.GetFloat64("slots")
	if slots >= math.MaxInt32 {
		return errors.New("custom.slots is out of range")
	}
	if slots > 0 {
		j.submission.Slots = slots
	}
	return nil
}

// parseUnique reads for how long the job is unique, and when its lock is released sooner.
func (j *job) parseUnique(custom, args *fastjson.Value) error {
	if j.uniqueTTL = secondsToDuration(custom.GetFloat64("unique_for")); j.uniqueTTL <= 0 {
		return nil
	}
	switch until := string(custom.GetStringBytes("unique_until")); until {
	case "", "success":
	case "start":
		j.releaseOn = sets.ReleaseOnStart
	default:
		return errors.New("custom.unique_until is start or success")
	}
	// Two jobs are the same if their types, queues and arguments are.
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(j.jobType + "\x00" + j.queue + "\x00") // a hash never fails
	_, _ = d.Write(jsontext.Append(nil, args))
	j.uniqueKey = max(1, d.Sum64())
	return nil
}

// stored returns the job as the sets keep it. Names are interned: many jobs share them.
func (j *job) stored() *sets.Job {
	stored := &sets.Job{
		ID: j.id, Type: unique.Make(j.jobType).Value(), Queue: unique.Make(j.queue).Value(), Body: j.submission.Body, Retries: int32(j.retries),
	}
	if !j.notBefore.IsZero() || !j.expiresAt.IsZero() || j.uniqueKey != 0 || j.batch != "" {
		stored.Options = &sets.Options{
			NotBefore: j.notBefore, ExpiresAt: j.expiresAt, UniqueKey: j.uniqueKey, UniqueTTL: j.uniqueTTL, ReleaseOn: j.releaseOn, Batch: j.batch,
		}
	}
	return stored
}

// QueueForClass returns the queue from which workers fetch the jobs of a class that came through
// other fronts: the first by name that the settings map to the class, else the one named like the
// class.
func QueueForClass(class string, config *settings.Faktory) string {
	first := ""
	for name, target := range config.Queues {
		if target.Class == class && (first == "" || name < first) {
			first = name
		}
	}
	return cmp.Or(first, class)
}
