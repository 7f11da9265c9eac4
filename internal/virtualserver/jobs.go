package virtualserver

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"basaltloft/internal/account"
	"basaltloft/internal/core"
	"basaltloft/internal/stage"
)

type arrivedKey struct{}

// job passes a client's job to the reverse proxy, whose transport is the core.
func (s *Server) job(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		refuse(w, http.StatusMethodNotAllowed, "jobs are submitted with POST")
		return
	}
	s.proxy.ServeHTTP(w, r)
}

// transactions is the reverse proxy's transport: a round trip is a
// transaction in the core, from taking it in to its one final answer.
type transactions struct{ s *Server }

// client waits for the answer of one transaction.
type client struct {
	desk   *account.Desk
	answer chan core.Answer // has room for the one answer
}

// Answer implements core.Client.
func (c client) Answer(a core.Answer) {
	c.desk.Answered(a.Verdict.Outcome())
	c.answer <- a
}

// RoundTrip implements http.RoundTripper.
func (t transactions) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil { // the reverse proxy drops an empty one
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, fmt.Errorf("reading a job: %w", err)
		}
	}
	arrived, _ := r.Context().Value(arrivedKey{}).(time.Time)
	arrival, err := read(r, arrived, body)
	if err != nil {
		return reply(r, http.StatusBadRequest, []byte(err.Error()+"\n")), nil
	}
	mine := client{&t.s.Desk, make(chan core.Answer, 1)}
	tx, err := t.s.intake.TakeIn(arrival, arrived, mine)
	switch {
	case errors.Is(err, stage.ErrUnknownClass):
		return reply(r, http.StatusNotFound, []byte(err.Error()+"\n")), nil
	case err != nil:
		return reply(r, http.StatusBadRequest, []byte(err.Error()+"\n")), nil
	}
	t.s.Desk.Begin()
	t.s.hub.Submit(tx)
	t.s.Desk.Handed()
	select {
	case a := <-mine.answer:
		return respond(r, a), nil
	case <-r.Context().Done():
		t.s.Desk.Left()
		t.s.hub.Leave(tx)
		return nil, r.Context().Err()
	}
}

// read takes the platform's headers apart. A budget runs from the sending of
// the request, of which its arrival is the nearest that is known.
func read(r *http.Request, arrived time.Time, body []byte) (stage.Arrival, error) {
	h := r.Header
	a := stage.Arrival{
		ID: h.Get("X-Call-Id"), Class: h.Get("X-Call-Class"), Tenant: h.Get("X-Caller"), Target: r.URL.RequestURI(), Front: Front,
		Key: h.Get("Idempotency-Key"), Body: body, Retry: h.Get("X-Again") == "1",
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
		a.GivesUp = arrived.Add(time.Duration(budget * float64(time.Second)))
	}
	if text := h.Get("X-Call-Cost"); text != "" {
		cost, err := strconv.ParseFloat(text, 64)
		if err != nil || !(cost >= 0 && cost < 1e12) {
			return a, errors.New("X-Call-Cost must be a number of microseconds")
		}
		a.Hint = time.Duration(cost * float64(time.Microsecond))
	}
	return a, info(&a, h.Get("X-Call-Info"))
}

// info reads X-Call-Info, name=value,name=value; names not known are skipped.
func info(a *stage.Arrival, text string) error {
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

// respond writes a final answer in the platform's form.
func respond(r *http.Request, a core.Answer) *http.Response {
	switch a.Verdict {
	case core.Served:
		return reply(r, http.StatusOK, a.Body)
	case core.Refused:
		resp := reply(r, http.StatusServiceUnavailable, nil)
		if !a.RetryAt.IsZero() {
			wait := max(0, time.Until(a.RetryAt))
			resp.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		}
		return resp
	case core.Denied:
		return reply(r, http.StatusBadRequest, a.Body)
	}
	return reply(r, http.StatusBadGateway, nil)
}

func reply(r *http.Request, status int, body []byte) *http.Response {
	return &http.Response{
		StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r, Header: make(http.Header),
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
}
