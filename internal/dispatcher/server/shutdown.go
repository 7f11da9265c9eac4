package server

import (
	"context"
	"log/slog"
	"time"

	"basaltloft/internal/dispatcher/accounting"
)

// The parts of the time between the signal and the forced end.
const (
	maxDrainTimeout    = 3 * time.Second         // a longer client time-out is not waited for
	forcedEndMargin    = 700 * time.Millisecond  // from the longest time-out to the forced end
	listenLead         = 1200 * time.Millisecond // from the close of the listeners to the forced end
	minListenTime      = 500 * time.Millisecond  // clients go on connecting for 0.4 s
	refuseDelay        = 600 * time.Millisecond  // from the signal
	closeIdleLead      = 100 * time.Millisecond  // before the close of the listeners
	dismissLead        = 400 * time.Millisecond  // before the forced end
	drainCheckInterval = 10 * time.Millisecond
)

// ShutdownSchedule is the schedule of a graceful shutdown, in absolute times.
type ShutdownSchedule struct {
	Began       time.Time
	RefuseFrom  time.Time // jobs that arrive from here on must be answered by DismissAt
	CloseIdleAt time.Time // connections are closed between requests from here on
	ListenUntil time.Time // listeners stay open at least until here
	DismissAt   time.Time // jobs without an answer get one
}

// PlanShutdown schedules a shutdown that begins with a signal. Clients notice it late, and go on
// opening connections for a while; those that have a connection are served on it for longer, since
// the dispatcher that they would turn to may itself be on its way back. The process may be ended by
// force once the longest client time-out, held to 3 s, and 0.7 s have passed since the signal; by
// then every job is answered that arrived within 0.7 s of the signal.
func PlanShutdown(began time.Time, longestTimeout time.Duration) ShutdownSchedule {
	forcedEnd := began.Add(min(longestTimeout, maxDrainTimeout) + forcedEndMargin)
	listenUntil := latest(forcedEnd.Add(-listenLead), began.Add(minListenTime))
	return ShutdownSchedule{
		Began: began, RefuseFrom: began.Add(refuseDelay), CloseIdleAt: listenUntil.Add(-closeIdleLead), ListenUntil: listenUntil,
		DismissAt: forcedEnd.Add(-dismissLead),
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// shutdown drains the components, waits until every job is answered, and stops them.
func (s *Service) shutdown(ctx context.Context) error {
	schedule := PlanShutdown(time.Now(), s.longestClientTimeout())
	close(s.draining)
	s.engine.BeginShutdown(schedule.RefuseFrom, schedule.DismissAt)
	for _, c := range s.components {
		if c.drain != nil {
			c.drain(schedule)
		}
	}
	s.log.Info("draining") // a socket that was handed over is the new process's alone from here on
	time.Sleep(time.Until(schedule.CloseIdleAt))
	for _, c := range s.components {
		if c.closeIdle != nil {
			c.closeIdle()
		}
	}
	s.waitDrained(schedule.ListenUntil)
	s.log.Info("closing")
	for _, c := range s.components {
		if c.stop != nil {
			if err := c.stop(ctx); err != nil {
				return err
			}
		}
	}
	s.auditor.Audit()
	s.log.LogAttrs(ctx, slog.LevelInfo, "done", s.totals()...)
	return nil
}

// longestClientTimeout is the longest time-out of any class.
func (s *Service) longestClientTimeout() (d time.Duration) {
	s.engine.Do(func() { d = s.engine.LongestClientTimeout() })
	return d
}

// waitDrained waits until the given time, and then until nothing is in flight. It closes the engine,
// which then refuses jobs that still arrive on an open connection: the listeners close next, so no
// call-back could bring a result for them.
func (s *Service) waitDrained(earliest time.Time) {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		inFlight := 0
		for _, c := range s.components {
			if c.inFlight != nil {
				inFlight += c.inFlight()
			}
		}
		if now.After(earliest) && inFlight == 0 && s.engine.CloseIfIdle() {
			return
		}
	}
}

// totals are the ledger's totals, for the last log line.
func (s *Service) totals() []slog.Attr {
	var attrs []slog.Attr
	s.engine.Do(func() {
		totals := s.metrics.Ledger.Totals()
		attrs = append(attrs, slog.Int64("taken", totals.Taken), slog.Int64("open", totals.Open))
		for outcome := range accounting.Outcomes {
			attrs = append(attrs, slog.Int64(outcome.String(), totals.EndedAs(outcome)))
		}
	})
	return attrs
}
