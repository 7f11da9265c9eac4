package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"basaltloft/internal/dispatcher/metrics"
)

// maxWait bounds a wait for a dispatcher. It is more than any job's deadline.
const maxWait = 40 * time.Second

// Patience holds the time limits of RunFleet's waits. A wait that exceeds its limit fails. How long the
// fleet needs for a step depends on the machine.
type Patience struct {
	Start      time.Duration // until a process is ready, and then until it has joined the fleet
	Load       time.Duration // past FleetSettings.Until, for MinimumTaken
	Answer     time.Duration // until a plan is acknowledged, and then until it is answered, by the fleet's clock
	Standstill time.Duration // the same by this machine's clock: the fleet's stands still while its Raft nodes have no leader
	Idle       time.Duration // until a process has no open job
	Shutdown   time.Duration // until all processes have ended after ShutdownSignal
}

// DefaultPatience returns the time limits of the sub-command demo.
func DefaultPatience() Patience {
	return Patience{
		Start: maxWait, Load: maxWait, Answer: maxWait, Standstill: 10 * time.Minute, Idle: maxWait, Shutdown: 10 * time.Second,
	}
}

// pollInterval is the time between two polls of a dispatcher during a wait.
const pollInterval = 20 * time.Millisecond

// WaitIdle waits until a dispatcher's metrics listener reports no open job.
func WaitIdle(metricsAddr string) error {
	return waitIdle(context.Background(), metricsAddr, maxWait)
}

func waitIdle(ctx context.Context, metricsAddr string, within time.Duration) error {
	for deadline := time.Now().Add(within); ; {
		r, err := readReport(metricsAddr)
		if err != nil {
			return err
		}
		open := r.Account.Totals.Open
		if open == 0 {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return errors.Join(ctx.Err(), fmt.Errorf("%d jobs are still open", open))
		}
		time.Sleep(pollInterval)
	}
}

// WaitReady waits until a dispatcher is ready to serve. It fails if the dispatcher ends first, which the
// caller reports by a send to ended. ended may be nil.
func WaitReady(ctx context.Context, addr string, ended <-chan error) error {
	return waitReady(ctx, addr, ended, maxWait)
}

func waitReady(ctx context.Context, addr string, ended <-chan error, within time.Duration) error {
	for deadline := time.Now().Add(within); ; {
		if status, err := getStatus(ctx, "http://"+addr+"/health/ready"); err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case err := <-ended:
			if err == nil {
				err = errors.New("without an error")
			}
			return fmt.Errorf("the dispatcher ended: %w", err)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval / 2):
		}
		if time.Now().After(deadline) {
			return errors.New("the dispatcher did not become ready")
		}
	}
}

func getStatus(ctx context.Context, url string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// readReport reads a dispatcher's ledger from its metrics listener.
func readReport(metricsAddr string) (r metrics.Report, err error) {
	err = getJSON(metricsAddr, "/figures", &r)
	return r, err
}

// runAudit makes a dispatcher audit its ledger now.
func runAudit(metricsAddr string) error { return getJSON(metricsAddr, "/audit", &struct{}{}) }

// getJSON sends a GET request and decodes the JSON of the response, whatever its status.
func getJSON(addr, path string, into any) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return errors.Join(json.NewDecoder(resp.Body).Decode(into), resp.Body.Close())
}
