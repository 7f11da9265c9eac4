package adminapi

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/shared/goldentest"
)

// recorder implements Operations and Fleet and records the calls.
type recorder struct {
	transcript *strings.Builder
	serving    bool
}

// record writes one call.
func (r *recorder) record(format string, args ...any) {
	fmt.Fprintf(r.transcript, "  told: "+format+"\n", args...)
}

// errorFor returns the error for a call about this name, or nil.
func errorFor(name string) error {
	return map[string]error{
		"unknown": ErrUnknownRunner, "broken": errors.New("broken"), "not-there": fmt.Errorf("run: %w", ErrNotFound), "bad": fmt.Errorf("run: %w", ErrBadRequest),
		"refused": fmt.Errorf("run: %w", ErrConflict), "away": fmt.Errorf("run: %w", ErrFleetUnavailable),
	}[name]
}

// answerFor returns the answer to a call about this name.
func answerFor(name string) ([]byte, error) {
	if name == "under-way" {
		return nil, nil
	}
	return []byte(`{"answer":1}`), errorFor(name)
}

func (r *recorder) Serving() bool { return r.serving }
func (r *recorder) TakeOut(id string) error {
	r.record("out %q", id)
	return errorFor(id)
}
func (r *recorder) PutBack(id string) error {
	r.record("back %q", id)
	return errorFor(id)
}
func (r *recorder) Drain()   { r.record("drain") }
func (r *recorder) Undrain() { r.record("undrain") }
func (r *recorder) HandleForwardedUpdate(body []byte) error {
	r.record("news %q", body)
	return errorFor(string(body))
}
func (r *recorder) Status(context.Context) ([]byte, error) {
	r.record("status")
	return answerFor("")
}
func (r *recorder) StartPlan(_ context.Context, a PlanRequest) ([]byte, error) {
	r.record("start run %q plan %q tenant %q input %q within %s", a.Run, a.Plan, a.Tenant, a.Input, a.Timeout)
	return answerFor(a.Run)
}
func (r *recorder) RunStatus(_ context.Context, id string) ([]byte, error) {
	r.record("run %q", id)
	return answerFor(id)
}
func (r *recorder) Record(_ context.Context, id string) ([]byte, error) {
	r.record("record %q", id)
	return answerFor(id)
}
func (r *recorder) Records(_ context.Context, q RecordsQuery) ([]byte, error) {
	r.record("records of %q from %d to %d last %t after %q most %d", q.Tenant, q.From, q.To, q.NewestFirst, q.After, q.Limit)
	return answerFor("")
}
func (r *recorder) SetHold(_ context.Context, h HoldRequest) error {
	r.record("hold %q of %q id %q key %q class %q from %d to %d until %d owner %q reason %q lift %t", h.Name, h.Tenant, h.ID, h.Key, h.Class, h.From, h.To, h.Until, h.Owner, h.Reason, h.Lift)
	return errorFor(h.Name)
}

// calls are valid and invalid calls at the operators' address.
var calls = []string{
	"GET /healthcheck", "HEAD /healthcheck", "POST /healthcheck", "POST /healthcheck/fail", "POST /healthcheck/ok", "GET /healthcheck/fail",
	"POST /runners/r-1/maint", "POST /runners/r-1/ready", "POST /runners/unknown/maint", "POST /runners/unknown/ready", "POST /runners/broken/maint", "GET /runners/r-1/maint",
	"POST /runners/r-1/reboot", "POST /runners//maint", "POST /_jobs/news news", "POST /_jobs/news broken", "GET /_jobs/news", "GET /elsewhere",
	"GET /fleet", "POST /fleet", "GET /runs/a", "GET /runs/under-way", "GET /runs/not-there", "GET /runs/bad", "GET /runs/refused", "GET /runs/away", "GET /runs/broken", "POST /runs/a",
	`POST /plans/booking?run=r&tenant=t&within_ms=1500 {"tour":7}`, "POST /plans/booking?run=under-way", "POST /plans/booking", "POST /plans/booking?run=r&within_ms=x", "GET /plans/booking?run=r",
	"GET /records/job-1", "GET /records/not-there", "GET /records?tenant=t", "GET /records", "POST /records",
	"GET /records?tenant=t&from=2026-01-31T12:00:00Z&to=2026-02-01T12:00:00.5Z&last=1&after=x&most=7", "GET /records?tenant=t&from=now", "GET /records?tenant=t&most=0",
	"POST /holds/audit?tenant=t&id=i&key=k&class=c&owner=o&reason=r&from=2026-01-31T12:00:00Z&to=2026-02-01T12:00:00Z&until=2026-03-01T12:00:00Z", "DELETE /holds/audit", "POST /holds/refused", "GET /holds/audit",
	"POST /holds/audit?until=later",
}

// TestGoldenDoor compares the paths, methods, query keys, statuses, headers and bodies of the
// operators' address with the golden file written by commit 352ebf2. The file must never be
// rewritten by later code.
func TestGoldenDoor(t *testing.T) {
	log := logtest.Discard()
	var b strings.Builder
	for _, state := range []struct {
		serving, fleet bool
	}{{true, true}, {false, false}} {
		r := &recorder{transcript: &b, serving: state.serving}
		s := New(r, log)
		if state.fleet {
			s.SetFleet(r)
		}
		fmt.Fprintf(&b, "serving %t, in a fleet %t\n", state.serving, state.fleet)
		for _, call := range calls {
			method, rest, _ := strings.Cut(call, " ")
			path, body, _ := strings.Cut(rest, " ")
			fmt.Fprintln(&b, call)
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
			fmt.Fprintf(&b, "  %d\n", w.Code)
			for _, name := range []string{"Allow", "Connection", "Content-Type", "Retry-After", "X-Content-Type-Options"} {
				if value := w.Header().Get(name); value != "" {
					fmt.Fprintf(&b, "  %s: %s\n", name, value)
				}
			}
			fmt.Fprintf(&b, "  %q\n", w.Body.String())
		}
	}
	goldentest.Equal(t, filepath.Join("testdata", "golden", "door.txt"), []byte(b.String()))
}
