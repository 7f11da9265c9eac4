// Command basaltloft is the dispatcher: it wires the parts together and
// handles signals.
package main

import (
	"context"
	"flag"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"basaltloft/internal/agentcheck"
	"basaltloft/internal/core"
	"basaltloft/internal/faktory"
	"basaltloft/internal/pool"
	"basaltloft/internal/poolmember"
	"basaltloft/internal/settings"
	"basaltloft/internal/stage"
	"basaltloft/internal/virtualserver"

	"github.com/sirupsen/logrus"
)

// settle is a little more than what a member takes to break a connection on
// which a request comes, and nothing beside the run time of a job.
const settle = 3 * time.Millisecond

// A planned end. Clients learn of it late and go on opening connections for a
// while; those that hold one are served on it for longer, since the dispatcher
// that they would turn to may be on its way back. The end by force comes no
// sooner than 3.7 s after the signal, and finds nothing unanswered that came later
// than 0.7 s after it.
const (
	late    = 600 * time.Millisecond  // what comes from here on must be answered by dismiss
	stays   = 2400 * time.Millisecond // connections between requests are closed then
	parts   = 2500 * time.Millisecond // the listener stays open until here at least
	dismiss = 3300 * time.Millisecond
)

func main() {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if os.Getenv("ROUTER_DEBUG") != "" {
		log.SetLevel(logrus.DebugLevel)
	}
	operator := flag.String("operator", "", "the operator's file, which sets up the Faktory front and the agent check")
	flag.Parse()
	if err := run(log, *operator); err != nil {
		fmt.Fprintln(os.Stderr, "basaltloft:", err)
		os.Exit(1)
	}
}

// configure reads the configuration; the environment has the last word.
func configure() (settings.Config, error) {
	return read(map[string]string{
		"ROUTER_NAME": os.Getenv("ROUTER_NAME"), "ROUTER_LISTEN": os.Getenv("ROUTER_LISTEN"),
		"ROUTER_DISCOVERY": os.Getenv("ROUTER_DISCOVERY"),
	})
}

// read reads the configuration file, over which what is named goes.
func read(over map[string]string) (settings.Config, error) {
	path := os.Getenv("ROUTER_CONFIG")
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	c, err := settings.DecodeConfig(text)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	for name, into := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery,
	} {
		if v := over[name]; v != "" {
			*into = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return c, fmt.Errorf("%s: %s: %w", path, name, err)
		}
	}
	return c, nil
}

// reload follows the discovery service that the file names now. The file is
// newer than the environment, so it has the last word here. All else in it
// takes a restart. A file that can't be used changes nothing: a dispatcher
// with jobs in hand goes on as it was.
func reload(follower *pool.Follower, log logrus.FieldLogger) {
	c, err := read(nil)
	if err != nil {
		log.WithError(err).Error("the configuration can't be reloaded and stays as it was")
		return
	}
	follower.Move(c.Discovery)
	log.WithField("discovery", c.Discovery).Info("reloaded")
}

// fit holds the run time to the machine it is told of.
func fit(c settings.Config) {
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	}
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 4)
		debug.SetGCPercent(400)
	}
}

func run(log *logrus.Logger, operator string) error {
	c, err := configure()
	if err != nil {
		return err
	}
	var extra settings.Operator
	if operator != "" {
		text, err := os.ReadFile(operator)
		if err != nil {
			return fmt.Errorf("operator's file: %w", err)
		}
		if extra, err = settings.DecodeOperator(text); err != nil {
			return err
		}
	}
	fit(c)
	told, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sockets := c.Sockets
	if sockets <= 0 {
		sockets = 1024
	}
	if extra.Faktory != nil { // its connections are held beside the others
		sockets = max(sockets/2, sockets-extra.Faktory.Connections)
	}
	limits := stage.Limits{Open: sockets / 2, Bytes: 16 << 20}
	if c.MemoryMB > 0 { // a body is held twice for a moment, and connections have buffers
		limits.Bytes = min(limits.Bytes, c.MemoryMB<<20/8)
	}
	chain := stage.New(c.Settings, limits, log)
	hub, err := core.New(c.Settings, chain, log)
	if err != nil {
		return err
	}
	carrier := poolmember.New(hub, poolmember.Figures{DialWithin: c.DialWithin, Settle: settle, Most: sockets / 4})
	follower := pool.New(ctx, c.Discovery, hub, carrier, log)
	hub.Follow(follower)
	front := virtualserver.New(hub, chain, log)

	// All sockets are taken before anything is served: an address that can't
	// be had ends the program with one line.
	served := make(chan error, 3)
	go hub.Run(ctx)
	follower.Restore(c.Known)
	hub.Sync(func() {}) // the pool is known before anybody asks
	listener, err := listen(c.Listen)
	if err != nil {
		return err
	}
	var second *faktory.Server
	if f := extra.Faktory; f != nil {
		l, err := listen(f.Listen)
		if err != nil {
			return err
		}
		if f.Zone == "" {
			f.Zone = c.Settings.Zone
		}
		second = faktory.New(hub, chain, f, log)
		go func() { served <- second.Serve(ctx, l) }()
	}
	var draining atomic.Bool
	if extra.AgentCheck != "" {
		l, err := listen(extra.AgentCheck)
		if err != nil {
			return err
		}
		go func() {
			served <- agentcheck.Serve(ctx, l, func() agentcheck.State {
				return agentcheck.State{Ready: hub.Ready(), Draining: draining.Load(), Open: hub.Unanswered(), Most: limits.Open}
			})
		}()
	}
	go func() { served <- front.Serve(listener, sockets/2) }()
	log.WithFields(logrus.Fields{"name": c.Name, "listen": c.Listen, "members": len(c.Known.Entries)}).Info("serving")

	go func() { // also while it drains: jobs in hand may still need the list
		for range reloads {
			reload(follower, log)
		}
	}()
	select {
	case err := <-served:
		return err
	case <-told:
	}
	log.Info("draining")
	began := time.Now()
	draining.Store(true)
	hub.Leaving(began.Add(late), began.Add(dismiss))
	front.Drain()
	if second != nil {
		second.Drain()
	}
	time.Sleep(time.Until(began.Add(stays)))
	front.Part()
	drained(func() int { return front.InHand() + hub.Unanswered() }, began.Add(parts))
	if err := front.Shutdown(ctx); err != nil {
		return err
	}
	var totals logrus.Fields
	hub.Sync(func() { totals = chain.Totals() })
	log.WithFields(totals).Info("done")
	return nil
}

func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	return l, nil
}

// drained waits until the time given and then until nothing is in hand.
func drained(inHand func() int, from time.Time) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for now := range tick.C {
		if now.After(from) && inHand() == 0 {
			return
		}
	}
}
