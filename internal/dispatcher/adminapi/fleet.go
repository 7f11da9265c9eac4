package adminapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/pipeline"
)

// Fleet is the part of the fleet layer that the API uses. Its methods return JSON texts. They return
// one of the errors below if the caller can act on it.
type Fleet interface {
	// Status returns the state of this process and of the fleet.
	Status(ctx context.Context) ([]byte, error)
	// StartPlan starts a run of a plan, or joins the existing run if its id is known. It returns the
	// run's final answer, or nil while the run is in progress.
	StartPlan(ctx context.Context, a PlanRequest) ([]byte, error)
	// RunStatus returns a run's final answer, or nil while the run is in progress.
	RunStatus(ctx context.Context, id string) ([]byte, error)
	// Record returns the records of the job with this id.
	Record(ctx context.Context, id string) ([]byte, error)
	// Records returns a page of a tenant's records.
	Records(ctx context.Context, q RecordsQuery) ([]byte, error)
	// SetHold sets or lifts a hold, which prevents records from being removed.
	SetHold(ctx context.Context, h HoldRequest) error
}

// RecordsQuery selects a page of a tenant's records, ordered by the time when the jobs ended.
type RecordsQuery struct {
	Tenant      string
	From, To    int64 // range of the jobs' end times in nanoseconds since 1970; To 0: no limit
	NewestFirst bool
	After       string // the value of "next" on the previous page; empty: the first page
	Limit       int    // maximum number of records on the page
}

// HoldRequest sets a hold on the records that match all of its fields, or lifts the hold with this
// name.
type HoldRequest struct {
	Name, Tenant, ID, Key, Class string
	From, To, Until              int64 // nanoseconds since 1970; 0: no limit
	Owner, Reason                string
	Lift                         bool
}

// PlanRequest asks for a run of a plan.
type PlanRequest struct {
	Run, Plan, Tenant string        // Run: the caller's id of the run
	Input             []byte        // JSON
	Timeout           time.Duration // 0: the plan's own
}

// Errors that the methods of Fleet return, with the HTTP status of the response to each.
var (
	ErrNotFound         = errors.New("not there")         // 404
	ErrBadRequest       = errors.New("bad call")          // 400
	ErrConflict         = errors.New("refused")           // 409
	ErrFleetUnavailable = errors.New("the fleet is away") // 503, with Retry-After
)

// fleetTimeout limits the time of a request to the fleet, which may be electing a leader.
const fleetTimeout = 4 * time.Second

// SetFleet makes the API serve the calls of the fleet. It must be called before Serve.
func (s *Server) SetFleet(f Fleet) { s.fleet = f }

// serveFleet serves GET /fleet, POST /plans/NAME?run=ID, GET /runs/ID, GET /records/ID,
// GET /records?tenant=T, and POST and DELETE /holds/NAME. It reports false for other paths.
func (s *Server) serveFleet(w http.ResponseWriter, r *http.Request) bool {
	if s.fleet == nil {
		return false
	}
	deadline := time.Now().Add(fleetTimeout)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	// If the deadline can't be set, the server's shorter one applies.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(responseTimeout))
	path, isGet := r.URL.Path, r.Method == http.MethodGet
	switch {
	case path == "/fleet":
		if !isGet {
			s.reject(w, r, http.StatusMethodNotAllowed, "read with GET")
			return true
		}
		text, err := s.fleet.Status(ctx)
		s.respond(w, r, text, err)
	case strings.HasPrefix(path, "/runs/"):
		if !isGet {
			s.reject(w, r, http.StatusMethodNotAllowed, "read with GET")
			return true
		}
		text, err := s.fleet.RunStatus(ctx, strings.TrimPrefix(path, "/runs/"))
		s.respond(w, r, text, err)
	case strings.HasPrefix(path, "/plans/"):
		if r.Method != http.MethodPost {
			s.reject(w, r, http.StatusMethodNotAllowed, "plans are begun with POST")
			return true
		}
		s.startPlan(ctx, w, r, strings.TrimPrefix(path, "/plans/"))
	case path == "/records" || strings.HasPrefix(path, "/records/"):
		if !isGet {
			s.reject(w, r, http.StatusMethodNotAllowed, "read with GET")
			return true
		}
		s.readRecords(ctx, w, r, strings.TrimPrefix(strings.TrimPrefix(path, "/records"), "/"))
	case strings.HasPrefix(path, "/holds/"):
		s.hold(ctx, w, r, strings.TrimPrefix(path, "/holds/"))
	default:
		return false
	}
	return true
}

// timeParam returns the value of an RFC 3339 query parameter in nanoseconds since 1970, or 0 if it is absent.
func timeParam(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, fmt.Errorf("%w: %s must be a time in RFC 3339, such as 2026-01-31T12:00:00Z", ErrBadRequest, name)
	}
	return at.UnixNano(), nil
}

// defaultPageSize is the maximum number of records on a page if the request does not set one.
const defaultPageSize = 100

// readRecords serves the records of the job with this id or, if id is empty, a page of a tenant's records.
func (s *Server) readRecords(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	if id != "" {
		text, err := s.fleet.Record(ctx, id)
		s.respond(w, r, text, err)
		return
	}
	v := r.URL.Query()
	q := RecordsQuery{Tenant: v.Get("tenant"), NewestFirst: v.Get("last") == "1", After: v.Get("after"), Limit: defaultPageSize}
	var errs [3]error
	q.From, errs[0] = timeParam(r, "from")
	q.To, errs[1] = timeParam(r, "to")
	if text := v.Get("most"); text != "" {
		n, err := strconv.Atoi(text)
		if q.Limit = n; err != nil || n <= 0 {
			errs[2] = fmt.Errorf("%w: most must be a number above 0", ErrBadRequest)
		}
	}
	err := errors.Join(errs[:]...)
	if err == nil && q.Tenant == "" {
		err = fmt.Errorf("%w: whose? ?tenant=T", ErrBadRequest)
	}
	var text []byte
	if err == nil {
		text, err = s.fleet.Records(ctx, q)
	}
	s.respond(w, r, text, err)
}

// hold sets or lifts a hold.
func (s *Server) hold(ctx context.Context, w http.ResponseWriter, r *http.Request, name string) {
	v := r.URL.Query()
	h := HoldRequest{Name: name, Tenant: v.Get("tenant"), ID: v.Get("id"), Key: v.Get("key"), Class: v.Get("class"), Owner: v.Get("owner"), Reason: v.Get("reason")}
	var errs [3]error
	switch r.Method {
	case http.MethodDelete:
		h.Lift = true
	case http.MethodPost:
		h.From, errs[0] = timeParam(r, "from")
		h.To, errs[1] = timeParam(r, "to")
		h.Until, errs[2] = timeParam(r, "until")
	default:
		s.reject(w, r, http.StatusMethodNotAllowed, "holds are set with POST and lifted with DELETE")
		return
	}
	err := errors.Join(errs[:]...)
	if err == nil {
		err = s.fleet.SetHold(ctx, h)
	}
	s.respond(w, r, []byte(`{"done":true}`), err)
}

// startPlan starts a run of a plan, or responds with the state of the run if its id is known.
func (s *Server) startPlan(ctx context.Context, w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	a := PlanRequest{Run: q.Get("run"), Plan: name, Tenant: q.Get("tenant")}
	if text := q.Get("within_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			s.reject(w, r, http.StatusBadRequest, "within_ms must be a number of milliseconds above 0")
			return
		}
		a.Timeout = time.Duration(ms) * time.Millisecond
	}
	if a.Run == "" {
		s.reject(w, r, http.StatusBadRequest, "a run has an id of the caller's: ?run=ID, the same when it asks again")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, pipeline.MaxBody+1))
	switch {
	case err != nil:
		s.reject(w, r, http.StatusBadRequest, "the input could not be read")
		return
	case len(body) > pipeline.MaxBody:
		s.reject(w, r, http.StatusRequestEntityTooLarge, "the input is too large")
		return
	}
	a.Input = body
	text, err := s.fleet.StartPlan(ctx, a)
	s.respond(w, r, text, err)
}

// respond writes a response: a JSON text, status 202 if there is no text yet, or the error.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, text []byte, err error) {
	switch {
	case errors.Is(err, ErrNotFound):
		s.reject(w, r, http.StatusNotFound, err.Error())
	case errors.Is(err, ErrBadRequest):
		s.reject(w, r, http.StatusBadRequest, err.Error())
	case errors.Is(err, ErrConflict):
		s.reject(w, r, http.StatusConflict, err.Error())
	case errors.Is(err, ErrFleetUnavailable):
		w.Header().Set("Retry-After", "1")
		s.reject(w, r, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		s.reject(w, r, http.StatusInternalServerError, err.Error())
	default:
		w.Header().Set("Content-Type", "application/json")
		if text == nil {
			w.WriteHeader(http.StatusAccepted)
			text = []byte(`{"outcome":"under way"}`)
		}
		respondLine(w, string(text))
	}
}
