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

// maxWait bounds each wait for a dispatcher. It is more than any job's deadline.
const maxWait = 40 * time.Second

// pollInterval is how often a dispatcher is polled while it is waited for.
const pollInterval = 20 * time.Millisecond

// WaitIdle waits until no job is open at a dispatcher, by its metrics listener.
func WaitIdle(metricsAddr string) error {
	for deadline := time.Now().Add(maxWait); ; {
		r, err := readReport(metricsAddr)
		if err != nil {
			return err
		}
		open := r.Account.Totals.Open
		if open == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d jobs are still open", open)
		}
		time.Sleep(pollInterval)
	}
}

// WaitReady waits until a dispatcher is ready to serve. It fails if the dispatcher's end
// comes first, which the caller sends to ended; a nil channel is never read.
func WaitReady(ctx context.Context, addr string, ended <-chan error) error {
	for deadline := time.Now().Add(maxWait); ; {
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

// runAudit lets a dispatcher audit its ledger now.
func runAudit(metricsAddr string) error { return getJSON(metricsAddr, "/audit", &struct{}{}) }

// getJSON decodes the JSON of an answer of any status.
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
