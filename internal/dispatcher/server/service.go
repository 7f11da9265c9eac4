// Package server assembles the dispatcher of its parts and owns its life:
// start, reload and planned end. Nothing here decides about jobs.
package server

import (
	"context"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/discovery"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/metrics"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/settings"

	"github.com/sirupsen/logrus"
)

// Options are what a service is made of.
type Options struct {
	Config   settings.Config
	Operator settings.Operator
	// OperatorDir is the folder of the operator's file: names in it that are not
	// absolute are looked up there.
	OperatorDir string
	ReadConfig  func() (settings.Config, error) // reads the configuration file again, for a reload
	Log         *logrus.Logger
}

// agentListTimeout is how long a start waits for the list of the agent on this machine, which
// answers at once or, while discovery is down, not at all.
const agentListTimeout = 500 * time.Millisecond

// Service is one dispatcher.
type Service struct {
	options     Options
	log         *logrus.Logger
	limits      pipeline.Limits
	socketLimit int
	metrics     *metrics.Recorder
	auditor     *metrics.Auditor
	journal     *journal.Journal // nil: off
	engine      *engine.Engine
	pipeline    *pipeline.Pipeline
	membership  *discovery.Follower
	components  []*component
	operations  *adminOperations
	fleet       *fleet        // nil: this process is alone
	draining    chan struct{} // closed when a planned end begins
	startedAt   time.Time
}

// programTextBytes is what the program itself takes of the memory beside what the run time counts.
const programTextBytes = 16 << 20

// ApplyResourceLimits holds the run time of this process to the machine that it is told of.
func ApplyResourceLimits(c settings.Config) {
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	}
	if c.MemoryMB > 0 {
		all := int64(c.MemoryMB) << 20
		debug.SetMemoryLimit(max(all/2, min(all*3/4, all-programTextBytes)))
		debug.SetGCPercent(400)
	}
}

// Run serves until told to end, then until everything taken is answered. It
// returns an error if it can't start or a part of it fails.
func Run(ctx context.Context, o Options, stop, reloads <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer cancel()
	s, err := assemble(ctx, o)
	if err != nil {
		return err
	}
	defer s.closeJournal()
	goroutines.Go(func() { s.engine.Run(ctx) })
	s.membership.Restore(o.Config.LastMembership)
	if !o.Config.Settings.PullsMembership { // pushed to an agent here: nobody else reads it
		s.membership.KeepWatching()
		s.membership.WaitFirstAnswer(time.Now().Add(agentListTimeout))
	}
	s.operations.restore()
	s.engine.Do(func() {}) // the pool is known before anybody asks
	select {
	case <-stop: // nobody could connect yet: nothing is owed
		s.log.Info("told to end before serving")
		return nil
	default:
	}

	// All sockets are taken before anything is served: an address that can't
	// be had ends the program with one line.
	for i, c := range s.components {
		if err := c.listenOn(ctx, s.startedAt.Add(listenTimeout), s.log); err != nil {
			for _, opened := range s.components[:i] {
				if opened.listener != nil {
					opened.listener.Close()
				}
			}
			return err
		}
	}
	if a := o.Config.Admin; a != "" {
		defer s.operations.announce(a)()
	}
	failed := make(chan error, len(s.components))
	for _, c := range s.components {
		if c.serve != nil {
			goroutines.Go(func() {
				if err := c.serve(ctx, c.listener); err != nil && ctx.Err() == nil {
					failed <- err
				}
			})
		}
	}
	s.log.WithFields(logrus.Fields{"name": o.Config.Name, "listen": o.Config.Listen, "members": len(o.Config.LastMembership.Entries)}).Info("serving")
	goroutines.Go(func() { // also while it drains: jobs in hand may still need the list
		for {
			select {
			case <-ctx.Done():
				return
			case <-reloads:
				s.reload()
			}
		}
	})
	select {
	case err := <-failed: // the parts that serve on a listener alone would be waited for
		for _, c := range s.components {
			if c.listener != nil {
				c.listener.Close()
			}
		}
		return err
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	return s.shutdown(ctx)
}

// reload follows the discovery service that the file names now, and takes its
// classes and limits for what comes from now on. The file is newer than the
// environment, so it has the last word here. All else in it takes a restart.
// A file that can't be used changes nothing: a dispatcher with jobs in hand
// goes on as it was.
func (s *Service) reload() {
	c, err := s.options.ReadConfig()
	if err == nil {
		err = s.engine.Reconfigure(c.Settings)
	}
	if err != nil {
		s.log.WithError(err).Error("the configuration can't be reloaded and stays as it was")
		return
	}
	s.pipeline.Reconfigure(c.Settings)
	if s.fleet != nil {
		if err := s.fleet.planService.loadPlans(c); err != nil {
			s.log.WithError(err).Error("the plan files can't be reloaded: those in use stay")
		}
	}
	s.membership.SwitchTo(c.Discovery)
	s.log.WithFields(logrus.Fields{"discovery": c.Discovery, "classes": len(c.Settings.Classes), "most_tries": c.Settings.Limits.MaxAttempts}).Info("reloaded")
}

// shutdown is the planned end.
func (s *Service) shutdown(ctx context.Context) error {
	e := PlanShutdown(time.Now(), s.longestClientTimeout())
	close(s.draining)
	s.engine.BeginShutdown(e.RefuseFrom, e.DismissAt)
	for _, c := range s.components {
		if c.drain != nil {
			c.drain(e)
		}
	}
	s.log.Info("draining") // a socket handed over is the new process's alone from here on
	time.Sleep(time.Until(e.CloseIdleAt))
	for _, c := range s.components {
		if c.closeIdle != nil {
			c.closeIdle()
		}
	}
	s.waitDrained(e.ListenUntil)
	s.log.Info("closing")
	for _, c := range s.components {
		if c.stop != nil {
			if err := c.stop(ctx); err != nil {
				return err
			}
		}
	}
	s.auditor.Audit()
	s.log.WithFields(s.totals()).Info("done")
	return nil
}

// longestClientTimeout is the longest deadline of any class.
func (s *Service) longestClientTimeout() (d time.Duration) {
	s.engine.Do(func() { d = s.engine.LongestClientTimeout() })
	return d
}

// waitDrained waits until the time given and then until nothing is in hand. A socket that
// closes shuts call-backs out: what comes from here on, on a connection that is still
// open, is refused, since no result could come for it.
func (s *Service) waitDrained(earliest time.Time) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for now := range tick.C {
		inHand := 0
		for _, c := range s.components {
			if c.inFlight != nil {
				inHand += c.inFlight()
			}
		}
		if now.After(earliest) && inHand == 0 && s.engine.CloseIfIdle() {
			return
		}
	}
}

// totals is a line on what has been booked, for the log at the end.
func (s *Service) totals() logrus.Fields {
	f := logrus.Fields{}
	s.engine.Do(func() {
		t := s.metrics.Ledger.Totals()
		f["taken"], f["open"] = t.Taken, t.Open
		for o := range accounting.Outcomes {
			f[o.String()] = t.EndedAs(o)
		}
	})
	return f
}

func (s *Service) closeJournal() {
	if s.journal == nil {
		return
	}
	if err := s.journal.Close(); err != nil {
		s.log.WithError(err).Error("the journal of figures is not whole")
	}
}

func (s *Service) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}
