package server

import (
	"context"
	"net"
	"syscall"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/agentcheck"
	"basaltloft/internal/dispatcher/discovery"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory"
	"basaltloft/internal/dispatcher/httpfront"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/metrics"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/poolmember"
	"basaltloft/internal/dispatcher/settings"
)

// lastByteDelay is a little more than what a member takes to break a connection on
// which a request comes, and nothing beside the run time of a job. It counts once
// from all but the last byte; two waits of 3 ms, after the header and after the body,
// came to the same.
const lastByteDelay = 6 * time.Millisecond

// assemble makes the parts and joins them. Nothing is served yet.
func assemble(ctx context.Context, o Options) (*Service, error) {
	s := &Service{options: o, log: o.Log, draining: make(chan struct{}), startedAt: time.Now()}
	c := o.Config
	s.socketLimit = socketLimit(c)
	if c.Admin != "" { // its callers have descriptors of their own
		s.socketLimit = max(s.socketLimit/2, s.socketLimit-adminapi.MaxConnections)
	}
	if o.Operator.Faktory != nil { // its connections are held beside the others
		s.socketLimit = max(s.socketLimit/2, s.socketLimit-o.Operator.Faktory.Connections)
	}
	// Fewer jobs than connections: those that wait for an answer must leave some for
	// the call-backs that bring answers, and for refusals. Were all taken by clients,
	// no job would be told to have started or ended, and all members would look full.
	s.limits = pipeline.Limits{MaxOpen: s.socketLimit/2 - max(8, s.socketLimit/16), MaxBodyBytes: 16 << 20}
	if c.MemoryMB > 0 { // a body is held twice for a moment, and connections have buffers
		s.limits.MaxBodyBytes = min(s.limits.MaxBodyBytes, c.MemoryMB<<20/8)
	}
	counted := accounting.DefaultLimits()
	counted.Tenants, counted.MaxLogicalRequests = c.Tenants, o.Operator.Metrics.LogicalRequests
	s.metrics = metrics.NewRecorder(counted)
	var err error
	var books pipeline.Ledger = s.metrics
	var spending engine.SharedBudget
	if f := o.Operator.Fleet; f != nil {
		if s.fleet, err = s.newFleet(f); err != nil {
			return nil, err
		}
		books, spending = s.fleet.recorder, s.fleet.agent
	}
	s.pipeline = pipeline.New(c.Settings, s.limits, books, s.log)
	if s.fleet != nil {
		s.pipeline.SetTenantLimiter(s.fleet.agent)
	}
	if s.engine, err = engine.New(c.Settings, s.pipeline, spending, s.log); err != nil {
		return nil, err
	}
	s.engine.SetDelayBounds(o.Operator.Overload)
	if s.fleet != nil && s.fleet.recorder.spool != nil {
		s.engine.RecordMembersTried()
	}
	carrier := poolmember.New(s.engine, poolmember.Options{ConnectTimeout: c.ConnectTimeout, LastByteDelay: lastByteDelay, MaxSubmissions: s.socketLimit / 4, ProbeStats: c.ReportsLoad})
	pace := discovery.LocalAgentSchedule() // to an agent here: nobody else reads it
	if c.Settings.PullsMembership {
		pace = discovery.SharedServiceSchedule(c.Settings.Instances, c.Settings.Rules.MembershipMaxAge)
	}
	s.membership = discovery.New(ctx, c.Discovery, pace, s.engine, carrier, s.log)
	s.engine.SetLister(s.membership)

	http := httpfront.New(s.engine, s.pipeline, s.log)
	http.SetBodyMemory(s.limits.MaxBodyBytes)
	desks := []*accounting.FrontCounters{&http.Counters}
	if s.fleet != nil {
		desks = append(desks, &s.fleet.planService.counters)
	}
	s.operations = newAdminOperations(s, http)
	front := &component{
		name: "virtual server", listen: c.Listen, inheritedFD: c.AcceptFD,
		serve: func(_ context.Context, l net.Listener) error { return http.Serve(l, s.socketLimit/2) },
		drain: func(ShutdownSchedule) { http.Drain() }, closeIdle: http.CloseIdleConnections, inFlight: http.InFlight, stop: http.Shutdown,
	}
	if c.AcceptFD > 0 { // the socket lives on in the new process, with what waits in its queue
		front.drain = func(ShutdownSchedule) {
			http.Drain()
			front.listener.Close()
		}
	}
	s.components = append(s.components, front)
	if c.Admin != "" {
		http.ForwardUpdate = s.operations.forwardUpdate
		d := adminapi.New(s.operations, s.log)
		if s.fleet != nil {
			d.SetFleet(s.fleet)
		}
		s.components = append(s.components, &component{name: "operators' door", listen: c.Admin, serve: d.Serve})
	}
	if f := o.Operator.Faktory; f != nil {
		if f.Zone == "" {
			f.Zone = c.Settings.Zone
		}
		s.pipeline.SetDefaultCapability(func(class string) string { return faktory.QueueForClass(class, f) })
		second := faktory.New(s.engine, s.pipeline, f, s.log)
		desks = append(desks, &second.Counters)
		if s.fleet != nil {
			second.SetPlans(s.fleet.planService)
		}
		s.components = append(s.components, &component{
			name: "faktory", listen: f.Listen, serve: second.Serve, drain: func(ShutdownSchedule) { second.Drain() },
		})
	}
	s.auditor = metrics.NewAuditor(s.metrics, s.engine, desks, s.log)
	s.components = append(s.components, &component{
		name: "audit",
		serve: func(ctx context.Context, _ net.Listener) error {
			return s.auditor.Run(ctx, o.Operator.Metrics.AuditEvery)
		},
	})
	if at := o.Operator.AgentCheck; at != "" {
		s.components = append(s.components, &component{
			name: "agent check", listen: at,
			serve: func(ctx context.Context, l net.Listener) error { return agentcheck.Serve(ctx, l, s.state) },
		})
	}
	s.openJournal()
	if s.fleet != nil {
		defer func() { s.components = append(s.components, s.fleet.components...) }()
	}
	if at := o.Operator.Metrics.Listen; at != "" {
		x := &metrics.Exporter{Name: c.Name, Started: s.startedAt, Recorder: s.metrics, Engine: s.engine, Auditor: s.auditor, Journal: s.journal}
		s.components = append(s.components, &component{name: "figures", listen: at, serve: x.Serve})
	}
	return s, nil
}

// socketsPerMB keeps connections within the memory: one on which nothing but a long
// header has come costs 33 KB, and half of the sockets are clients'.
const socketsPerMB = 8

// socketLimit is how many descriptors this process may hold: what it is told, but no more
// than the system lets it, and no more than its memory bears. Of each 16, clients
// get 8, flows to members 4, probes and ends of flows 2; the rest is for the
// program's own: a connection that waits for a place, discovery's old call and its new one, listeners, the
// log and what the run time needs.
func socketLimit(c settings.Config) int {
	n := c.Sockets
	if n <= 0 {
		n = 1024
	}
	var may syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &may); err == nil && may.Cur < uint64(n) {
		n = int(may.Cur)
	}
	if c.MemoryMB > 0 {
		n = min(n, c.MemoryMB*socketsPerMB)
	}
	return max(n, 32)
}

// openJournal begins an epoch where the operator names a folder. A folder that
// can't be used is complained of; jobs are served without it.
func (s *Service) openJournal() {
	f := s.options.Operator.Metrics
	if f.JournalDir == "" {
		return
	}
	log := s.log.WithField("folder", f.JournalDir)
	folder, err := journal.OpenDirectory(f.JournalDir)
	if err != nil {
		log.WithError(err).Error("the journal of figures is off: its folder can't be used")
		return
	}
	j, err := journal.Open(folder, journal.Settings{
		SegmentBytes: int64(f.SegmentMB) << 20, MaxBytes: int64(f.KeepMB) << 20, MaxAge: time.Duration(f.KeepDays) * 24 * time.Hour,
		WriteDelay: f.WriteWithin, SyncInterval: f.SyncWithin,
	}, time.Now(), log, s.auditor.ReportDifferences)
	if err != nil {
		folder.Close()
		log.WithError(err).Error("the journal of figures is off: what it has can't be gone on from")
		return
	}
	found := j.Recovery()
	for _, damage := range found.Warnings {
		log.Error("the journal of figures is damaged: " + damage)
	}
	log.Info("journal of figures: " + found.String())
	s.journal = j
	s.metrics.SetJobJournal(j)
}

// state is what balancers are told.
func (s *Service) state() agentcheck.State {
	st := agentcheck.State{Ready: s.engine.Ready(), Draining: s.isDraining(), InFlight: s.engine.Unanswered(), MaxInFlight: s.limits.MaxOpen}
	stopped := false
	if s.journal != nil {
		stopped, _ = s.journal.Stopped()
	}
	switch {
	case !s.auditor.Balanced():
		st.Note = "the account does not add up"
	case stopped || s.journal == nil && s.options.Operator.Metrics.JournalDir != "":
		st.Note = "the journal of figures has stopped"
	}
	return st
}
