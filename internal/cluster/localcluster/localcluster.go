// Package localcluster runs a whole cluster scheduler in one process of the operating system: control-plane
// nodes and dispatchers, each at a loopback address of its own, with their data in one directory. Tests and
// the demonstration cluster use it.
//
// The caller starts a platform (package standin), creates a Cluster by New, starts its processes, and calls
// Close at the end. A Cluster's methods must not be called concurrently, except Internal, HTTP and Readiness.
package localcluster

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"basaltloft/internal/cluster/controlplane"
	"basaltloft/internal/cluster/dataplane"
	"basaltloft/internal/cluster/settings"
)

// Offsets of a process's ports from its first port.
const (
	internalOffset  = 0
	httpOffset      = 2
	readinessOffset = 3
	// PortsEach is how many consecutive ports each process needs at its address.
	PortsEach = 4
)

// ErrPortTaken is returned when an address that a process needs is already in use.
var ErrPortTaken = errors.New("the port is taken")

// Options describe a cluster.
type Options struct {
	NodeIPs     []string // loopback addresses of the control-plane nodes
	Port        int      // first port of each process, at its own address
	PlatformURL string   // of the API that lists the runners
	// DataDir holds the nodes' data directories, whose names are the nodes' addresses.
	DataDir string
	Bounds  settings.Bounds
	Log     *slog.Logger
}

// Cluster is a cluster whose processes run in this one.
type Cluster struct {
	options  Options
	dataDirs map[string]string        // by address of the node
	running  map[string]*localProcess // by address
}

// localProcess is a node or a dispatcher that was started.
type localProcess struct {
	cancel context.CancelCauseFunc
	done   chan struct{} // closed when it has ended
	err    error         // why it ended; valid once done is closed
}

// New returns a cluster. None of its processes runs yet.
func New(options Options) *Cluster {
	c := &Cluster{options: options, dataDirs: map[string]string{}, running: map[string]*localProcess{}}
	for _, ip := range options.NodeIPs {
		c.dataDirs[ip] = filepath.Join(options.DataDir, ip)
	}
	return c
}

func (c *Cluster) address(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.options.Port+offset))
}

// Internal returns the address at which a process serves its peers and the command basaltloftctl.
func (c *Cluster) Internal(ip string) string { return c.address(ip, internalOffset) }

// HTTP returns the address at which a dispatcher serves clients or a node serves operators.
func (c *Cluster) HTTP(ip string) string { return c.address(ip, httpOffset) }

// Readiness returns the address at which a process answers the platform's readiness probes.
func (c *Cluster) Readiness(ip string) string { return c.address(ip, readinessOffset) }

// ReplaceDisk replaces the data directory of a node that doesn't run by folder, which is to be empty.
func (c *Cluster) ReplaceDisk(ip, folder string) { c.dataDirs[ip] = folder }

// Settings returns the settings of the process at an address.
func (c *Cluster) Settings(ip string, bootstrap bool) settings.Settings {
	processSettings := settings.Settings{
		NodeName: ip, IP: ip, PortRange: []int{c.options.Port, c.options.Port + 1}, Bootstrap: bootstrap, DataDir: c.dataDirs[ip],
		Listen:         settings.Listen{HTTP: c.HTTP(ip), Readiness: c.Readiness(ip), Control: c.HTTP(ip)},
		FaultTolerance: settings.FaultTolerance{Machines: (len(c.options.NodeIPs) - 1) / 2},
		CloudAPI:       settings.CloudAPI{Address: strings.TrimPrefix(c.options.PlatformURL, "http://")},
		Bounds:         c.options.Bounds,
	}
	for _, node := range c.options.NodeIPs {
		processSettings.Seeds = append(processSettings.Seeds, c.HTTP(node))
	}
	return processSettings
}

// StartNode starts a control-plane node on its data directory. bootstrap allows it to form the replica
// groups if no node has done so. It returns an error if the directory can't be used or a port is taken
// (ErrPortTaken).
func (c *Cluster) StartNode(ip string, bootstrap bool) error {
	if err := c.checkPorts(ip, internalOffset, httpOffset); err != nil {
		return err
	}
	if err := os.MkdirAll(c.dataDirs[ip], 0o700); err != nil {
		return errors.Wrap(err, "create a node's data directory")
	}
	node, err := controlplane.New(c.Settings(ip, bootstrap), c.options.Log)
	if err != nil {
		return errors.Wrapf(err, "start node %s on %s", ip, c.dataDirs[ip])
	}
	c.run(ip, node.Run)
	return nil
}

// StartDispatcher starts a dispatcher. It returns an error if a port is taken (ErrPortTaken).
func (c *Cluster) StartDispatcher(ip string) error {
	if err := c.checkPorts(ip, httpOffset, readinessOffset); err != nil {
		return err
	}
	c.run(ip, dataplane.New(c.Settings(ip, true), c.options.Log).Run)
	return nil
}

// checkPorts returns an error that names the first of a process's ports that can't be bound. Without this
// check the process would start and then end by itself.
func (c *Cluster) checkPorts(ip string, offsets ...int) error {
	for _, offset := range offsets {
		err := bindOnce(ip, c.options.Port+offset)
		if errors.Is(err, syscall.EADDRINUSE) {
			return errors.Wrapf(ErrPortTaken, "listen at %s: choose another first port", c.address(ip, offset))
		}
		if err != nil {
			return errors.Wrapf(err, "listen at %s", c.address(ip, offset))
		}
	}
	return nil
}

// bindOnce binds a port and releases it, without listening: a peer that waits for the process would
// otherwise connect to this check.
func bindOnce(ip string, port int) error {
	parsed := net.ParseIP(ip).To4()
	if parsed == nil {
		return errors.Newf("%q is not an IPv4 address", ip)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return errors.Wrap(err, "open a socket")
	}
	defer func() { _ = syscall.Close(socket) }() // no data has been sent on it
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return errors.Wrap(err, "set SO_REUSEADDR")
	}
	return syscall.Bind(socket, &syscall.SockaddrInet4{Port: port, Addr: [4]byte(parsed)})
}

// run starts a process in a goroutine, which runs until the process is stopped or ends by itself.
func (c *Cluster) run(ip string, run func(context.Context) error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	process := &localProcess{cancel: cancel, done: make(chan struct{})}
	c.running[ip] = process
	go func() {
		defer close(process.done)
		process.err = run(ctx)
	}()
}

// Runs reports whether the process at an address runs: it was started, and has neither been stopped nor
// ended by itself.
func (c *Cluster) Runs(ip string) bool {
	process := c.running[ip]
	if process == nil {
		return false
	}
	select {
	case <-process.done:
		return false
	default:
		return true
	}
}

// Stop stops the process at an address, if it runs, as SIGTERM does. It returns the error with which the
// process ended.
func (c *Cluster) Stop(ip string) error { return c.end(ip, context.Canceled) }

// Kill ends the process at an address, if it runs, as much like SIGKILL as is possible within one process of
// the operating system: a node doesn't transfer its leaderships. It returns the error with which the process
// ended.
func (c *Cluster) Kill(ip string) error { return c.end(ip, controlplane.ErrKilled) }

// end ends the process at an address, if it runs, with the cause of the end, and waits for it.
func (c *Cluster) end(ip string, cause error) error {
	process := c.running[ip]
	if process == nil {
		return nil
	}
	delete(c.running, ip)
	process.cancel(cause)
	<-process.done
	return process.err
}

// Close stops all processes, dispatchers first, so that none sends requests to stopped nodes.
func (c *Cluster) Close() {
	isNode := map[string]bool{}
	for _, ip := range c.options.NodeIPs {
		isNode[ip] = true
	}
	for _, stopNodes := range []bool{false, true} {
		for ip := range c.running {
			if isNode[ip] == stopNodes {
				_ = c.Stop(ip) // the caller has its results by now
			}
		}
	}
}
