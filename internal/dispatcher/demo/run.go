package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/fakes"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/metrics"
	"basaltloft/internal/dispatcher/server"
	"basaltloft/internal/dispatcher/textout"

	"github.com/schollz/progressbar/v3"
)

// progressInterval is how often progress is shown.
const progressInterval = 250 * time.Millisecond

// Run runs the demo until the given time, with the dispatcher in this process. It shows progress on errs
// and writes the ledger to out at the end. It fails if the ledger or the journal does not add up, a ticket
// ran twice, or nothing was served.
func Run(ctx context.Context, until time.Time, log *slog.Logger, out, errs io.Writer) (err error) {
	load := Load{Rate: 40, Members: 6, Workers: 3, Seed: 3, Faults: fakes.Faults{Reject: 0.01, Fail: 0.005, DuplicateEnd: 0.05}}
	w, err := NewWorld(load)
	if err != nil {
		return err
	}
	defer w.Close()
	journalDir, err := os.MkdirTemp("", "basaltloft-demo")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(journalDir)) }()
	c, o, err := w.DecodedSettings(journalDir)
	if err != nil {
		return err
	}
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() {
		ended <- server.Run(ctx, server.Options{Config: c, Operator: o, Log: log}, signals, nil)
	}()
	if err := WaitReady(ctx, w.HTTPAddr, ended); err != nil {
		return err
	}
	if err := w.serve(ctx, load, until, ended, errs); err != nil {
		return err
	}
	report, err := readReport(w.MetricsAddr)
	if err != nil {
		return err
	}
	signals <- ShutdownSignal
	if err := <-ended; err != nil {
		return err
	}
	return w.summarize(report, journalDir, out)
}

// serve runs the clients until the given time, then waits until no job is open and audits the ledger.
// ended receives the dispatcher's error when it ends; serve then fails.
func (w *World) serve(ctx context.Context, load Load, until time.Time, ended <-chan error, errs io.Writer) error {
	p := textout.New(errs)
	p.Printf("HTTP front %s, Faktory front %s, agent check %s, figures http://%s/metrics\n", w.HTTPAddr, w.FaktoryAddr, w.AgentCheckAddr, w.MetricsAddr)
	w.StartLoad(load)
	bar := progressbar.NewOptions64(int64(time.Until(until)), progressbar.OptionSetWriter(errs), progressbar.OptionSetDescription("serving"),
		progressbar.OptionSetWidth(30), progressbar.OptionSetPredictTime(false))
	began := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for time.Now().Before(until) && ctx.Err() == nil {
		select {
		case err := <-ended:
			return fmt.Errorf("the dispatcher ended: %w", err)
		case <-ctx.Done():
		case <-ticker.C:
			bar.Describe(fmt.Sprintf("%d answered by HTTP, %d pushed", w.HTTPAnswers.Served.Load(), w.FaktoryAnswers.Served.Load()))
			_ = bar.Set64(int64(min(time.Since(began), until.Sub(began)))) // a failure to show progress is ignored
		}
	}
	p.Println()
	w.StopClients()
	if err := errors.Join(p.Err(), WaitIdle(w.MetricsAddr)); err != nil {
		return err
	}
	return runAudit(w.MetricsAddr)
}

// summarize writes a summary of the ledger, the journal and the jobs that ran. It fails if they do not
// add up, a ticket ran twice, or nothing was served.
func (w *World) summarize(report metrics.Report, journalDir string, out io.Writer) error {
	if err := metrics.Table(out, report, []string{"front", "class", "tenant"}); err != nil {
		return err
	}
	dir, err := journal.ReadDirectory(journalDir)
	if err != nil {
		return err
	}
	verification, err := journal.Verify(dir)
	if err != nil {
		return err
	}
	runTwice := w.RunLog.RunTwice()
	p := textout.New(out)
	p.Printf("the journal has %d jobs in %d segments; %d things in it do not add up\n", verification.Jobs, verification.Segments, len(verification.Inconsistencies))
	p.Printf("clients were told: %v\n", &w.HTTPAnswers)
	p.Printf("%d jobs ran, %d tickets of them twice\n", w.RunLog.JobCount(), len(runTwice))
	switch {
	case p.Err() != nil:
		return p.Err()
	case len(report.Audit.Differences) > 0 || len(verification.Inconsistencies) > 0:
		return errors.New("the account does not add up")
	case len(runTwice) > 0:
		return fmt.Errorf("tickets ran twice: %v", runTwice)
	case report.Account.Totals.EndedAs(accounting.Served) == 0:
		return errors.New("nothing was served")
	}
	return nil
}
