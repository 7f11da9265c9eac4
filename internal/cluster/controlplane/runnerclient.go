package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
)

// runnerClient speaks to runners.
type runnerClient struct{ http *http.Client }

const (
	connsPerRunner = 6
	idleConns      = 3
	idleFor        = 60 * time.Second
	startWithin    = 300 * time.Millisecond // an order to start is not carried out later
	answerWithin   = time.Second            // for a stop's answer
	mostAnswer     = 4 << 20                // bytes of an answer
	holdGrace      = 900 * time.Millisecond
)

func newRunnerClient() *runnerClient {
	return &runnerClient{http: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
		DialContext: rpc.Dialer().DialContext, MaxConnsPerHost: connsPerRunner, MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout: idleFor, DisableCompression: true, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10,
	}}}
}

// noRedirect keeps a call from being sent again elsewhere. The transport sends a POST again by
// itself only where nothing of it was written.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// startBody, stopBody and holdBody are the orders as runners take them.
type startBody struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FenceToken   uint64 `json:"fence_token"`
	Checkpointed string `json:"checkpointed,omitempty"`
}

type stopBody struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	FenceToken uint64 `json:"fence_token"`
}

type holdBody struct {
	DeadlineMs int64  `json:"deadline_ms,omitempty"`
	FenceToken uint64 `json:"fence_token"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms,omitempty"`
}

// reply is what runners answer.
type reply struct {
	ClockMs     int64             `json:"clock_ms"`
	Reason      string            `json:"reason"`
	Running     []json.RawMessage `json:"running"`
	Finished    []json.RawMessage `json:"finished"`
	RemainingMs int64             `json:"remaining_ms"`
}

func (c *runnerClient) post(within time.Duration, order scheduler.Order, path string, body any) (int, reply, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, reply{}, errors.Wrap(err, "encode an order")
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address+path, bytes.NewReader(content))
	if err != nil {
		return 0, reply{}, errors.Wrap(err, "build an order")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Expect-Instance", order.Runner)
	response, err := c.http.Do(request)
	if err != nil {
		return 0, reply{}, errors.Wrap(err, "send an order")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, mostAnswer))
	if err != nil {
		return 0, reply{}, errors.Wrap(err, "read a runner's answer")
	}
	got := reply{}
	if len(answer) > 0 && json.Unmarshal(answer, &got) != nil && response.StatusCode == http.StatusOK {
		return 0, reply{}, errors.New("a runner's answer is not whole JSON")
	}
	return response.StatusCode, got, nil
}

// start sends an order to start.
func (c *runnerClient) start(order scheduler.Order) (scheduler.StartReply, int64) {
	status, got, err := c.post(startWithin, order, "/-/run-start", startBody{
		Task: order.Task.String(), Attempt: order.Attempt, Spec: order.Spec,
		DeadlineMs: order.DeadlineMs, FenceToken: order.Token, Checkpointed: order.Checkpoint,
	})
	switch {
	case err != nil, status >= 500 && status != http.StatusServiceUnavailable:
		return scheduler.StartNoReply, 0
	case status == http.StatusOK:
		return scheduler.StartAccepted, got.ClockMs
	case status == http.StatusMisdirectedRequest:
		return scheduler.StartOtherIncarnation, 0
	case got.Reason == "room":
		return scheduler.StartNoCapacity, got.ClockMs
	}
	return scheduler.StartRefused, got.ClockMs
}

// stop sends a stop; ok: the runner took it.
func (c *runnerClient) stop(order scheduler.Order) (ok, otherLife bool, clock int64) {
	status, got, err := c.post(answerWithin, order, "/-/run-stop", stopBody{Task: order.Task.String(), Attempt: order.Attempt, FenceToken: order.Token})
	if err != nil {
		return false, false, 0
	}
	return status == http.StatusOK, status == http.StatusMisdirectedRequest, got.ClockMs
}

// hold renews a runner's holds and looks at what it runs.
func (c *runnerClient) hold(order scheduler.Order) (scheduler.LeaseReply, scheduler.RunnerReport) {
	within := time.Duration(order.WaitMs)*time.Millisecond + holdGrace
	status, got, err := c.post(within, order, "/-/hold", holdBody{DeadlineMs: order.DeadlineMs, FenceToken: order.Token, LastSeen: order.AckedThrough, WaitMs: order.WaitMs})
	switch {
	case err != nil:
		return scheduler.LeaseNoReply, scheduler.RunnerReport{}
	case status == http.StatusMisdirectedRequest:
		return scheduler.LeaseOtherIncarnation, scheduler.RunnerReport{}
	case status == http.StatusConflict:
		return scheduler.LeaseFenced, scheduler.RunnerReport{}
	case status != http.StatusOK:
		return scheduler.LeaseNoReply, scheduler.RunnerReport{}
	}
	look, err := readLook(got)
	if err != nil {
		return scheduler.LeaseNoReply, scheduler.RunnerReport{}
	}
	return scheduler.LeaseRenewed, look
}

func readLook(got reply) (scheduler.RunnerReport, error) {
	look := scheduler.RunnerReport{ClockMs: got.ClockMs, RemainingMs: got.RemainingMs}
	for _, row := range got.Running {
		running, err := readRunning(row)
		if err != nil {
			return look, err
		}
		look.Running = append(look.Running, running)
	}
	for _, row := range got.Finished {
		end, err := readEnd(row)
		if err != nil {
			return look, err
		}
		look.Finished = append(look.Finished, end)
	}
	return look, nil
}

// readRunning reads [task, run, saved, percent].
func readRunning(row json.RawMessage) (scheduler.ReportedRun, error) {
	var name string
	var percent float64
	running := scheduler.ReportedRun{}
	if err := readRow(row, &name, &running.Attempt, &running.Checkpoint, &percent); err != nil {
		return running, err
	}
	running.Percent = int(percent)
	var err error
	running.Task, err = job.ParseTaskRef(name)
	return running, err
}

// readEnd reads [N, task, run, how, saved].
func readEnd(row json.RawMessage) (scheduler.ReportedEnd, error) {
	var name, how string
	end := scheduler.ReportedEnd{}
	if err := readRow(row, &end.Number, &name, &end.Attempt, &how, &end.Checkpoint); err != nil {
		return end, err
	}
	end.Reason = job.ParseEndReason(how)
	var err error
	end.Task, err = job.ParseTaskRef(name)
	return end, err
}

// readRow reads the fields of a list; fields that are missing at its end stay as they are.
func readRow(row json.RawMessage, fields ...any) error {
	var parts []json.RawMessage
	if err := json.Unmarshal(row, &parts); err != nil {
		return errors.Wrap(err, "read a runner's list")
	}
	for at, part := range parts {
		if at >= len(fields) {
			return nil
		}
		if err := json.Unmarshal(part, fields[at]); err != nil {
			return errors.Wrap(err, "read a runner's list")
		}
	}
	return nil
}
