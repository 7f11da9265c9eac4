package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Platform is a stand-in of the platform's instance list. It may be used concurrently.
type Platform struct {
	// Server answers GET /instances. The caller closes it.
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

// instanceCapacity is what an instance has room for.
type instanceCapacity struct {
	CPU   int `json:"cpu"` // thousandths of a core
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// instanceList is the answer to GET /instances: always one page.
type instanceList struct {
	Instances []instance `json:"instances"`
	NextToken *string    `json:"next_token"`
}

// NewPlatform returns a started platform that lists no instance, or an error of NewServer.
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

// RemoveRunner takes a runner off the list.
func (p *Platform) RemoveRunner(r *Runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = slices.DeleteFunc(slices.Clone(p.instances), func(listed instance) bool { return listed.ID == r.ID })
}

// DrainRunner lists a runner as one that is to end.
func (p *Platform) DrainRunner(r *Runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = slices.Clone(p.instances) // an answer may be written from the former list
	for at := range p.instances {
		if p.instances[at].ID == r.ID {
			p.instances[at].State = "draining"
		}
	}
}

// AddRunner lists a runner as a ready instance of a service.
func (p *Platform) AddRunner(r *Runner, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(p.instances, instance{
		ID: r.ID, Backend: service, Address: strings.TrimPrefix(r.Server.URL, "http://"), State: "ready",
		Capacity: instanceCapacity{CPU: 16000, MemMB: 32000}, Labels: []string{"a", "r1"},
	})
}

// writeJSON answers with a value. A client that has gone is not an error of the stand-in.
func writeJSON(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }
