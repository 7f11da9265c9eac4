// Package fakes has the surroundings of a dispatcher for the demo, the soak and tests:
// discovery, pool members, HTTP clients, Faktory clients and workers, on loopback. Each is
// written from the public description of its protocol and shares no code with the
// dispatcher.
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

// Instance is one member on discovery's list, as it is sent.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"` // active, leaving or left
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"` // milliseconds since 1970; 0: long ago
}

// instanceList is an answer of discovery.
type instanceList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the list is whole
	Instances  []Instance `json:"instances"`
}

// maxWatch bounds how long a watch waits for a change.
const maxWatch = time.Minute

// Discovery is the service that lists the members. It may be used concurrently.
type Discovery struct {
	listener net.Listener
	server   *http.Server
	serving  sync.WaitGroup

	mu         sync.Mutex
	generation int64
	members    []Instance
	changed    chan struct{} // closed by the next change
}

// NewDiscovery serves a list on a loopback address.
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

// Addr is its address.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// SetInstances changes the list.
func (d *Discovery) SetInstances(members ...Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = members
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

// Close ends the service at once.
func (d *Discovery) Close() {
	_ = d.server.Close() // an error of a listener that is gone anyway
	d.serving.Wait()
}

// instances answers with the list. With an index, which is the generation that the client
// has, it waits for a change first, for the milliseconds in wait at most.
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
	_ = json.NewEncoder(w).Encode(answer) // a client that has left needs no answer
}

// parseNumber reads a number of a query; what is none counts as 0.
func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
