// Package fakes provides the services and clients that a dispatcher works with, for the demo, the
// soak test and other tests: discovery, pool members, HTTP clients, Faktory clients and workers, on
// loopback. Each is written from the public description of its protocol and shares no code with
// the dispatcher.
package fakes

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is one member in discovery's list, as it is encoded in a response.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"` // active, leaving or left
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"` // milliseconds since 1970; 0: a long time ago
}

// instanceList is a response of discovery.
type instanceList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the list is complete
	Instances  []Instance `json:"instances"`
}

// maxWatch limits how long a watch waits for a change.
const maxWatch = time.Minute

// Discovery is a fake of the service that lists the members. It may be used concurrently.
type Discovery struct {
	listener net.Listener
	server   *http.Server
	serving  sync.WaitGroup

	mu         sync.Mutex
	generation int64
	members    []Instance
	changed    chan struct{} // closed by the next change
}

// NewDiscovery starts a Discovery that serves the list of members on a loopback address.
func NewDiscovery(members ...Instance) (*Discovery, error) {
	l, err := listenLoopback()
	if err != nil {
		return nil, fmt.Errorf("fake discovery: %w", err)
	}
	d := &Discovery{listener: l, generation: 1, members: members, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.instances)
	d.server = &http.Server{Handler: mux}
	d.serving.Go(func() { _ = d.server.Serve(l) }) // until Close
	return d, nil
}

// Addr returns the host and port that the service listens on.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// SetInstances replaces the list.
func (d *Discovery) SetInstances(members ...Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = members
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

// Close stops the service at once.
func (d *Discovery) Close() {
	_ = d.server.Close() // an error concerns only a listener that is not used any more
	d.serving.Wait()
}

// instances responds with the list. If the request has an index, which is the generation that the
// client has, it first waits for a newer one, for at most the milliseconds in wait.
func (d *Discovery) instances(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	index, watch := int64(-1), query.Has("index")
	if watch {
		index = parseNumber(query.Get("index"))
	}
	wait := time.Duration(parseNumber(query.Get("wait"))) * time.Millisecond
	d.mu.Lock()
	if watch && d.generation <= index {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(wait, maxWatch)):
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	answer := instanceList{Generation: d.generation, Reset: true, Instances: append([]Instance{}, d.members...)}
	if watch && d.generation <= index {
		answer.Reset, answer.Instances = false, []Instance{}
	}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // an error means that the client has disconnected
}

// parseNumber parses a number of a query, and returns 0 for text that is not a number.
func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
