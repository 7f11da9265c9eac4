package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Platform is a stand-in for the platform's instance list. It may be used concurrently.
type Platform struct {
	// Server serves GET /instances. The caller closes it.
	Server *Server

	mu        sync.Mutex
	instances []instance
	history   []listState // oldest first
}

// listState is what the list has shown from some time on.
type listState struct {
	since     time.Time
	instances []instance
}

// instance is one entry of the platform's list, as the platform writes it.
type instance struct {
	ID       string           `json:"id"`
	Backend  string           `json:"backend"`
	Address  string           `json:"address"`
	State    string           `json:"state"`
	Capacity instanceCapacity `json:"capacity"`
	Labels   []string         `json:"labels"`
}

// instanceCapacity is the resources of an instance.
type instanceCapacity struct {
	CPU   int `json:"cpu"` // thousandths of a core
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// instanceList is the response to GET /instances. It is always a single page.
type instanceList struct {
	Instances []instance `json:"instances"`
	NextToken *string    `json:"next_token"`
}

// NewPlatform returns a started platform with an empty list, or an error of NewServer.
func NewPlatform() (*Platform, error) {
	p := &Platform{history: []listState{{}}}
	server, err := p.ServeLagging(0)
	p.Server = server
	return p, err
}

// ServeLagging starts a further server of the list, which shows it as it was a lag ago. The caller closes it.
func (p *Platform) ServeLagging(lag time.Duration) (*Server, error) {
	return NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/instances" {
			http.NotFound(w, r)
			return
		}
		writeJSON(w, instanceList{Instances: p.instancesAt(time.Now().Add(-lag))})
	}))
}

// instancesAt returns the list as it was at a time. The caller must not change it.
func (p *Platform) instancesAt(at time.Time) []instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	shown := p.history[0].instances
	for _, state := range p.history {
		if !state.since.After(at) {
			shown = state.instances
		}
	}
	return shown
}

// change replaces the list by what edit returns for a copy of it.
func (p *Platform) change(edit func([]instance) []instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = edit(slices.Clone(p.instances))
	p.history = append(p.history, listState{since: time.Now(), instances: p.instances})
}

// RemoveRunner removes a runner from the list.
func (p *Platform) RemoveRunner(r *Runner) {
	p.change(func(instances []instance) []instance {
		return slices.DeleteFunc(instances, func(listed instance) bool { return listed.ID == r.ID })
	})
}

// DrainRunner sets the state of a listed runner to draining.
func (p *Platform) DrainRunner(r *Runner) {
	p.change(func(instances []instance) []instance {
		for at := range instances {
			if instances[at].ID == r.ID {
				instances[at].State = "draining"
			}
		}
		return instances
	})
}

// AddRunner adds a runner to the list, as a ready instance of a service. It takes the place of another one at
// its address.
func (p *Platform) AddRunner(r *Runner, service string) {
	address := strings.TrimPrefix(r.Server.URL, "http://")
	p.change(func(instances []instance) []instance {
		instances = slices.DeleteFunc(instances, func(listed instance) bool { return listed.Address == address })
		return append(instances, instance{
			ID: r.ID, Backend: service, Address: address, State: "ready",
			Capacity: instanceCapacity{CPU: 16000, MemMB: 32000}, Labels: []string{"a", "r1"},
		})
	})
}

// writeJSON writes a value as the response. It ignores that a client may have disconnected.
func writeJSON(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }
