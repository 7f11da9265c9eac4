package settings

import (
	"errors"
	"fmt"
	"net"
	"time"

	"basaltloft/internal/dispatcher/schedulingdelay"

	"github.com/valyala/fastjson"
)

// Operator is the content of the operator's file: settings beyond the platform's configuration.
type Operator struct {
	Faktory    *Faktory // nil: off
	Metrics    Metrics
	AgentCheck string                 // where the agent check listens; empty: off
	Fleet      *Fleet                 // nil: this process is in no fleet
	Overload   schedulingdelay.Bounds // scheduling delays of this process above which it rejects new work
	// SilentClient is how long a client of the HTTP front may send nothing before its request is complete.
	// 0 means the default of the front.
	SilentClient time.Duration
}

// Faktory configures the front for the Faktory work protocol.
type Faktory struct {
	Listen, Password string
	Default          FaktoryJob            // for jobs whose jobtype and queue have no entry
	JobTypes, Queues map[string]FaktoryJob // by name; a jobtype takes precedence over a queue
	Zone, Kind       string                // of the workers
	Cell             int
	Connections      int           // limit of concurrent connections
	Jobs             int           // number of finished jobs whose outcomes are kept
	ReserveFor       time.Duration // the default reservation of a job
	FetchIn          time.Duration // how long a FETCH waits for a job
	Waiting          FaktoryWaiting
	BackoffUnit      time.Duration // the length of a second of the protocol's back-off
	PerAddress       int           // connections of one client address; 0: no limit
}

// FaktoryWaiting limits the jobs that wait in the Faktory front.
type FaktoryWaiting struct {
	Jobs, Bytes             int           // in all queues and sets except the dead set
	QueueJobs, QueueBytes   int           // of one queue
	ClientJobs, ClientBytes int           // of one client address; 0: no limit
	Dead, DeadBytes         int           // in the dead set
	DeadFor                 time.Duration // how long jobs stay in the dead set
}

// FaktoryJob holds the dispatcher's parameters for a Faktory job.
type FaktoryJob struct {
	Class, Tenant string
	Deadline      time.Duration // 0: that of the class
	Cost          time.Duration // 0: no cost hint
}

// Metrics configures the metrics and their journal.
type Metrics struct {
	Listen          string        // where the metrics are served; empty: off
	JournalDir      string        // empty: off
	SegmentMB       int           // a segment is closed at about this size
	KeepMB          int           // the oldest segments are removed beyond this size
	KeepDays        int           // and after this time
	WriteWithin     time.Duration // the longest span of data that is lost if the process is killed
	SyncWithin      time.Duration // the longest additional span that is lost on a power loss
	AuditEvery      time.Duration
	LogicalRequests int // number of logical requests that are tracked
}

// auditEvery is the default interval of audits.
const auditEvery = 10 * time.Second

// DecodeOperator reads the operator's file and checks it. A front without an entry stays off.
func DecodeOperator(text []byte) (Operator, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Operator{}, fmt.Errorf("operator's file: %w", err)
	}
	o, r := decodeOperator(v)
	if err := r.err(); err != nil {
		return o, fmt.Errorf("operator's file: %w", err)
	}
	return o, nil
}

// decodeOperator returns the content of the operator's file, and the reader with its problems.
func decodeOperator(v *fastjson.Value) (Operator, *reader) {
	r := newReader(v)
	o := Operator{
		AgentCheck: r.text("agent_check.listen"), Metrics: r.metrics(),
		SilentClient: time.Duration(r.count("http.silent_client_ms", 0)) * time.Millisecond,
	}
	if r.get("admission", fastjson.TypeObject) != nil {
		o.Overload = schedulingdelay.Bounds{
			Target:   time.Duration(r.count("admission.behind_ms", 50)) * time.Millisecond,
			Interval: time.Duration(r.count("admission.behind_for_ms", 200)) * time.Millisecond,
		}
	}
	if o.AgentCheck != "" {
		r.address("agent_check.listen", o.AgentCheck)
	}
	if r.get("faktory", fastjson.TypeObject) != nil {
		o.Faktory = r.faktory()
	}
	if r.get("fleet", fastjson.TypeObject) != nil {
		o.Fleet = r.fleet()
	}
	return o, r
}

// faktory reads the configuration of the Faktory front.
func (r *reader) faktory() *Faktory {
	f := &Faktory{
		Listen: r.text("faktory.listen"), Password: r.text("faktory.password"),
		Default:  r.job("faktory.default."),
		JobTypes: r.jobs("faktory.jobtypes"), Queues: r.jobs("faktory.queues"),
		Zone: r.text("faktory.workers.zone"), Kind: r.text("faktory.workers.kind"),
		Cell:        int(r.integer("faktory.workers.cell")),
		Connections: int(r.count("faktory.connections", 64)), Jobs: int(r.count("faktory.outcomes", 10000)),
		ReserveFor: time.Duration(r.count("faktory.reserve_for_s", 1800)) * time.Second,
		FetchIn:    time.Duration(r.count("faktory.fetch_within_ms", 5000)) * time.Millisecond,
	}
	w := "faktory.waiting."
	f.Waiting = FaktoryWaiting{
		Jobs: int(r.count(w+"jobs", 20000)), Bytes: int(r.count(w+"megabytes", 16)) << 20,
		Dead: int(r.count(w+"dead", 1000)), DeadBytes: int(r.count(w+"dead_megabytes", 2)) << 20,
		DeadFor: time.Duration(r.count(w+"dead_days", 180)) * 24 * time.Hour,
	}
	f.Waiting.QueueJobs = int(r.count(w+"queue_jobs", int64(f.Waiting.Jobs)*3/4))
	f.Waiting.QueueBytes = int(r.count(w+"queue_megabytes", int64(f.Waiting.Bytes>>20)*3/4)) << 20
	f.Waiting.ClientJobs = int(r.count(w+"client_jobs", 0))
	f.Waiting.ClientBytes = int(r.count(w+"client_megabytes", 0)) << 20
	f.PerAddress = int(r.count("faktory.connections_per_address", 0))
	f.BackoffUnit = time.Duration(r.count("faktory.backoff_unit_ms", 1000)) * time.Millisecond
	r.address("faktory.listen", f.Listen)
	return f
}

// metrics reads the configuration of the metrics.
func (r *reader) metrics() Metrics {
	f := Metrics{
		Listen: r.text("figures.listen"), JournalDir: r.text("figures.journal.folder"),
		SegmentMB: int(r.count("figures.journal.segment_mb", 8)), KeepMB: int(r.count("figures.journal.keep_mb", 1024)),
		KeepDays:        int(r.count("figures.journal.keep_days", 90)),
		WriteWithin:     time.Duration(r.count("figures.journal.write_within_ms", 10)) * time.Millisecond,
		SyncWithin:      time.Duration(r.count("figures.journal.sync_within_ms", 1000)) * time.Millisecond,
		AuditEvery:      time.Duration(r.count("figures.audit_every_ms", auditEvery.Milliseconds())) * time.Millisecond,
		LogicalRequests: int(r.count("figures.asks", 8192)),
	}
	if f.Listen != "" {
		r.address("figures.listen", f.Listen)
	}
	if f.KeepMB < 2*f.SegmentMB {
		r.fail("figures.journal.keep_mb", errors.New("must be at least twice segment_mb"))
	}
	return f
}

// address records a problem unless an address has a host and a port.
func (r *reader) address(path, addr string) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		r.fail(path, err)
	}
}

// job reads the parameters of a Faktory job.
func (r *reader) job(in string) FaktoryJob {
	return FaktoryJob{
		Class: r.text(in + "class"), Tenant: r.text(in + "tenant"),
		Deadline: time.Duration(r.count(in+"deadline_ms", 0)) * time.Millisecond,
		Cost:     time.Duration(r.count(in+"cost_us", 0)) * time.Microsecond,
	}
}

// jobs reads an object with the parameters of Faktory jobs by name.
func (r *reader) jobs(path string) map[string]FaktoryJob {
	jobs := make(map[string]FaktoryJob)
	r.eachEntry(path, func(name string, at *reader) { jobs[name] = at.job("") })
	return jobs
}
