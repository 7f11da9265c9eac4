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

// Fleet is what the door sets and asks of the fleet layer.
type Fleet interface {
	// Status tells as JSON how this process and the fleet stand.
	Status(ctx context.Context) ([]byte, error)
	// StartPlan begins a run, or finds it; the JSON of its final answer, or nil
	// while it is under way.
	StartPlan(ctx context.Context, a PlanRequest) ([]byte, error)
	// RunStatus tells how a run stands, like StartPlan.
	RunStatus(ctx context.Context, id string) ([]byte, error)
	// Record tells as JSON the records of an id, Records a page of a tenant's.
	Record(ctx context.Context, id string) ([]byte, error)
	Records(ctx context.Context, q RecordsQuery) ([]byte, error)
	// SetHold sets a hold on records, or lifts one.
	SetHold(ctx context.Context, h HoldRequest) error
}

// RecordsQuery asks for a page of a tenant's records, by the time of their ends.
type RecordsQuery struct {
	Tenant      string
	From, To    int64 // nanoseconds since 1970; To 0: no bound
	NewestFirst bool  // the last first
	After       string
	Limit       int
}

// HoldRequest is a hold on records.
type HoldRequest struct {
	Name, Tenant, ID, Key, Class string
	From, To, Until              int64 // nanoseconds since 1970; 0: no bound
	Owner, Reason                string
	Lift                         bool
}

// PlanRequest is a plan that somebody wants run.
type PlanRequest struct {
	Run, Plan, Tenant string
	Input             []byte
	Timeout           time.Duration // 0: as the plan says
}

// Errors of Fleet, each with the status that the door answers with.
var (
	ErrNotFound         = errors.New("not there")         // 404
	ErrBadRequest       = errors.New("bad call")          // 400
	ErrConflict         = errors.New("refused")           // 409
	ErrFleetUnavailable = errors.New("the fleet is away") // 503, with when to come back
)

// fleetTimeout bounds a call that asks the fleet, which may be choosing a new leader.
const fleetTimeout = 4 * time.Second

// SetFleet lets the door ask the fleet layer. It must be called before Serve.
func (d *Server) SetFleet(f Fleet) { d.fleet = f }

// serveFleet serves the fleet's calls: GET /fleet, POST /plans/NAME?run=ID, GET /runs/ID,
// GET /records/ID, GET /records?tenant=T, POST and DELETE /holds/NAME.
// It reports false for other paths.
func (d *Server) serveFleet(w http.ResponseWriter, r *http.Request) bool {
	if d.fleet == nil {
		return false
	}
	deadline := time.Now().Add(fleetTimeout)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	http.NewResponseController(w).SetWriteDeadline(deadline.Add(responseTimeout))
	path, isGet := r.URL.Path, r.Method == http.MethodGet
	switch {
	case path == "/fleet":
		if !isGet {
			d.reject(w, r, http.StatusMethodNotAllowed, "read with GET")
			return true
		}
		text, err := d.fleet.Status(ctx)
		d.respond(w, r, text, err)
	case strings.HasPrefix(path, "/runs/"):
		if !isGet {
			d.reject(w, r, http.StatusMethodNotAllowed, "read with GET")
			return true
		}
		text, err := d.fleet.RunStatus(ctx, strings.TrimPrefix(path, "/runs/"))
		d.respond(w, r, text, err)
	case strings.HasPrefix(path, "/plans/"):
		if r.Method != http.MethodPost {
			d.reject(w, r, http.StatusMethodNotAllowed, "plans are begun with POST")
			return true
		}
		d.startPlan(ctx, w, r, strings.TrimPrefix(path, "/plans/"))
	case path == "/records" || strings.HasPrefix(path, "/records/"):
		if !isGet {
			d.reject(w, r, http.StatusMethodNotAllowed, "read with GET")
			return true
		}
		d.readRecords(ctx, w, r, strings.TrimPrefix(strings.TrimPrefix(path, "/records"), "/"))
	case strings.HasPrefix(path, "/holds/"):
		d.hold(ctx, w, r, strings.TrimPrefix(path, "/holds/"))
	default:
		return false
	}
	return true
}

// timeParam reads a time of a query in RFC 3339, as nanoseconds since 1970; absent: 0.
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

// defaultPageSize is how many records a page has that does not say.
const defaultPageSize = 100

func (d *Server) readRecords(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	if id != "" {
		text, err := d.fleet.Record(ctx, id)
		d.respond(w, r, text, err)
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
		text, err = d.fleet.Records(ctx, q)
	}
	d.respond(w, r, text, err)
}

func (d *Server) hold(ctx context.Context, w http.ResponseWriter, r *http.Request, name string) {
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
		d.reject(w, r, http.StatusMethodNotAllowed, "holds are set with POST and lifted with DELETE")
		return
	}
	err := errors.Join(errs[:]...)
	if err == nil {
		err = d.fleet.SetHold(ctx, h)
	}
	d.respond(w, r, []byte(`{"done":true}`), err)
}

func (d *Server) startPlan(ctx context.Context, w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	a := PlanRequest{Run: q.Get("run"), Plan: name, Tenant: q.Get("tenant")}
	if text := q.Get("within_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			d.reject(w, r, http.StatusBadRequest, "within_ms must be a number of milliseconds above 0")
			return
		}
		a.Timeout = time.Duration(ms) * time.Millisecond
	}
	if a.Run == "" {
		d.reject(w, r, http.StatusBadRequest, "a run has an id of the caller's: ?run=ID, the same when it asks again")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, pipeline.MaxBody+1))
	switch {
	case err != nil:
		d.reject(w, r, http.StatusBadRequest, "the input could not be read")
		return
	case len(body) > pipeline.MaxBody:
		d.reject(w, r, http.StatusRequestEntityTooLarge, "the input is too large")
		return
	}
	a.Input = body
	text, err := d.fleet.StartPlan(ctx, a)
	d.respond(w, r, text, err)
}

// respond answers with JSON, 202 where there is nothing to tell yet, or the error.
func (d *Server) respond(w http.ResponseWriter, r *http.Request, text []byte, err error) {
	switch {
	case errors.Is(err, ErrNotFound):
		d.reject(w, r, http.StatusNotFound, err.Error())
	case errors.Is(err, ErrBadRequest):
		d.reject(w, r, http.StatusBadRequest, err.Error())
	case errors.Is(err, ErrConflict):
		d.reject(w, r, http.StatusConflict, err.Error())
	case errors.Is(err, ErrFleetUnavailable):
		w.Header().Set("Retry-After", "1")
		d.reject(w, r, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		d.reject(w, r, http.StatusInternalServerError, err.Error())
	default:
		w.Header().Set("Content-Type", "application/json")
		if text == nil {
			w.WriteHeader(http.StatusAccepted)
			text = []byte(`{"outcome":"under way"}`)
		}
		fmt.Fprintf(w, "%s\n", text)
	}
}
