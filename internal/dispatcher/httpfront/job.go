package httpfront

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/shared/saturating"
)

// serveJob passes a client's job to the reverse proxy, whose transport is the engine.
func (s *Server) serveJob(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		rejectInput(w, http.StatusMethodNotAllowed, "jobs are submitted with POST")
		return
	}
	// prepareAnswer sets the write deadline again. An error means that the connection is closed.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	s.proxy.ServeHTTP(w, r)
}

// engineRoundTripper is the reverse proxy's transport: a round trip is a transaction of the engine, from
// its submission to its single final answer.
type engineRoundTripper struct{ s *Server }

// waitingClient waits for the answer of one transaction. It implements engine.Client and
// engine.GoneReporter.
type waitingClient struct {
	counters *accounting.FrontCounters
	answer   chan engine.Answer // buffers the single answer
	ctx      context.Context    // of the request; canceled when the client disconnects
	counted  atomic.Bool        // whether the disconnect has been counted
}

// Gone implements engine.GoneReporter.
func (c *waitingClient) Gone() bool {
	if c.ctx.Err() == nil {
		return false
	}
	if c.counted.CompareAndSwap(false, true) {
		c.counters.ClientLeft()
	}
	return true
}

// Answer implements engine.Client.
func (c *waitingClient) Answer(a engine.Answer) {
	c.counters.JobAnswered(a.Verdict.Outcome())
	c.answer <- a
}

// RoundTrip implements http.RoundTripper.
func (t engineRoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	request, _ := r.Context().Value(requestKey{}).(completeRequest)
	arrived, body := request.arrived, request.body
	submission, err := readSubmission(r, arrived, body)
	if err != nil {
		return newResponse(r, http.StatusBadRequest, []byte(err.Error()+"\n")), nil
	}
	client := &waitingClient{counters: &t.s.Counters, answer: make(chan engine.Answer, 1), ctx: r.Context()}
	tx, err := t.s.factory.NewTransaction(submission, arrived, client)
	switch {
	case errors.Is(err, pipeline.ErrUnknownClass):
		return newResponse(r, http.StatusNotFound, []byte(err.Error()+"\n")), nil
	case err != nil:
		return newResponse(r, http.StatusBadRequest, []byte(err.Error()+"\n")), nil
	}
	t.s.Counters.JobStarted()
	t.s.engine.Submit(tx)
	t.s.Counters.JobSubmitted()
	select {
	case a := <-client.answer:
		return answerResponse(r, a), nil
	case <-r.Context().Done():
		client.Gone()
		t.s.engine.ClientLeft(tx)
		return nil, r.Context().Err()
	}
}

// readSubmission reads the platform's headers. A budget counts from when the request was sent; that time is
// unknown, and its arrival is the closest known time.
func readSubmission(r *http.Request, arrived time.Time, body []byte) (pipeline.Submission, error) {
	h := r.Header
	a := pipeline.Submission{
		ID: h.Get("X-Call-Id"), Class: h.Get("X-Call-Class"), Tenant: h.Get("X-Caller"),
		Target: r.URL.RequestURI(), Front: Front, Key: h.Get("Idempotency-Key"), Body: body,
		Retry: h.Get("X-Again") == "1", AffinityKey: r.URL.Query().Get("sid"),
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if a.Class == "" {
		a.Class = first
	} else if a.Class != first {
		return a, errors.New("X-Call-Class and the path name different classes")
	}
	if text := h.Get("X-Budget"); text != "" {
		budget, err := strconv.ParseFloat(text, 64)
		if err != nil || !(budget > 0 && budget < 1e6) {
			return a, errors.New("X-Budget must be a number of seconds above 0")
		}
		a.ClientDeadline = arrived.Add(saturating.Duration(budget * float64(time.Second)))
	}
	if text := h.Get("X-Call-Cost"); text != "" {
		cost, err := strconv.ParseFloat(text, 64)
		if err != nil || !(cost >= 0 && cost < 1e12) {
			return a, errors.New("X-Call-Cost must be a number of microseconds")
		}
		a.Hint = saturating.Duration(cost * float64(time.Microsecond))
	}
	return a, readCallInfo(&a, h.Get("X-Call-Info"))
}

// readCallInfo reads the X-Call-Info header: name=value,name=value. Unknown names are skipped.
func readCallInfo(a *pipeline.Submission, text string) error {
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		into := map[string]*float64{"slots": &a.Slots, "width": &a.Slots, "memory": &a.Memory, "mem": &a.Memory}[name]
		if into == nil {
			continue
		}
		f, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("X-Call-Info: %s must be a number", name)
		}
		*into = f
	}
	return nil
}

// answerResponse returns the HTTP response for a final answer, as the platform's protocol defines it.
func answerResponse(r *http.Request, a engine.Answer) *http.Response {
	switch a.Verdict {
	case engine.Served:
		return newResponse(r, http.StatusOK, a.Body)
	case engine.Refused:
		resp := newResponse(r, http.StatusServiceUnavailable, nil)
		if !a.RetryAt.IsZero() {
			wait := max(0, time.Until(a.RetryAt))
			resp.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		}
		return resp
	case engine.Denied:
		return newResponse(r, http.StatusBadRequest, a.Body)
	}
	return newResponse(r, http.StatusBadGateway, nil)
}

// newResponse returns a response to a request.
func newResponse(r *http.Request, status int, body []byte) *http.Response {
	return &http.Response{
		StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r, Header: make(http.Header),
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
}
