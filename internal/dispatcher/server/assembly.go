package server

import (
	"context"
	"net"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/agentcheck"
	"basaltloft/internal/dispatcher/discovery"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory"
	"basaltloft/internal/dispatcher/httpfront"
	"basaltloft/internal/dispatcher/metrics"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/poolmember"
)

// lastByteDelay is how long the last byte of a request is held back after all others were sent. It is a
// little longer than a pool member takes to break a connection on which a request arrives, and
// negligible beside the run time of a job. Two delays of 3 ms, after the header and after the body, had
// the same effect.
const lastByteDelay = 6 * time.Millisecond

// assemble creates the dispatcher's parts and connects them to each other. Nothing is served yet.
func assemble(ctx context.Context, o Options) (*Service, error) {
	s := &Service{options: o, log: o.Log, draining: make(chan struct{}), startedAt: time.Now()}
	s.socketLimit = frontSocketLimit(o)
	s.limits = jobLimits(o.Config, s.socketLimit)
	if err := s.assembleEngine(); err != nil {
		return nil, err
	}
	s.assembleMembership(ctx)

	front := httpfront.New(s.engine, s.pipeline, s.log)
	front.SetBodyMemory(s.limits.MaxBodyBytes)
	if o.Operator.SilentClient > 0 {
		front.SilentTimeout = o.Operator.SilentClient
	}
	counters := []*accounting.FrontCounters{&front.Counters}
	if s.fleet != nil {
		counters = append(counters, &s.fleet.planService.counters)
	}
	s.operations = newAdminOperations(s, front)
	s.addHTTPFront(front)
	if o.Config.Admin != "" {
		front.ForwardUpdate = s.operations.forwardUpdate
		s.addAdminAPI()
	}
	if o.Operator.Faktory != nil {
		counters = append(counters, s.addFaktory())
	}
	s.addAuditor(counters)
	s.addAgentCheck()
	s.openJournal()
	s.addMetricsExporter()
	if s.fleet != nil {
		s.components = append(s.components, s.fleet.components...)
	}
	return s, nil
}

// assembleEngine creates the engine with the pipeline, the ledger of jobs and, in a fleet, the fleet
// layer.
func (s *Service) assembleEngine() error {
	config, operator := s.options.Config, s.options.Operator
	ledgerLimits := accounting.DefaultLimits()
	ledgerLimits.Tenants, ledgerLimits.MaxLogicalRequests = config.Tenants, operator.Metrics.LogicalRequests
	s.metrics = metrics.NewRecorder(ledgerLimits)
	var ledger pipeline.Ledger = s.metrics
	var budget engine.SharedBudget
	if operator.Fleet != nil {
		var err error
		if s.fleet, err = s.newFleet(operator.Fleet); err != nil {
			return err
		}
		ledger, budget = s.fleet.recorder, s.fleet.agent
	}
	s.pipeline = pipeline.New(config.Settings, s.limits, ledger, s.log)
	if s.fleet != nil {
		s.pipeline.SetTenantLimiter(s.fleet.agent)
	}
	var err error
	if s.engine, err = engine.New(config.Settings, s.pipeline, budget, s.log); err != nil {
		return err
	}
	s.engine.SetDelayBounds(operator.Overload)
	if s.fleet != nil && s.fleet.recorder.spool != nil {
		s.engine.RecordMembersTried()
	}
	return nil
}

// assembleMembership creates the transport to pool members and the follower of their membership.
func (s *Service) assembleMembership(ctx context.Context) {
	config := s.options.Config
	s.transport = poolmember.New(s.engine, poolmember.Options{
		ConnectTimeout: config.ConnectTimeout, LastByteDelay: lastByteDelay, MaxSubmissions: s.socketLimit / 4, ProbeStats: config.ReportsLoad,
	})
	schedule := discovery.LocalAgentSchedule() // an agent on this machine, which serves only this process
	if config.Settings.PullsMembership {
		schedule = discovery.SharedServiceSchedule(config.Settings.Instances, config.Settings.Rules.MembershipMaxAge)
	}
	s.membership = discovery.New(ctx, config.Discovery, schedule, s.engine, s.transport, s.log)
	s.engine.SetLister(s.membership)
}

// addHTTPFront adds the front for HTTP clients.
func (s *Service) addHTTPFront(front *httpfront.Server) {
	c := &component{
		name: "HTTP front", listen: s.options.Config.Listen, inheritedFD: s.options.Config.AcceptFD,
		serve: func(_ context.Context, l net.Listener) error { return front.Serve(l, s.socketLimit/2) },
		drain: func(ShutdownSchedule) { front.Drain() }, closeIdle: front.CloseIdleConnections, inFlight: front.InFlight, stop: front.Shutdown,
	}
	if c.inheritedFD > 0 { // the new process has the same socket, with the connections in its accept queue
		c.drain = func(ShutdownSchedule) {
			front.Drain()
			_ = c.listener.Close() // only this process's descriptor
		}
	}
	s.components = append(s.components, c)
}

// addAdminAPI adds the operators' admin API.
func (s *Service) addAdminAPI() {
	api := adminapi.New(s.operations, s.log)
	if s.fleet != nil {
		api.SetFleet(s.fleet)
	}
	s.components = append(s.components, &component{name: "admin API", listen: s.options.Config.Admin, serve: api.Serve})
}

// addFaktory adds the front for Faktory's clients and workers, and returns its counters.
func (s *Service) addFaktory() *accounting.FrontCounters {
	config := s.options.Operator.Faktory
	if config.Zone == "" {
		config.Zone = s.options.Config.Settings.Zone
	}
	s.pipeline.SetDefaultCapability(func(class string) string { return faktory.QueueForClass(class, config) })
	front := faktory.New(s.engine, s.pipeline, config, s.log)
	if s.fleet != nil {
		front.SetPlans(s.fleet.planService)
	}
	s.components = append(s.components, &component{
		name: "faktory", listen: config.Listen, serve: front.Serve, drain: func(ShutdownSchedule) { front.Drain() },
	})
	return &front.Counters
}

// addAuditor adds the audit of the ledger against the engine and the fronts.
func (s *Service) addAuditor(counters []*accounting.FrontCounters) {
	s.auditor = metrics.NewAuditor(s.metrics, s.engine, counters, s.log)
	s.components = append(s.components, &component{
		name: "audit",
		serve: func(ctx context.Context, _ net.Listener) error {
			return s.auditor.Run(ctx, s.options.Operator.Metrics.AuditEvery)
		},
	})
}

// addAgentCheck adds the agent check for load balancers, if the operator has set its address.
func (s *Service) addAgentCheck() {
	address := s.options.Operator.AgentCheck
	if address == "" {
		return
	}
	s.components = append(s.components, &component{
		name: "agent check", listen: address,
		serve: func(ctx context.Context, l net.Listener) error { return agentcheck.Serve(ctx, l, s.loadBalancerState) },
	})
}

// addMetricsExporter adds the HTTP server of the metrics, if the operator has set its address.
func (s *Service) addMetricsExporter() {
	address := s.options.Operator.Metrics.Listen
	if address == "" {
		return
	}
	exporter := &metrics.Exporter{
		Name: s.options.Config.Name, Started: s.startedAt, Recorder: s.metrics, Engine: s.engine, Auditor: s.auditor, Journal: s.journal,
	}
	s.components = append(s.components, &component{name: "figures", listen: address, serve: exporter.Serve})
}

// loadBalancerState returns the answer to an agent check.
func (s *Service) loadBalancerState() agentcheck.State {
	state := agentcheck.State{
		Ready: s.engine.Ready(), Draining: s.isDraining(), InFlight: s.engine.Unanswered(), MaxInFlight: s.limits.MaxOpen,
	}
	journalStopped := false
	if s.journal != nil {
		journalStopped, _ = s.journal.Stopped()
	}
	switch {
	case !s.auditor.Balanced():
		state.Note = "the account does not add up"
	case journalStopped || s.journal == nil && s.options.Operator.Metrics.JournalDir != "":
		state.Note = "the journal of figures has stopped"
	}
	return state
}
