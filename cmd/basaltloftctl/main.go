// Command basaltloftctl shows operators the state of a cluster scheduler's control-plane nodes and the
// causes of late jobs, and runs a demonstration cluster on one machine.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit statuses besides 0.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

// run executes the sub-command given in args and returns the exit status.
func run(args []string) int {
	parser := flags.NewNamedParser("basaltloftctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddCommand("status", "Show groups, leaders and members", "Asks core processes which groups they hold: who leads and for how long, what is applied, who votes and who lacks what. Equal digests at equal applied indexes are equal states.", &statusCommand{}); err != nil {
		return report(err, exitUsage)
	}
	if _, err := parser.AddCommand("late", "Show where late jobs' time went", "Reads the logs of core processes, of files or standard input, and tells for the jobs that missed their objective how long they waited, on the mean, for what: by the cause that took most, by queue, by size and by time.", &lateCommand{}); err != nil {
		return report(err, exitUsage)
	}
	if _, err := parser.AddCommand("demo", "Run a cluster on this machine", "Runs three control-plane nodes, two dispatchers and stand-ins of the platform, of runners and of clients in one process, on loopback, and prints a line a second: jobs done, latencies, runners, and how many groups each node leads. Ends with 1 where a job was not completed.", &demoCommand{}); err != nil {
		return report(err, exitUsage)
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case flags.WroteHelp(err):
		fmt.Println(err)
		return 0
	case errors.As(err, &usage):
		return report(err, exitUsage)
	}
	return report(err, exitFailed)
}

// report prints err to standard error and returns status.
func report(err error, status int) int {
	fmt.Fprintln(os.Stderr, err)
	return status
}
