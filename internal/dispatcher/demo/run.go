package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/metrics"
	"basaltloft/internal/dispatcher/server"

	"github.com/schollz/progressbar/v3"
	"github.com/sirupsen/logrus"
)

// Run plays the demo for so long, shows how far it is on errs, and ends with
// the account on out. It fails if anything does not add up.
func Run(ctx context.Context, until time.Time, log *logrus.Logger, out, errs io.Writer) error {
	load := Load{Rate: 40, Members: 6, Workers: 3, Seed: 3}
	load.Faults.Reject, load.Faults.Fail, load.Faults.DuplicateEnd = 0.01, 0.005, 0.05
	w, err := NewWorld(load)
	if err != nil {
		return err
	}
	defer w.Close()
	folder, err := os.MkdirTemp("", "basaltloft-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	c, o, err := w.DecodedSettings(folder)
	if err != nil {
		return err
	}
	told, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() {
		ended <- server.Run(ctx, server.Options{Config: c, Operator: o, Log: log}, told, nil)
	}()
	if err := WaitReady(ctx, w.HTTPAddr, ended); err != nil {
		return err
	}
	fmt.Fprintf(errs, "HTTP front %s, Faktory front %s, agent check %s, figures http://%s/metrics\n", w.HTTPAddr, w.FaktoryAddr, w.AgentCheckAddr, w.MetricsAddr)
	w.StartLoad(load)
	bar := progressbar.NewOptions64(int64(time.Until(until)), progressbar.OptionSetWriter(errs), progressbar.OptionSetDescription("serving"),
		progressbar.OptionSetWidth(30), progressbar.OptionSetPredictTime(false))
	began := time.Now()
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for time.Now().Before(until) && ctx.Err() == nil {
		select {
		case err := <-ended:
			return fmt.Errorf("the dispatcher ended: %w", err)
		case <-ctx.Done():
		case <-tick.C:
			bar.Describe(fmt.Sprintf("%d answered by HTTP, %d pushed", w.HTTPAnswers.Served.Load(), w.FaktoryAnswers.Served.Load()))
			bar.Set64(int64(min(time.Since(began), until.Sub(began))))
		}
	}
	fmt.Fprintln(errs)
	w.StopClients()
	if err := WaitIdle(w.MetricsAddr); err != nil {
		return err
	}
	var r metrics.Report
	if err := get(w.MetricsAddr, "/audit", &struct{}{}); err != nil {
		return err
	}
	if err := get(w.MetricsAddr, "/figures", &r); err != nil {
		return err
	}
	told <- ShutdownSignal
	if err := <-ended; err != nil {
		return err
	}
	if err := metrics.Table(out, r, []string{"front", "class", "tenant"}); err != nil {
		return err
	}
	f, err := journal.ReadDirectory(folder)
	if err != nil {
		return err
	}
	v, err := journal.Verify(f)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the journal has %d jobs in %d segments; %d things in it do not add up\n", v.Jobs, v.Segments, len(v.Inconsistencies))
	fmt.Fprintf(out, "clients were told: %v\n", &w.HTTPAnswers)
	twice := w.RunLog.RunTwice()
	fmt.Fprintf(out, "%d jobs ran, %d tickets of them twice\n", w.RunLog.JobCount(), len(twice))
	switch {
	case len(r.Audit.Differences) > 0 || len(v.Inconsistencies) > 0:
		return errors.New("the account does not add up")
	case len(twice) > 0:
		return fmt.Errorf("tickets ran twice: %v", twice)
	case r.Account.Totals.EndedAs(accounting.Served) == 0:
		return errors.New("nothing was served")
	}
	return nil
}

const patience = 40 * time.Second // more than any job's deadline

// WaitIdle waits until nothing is open.
func WaitIdle(at string) error {
	for until := time.Now().Add(patience); ; {
		var r metrics.Report
		if err := get(at, "/figures", &r); err != nil {
			return err
		}
		if r.Account.Totals.Open == 0 {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d jobs are still open", r.Account.Totals.Open)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// WaitReady waits until a dispatcher is ready, or has ended.
func WaitReady(ctx context.Context, addr string, ended <-chan error) error {
	for until := time.Now().Add(patience); ; {
		resp, err := http.Get("http://" + addr + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case err := <-ended:
			if err == nil {
				err = errors.New("without a word")
			}
			return fmt.Errorf("the dispatcher ended: %w", err)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(until) {
			return errors.New("the dispatcher did not become ready")
		}
	}
}

func get(addr, path string, into any) error {
	resp, err := http.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}
