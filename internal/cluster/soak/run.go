package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/internal/cluster/processes"
)

// Options describe a run.
type Options struct {
	Plan   Plan
	Size   Size
	Build  processes.Build
	Folder string // for data, settings and logs; the caller removes it
}

// Result is the result of a run.
type Result struct {
	Findings []string // violations of rules
	Summary  string   // counts of requests, jobs and configurations, in one line
}

// run is the state of a run.
type run struct {
	*deployment
	options   Options
	random    *lockedRandom
	exchanges *exchanges
	jobs      *jobTracker
	configs   *configTracker
	operator  *operator
	slowest   time.Duration // from the end of the events until all accepted jobs had ended
}

// Run executes a plan and checks what happens. All processes that it starts have ended when it returns. It
// returns an error if the plan could not be executed.
func Run(ctx context.Context, options Options) (Result, error) {
	random := &lockedRandom{random: rand.New(rand.NewPCG(options.Plan.Seed, 1))}
	d, err := newDeployment(options.Size, options.Build, options.Folder, random.newSource())
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return Result{}, err
	}
	r := &run{deployment: d, options: options, random: random, configs: &configTracker{findings: d.findings}}
	r.exchanges = &exchanges{timeline: d.timeline, findings: d.findings}
	r.jobs = &jobTracker{timeline: d.timeline, findings: d.findings, runs: d.runs}
	r.operator = &operator{deployment: d, ctx: ctx, exchanges: r.exchanges, configs: r.configs, random: random}
	if err := r.begin(ctx); err != nil {
		return Result{}, err
	}
	r.execute(ctx)
	r.finish(ctx)
	return Result{Findings: d.findings.Texts(), Summary: r.summary()}, ctx.Err()
}

// begin starts all processes and sends the first configuration.
func (r *run) begin(ctx context.Context) error {
	for _, m := range r.machines() {
		if err := r.start(m); err != nil {
			return err
		}
	}
	r.operator.send(r.configs.newChange("first", 1, false, 0))
	if r.configs.newest(time.Now()) == 0 {
		return errors.New("the first configuration was not acknowledged")
	}
	if err := r.awaitVoting(ctx); err != nil {
		return err
	}
	injector := r.injector(ctx)
	for _, m := range r.dispatchers {
		injector.awaitServing(m)
	}
	return nil
}

func (r *run) injector(ctx context.Context) *injector {
	return &injector{deployment: r.deployment, ctx: ctx, random: r.random}
}

// execute executes the plan's events while clients and operators send requests, and returns when all of them
// have ended.
func (r *run) execute(ctx context.Context) {
	executing, end := context.WithCancel(ctx)
	defer end()
	var clients, events sync.WaitGroup
	for number := range r.size.Clients {
		clients.Go(r.client(executing, number).run)
	}
	for _, node := range r.nodes {
		operator := *r.operator
		operator.ctx = executing
		clients.Go((&reader{operator: &operator, node: node}).run)
	}
	if r.options.Plan.Share < 1 {
		for _, m := range r.machines() {
			clients.Go(func() { m.throttle(executing, r.options.Plan.Share) })
		}
	}
	clients.Go(func() { r.timeline.watchStalls(executing) })
	begun := time.Now()
	for _, event := range r.options.Plan.Events {
		if !sleep(ctx, time.Until(begun.Add(event.At))) {
			break
		}
		events.Go(func() { r.executeEvent(ctx, event) })
	}
	sleep(ctx, time.Until(begun.Add(r.options.Plan.Length)))
	events.Wait()
	end()
	clients.Wait()
}

func (r *run) executeEvent(ctx context.Context, event Event) {
	if event.Kind == Burst {
		r.burst(ctx)
		return
	}
	if !r.injector(ctx).execute(event) {
		r.operator.execute(event)
	}
}

// client returns the client of a number. Every third one makes long pauses.
func (r *run) client(ctx context.Context, number int) *client {
	pauses := []time.Duration{60 * time.Millisecond, 300 * time.Millisecond, 4 * time.Second}
	return &client{
		deployment: r.deployment, ctx: ctx, exchanges: r.exchanges, jobs: r.jobs, configs: r.configs, random: r.random,
		longestPause: pauses[number%len(pauses)],
	}
}

// burst submits jobs at the same moment, each on a new connection.
func (r *run) burst(ctx context.Context) {
	const jobs = 60
	var all sync.WaitGroup
	for number := range jobs {
		all.Go(func() {
			c := r.client(ctx, number)
			defer c.drop()
			c.submit()
		})
	}
	all.Wait()
}

// finish checks, after all events, that all processes serve, that new jobs are accepted and accepted ones end,
// that the configuration is kept, and that all processes stop.
func (r *run) finish(ctx context.Context) {
	injector := r.injector(ctx)
	injector.awaitServing(r.nodes[0])
	for _, m := range r.dispatchers {
		injector.awaitServing(m)
	}
	for _, m := range r.machines() {
		if !m.Runs() {
			r.findings.add(RuleStop, "%s at %s has ended by itself", m.Program, m.ip)
		}
	}
	r.checkNewJobs(ctx)
	begun := time.Now()
	r.awaitEnds(ctx)
	r.slowest = time.Since(begun)
	r.jobs.check()
	r.readBack(ctx)
	r.stopAll(ctx)
	r.checkLogs()
}

// checkNewJobs submits a job at each dispatcher and checks that it is accepted.
func (r *run) checkNewJobs(ctx context.Context) {
	const limit = 15 * time.Second
	for _, m := range r.dispatchers {
		j := r.jobs.add(r.random.intN(len(queues)), 0)
		served := await(ctx, limit, func() bool {
			got, ok := r.askAt(ctx, m, request{method: http.MethodPost, path: j.path(), host: clientHost, body: j.body})
			if ok {
				r.jobs.recordSubmit(j, &got)
			}
			return j.isAccepted()
		})
		if !served {
			r.findings.add(RuleCollapse, "the dispatcher at %s accepts no job within %v after the events", m.ip, limit)
		}
	}
}

// askAt sends a request to a process on a new connection. It returns false if it was not sent completely.
func (r *run) askAt(ctx context.Context, m *machine, sent request) (Exchange, bool) {
	c, err := dial(ctx, m.ip, r.addresses.HTTP(m.ip))
	if err != nil {
		return Exchange{}, false
	}
	defer c.close()
	got, _ := c.exchange(sent)
	r.exchanges.record(&got)
	return got, got.outcome != unsent
}

// awaitEnds requests the states of all accepted jobs, on several connections, until each has ended or no
// further one has ended for finishLimit.
func (r *run) awaitEnds(ctx context.Context) {
	const askers = 2
	var all sync.WaitGroup
	for asker := range askers {
		all.Go(func() {
			c := r.client(ctx, asker)
			defer c.drop()
			for left := -1; left != 0; {
				before := left
				await(ctx, finishLimit, func() bool {
					left = c.askAll(asker, askers)
					return left == 0 || before > left || before < 0
				})
				if left == before || ctx.Err() != nil {
					return
				}
			}
		})
	}
	all.Wait()
}

// readBack requests the newest configuration from each node and checks it.
func (r *run) readBack(ctx context.Context) {
	const limit = 15 * time.Second
	for _, m := range r.nodes {
		wanted, shown := r.configs.newest(time.Now()), ""
		if !await(ctx, limit, func() bool {
			got, ok := r.askAt(ctx, m, request{method: http.MethodGet, path: "/-/config/get", host: m.ip})
			shown = got.body
			return ok && got.outcome == answered && got.status == http.StatusOK
		}) {
			r.findings.add(RuleCollapse, "the node at %s returns no configuration within %v after the events", m.ip, limit)
			continue
		}
		r.configs.checkContent(shown, wanted, m.ip)
	}
}

// stopAll stops all processes by SIGTERM, the dispatchers first.
func (r *run) stopAll(ctx context.Context) {
	injector := r.injector(ctx)
	for _, group := range [][]*machine{r.dispatchers, r.nodes} {
		var all sync.WaitGroup
		for _, m := range group {
			if m.Runs() {
				all.Go(func() { injector.stop(m) })
			}
		}
		all.Wait()
	}
}

// checkLogs checks that no log has the trace of a panic, a fatal error or a data race.
func (r *run) checkLogs() {
	for _, m := range r.machines() {
		content, err := os.ReadFile(m.Log)
		if err != nil {
			r.findings.add(RuleStop, "the log of %s can't be read: %v", m.ip, err)
		}
		for _, trace := range []string{"panic: ", "fatal error: ", "DATA RACE", "\ngoroutine "} {
			if at := strings.Index(string(content), trace); at >= 0 {
				const shown = 1500
				r.findings.add(RuleStop, "the log of %s has: %s", m.ip, content[at:min(len(content), at+shown)])
				break
			}
		}
	}
}

// close kills the processes that still run and closes the stand-ins.
func (d *deployment) close() {
	for _, m := range d.machines() {
		if m.Runs() {
			m.Signal(syscall.SIGCONT)
			m.Stop(syscall.SIGKILL)
		}
	}
	for _, slot := range d.runners {
		if slot.runner != nil {
			slot.runner.Crash()
		}
	}
	if d.platform != nil {
		d.platform.Server.Close()
	}
	for _, server := range d.lists {
		server.Close()
	}
	_ = d.ports.Close() // releases the reservation only
}

func (r *run) summary() string {
	x := r.exchanges
	accepted, over := 0, 0
	for _, j := range r.jobs.all() {
		if j.isAccepted() {
			accepted++
		}
		if j.hasEnded() {
			over++
		}
	}
	return fmt.Sprintf("requests: %d answered, %d refused, %d cut, %d silent, %d not sent; jobs: %d handed in, %d accepted, %d ended, the last %.1f s after the events; "+
		"configurations: %d sent, newest %d; stops that left requests or connections: %d; stalls of the run itself: %d",
		x.answered.Load(), x.refused.Load(), x.cut.Load(), x.silent.Load(), x.unsent.Load(), len(r.jobs.all()), accepted, over, r.slowest.Seconds(),
		len(r.configs.changes), r.configs.newest(time.Now()), r.uncleanStops.Load(), r.timeline.stallCount())
}
