package dataplane

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"basaltloft/internal/opconfig"
	"basaltloft/internal/protocol"
)

// ingress takes clients' requests.
type ingress struct {
	follower *follower
	clock    func() time.Duration
	leaving  func() bool
}

const (
	normalTimeout = 3 * time.Second
	heldPart      = 0.42                   // of its time, for which a request that was not served is held at the most
	tryWithin     = 350 * time.Millisecond // an owner that does not answer by then may be gone
	triesApart    = 25 * time.Millisecond
	retryAfterMs  = 1000
	normalBody    = 262144
)

// request is a client's request on its way to a shard's owner.
type request struct {
	shard    int
	message  any
	deadline time.Duration // it is given up then
}

func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if in.leaving() {
		w.Header().Set("Connection", "close")
	}
	v, ok := in.follower.current()
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "the configuration is not known here at this moment", retryAfterMs)
		return
	}
	route, ok := v.config.Match(r.Host, r.URL.Path)
	if !ok {
		http.Error(w, "there is no such queue", http.StatusNotFound)
		return
	}
	in.serve(w, r, v, route)
}

func (in *ingress) serve(w http.ResponseWriter, r *http.Request, v *view, route *opconfig.Route) {
	id := r.URL.Path[len(route.PathPrefix):]
	switch {
	case r.Method == http.MethodGet && id == "":
		in.ask(w, r, v, route, protocol.CountPending, "")
	case r.Method == http.MethodGet:
		in.ask(w, r, v, route, protocol.AskState, id)
	case r.Method == http.MethodDelete && id != "":
		in.ask(w, r, v, route, protocol.CancelJob, id)
	case r.Method == http.MethodPost && id != "":
		in.submit(w, r, v, route, id)
	default:
		http.Error(w, "hand a job in by POST, ask by GET, cancel by DELETE", http.StatusMethodNotAllowed)
	}
}

// services lists where a queue's jobs may be: the present service first, then earlier ones.
func (v *view) services(route *opconfig.Route) []string {
	services := []string{route.Backend}
	earlier := v.backends[route.Queue()]
	for at := len(earlier) - 1; at >= 0; at-- {
		if earlier[at] != route.Backend {
			services = append(services, earlier[at])
		}
	}
	return services
}

// shards lists the shards of services, each once.
func shards(services []string) []int {
	var numbers []int
	seen := map[int]bool{}
	for _, service := range services {
		shard := protocol.ShardOf(service)
		if !seen[shard] {
			seen[shard] = true
			numbers = append(numbers, shard)
		}
	}
	return numbers
}

// deadline is when a request is given up. It is held through a change of the shard's owner,
// which takes about a second: a client that is sent away comes back later than that.
func (in *ingress) deadline(r *http.Request, route *opconfig.Route) time.Duration {
	whole := normalTimeout
	if route.TimeoutMs > 0 {
		whole = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(r.Header.Get("Timeout-Ms"), 10, 64); err == nil && ms > 0 {
		whole = min(whole, time.Duration(ms)*time.Millisecond)
	}
	return in.clock() + time.Duration(heldPart*float64(whole))
}

func (in *ingress) ask(w http.ResponseWriter, r *http.Request, v *view, route *opconfig.Route, verb protocol.Verb, id string) {
	deadline := in.deadline(r, route)
	answer := protocol.Answer{}
	for _, shard := range shards(v.services(route)) {
		message := protocol.Ask{Verb: verb, Shard: shard, Queue: route.Queue(), ID: id}
		answer = in.pass(request{shard: shard, message: message, deadline: deadline})
		if answer.Status != http.StatusGone {
			break
		}
	}
	in.write(w, verb, answer)
}

func (in *ingress) submit(w http.ResponseWriter, r *http.Request, v *view, route *opconfig.Route, id string) {
	most := v.config.Limits.MaxBodyBytes
	if most == 0 {
		most = normalBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		http.Error(w, "the body is cut short or too large", http.StatusBadRequest)
		return
	}
	deadline := in.deadline(r, route)
	numbers := shards(v.services(route))
	for _, earlier := range numbers[1:] {
		message := protocol.Ask{Verb: protocol.AskState, Shard: earlier, Queue: route.Queue(), ID: id}
		known := in.pass(request{shard: earlier, message: message, deadline: deadline})
		if known.Status != http.StatusGone {
			in.write(w, 0, known)
			return
		}
	}
	message := protocol.Submit{Shard: numbers[0], Queue: route.Queue(), ID: id, Body: body, Version: v.config.Version, Route: *route}
	in.write(w, 0, in.pass(request{shard: numbers[0], message: message, deadline: deadline}))
}

// pass brings a request to its shard's owner. The same ID may come to an owner twice, so
// that a try without an answer is made again.
func (in *ingress) pass(r request) protocol.Answer {
	unknown := false
	for {
		now := in.clock()
		if now >= r.deadline {
			return givenUp(unknown)
		}
		owner := in.follower.owner(r.shard)
		answer, err := in.try(owner, r)
		switch {
		case err != nil:
			unknown = true
			in.follower.correct(r.shard, owner, "")
		case answer.Status == 0:
			in.follower.correct(r.shard, owner, answer.Owner)
		case answer.Unknown:
			unknown = true
		case unknown && answer.Status == http.StatusServiceUnavailable:
			return givenUp(true) // an earlier try may have been taken
		default:
			return answer
		}
		time.Sleep(triesApart)
	}
}

func (in *ingress) try(owner string, r request) (protocol.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(tryWithin, r.deadline-in.clock()))
	defer cancel()
	got, err := in.follower.client(owner).Call(ctx, r.message)
	if err != nil {
		return protocol.Answer{}, err
	}
	answer, _ := got.(protocol.Answer)
	return answer, nil
}

// givenUp is the final answer to a request that was not served.
func givenUp(unknown bool) protocol.Answer {
	if unknown {
		return protocol.Answer{Status: http.StatusGatewayTimeout, Reason: "whether it was taken is not known: send the same again"}
	}
	return protocol.Answer{Status: http.StatusServiceUnavailable, RetryAfterMs: retryAfterMs, Reason: "nobody owns this queue at this moment"}
}

// stateBody and countBody are what clients are told.
type stateBody struct {
	State string `json:"state"`
}

type countBody struct {
	Pending int `json:"pending"`
}

func (in *ingress) write(w http.ResponseWriter, verb protocol.Verb, answer protocol.Answer) {
	if answer.Status != http.StatusOK {
		refuse(w, int(answer.Status), answer.Reason, answer.RetryAfterMs)
		return
	}
	var body any = struct{}{}
	switch verb {
	case protocol.AskState:
		body = stateBody{State: answer.State.String()}
	case protocol.CountPending:
		body = countBody{Pending: answer.Pending}
	}
	content, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
}

// refuse answers a request that was not served, with when to come back.
func refuse(w http.ResponseWriter, status int, reason string, retryMs int64) {
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	if retryMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(max(1, (retryMs+999)/1000), 10))
	}
	http.Error(w, reason, status)
}
