package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Platform is a stand-in for the platform's instance list. It may be used concurrently.
type Platform struct {
	// Server serves GET /instances. The caller closes it.
	Server *Server

	mu        sync.Mutex
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
	p := &Platform{}
	server, err := NewServer(http.HandlerFunc(p.handleList))
	p.Server = server
	return p, err
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, instanceList{Instances: p.instances})
}

// RemoveRunner removes a runner from the list.
func (p *Platform) RemoveRunner(r *Runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = slices.DeleteFunc(slices.Clone(p.instances), func(listed instance) bool { return listed.ID == r.ID })
}

// DrainRunner sets the state of a listed runner to draining.
func (p *Platform) DrainRunner(r *Runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = slices.Clone(p.instances) // a response may still be written from the previous list
	for at := range p.instances {
		if p.instances[at].ID == r.ID {
			p.instances[at].State = "draining"
		}
	}
}

// AddRunner adds a runner to the list, as a ready instance of a service.
func (p *Platform) AddRunner(r *Runner, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(p.instances, instance{
		ID: r.ID, Backend: service, Address: strings.TrimPrefix(r.Server.URL, "http://"), State: "ready",
		Capacity: instanceCapacity{CPU: 16000, MemMB: 32000}, Labels: []string{"a", "r1"},
	})
}

// writeJSON writes a value as the response. It ignores that a client may have disconnected.
func writeJSON(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }
