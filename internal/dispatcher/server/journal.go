package server

import (
	"time"

	"basaltloft/internal/dispatcher/journal"
)

// openJournal starts a new epoch of the journal of jobs, if the operator has set its directory. A
// directory that can't be used is logged as an error; jobs are served without the journal.
func (s *Service) openJournal() {
	config := s.options.Operator.Metrics
	if config.JournalDir == "" {
		return
	}
	log := s.log.With("folder", config.JournalDir)
	directory, err := journal.OpenDirectory(config.JournalDir)
	if err != nil {
		log.Error("the journal of figures is off: its folder can't be used", "error", err)
		return
	}
	j, err := journal.Open(directory, journal.Settings{
		SegmentBytes: int64(config.SegmentMB) << 20, MaxBytes: int64(config.KeepMB) << 20, MaxAge: time.Duration(config.KeepDays) * 24 * time.Hour,
		WriteDelay: config.WriteWithin, SyncInterval: config.SyncWithin,
	}, time.Now(), log, s.auditor.ReportDifferences)
	if err != nil {
		_ = directory.Close() // the error that matters is logged
		log.Error("the journal of figures is off: it can't be continued", "error", err)
		return
	}
	recovery := j.Recovery()
	for _, damage := range recovery.Warnings {
		log.Error("the journal of figures is damaged", "damage", damage)
	}
	log.Info("journal of figures opened", "recovery", recovery.String())
	s.journal = j
	s.metrics.SetJobJournal(j)
}

// closeJournal ends the journal's epoch, if there is one.
func (s *Service) closeJournal() {
	if s.journal == nil {
		return
	}
	if err := s.journal.Close(); err != nil {
		s.log.Error("the journal of figures could not be closed", "error", err)
	}
}
