package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/internal/cluster/demo"
)

// demoCommand runs a demonstration cluster on loopback.
type demoCommand struct {
	For     time.Duration `long:"for" description:"how long jobs are submitted; without it until Ctrl-C"`
	Kill    string        `long:"kill" choice:"leader" choice:"dispatcher" choice:"runner" description:"what is taken away on the way, and comes back"`
	Rate    float64       `long:"rate" default:"40" description:"jobs a second"`
	Runners int           `long:"runners" default:"4" description:"how many runners there are"`
	Port    int           `long:"port" default:"7700" description:"first of the four ports that each process has at its own loopback address"`
	Dir     string        `long:"dir" description:"a folder that keeps the nodes' data; without it a temporary one, which is removed"`
	Log     bool          `long:"log" description:"write the processes' log to standard error"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	const maxRate = 2000
	switch {
	case c.For < 0:
		return errors.New("--for must not be negative")
	case c.Rate <= 0 || c.Rate > maxRate:
		return errors.Newf("--rate must be above 0 and at most %d jobs a second", maxRate)
	case c.Runners < 1:
		return errors.New("--runners must be 1 or more")
	case c.Port < 1024 || c.Port > 65_000:
		return errors.New("--port must be from 1024 to 65000")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.DiscardHandler)
	if c.Log {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	err := demo.Run(ctx, demo.Options{
		Port: c.Port, Dir: c.Dir, For: c.For, Kill: demo.Target(c.Kill), Rate: c.Rate, Runners: c.Runners, Out: os.Stdout, Log: log,
	})
	if errors.Is(err, syscall.ENOSPC) {
		return errors.Wrap(err, "the disk is full: name a folder on another with --dir")
	}
	return err
}
