package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/protocol"
)

// statusCommand asks control-plane nodes for the state of their replica groups.
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
		status, err := requestStatus(address, c.Within)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed++
			continue
		}
		if err := writeStatus(os.Stdout, status); err != nil {
			return err
		}
	}
	if failed > 0 {
		return errors.Newf("%d of %d did not answer", failed, len(c.Args.Addresses))
	}
	return nil
}

// requestStatus requests the status of the node at an address.
func requestStatus(address string, timeout time.Duration) (protocol.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client := rpc.NewClient(address)
	defer client.Close()
	got, err := client.Call(ctx, protocol.StatusRequest{})
	if err != nil {
		return protocol.StatusResponse{}, errors.Wrapf(err, "ask %s: check the address, and that the core runs there", address)
	}
	status, ok := got.(protocol.StatusResponse)
	if !ok {
		return protocol.StatusResponse{}, errors.Newf("%s gave another answer: run the same version", address)
	}
	return status, nil
}

// writeStatus writes a node's status: a table with a line for each replica group, then a line for each
// problem of a group and for each member that lags behind.
func writeStatus(to io.Writer, status protocol.StatusResponse) error {
	text := &bytes.Buffer{} // writing to it never fails
	fmt.Fprintf(text, "%s (%s, member %s, configuration %d)\n", status.Node, status.Member.Address, status.Member.ID, status.Version)
	table := tabwriter.NewWriter(text, 2, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  group\tleader\tterm\tlease\tapplied\tnewest\tsnapshot\tdigest\tvoters\tlearners")
	for _, group := range status.Groups {
		_, _ = fmt.Fprintf(table, "  %s\t%s\t%d\t%s\t%d\t%d\t%d\t%08x\t%s\t%d\n", group.Name, leaderText(group), group.Term, leaseText(group),
			group.Applied, group.Last, group.Snapshot, uint32(group.Digest), votersText(group), len(group.Members.Learners))
	}
	_ = table.Flush()
	for _, group := range status.Groups {
		writeProblems(text, group)
	}
	_, err := text.WriteTo(to)
	return errors.Wrap(err, "write the status")
}

// leaderText returns the address of a group's leader as the node reports it: "here" if it is the node
// itself, "none" if the leader isn't known.
func leaderText(group protocol.GroupStatus) string {
	switch {
	case group.Leads:
		return "here"
	case group.Leader == "":
		return "none"
	}
	return group.Leader
}

// leaseText returns the time left of the node's leader lease, or "-" if the node doesn't lead the group.
func leaseText(group protocol.GroupStatus) string {
	if !group.Leads {
		return "-"
	}
	return group.LeaseLeft.Round(time.Millisecond).String()
}

// votersText returns the number of voters; during a membership change, the numbers before and after it.
func votersText(group protocol.GroupStatus) string {
	if group.Members.IsJoint() {
		return fmt.Sprintf("%d to %d", len(group.Members.Outgoing), len(group.Members.Voters))
	}
	return strconv.Itoa(len(group.Members.Voters))
}

// writeProblems writes a line if the group's replica has halted, is receiving a snapshot or has bytes that
// aren't synced to disk, and one for each member that lags behind.
func writeProblems(text *bytes.Buffer, group protocol.GroupStatus) {
	if group.Halted != "" {
		fmt.Fprintf(text, "  %s: halted: %s\n", group.Name, group.Halted)
	}
	if group.Receiving > 0 {
		fmt.Fprintf(text, "  %s: receives a snapshot, %d bytes so far\n", group.Name, group.Receiving)
	}
	if group.Unsynced > 0 {
		fmt.Fprintf(text, "  %s: %d bytes wait for the disk\n", group.Name, group.Unsynced)
	}
	for _, member := range group.Members.AllMembers() {
		if lag := group.Lacks[member.ID]; lag > 0 {
			fmt.Fprintf(text, "  %s: %s (%s) lacks %d entries\n", group.Name, member.Address, member.ID, lag)
		}
	}
}
