// Package fakes has the outside of a dispatcher, for the demo, the soak and
// tests: discovery, pool members, clients and workers, on loopback. Each is
// written from the public description of its protocol, and shares no code with
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

// Instance is one member on discovery's list.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"` // active, leaving or left
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"` // 0: long ago
}

// Discovery is the service that knows which members run.
type Discovery struct {
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	generation int64
	members    []Instance
	changed    chan struct{}
}

// NewDiscovery serves a list on a loopback address.
func NewDiscovery(members ...Instance) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in discovery: %w", err)
	}
	d := &Discovery{listener: l, generation: 1, members: members, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.instances)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(l)
	return d, nil
}

// Addr is where it is asked.
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

// Close ends it at once.
func (d *Discovery) Close() { d.server.Close() }

func (d *Discovery) instances(w http.ResponseWriter, r *http.Request) {
	index, watch := int64(-1), r.URL.Query().Has("index")
	if watch {
		index, _ = strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	d.mu.Lock()
	if watch && d.generation <= index {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	answer := struct {
		Generation int64      `json:"generation"`
		Reset      bool       `json:"reset"`
		Instances  []Instance `json:"instances"`
	}{d.generation, true, append([]Instance{}, d.members...)}
	if watch && d.generation <= index {
		answer.Reset, answer.Instances = false, []Instance{}
	}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
