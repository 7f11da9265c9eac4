// Command basaltloftctl shows operators what the core processes of a cluster scheduler hold.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"basaltloft/coord/rpc"
	"basaltloft/internal/protocol"
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

func ask(address string, within time.Duration) (protocol.StatusAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	got, err := rpc.NewClient(address).Call(ctx, protocol.AskStatus{})
	if err != nil {
		return protocol.StatusAnswer{}, errors.Wrapf(err, "ask %s: check the address, and that the core runs there", address)
	}
	answer, ok := got.(protocol.StatusAnswer)
	if !ok {
		return protocol.StatusAnswer{}, errors.Newf("%s gave another answer: run the same version", address)
	}
	return answer, nil
}

func show(to io.Writer, answer protocol.StatusAnswer) {
	fmt.Fprintf(to, "%s (%s, member %s)\n", answer.Node, answer.Member.Address, answer.Member.ID)
	table := tabwriter.NewWriter(to, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "  group\tleader\tepoch\tvoters\tlearners")
	for _, group := range answer.Groups {
		leader, epoch := group.Leader, "-"
		if group.Leads {
			leader, epoch = "here", fmt.Sprint(group.Term)
		}
		if leader == "" {
			leader = "none"
		}
		fmt.Fprintf(table, "  %s\t%s\t%s\t%d\t%d\n", group.Name, leader, epoch, len(group.Members.Voters), len(group.Members.Learners))
	}
	table.Flush()
}

const exitUsage = 2

func main() {
	parser := flags.NewNamedParser("basaltloftctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddCommand("status", "Show groups, leaders and members", "Asks core processes which groups they hold, who leads them and who votes.", &statusCommand{}); err != nil {
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
