package door

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"basaltloft/internal/stage"
)

// Fleet is what the door sets and asks of the fleet layer.
type Fleet interface {
	// Status tells as JSON how this process and the fleet stand.
	Status(ctx context.Context) ([]byte, error)
	// StartPlan begins a run, or finds it; the JSON of its final answer, or nil
	// while it is under way.
	StartPlan(ctx context.Context, a PlanAsk) ([]byte, error)
	// Run tells how a run stands, like StartPlan.
	Run(ctx context.Context, id string) ([]byte, error)
}

// PlanAsk is a plan that somebody wants run.
type PlanAsk struct {
	Run, Plan, Tenant string
	Input             []byte
	Within            time.Duration // 0: as the plan says
}

// Errors of Fleet, each with the status that the door answers with.
var (
	ErrNotThere = errors.New("not there")         // 404
	ErrBadCall  = errors.New("bad call")          // 400
	ErrRefused  = errors.New("refused")           // 409
	ErrAway     = errors.New("the fleet is away") // 503, with when to come back
)

// fleetFor bounds a call that asks the fleet, which may be choosing a new leader.
const fleetFor = 4 * time.Second

// With lets the door ask the fleet layer. It must be called before Serve.
func (d *Door) With(f Fleet) { d.fleet = f }

// askFleet serves the fleet's calls: GET /fleet, POST /plans/NAME?run=ID, GET /runs/ID.
// It reports false for other paths.
func (d *Door) askFleet(w http.ResponseWriter, r *http.Request) bool {
	if d.fleet == nil {
		return false
	}
	until := time.Now().Add(fleetFor)
	ctx, cancel := context.WithDeadline(r.Context(), until)
	defer cancel()
	http.NewResponseController(w).SetWriteDeadline(until.Add(answerFor))
	path, read := r.URL.Path, r.Method == http.MethodGet
	switch {
	case path == "/fleet":
		if !read {
			d.refuse(w, r, http.StatusMethodNotAllowed, "read with GET")
			return true
		}
		text, err := d.fleet.Status(ctx)
		d.tell(w, r, text, err)
	case strings.HasPrefix(path, "/runs/"):
		if !read {
			d.refuse(w, r, http.StatusMethodNotAllowed, "read with GET")
			return true
		}
		text, err := d.fleet.Run(ctx, strings.TrimPrefix(path, "/runs/"))
		d.tell(w, r, text, err)
	case strings.HasPrefix(path, "/plans/"):
		if r.Method != http.MethodPost {
			d.refuse(w, r, http.StatusMethodNotAllowed, "plans are begun with POST")
			return true
		}
		d.startPlan(ctx, w, r, strings.TrimPrefix(path, "/plans/"))
	default:
		return false
	}
	return true
}

func (d *Door) startPlan(ctx context.Context, w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	a := PlanAsk{Run: q.Get("run"), Plan: name, Tenant: q.Get("tenant")}
	if text := q.Get("within_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			d.refuse(w, r, http.StatusBadRequest, "within_ms must be a number of milliseconds above 0")
			return
		}
		a.Within = time.Duration(ms) * time.Millisecond
	}
	if a.Run == "" {
		d.refuse(w, r, http.StatusBadRequest, "a run has an id of the caller's: ?run=ID, the same when it asks again")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, stage.MaxBody+1))
	switch {
	case err != nil:
		d.refuse(w, r, http.StatusBadRequest, "the input could not be read")
		return
	case len(body) > stage.MaxBody:
		d.refuse(w, r, http.StatusRequestEntityTooLarge, "the input is too large")
		return
	}
	a.Input = body
	text, err := d.fleet.StartPlan(ctx, a)
	d.tell(w, r, text, err)
}

// tell answers with JSON, 202 where there is nothing to tell yet, or the error.
func (d *Door) tell(w http.ResponseWriter, r *http.Request, text []byte, err error) {
	switch {
	case errors.Is(err, ErrNotThere):
		d.refuse(w, r, http.StatusNotFound, err.Error())
	case errors.Is(err, ErrBadCall):
		d.refuse(w, r, http.StatusBadRequest, err.Error())
	case errors.Is(err, ErrRefused):
		d.refuse(w, r, http.StatusConflict, err.Error())
	case errors.Is(err, ErrAway):
		w.Header().Set("Retry-After", "1")
		d.refuse(w, r, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		d.refuse(w, r, http.StatusInternalServerError, err.Error())
	default:
		w.Header().Set("Content-Type", "application/json")
		if text == nil {
			w.WriteHeader(http.StatusAccepted)
			text = []byte(`{"outcome":"under way"}`)
		}
		fmt.Fprintf(w, "%s\n", text)
	}
}
