// Command basaltloft is the dispatcher: it wires the parts together and
// handles signals.
package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"basaltloft/internal/core"
	"basaltloft/internal/pool"
	"basaltloft/internal/poolmember"
	"basaltloft/internal/settings"
	"basaltloft/internal/stage"
	"basaltloft/internal/virtualserver"

	"github.com/sirupsen/logrus"
)

// lingers is how long a planned end keeps the listener open at least: clients
// learn of it late, and go on opening connections.
const lingers = 800 * time.Millisecond

func main() {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if os.Getenv("ROUTER_DEBUG") != "" {
		log.SetLevel(logrus.DebugLevel)
	}
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "basaltloft:", err)
		os.Exit(1)
	}
}

// configure reads the configuration; the environment has the last word.
func configure() (settings.Config, error) {
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
		if v := os.Getenv(name); v != "" {
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

func run(log *logrus.Logger) error {
	c, err := configure()
	if err != nil {
		return err
	}
	fit(c)
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sockets := c.Sockets
	if sockets <= 0 {
		sockets = 1024
	}
	chain := stage.New(c.Settings, stage.Limits{Open: sockets / 2, Bytes: 16 << 20}, log)
	hub, err := core.New(c.Settings, chain, log)
	if err != nil {
		return err
	}
	carrier := poolmember.New(hub, c.ConnIdle, c.DialWithin, sockets/4)
	follower := pool.New(ctx, c.Discovery, hub, carrier, log)
	hub.Follow(follower)
	front := virtualserver.New(hub, chain, log)

	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	go hub.Run(ctx)
	follower.Restore(c.Known)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	log.WithFields(logrus.Fields{"name": c.Name, "listen": c.Listen, "members": len(c.Known.Entries)}).Info("serving")

	select {
	case err := <-served:
		return err
	case <-told:
	}
	log.Info("draining")
	front.Drain()
	drained(front.InHand, time.Now().Add(lingers))
	if err := front.Shutdown(ctx); err != nil {
		return err
	}
	log.Info("done")
	return nil
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
