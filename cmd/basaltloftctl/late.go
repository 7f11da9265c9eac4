package main

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/internal/cluster/lateness"
)

// lateCommand prints how long late jobs waited, and for what.
type lateCommand struct {
	Window time.Duration `long:"window" default:"2s" description:"length of the windows of time"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"logs of core processes; none: standard input"`
	} `positional-args:"yes"`
}

// minWindow is the shortest --window: shorter windows contain too few jobs for a meaningful mean.
const minWindow = time.Second

// Execute implements flags.Commander.
func (c *lateCommand) Execute([]string) error {
	if c.Window < minWindow {
		return errors.Newf("a window of %v is too short: give one second or more", c.Window)
	}
	jobs, err := c.readLogs()
	if err != nil {
		return err
	}
	fmt.Printf("%d late jobs; mean milliseconds a job, on the chain of tasks that its end waited for\n\n", len(jobs))
	return lateness.Print(os.Stdout, jobs, c.Window)
}

// readLogs returns the late jobs in all log files, or in standard input if no file is given.
func (c *lateCommand) readLogs() ([]lateness.LateJob, error) {
	if len(c.Args.Files) == 0 {
		return lateness.ReadLog(os.Stdin)
	}
	var jobs []lateness.LateJob
	for _, path := range c.Args.Files {
		found, err := readLog(path)
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, found...)
	}
	return jobs, nil
}

// readLog returns the late jobs in one log file.
func readLog(path string) ([]lateness.LateJob, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open a log")
	}
	defer func() { _ = file.Close() }() // opened for reading only, so a failed close loses nothing
	return lateness.ReadLog(file)
}
