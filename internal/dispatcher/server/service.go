// Package server assembles the dispatcher process from its parts and controls its life cycle: start,
// reload and graceful shutdown. It makes no decision about jobs.
//
// Each part that is started, drained or stopped is a component; assemble creates them all, and Run
// starts and stops them.
package server

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/discovery"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/metrics"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/poolmember"
	"basaltloft/internal/dispatcher/settings"
)

// Options configure a dispatcher process.
type Options struct {
	Config   settings.Config
	Operator settings.Operator
	// OperatorDir is the directory of the operator's file. Relative file names in it are relative to
	// this directory.
	OperatorDir string
	// ReadConfig reads the configuration file again, for a reload.
	ReadConfig func() (settings.Config, error)
	Log        *slog.Logger
}

// agentListTimeout is how long a starting process waits for the membership list of the agent on this
// machine. The agent answers at once or, while discovery is down, not at all.
const agentListTimeout = 500 * time.Millisecond

// Service is one dispatcher process.
type Service struct {
	options     Options
	log         *slog.Logger
	limits      pipeline.Limits
	socketLimit int // descriptors for clients and pool members
	metrics     *metrics.Recorder
	auditor     *metrics.Auditor
	journal     *journal.Journal // nil: off
	engine      *engine.Engine
	pipeline    *pipeline.Pipeline
	membership  *discovery.Follower
	transport   *poolmember.Transport
	components  []*component // in the order in which they are started, drained and stopped
	operations  *adminOperations
	fleet       *fleet        // nil: this process is in no fleet
	draining    chan struct{} // closed when the shutdown begins
	startedAt   time.Time
}

// Run serves until it receives a signal from stop, and then until every accepted job is answered. A signal
// from reloads reloads the configuration. Run returns an error if the dispatcher can't start or a
// component fails. All of its goroutines have ended when it returns.
func Run(ctx context.Context, o Options, stop, reloads <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := assemble(ctx, o)
	if err != nil {
		return err
	}
	var goroutines sync.WaitGroup
	defer func() {
		cancel()
		goroutines.Wait() // before the next two: the engine, which runs in one of them, starts their goroutines
		s.membership.Wait()
		s.transport.Close()
	}()
	defer s.closeJournal()
	goroutines.Go(func() { s.engine.Run(ctx) })
	s.restoreState()
	select {
	case <-stop: // no client could connect yet, so no job is open
		s.log.Info("stopped before serving")
		return nil
	default:
	}
	if err := s.listen(ctx); err != nil {
		return err
	}
	if admin := o.Config.Admin; admin != "" {
		defer s.operations.announce(admin)()
	}
	failed := s.startComponents(ctx, &goroutines)
	s.log.Info("serving", "name", o.Config.Name, "listen", o.Config.Listen, "members", len(o.Config.LastMembership.Entries))
	goroutines.Go(func() { s.reloadOn(ctx, reloads) }) // also during the shutdown: jobs may still need the membership
	select {
	case err := <-failed:
		s.closeListeners() // some components end only when their listener is closed
		return err
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	return s.shutdown(ctx)
}

// restoreState applies the last known membership, and what operators set in an earlier process. The
// engine's goroutine must be running.
func (s *Service) restoreState() {
	config := s.options.Config
	s.membership.Restore(config.LastMembership)
	if !config.Settings.PullsMembership { // an agent on this machine, which serves only this process
		s.membership.KeepWatching()
		s.membership.WaitFirstAnswer(time.Now().Add(agentListTimeout))
	}
	s.operations.restore()
	s.engine.Do(func() {}) // waits until the engine has the pool, before the first client connects
}

// listen opens all components' listeners before anything is served, so that the program ends with a single
// line if an address is not available. On an error it closes those that are open.
func (s *Service) listen(ctx context.Context) error {
	for _, c := range s.components {
		if err := c.listenOn(ctx, s.startedAt.Add(listenTimeout), s.log); err != nil {
			s.closeListeners()
			return err
		}
	}
	return nil
}

// closeListeners closes all listeners that are open.
func (s *Service) closeListeners() {
	for _, c := range s.components {
		if c.listener != nil {
			_ = c.listener.Close() // the process ends with the error that led here
		}
	}
}

// startComponents runs each component in a goroutine. It returns a channel of their errors, with room for
// one of each component.
func (s *Service) startComponents(ctx context.Context, goroutines *sync.WaitGroup) <-chan error {
	failed := make(chan error, len(s.components))
	for _, c := range s.components {
		if c.serve == nil {
			continue
		}
		goroutines.Go(func() {
			if err := c.serve(ctx, c.listener); err != nil && ctx.Err() == nil {
				failed <- err
			}
		})
	}
	return failed
}

// reloadOn reloads the configuration at each signal until the context ends.
func (s *Service) reloadOn(ctx context.Context, reloads <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			s.reload()
		}
	}
}

// reload reads the configuration file again. It switches to the discovery service in the file, and applies
// the file's classes and limits to jobs that arrive from now on. The file is newer than the environment,
// so it takes precedence here. Other changes need a restart. A file that can't be used changes nothing.
func (s *Service) reload() {
	c, err := s.options.ReadConfig()
	if err == nil {
		err = s.engine.Reconfigure(c.Settings)
	}
	if err != nil {
		s.log.Error("the configuration can't be reloaded and stays as it was", "error", err)
		return
	}
	s.pipeline.Reconfigure(c.Settings)
	if s.fleet != nil {
		if err := s.fleet.planService.loadPlans(c); err != nil {
			s.log.Error("the plan files can't be reloaded: those in use stay", "error", err)
		}
	}
	s.membership.SwitchTo(c.Discovery)
	s.log.Info("reloaded", "discovery", c.Discovery, "classes", len(c.Settings.Classes), "most_tries", c.Settings.Limits.MaxAttempts)
}

// isDraining reports whether the shutdown has begun.
func (s *Service) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}
