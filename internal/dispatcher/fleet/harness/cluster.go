// Package harness runs several processes of the program on loopback for tests, connected by
// proxies that inject faults (package faultproxy), with members, discovery and clients that
// all of them share. What the processes did is judged by observations from outside: those
// of the members, the clients and the admin API.
package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/fakes"
	"basaltloft/internal/dispatcher/faultproxy"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// Settings configure a Cluster.
type Settings struct {
	Processes    int
	Load         demo.Load                                                         // Members, Slots, RunTime, Faults, Rate and Seed are used
	Operator     string                                                            // template of the operator's files, see Process; empty: none
	Tags         string                                                            // build tags of the program
	Env          []string                                                          // added to the processes' environment
	Args         []string                                                          // added to their arguments
	MemberAnswer func(class, logicalID string, body []byte) (state, result string) // see fakes.MemberSettings
	PickProcess  func(*Cluster) *Process                                           // where a client's attempt is sent; nil: a random process
}

// Cluster is a set of processes with the members, discovery, clients and links that they use.
type Cluster struct {
	Settings
	Processes []*Process // n1, n2 and so on
	RunLog    *fakes.RunLog
	Answers   fakes.Answers

	t           testing.TB
	binary      string
	members     []*fakes.Member
	clients     sync.WaitGroup
	stopClients context.CancelFunc

	mu      sync.Mutex
	random  *rand.Rand
	links   map[linkKey][]*faultproxy.Proxy
	calls   []fakes.Call
	outages []outage
}

// outage is a time in which a process was out of service because of a fault.
type outage struct {
	addr string // where clients reach the process
	Span
}

// linkKey identifies the links on which one process dials another, by their indexes.
type linkKey struct{ from, to int }

// New returns a cluster of which no process runs yet. It is closed when the test ends; if the
// test has failed, the end of each process's log is logged.
func New(t testing.TB, s Settings) *Cluster {
	t.Helper()
	binary, err := scenario.BuildTags(s.Tags)
	require.NoError(t, err)
	r := &Cluster{
		Settings: s, RunLog: fakes.NewRunLog(), t: t, binary: binary, links: make(map[linkKey][]*faultproxy.Proxy),
		random: rand.New(rand.NewPCG(s.Load.Seed, 31)), stopClients: func() {},
	}
	r.RunLog.KeepArrivals()
	dir := t.TempDir()
	t.Cleanup(r.close) // runs before the directories are removed
	load := s.Load
	load.Slots = max(1, load.Slots)
	r.members, err = load.NewMembers(fakes.MemberSettings{RunLog: r.RunLog, Outcome: s.MemberAnswer})
	require.NoError(t, err)
	for i := range s.Processes {
		name := fmt.Sprintf("n%d", i+1)
		p := &Process{
			Name: name, Home: filepath.Join(dir, name), Operator: s.Operator, cluster: r, index: i, addrs: make(map[string]string), linkAddrs: make(map[string]string),
		}
		p.Folder, p.Log = filepath.Join(p.Home, "folder"), filepath.Join(p.Home, "log")
		require.NoError(t, os.MkdirAll(p.Folder, 0o700))
		p.members, p.discovery, err = demo.OpenMembersFor(r.members, name, func() string { return p.Addr("listen") })
		require.NoError(t, err)
		r.Processes = append(r.Processes, p)
	}
	return r
}

// Start starts all processes and waits until they are ready.
func (c *Cluster) Start() {
	c.t.Helper()
	for _, p := range c.Processes {
		require.NoError(c.t, p.Start(), p.Name)
	}
	for _, p := range c.Processes {
		require.NoError(c.t, p.WaitReady(), p.Name)
	}
}

// StartClients starts the clients' load.
func (c *Cluster) StartClients() {
	ctx, stop := context.WithCancel(context.Background())
	c.stopClients = stop
	mix := fakes.ClientSettings{Rate: c.Load.Rate, TicketShare: 0.28, Tenants: demo.Tenants, Retries: 4, Seed: c.Load.Seed, OnCall: func(call fakes.Call) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.calls = append(c.calls, call)
	}}
	c.clients.Go(func() {
		fakes.HTTPClients(ctx, func() string {
			if c.PickProcess != nil {
				return c.PickProcess(c).Addr("listen")
			}
			return c.RandomProcess().Addr("listen")
		}, "h", mix, &c.Answers)
	})
}

// StopClients ends the clients' load and waits for the pending answers.
func (c *Cluster) StopClients() {
	c.stopClients()
	c.clients.Wait()
}

// Calls returns the clients' attempts that have ended.
func (c *Cluster) Calls() []fakes.Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}

// beginOutage records that a process is out of service. The function that it returns
// records the end, once the process is ready or has ended again.
func (c *Cluster) beginOutage(p *Process) (back func()) {
	addr := p.Addr("listen")
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.outages)
	c.outages = append(c.outages, outage{addr, Span{Start: time.Now()}})
	return func() {
		c.clients.Go(func() {
			_ = p.WaitReady()
			c.mu.Lock()
			defer c.mu.Unlock()
			c.outages[n].End = time.Now()
		})
	}
}

// LostCalls returns the calls that got no answer although their process was in service the
// whole time.
func (c *Cluster) LostCalls() (ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		if call.Status == 0 && !slices.ContainsFunc(c.outages, func(o outage) bool {
			return o.addr == call.Addr && o.Start.Before(call.Ended) && (o.End.IsZero() || o.End.After(call.Sent))
		}) {
			ids = append(ids, call.ID)
		}
	}
	return ids
}

// Links returns the links from one process to another, by index.
func (c *Cluster) Links(from, to int) []*faultproxy.Proxy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[linkKey{from, to}]
}

// LinksOf returns all links from and to a process.
func (c *Cluster) LinksOf(index int) (all []*faultproxy.Proxy) {
	for other := range c.Processes {
		all = append(append(all, c.Links(index, other)...), c.Links(other, index)...)
	}
	return all
}

// link creates a link to one of a process's addresses, and returns the link's own address.
func (c *Cluster) link(from, to int, addr string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := linkKey{from, to}
	l, err := faultproxy.New(addr, c.Load.Seed<<16+uint64(from)<<8+uint64(to))
	if err != nil {
		return "", err
	}
	c.links[at] = append(c.links[at], l)
	return l.Addr(), nil
}

// RandomProcess returns a random process.
func (c *Cluster) RandomProcess() *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Processes[c.random.IntN(len(c.Processes))]
}

func (c *Cluster) close() {
	c.stopClients()
	for _, p := range c.Processes {
		_ = p.Kill()
	}
	c.clients.Wait()
	for _, m := range c.members {
		m.Close()
	}
	for _, links := range c.links {
		for _, l := range links {
			l.Close()
		}
	}
	for _, p := range c.Processes {
		p.discovery.Close()
		if c.t.Failed() {
			text, _ := os.ReadFile(p.Log)
			c.t.Logf("the log of %s ends:\n%s", p.Name, text[max(0, len(text)-maxLogShown):])
		}
	}
}

const maxLogShown = 16000 // bytes of a log

// transitionTimeout bounds a process's start and exit.
const transitionTimeout = 40 * time.Second
