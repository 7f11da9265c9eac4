package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/internal/cluster/lateness"
)

// lateCommand shows where the time of late jobs went.
type lateCommand struct {
	Window time.Duration `long:"window" default:"2s" description:"length of the windows of time"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"logs of core processes; none: standard input"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *lateCommand) Execute([]string) error {
	if c.Window < time.Second {
		return errors.Newf("a window of %v is too short: give one second or more", c.Window)
	}
	jobs, err := c.read()
	if err != nil {
		return err
	}
	fmt.Printf("%d late jobs; mean milliseconds a job, on the chain of tasks that its end waited for\n\n", len(jobs))
	return lateness.Print(os.Stdout, jobs, c.Window)
}

func (c *lateCommand) read() ([]lateness.LateJob, error) {
	if len(c.Args.Files) == 0 {
		return lateness.ReadLog(os.Stdin)
	}
	var jobs []lateness.LateJob
	for _, path := range c.Args.Files {
		found, err := readFile(path)
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, found...)
	}
	return jobs, nil
}

func readFile(path string) ([]lateness.LateJob, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open a log")
	}
	defer file.Close()
	return lateness.ReadLog(io.Reader(file))
}
