package server

import (
	"context"
	"log/slog"
	"time"

	"basaltloft/internal/dispatcher/accounting"
)

// The times between the signal and the forced end: the time from which the process may be ended by force.
const (
	maxDrainTimeout    = 3 * time.Second         // a longer client timeout is not waited for
	forcedEndMargin    = 700 * time.Millisecond  // from the longest client timeout to the forced end
	listenLead         = 1200 * time.Millisecond // from the close of the listeners to the forced end
	minListenTime      = 500 * time.Millisecond  // from the signal: clients go on connecting for 0.4 s
	refuseDelay        = 600 * time.Millisecond  // from the signal
	closeIdleLead      = 100 * time.Millisecond  // before the close of the listeners
	dismissLead        = 400 * time.Millisecond  // before the forced end
	drainCheckInterval = 10 * time.Millisecond
)

// ShutdownSchedule is the schedule of a graceful shutdown, in absolute times.
type ShutdownSchedule struct {
	Began       time.Time
	RefuseFrom  time.Time // jobs that arrive after this time must be answered by DismissAt
	CloseIdleAt time.Time // idle connections are closed from this time on
	ListenUntil time.Time // listeners stay open at least until this time
	DismissAt   time.Time // jobs that arrived after RefuseFrom and are still open are answered
}

// PlanShutdown returns the schedule of a shutdown that begins with a signal. Clients notice the shutdown
// late and open connections for a while. Clients with an open connection are served on it for longer, since
// the dispatcher that they would try next may itself be restarting. The process may be ended by force 0.7 s
// after the longest client timeout, of which at most 3 s count, has passed since the signal. By then every
// job that arrived within 0.7 s of the signal is answered.
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
	s.log.Info("draining") // from here on, only the new process uses a socket that was handed over
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

// longestClientTimeout returns the longest client timeout of any class.
func (s *Service) longestClientTimeout() (d time.Duration) {
	s.engine.Do(func() { d = s.engine.LongestClientTimeout() })
	return d
}

// waitDrained waits until the given time, and then until nothing is in flight. It closes the engine, which
// then refuses jobs that still arrive on an open connection: the listeners close next, so no call-back
// could deliver a result for them.
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

// totals returns the ledger's totals, for the last log line.
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
