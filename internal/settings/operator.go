package settings

import (
	"cmp"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fastjson"
)

// Operator is the operator's file: what the platform does not ask for.
type Operator struct {
	Faktory    *Faktory // nil: off
	AgentCheck string   // where the agent check listens; empty: off
}

// Faktory sets up the front for the Faktory work protocol.
type Faktory struct {
	Listen, Password    string
	Default             FaktoryJob            // what neither a jobtype nor a queue names
	JobTypes, Queues    map[string]FaktoryJob // a jobtype goes before a queue
	Zone, Kind          string                // of the workers
	Cell                int
	Connections         int // at a time
	Jobs                int // outcomes that are remembered
	ReserveFor, FetchIn time.Duration
}

// FaktoryJob is what a Faktory job counts as in the settings' words.
type FaktoryJob struct {
	Class, Tenant string
	Deadline      time.Duration // 0: as the class says
	Cost          time.Duration // 0: not told
}

// DecodeOperator reads the operator's file. Each front listens on loopback or
// wherever the operator says; a front that is not named stays off.
func DecodeOperator(text []byte) (Operator, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Operator{}, fmt.Errorf("operator's file: %w", err)
	}
	r := &reader{at: v, in: "operator's file: "}
	o := Operator{AgentCheck: r.text("agent_check.listen")}
	if o.AgentCheck != "" {
		r.address("agent_check.listen", o.AgentCheck)
	}
	if r.get("faktory", fastjson.TypeObject) != nil {
		f := &Faktory{
			Listen: r.text("faktory.listen"), Password: r.text("faktory.password"),
			Default:  r.job("faktory.default"),
			JobTypes: r.jobs("faktory.jobtypes"), Queues: r.jobs("faktory.queues"),
			Zone: r.text("faktory.workers.zone"), Kind: r.text("faktory.workers.kind"), Cell: int(r.whole("faktory.workers.cell")),
			Connections: cmp.Or(int(r.whole("faktory.connections")), 64), Jobs: cmp.Or(int(r.whole("faktory.outcomes")), 10000),
			ReserveFor: cmp.Or(time.Duration(r.whole("faktory.reserve_for_s"))*time.Second, 30*time.Minute),
			FetchIn:    cmp.Or(time.Duration(r.whole("faktory.fetch_within_ms"))*time.Millisecond, 5*time.Second),
		}
		r.address("faktory.listen", f.Listen)
		if f.Connections < 0 || f.Jobs < 0 || f.ReserveFor < 0 || f.FetchIn < 0 {
			r.fail("faktory", fmt.Errorf("a figure is negative"))
		}
		o.Faktory = f
	}
	return o, r.err
}

func (r *reader) address(path, addr string) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		r.fail(path, err)
	}
}

func (r *reader) job(path string) FaktoryJob {
	ms := r.whole(path + ".deadline_ms")
	us := r.whole(path + ".cost_us")
	if ms < 0 || us < 0 {
		r.fail(path, fmt.Errorf("a figure is negative"))
	}
	return FaktoryJob{
		Class: r.text(path + ".class"), Tenant: r.text(path + ".tenant"),
		Deadline: time.Duration(ms) * time.Millisecond, Cost: time.Duration(us) * time.Microsecond,
	}
}

// jobs reads an object of jobs by name. Its names may hold dots, so each is
// read from its own value.
func (r *reader) jobs(path string) map[string]FaktoryJob {
	jobs := make(map[string]FaktoryJob)
	if v := r.get(path, fastjson.TypeObject); v != nil {
		v.GetObject().Visit(func(name []byte, at *fastjson.Value) {
			inner := &reader{at: fastjson.MustParse(`{}`), in: r.in + path + "." + string(name) + "."}
			inner.at.Set("job", at)
			jobs[string(name)] = inner.job("job")
			if r.err == nil {
				r.err = inner.err
			}
		})
	}
	return jobs
}
