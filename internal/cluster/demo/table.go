package demo

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/protocol"
)

// statusTimeout bounds the request for a node's status, for one line of the table.
const statusTimeout = 200 * time.Millisecond

// print writes a line. A failed write does not stop the demonstration.
func (d *demonstration) print(format string, args ...any) {
	_, _ = fmt.Fprintf(d.options.Out, format+"\n", args...)
}

// note writes an event with the time since the start.
func (d *demonstration) note(format string, args ...any) {
	d.print("%6.1fs  -- "+format, append([]any{time.Since(d.started).Seconds()}, args...)...)
}

func (d *demonstration) printAddresses() {
	for _, ip := range nodeIPs {
		d.print("node        %s  (operators; basaltloftctl status %s)", d.cluster.HTTP(ip), d.cluster.Internal(ip))
	}
	for _, ip := range dispatcherIPs {
		d.print("dispatcher  %s  (clients, with Host: %s)", d.cluster.HTTP(ip), Host)
	}
	d.print("queues      %s", strings.Join(queues, " "))
	d.print("")
}

func (d *demonstration) printHeader() {
	d.print("%7s  %7s  %s  %8s  %7s  %s", "time", "done/s", strings.Join([]string{"quick p50  p99 ms", "batch p50  p99 ms"}, "  "), "under way", "runners", "groups led")
}

// printLine writes a line of the table. The latencies are of all jobs so far.
func (d *demonstration) printLine() {
	elapsed := time.Since(d.started)
	d.load.mu.Lock()
	done, underWay := 0, 0
	var latencies []string
	for _, queue := range queues {
		f := d.load.figures[queue]
		done += f.completed
		underWay += f.submitted - f.completed - f.failed
		latencies = append(latencies, fmt.Sprintf("%9d %7d", f.latency.ValueAtQuantile(50), f.latency.ValueAtQuantile(99)))
	}
	doneNow := done - d.load.shown
	since := elapsed - d.load.shownAt
	d.load.shown, d.load.shownAt = done, elapsed
	d.load.mu.Unlock()
	d.print("%6.1fs  %7.1f  %s  %9d  %7d  %s", elapsed.Seconds(), float64(doneNow)/max(since.Seconds(), 0.001), strings.Join(latencies, "  "), underWay, len(d.runners), d.leadersText())
}

// groupsLed returns how many groups each node leads. It leaves out nodes that do not respond.
func (d *demonstration) groupsLed() map[string]int {
	led := map[string]int{}
	for _, ip := range nodeIPs {
		if !d.cluster.Runs(ip) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		client := rpc.NewClient(d.cluster.Internal(ip))
		got, err := client.Call(ctx, protocol.StatusRequest{})
		cancel()
		client.Close()
		status, ok := got.(protocol.StatusResponse)
		if err != nil || !ok {
			continue
		}
		led[ip] = 0
		for _, group := range status.Groups {
			if group.Leads {
				led[ip]++
			}
		}
	}
	return led
}

// leadersText returns how many groups each node leads, as the table shows it.
func (d *demonstration) leadersText() string {
	led := d.groupsLed()
	var parts []string
	for _, ip := range nodeIPs {
		text := "away"
		if count, answers := led[ip]; answers {
			text = fmt.Sprint(count)
		}
		parts = append(parts, ip+": "+text)
	}
	return strings.Join(parts, "  ")
}

// leaderOfMost returns the node that leads most groups; empty: no node responds.
func (d *demonstration) leaderOfMost() string {
	led := d.groupsLed()
	ips := make([]string, 0, len(led))
	for ip := range led {
		ips = append(ips, ip)
	}
	sort.Slice(ips, func(a, b int) bool { return led[ips[a]] > led[ips[b]] || led[ips[a]] == led[ips[b]] && ips[a] < ips[b] })
	if len(ips) == 0 {
		return ""
	}
	return ips[0]
}

// summarize writes the totals of the jobs and tasks. It returns ErrNotCompleted if a submitted job is not
// completed.
func (d *demonstration) summarize() error {
	d.load.mu.Lock()
	defer d.load.mu.Unlock()
	submitted, completed, tasks := 0, 0, 0
	for _, queue := range queues {
		f := d.load.figures[queue]
		submitted += f.submitted
		completed += f.completed
		tasks += f.completed * jobTasks[queue]
	}
	begun, again := 0, 0
	for _, runner := range append(d.runners, d.killed...) {
		for _, starts := range runner.StartCounts() {
			begun++
			again += starts - 1
		}
	}
	d.print("\n%d jobs submitted, %d completed; %d tasks completed, %d begun, %d begun twice at one runner", submitted, completed, tasks, begun, again)
	if completed < submitted {
		return errors.Wrapf(ErrNotCompleted, "%d of %d", submitted-completed, submitted)
	}
	return nil
}
