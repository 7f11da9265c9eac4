// Package demo runs a demonstration cluster on loopback: three control-plane nodes, two dispatchers, and
// stand-ins for the platform, runners and clients, all in one process. It prints a table of the cluster's
// progress, and can kill a part of the cluster meanwhile: the leader of most groups, a dispatcher or a runner.
//
// Files: demo.go (setup and main loop), folder.go (the data directory), load.go (clients), kill.go (the parts
// that are killed), table.go (the output).
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/internal/cluster/localcluster"
	"basaltloft/internal/cluster/settings"
	"basaltloft/internal/cluster/standin"
)

// Addresses of the processes. All of 127.0.0.0/8 is loopback.
var (
	nodeIPs       = []string{"127.0.0.11", "127.0.0.12", "127.0.0.13"}
	dispatcherIPs = []string{"127.0.0.21", "127.0.0.22"}
)

const (
	service = "desk"
	// Host is the Host header of requests to the demonstration's queues.
	Host = "demo"
	// taskDuration is how long a task runs.
	taskDuration = 100 * time.Millisecond
	// readyTimeout bounds the time until the cluster accepts its configuration, which takes about a second.
	readyTimeout = time.Minute
	// settleTimeout bounds the time until the jobs in progress are over, after the last one was submitted.
	settleTimeout = 20 * time.Second
	// tableInterval is the time between two lines of the table.
	tableInterval = time.Second
)

// queues are the path prefixes of the queues, as the configuration has them.
var queues = []string{"/quick/", "/batch/"}

// configuration has the two queues. The jobs of quick have priority over those of batch.
const configuration = `{"version":1,"routes":[` +
	`{"name":"quick","host":"` + Host + `","path_prefix":"/quick/","type":"mutating","timeout_ms":3000,"target_ms":250,"priority":0,"backend":"` + service + `","retries":3,"extension":1.5},` +
	`{"name":"batch","host":"` + Host + `","path_prefix":"/batch/","type":"mutating","timeout_ms":3000,"target_ms":1000,"priority":1,"backend":"` + service + `","retries":3,"extension":3}],` +
	`"services":[{"name":"` + service + `","guards":true}],"limits":{"max_body_bytes":262144}}`

// Options configure a demonstration.
type Options struct {
	Port    int           // first port of each process, at its own address
	Dir     string        // directory of the nodes' data; empty: a directory that is removed at the end
	For     time.Duration // how long jobs are submitted; 0: until the context ends
	Kill    Target        // what is killed after half of that time, or else after killAfter
	Rate    float64       // jobs a second
	Runners int
	Out     io.Writer
	Log     *slog.Logger // log of the processes
}

// ErrNotCompleted is returned when jobs that were submitted have not been completed in time.
var ErrNotCompleted = errors.New("jobs were not completed")

// demonstration is a running cluster with its platform, runners and clients.
type demonstration struct {
	options  Options
	cluster  *localcluster.Cluster
	platform *standin.Platform
	runners  []*standin.Runner
	killed   []*standin.Runner // runners that were killed
	load     *load
	started  time.Time
}

// Run runs the demonstration until its time is over or the context ends, and then shuts it down gracefully. It
// returns an error if a part can't be started (localcluster.ErrPortTaken, ErrForeignFolder, errors of the
// file system) or jobs were not completed (ErrNotCompleted).
func Run(ctx context.Context, options Options) error {
	folder, err := openFolder(options.Dir, options.Port)
	if err != nil {
		return err
	}
	defer folder.close()
	d := &demonstration{options: options, started: time.Now()}
	defer d.close()
	if err := d.start(ctx, folder.path); err != nil {
		if ctx.Err() != nil {
			return nil // it was stopped before the cluster was ready
		}
		return err
	}
	return d.run(ctx)
}

// start starts all parts and returns once the cluster has accepted its configuration.
func (d *demonstration) start(ctx context.Context, dataDir string) error {
	platform, err := standin.NewPlatform()
	if err != nil {
		return err
	}
	d.platform = platform
	for range d.options.Runners {
		if err := d.addRunner(); err != nil {
			return err
		}
	}
	d.cluster = localcluster.New(localcluster.Options{
		NodeIPs: nodeIPs, Port: d.options.Port, PlatformURL: platform.Server.URL, DataDir: dataDir, Log: d.options.Log,
		Bounds: settings.Bounds{MaxLeaseMs: 6000, ConfigApplyMs: 2000, GraceS: 1, StatusRetentionS: 120, RemoteSlowdown: 1},
	})
	for _, ip := range nodeIPs {
		if err := d.cluster.StartNode(ip, true); err != nil {
			return err
		}
	}
	for _, ip := range dispatcherIPs {
		if err := d.cluster.StartDispatcher(ip); err != nil {
			return err
		}
	}
	d.printAddresses()
	return d.configure(ctx)
}

// addRunner starts another runner and adds it to the platform's list.
func (d *demonstration) addRunner() error {
	runner, err := standin.NewRunner(fmt.Sprintf("runner-%d", len(d.runners)+len(d.killed)+1), taskDuration)
	if err != nil {
		return err
	}
	d.runners = append(d.runners, runner)
	d.platform.AddRunner(runner, service)
	return nil
}

// configure sends the configuration until the cluster has formed and accepts it. A cluster that runs on the
// data of an earlier demonstration may have it already.
func (d *demonstration) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		status, body, err := exchange(ctx, http.MethodPost, d.cluster.HTTP(nodeIPs[0]), "/-/config/replace", configuration)
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status < http.StatusInternalServerError:
			return errors.Newf("the demonstration's configuration was rejected with status %d: %s", status, strings.TrimSpace(body))
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "the cluster has not formed: last response %d, %v", status, err)
		case <-time.After(retryPause):
		}
	}
}

// run submits jobs and prints the table until the time is over or the context ends. It then waits for the
// jobs in progress.
func (d *demonstration) run(ctx context.Context) error {
	submitCtx, stopSubmitting := ctx, context.CancelFunc(func() {})
	if d.options.For > 0 {
		submitCtx, stopSubmitting = context.WithTimeout(ctx, d.options.For)
	}
	defer stopSubmitting()
	d.load = newLoad(d.dispatchers())
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		d.load.submitSteadily(submitCtx, d.options.Rate)
	}()
	kill := newKiller(d)
	d.printHeader()
	ticker := time.NewTicker(tableInterval)
	defer ticker.Stop()
	for {
		select {
		case <-submitted:
			d.load.settle(settleTimeout)
			d.printLine()
			return d.summarize()
		case <-ticker.C:
			if err := kill.step(time.Since(d.started)); err != nil {
				return err
			}
			d.printLine()
		}
	}
}

// dispatchers returns the addresses to which clients send their requests.
func (d *demonstration) dispatchers() []string {
	var addresses []string
	for _, ip := range dispatcherIPs {
		addresses = append(addresses, d.cluster.HTTP(ip))
	}
	return addresses
}

// close stops all parts that were started.
func (d *demonstration) close() {
	if d.load != nil {
		d.load.close()
	}
	if d.cluster != nil {
		d.cluster.Close()
	}
	for _, runner := range d.runners {
		runner.Server.Close()
	}
	if d.platform != nil {
		d.platform.Server.Close()
	}
}
