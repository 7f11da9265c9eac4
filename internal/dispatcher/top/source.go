package top

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"basaltloft/internal/dispatcher/faktory/client"
	"basaltloft/internal/dispatcher/metrics"
)

// Sample holds what was read from a dispatcher at one time. A part that could not be read is
// nil and has an entry in Problems.
type Sample struct {
	At       time.Time
	Figures  *metrics.Report
	Faktory  *client.Info
	Workers  []client.Worker
	Problems []string
}

// Source holds the addresses of a dispatcher. An empty address is not read.
type Source struct{ MetricsAddr, FaktoryAddr, Password string }

// readTimeout is the timeout of each read.
const readTimeout = 2 * time.Second

// Read reads a dispatcher. now is the time of the sample.
func (s Source) Read(now time.Time) (sample Sample) {
	sample.At = now
	if s.MetricsAddr != "" {
		report, err := s.readMetrics()
		if err != nil {
			sample.Problems = append(sample.Problems, "figures: "+err.Error())
		}
		sample.Figures = report
	}
	if s.FaktoryAddr != "" {
		info, workers, err := s.readFaktory(now.Add(readTimeout))
		if err != nil {
			sample.Problems = append(sample.Problems, "faktory: "+err.Error())
		}
		sample.Faktory, sample.Workers = info, workers
	}
	return sample
}

func (s Source) readMetrics() (*metrics.Report, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(readTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.MetricsAddr+"/figures", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	report := new(metrics.Report)
	if err := errors.Join(json.NewDecoder(resp.Body).Decode(report), resp.Body.Close()); err != nil {
		return nil, err
	}
	return report, nil
}

func (s Source) readFaktory(deadline time.Time) (info *client.Info, workers []client.Worker, err error) {
	conn, err := client.Dial(s.FaktoryAddr, s.Password, deadline)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = conn.Close() }() // all replies have been read
	info = new(client.Info)
	if err := conn.Query("INFO", info, deadline); err != nil {
		return nil, nil, err
	}
	if err := conn.Query("SHOW workers", &workers, deadline); err != nil {
		return nil, nil, err
	}
	return info, workers, nil
}
