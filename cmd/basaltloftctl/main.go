// Command basaltloftctl shows operators what the core processes of a cluster scheduler hold.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/protocol"
)

// statusCommand asks core processes for their groups.
type statusCommand struct {
	Within time.Duration `long:"within" default:"2s" description:"how long to wait for each answer"`
	Args   struct {
		Addresses []string `positional-arg-name:"ADDRESS" required:"1" description:"a core machine's IP with the first port of its port_range"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	failed := 0
	for _, address := range c.Args.Addresses {
		answer, err := ask(address, c.Within)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed++
			continue
		}
		show(os.Stdout, answer)
	}
	if failed > 0 {
		return errors.Newf("%d of %d did not answer", failed, len(c.Args.Addresses))
	}
	return nil
}

func ask(address string, within time.Duration) (protocol.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	got, err := rpc.NewClient(address).Call(ctx, protocol.StatusRequest{})
	if err != nil {
		return protocol.StatusResponse{}, errors.Wrapf(err, "ask %s: check the address, and that the core runs there", address)
	}
	answer, ok := got.(protocol.StatusResponse)
	if !ok {
		return protocol.StatusResponse{}, errors.Newf("%s gave another answer: run the same version", address)
	}
	return answer, nil
}

// show prints what a process holds: a line for each group, and one for each member that lacks
// something, is about to join, or has halted.
func show(to io.Writer, answer protocol.StatusResponse) {
	fmt.Fprintf(to, "%s (%s, member %s, configuration %d)\n", answer.Node, answer.Member.Address, answer.Member.ID, answer.Version)
	table := tabwriter.NewWriter(to, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "  group\tleader\tterm\tlease\tapplied\tnewest\tsnapshot\tdigest\tvoters\tlearners")
	for _, group := range answer.Groups {
		fmt.Fprintf(table, "  %s\t%s\t%d\t%s\t%d\t%d\t%d\t%08x\t%s\t%d\n", group.Name, leaderOf(group), group.Term, leaseOf(group),
			group.Applied, group.Last, group.Snapshot, uint32(group.Digest), votersOf(group), len(group.Members.Learners))
	}
	table.Flush()
	for _, group := range answer.Groups {
		showTroubles(to, group)
	}
}

func leaderOf(group protocol.GroupStatus) string {
	switch {
	case group.Leads:
		return "here"
	case group.Leader == "":
		return "none"
	}
	return group.Leader
}

func leaseOf(group protocol.GroupStatus) string {
	if !group.Leads {
		return "-"
	}
	return group.LeaseLeft.Round(time.Millisecond).String()
}

// votersOf counts the voters; while a change is under way, those before and after it.
func votersOf(group protocol.GroupStatus) string {
	if group.Members.IsJoint() {
		return fmt.Sprintf("%d to %d", len(group.Members.Outgoing), len(group.Members.Voters))
	}
	return strconv.Itoa(len(group.Members.Voters))
}

func showTroubles(to io.Writer, group protocol.GroupStatus) {
	if group.Halted != "" {
		fmt.Fprintf(to, "  %s: halted: %s\n", group.Name, group.Halted)
	}
	if group.Receiving > 0 {
		fmt.Fprintf(to, "  %s: receives a snapshot, %d bytes so far\n", group.Name, group.Receiving)
	}
	if group.Unsynced > 0 {
		fmt.Fprintf(to, "  %s: %d bytes wait for the disk\n", group.Name, group.Unsynced)
	}
	for _, member := range group.Members.AllMembers() {
		if lacks := group.Lacks[member.ID]; lacks > 0 {
			fmt.Fprintf(to, "  %s: %s (%s) lacks %d entries\n", group.Name, member.Address, member.ID, lacks)
		}
	}
}

const exitUsage = 2

func main() {
	parser := flags.NewNamedParser("basaltloftctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddCommand("status", "Show groups, leaders and members", "Asks core processes which groups they hold: who leads and for how long, what is applied, who votes and who lacks what. Equal digests at equal applied indexes are equal states.", &statusCommand{}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if _, err := parser.AddCommand("late", "Show where late jobs' time went", "Reads the logs of core processes, of files or standard input, and tells for the jobs that missed their objective how long they waited, on the mean, for what: by the cause that took most, by queue, by size and by time.", &lateCommand{}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, err)
		if _, usage := err.(*flags.Error); usage {
			os.Exit(exitUsage)
		}
		os.Exit(1)
	}
}
