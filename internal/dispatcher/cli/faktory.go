package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"basaltloft/internal/dispatcher/faktory/client"

	"github.com/spf13/cobra"
)

// replyTimeout is how long an operator waits for a server.
const replyTimeout = 5 * time.Second

// faktoryFlags is how a running server is reached.
type faktoryFlags struct{ address, passwordFile, format string }

func faktoryCommand(sh *globalFlags) *cobra.Command {
	call := &faktoryFlags{}
	c := &cobra.Command{Use: "faktory", Short: "look after a running Faktory front", Args: noArgs, RunE: showHelp}
	c.PersistentFlags().StringVar(&call.address, "at", "127.0.0.1:7419", "`address` that faktory.listen names")
	c.PersistentFlags().StringVar(&call.passwordFile, "password-file", "", "`file` with the password")
	c.PersistentFlags().StringVar(&call.format, "format", "table", "table or json")
	with := func(do func(*client.Conn, []string) error) func(*cobra.Command, []string) error {
		return func(_ *cobra.Command, args []string) error {
			if call.format != "table" && call.format != "json" {
				return usageError{fmt.Errorf("--format is table or json, not %q", call.format)}
			}
			password := ""
			if call.passwordFile != "" {
				text, err := os.ReadFile(call.passwordFile)
				if err != nil {
					return err
				}
				password = strings.TrimSpace(string(text))
			}
			conn, err := client.Dial(call.address, password, time.Now().Add(replyTimeout))
			if err != nil {
				return err
			}
			defer conn.Close()
			return do(conn, args)
		}
	}
	names := func(_ *cobra.Command, args []string) error {
		if len(args) == 0 {
			return usageError{errors.New("name queues, or * for all")}
		}
		return nil
	}
	queueVerb := func(verb, short string) *cobra.Command {
		return &cobra.Command{
			Use: strings.ToLower(verb) + " QUEUE ...", Short: short, Args: names,
			RunE: with(func(conn *client.Conn, queues []string) error {
				if _, err := conn.Do("QUEUE "+verb+" "+strings.Join(queues, " "), time.Now().Add(replyTimeout)); err != nil {
					return err
				}
				return call.queues(sh.stdout, conn, queues)
			}),
		}
	}
	c.AddCommand(
		&cobra.Command{Use: "info", Short: "show counts of the whole front", Args: noArgs,
			RunE: with(func(conn *client.Conn, _ []string) error { return call.info(sh.stdout, conn) })},
		&cobra.Command{Use: "queues", Short: "show queues and how long their first job has waited", Args: noArgs,
			RunE: with(func(conn *client.Conn, _ []string) error { return call.queues(sh.stdout, conn, nil) })},
		&cobra.Command{Use: "workers", Short: "show workers", Args: noArgs,
			RunE: with(func(conn *client.Conn, _ []string) error { return call.workers(sh.stdout, conn) })},
		queueVerb("PAUSE", "let queues hand out nothing"), queueVerb("RESUME", "let queues hand out again"),
		queueVerb("REMOVE", "drop queues with all that waits in them"),
	)
	for _, set := range []string{"scheduled", "retries", "dead"} {
		c.AddCommand(setCommand(sh, call, set, with))
	}
	return c
}

// setCommand shows a set, or changes what is in it.
func setCommand(sh *globalFlags, call *faktoryFlags, set string, with func(func(*client.Conn, []string) error) func(*cobra.Command, []string) error) *cobra.Command {
	var ids []string
	var kind, pattern, vouch string
	filter := map[string]any{}
	c := &cobra.Command{Use: set, Short: "show the " + set + " jobs, or change them", Args: noArgs}
	c.RunE = with(func(conn *client.Conn, _ []string) error { return call.jobs(sh.stdout, conn, set) })
	for _, verb := range []string{"requeue", "kill", "discard", "clear"} {
		v := &cobra.Command{
			Use: verb, Short: verb + " jobs of this set", Args: noArgs,
			RunE: with(func(conn *client.Conn, _ []string) error {
				if len(ids) > 0 {
					filter["jids"] = ids
				}
				if kind != "" {
					filter["jobtype"] = kind
				}
				if pattern != "" {
					filter["regexp"] = pattern
				}
				if len(filter) == 0 && verb != "clear" {
					return usageError{errors.New("say which jobs: --jid, --jobtype or --pattern")}
				}
				m := map[string]any{"cmd": verb, "target": set, "filter": filter}
				if vouch != "" {
					m["known_not_run"] = vouch
				}
				text, err := json.Marshal(m)
				if err != nil {
					return err
				}
				if _, err := conn.Do("MUTATE "+string(text), time.Now().Add(replyTimeout)); err != nil {
					return err
				}
				return call.jobs(sh.stdout, conn, set)
			}),
		}
		v.Flags().StringSliceVar(&ids, "jid", nil, "`jids` of the jobs")
		v.Flags().StringVar(&kind, "jobtype", "", "their `jobtype`")
		v.Flags().StringVar(&pattern, "pattern", "", "a `pattern` that their JSON matches, with * and ?")
		if verb == "requeue" {
			v.Flags().StringVar(&vouch, "known-not-run", "", "`who` vouches that they have not run, and why; it is logged")
		}
		c.AddCommand(v)
	}
	return c
}

func (f *faktoryFlags) info(out io.Writer, conn *client.Conn) error {
	var raw json.RawMessage
	if err := conn.Query("INFO", &raw, time.Now().Add(replyTimeout)); err != nil {
		return err
	}
	if f.format == "json" {
		return writeJSON(out, raw)
	}
	var i client.Info
	if err := json.Unmarshal(raw, &i); err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		value int
	}{
		{"pushed", i.Faktory.Pushed}, {"processed", i.Faktory.Processed}, {"failures", i.Faktory.Failures},
		{"queued", i.Faktory.Enqueued}, {"at workers", i.Faktory.Working}, {"scheduled", i.Faktory.Tasks["Scheduled"].Size},
		{"retries", i.Faktory.Tasks["Retries"].Size}, {"dead", i.Faktory.Tasks["Dead"].Size}, {"batches", i.Faktory.Batches},
		{"bytes that wait", i.Faktory.WaitingBytes}, {"connections", i.Server.Connections}, {"workers", i.Server.Workers},
		{"commands", i.Server.Commands}, {"memory, MB", i.Server.MemoryMB}, {"uptime, s", i.Server.Uptime},
	} {
		fmt.Fprintf(w, "%s\t%d\n", row.name, row.value)
	}
	return w.Flush()
}

func (f *faktoryFlags) queues(out io.Writer, conn *client.Conn, only []string) error {
	var i client.Info
	if err := conn.Query("INFO", &i, time.Now().Add(replyTimeout)); err != nil {
		return err
	}
	latency := map[string]float64{}
	if err := conn.Query("QUEUE LATENCY *", &latency, time.Now().Add(replyTimeout)); err != nil {
		return err
	}
	type queue struct {
		Name    string
		Waiting int
		Paused  bool
		Latency float64 // seconds
	}
	all := []queue{}
	for name, n := range i.Faktory.Queues {
		if len(only) == 0 || slices.Contains(only, "*") || slices.Contains(only, name) {
			all = append(all, queue{name, n, slices.Contains(i.Faktory.Paused, name), latency[name]})
		}
	}
	slices.SortFunc(all, func(a, b queue) int { return strings.Compare(a.Name, b.Name) })
	if f.format == "json" {
		return writeJSON(out, all)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "queue\twaiting\tfirst waits, s\tpaused\t")
	for _, q := range all {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%v\t\n", q.Name, q.Waiting, q.Latency, q.Paused)
	}
	return w.Flush()
}

// allPages asks for all entries of a SHOW.
func allPages[T any](conn *client.Conn, what string) ([]T, error) {
	all := []T{}
	for {
		var page []T
		if err := conn.Query(fmt.Sprintf("SHOW %s %d", what, len(all)), &page, time.Now().Add(replyTimeout)); err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return all, nil
		}
		all = append(all, page...)
	}
}

func (f *faktoryFlags) jobs(out io.Writer, conn *client.Conn, set string) error {
	all, err := allPages[client.JobEntry](conn, set)
	if err != nil {
		return err
	}
	if f.format == "json" {
		return writeJSON(out, all)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "jid\tjobtype\tqueue\twhen\tmay have run\tfailure")
	for _, j := range all {
		var failure struct{ Errtype, Message string }
		if len(j.Failure) > 0 {
			json.Unmarshal(j.Failure, &failure) // for people: what can't be read is left out
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%s\n", j.ID, j.Type, j.Queue, j.At.Format(time.RFC3339), j.MayHaveRun, strings.TrimPrefix(failure.Errtype+": "+failure.Message, ": "))
	}
	return w.Flush()
}

func (f *faktoryFlags) workers(out io.Writer, conn *client.Conn) error {
	all, err := allPages[client.Worker](conn, "workers")
	if err != nil {
		return err
	}
	if f.format == "json" {
		return writeJSON(out, all)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "wid\thost\tpid\tconnections\tholding\tquiet\tlast beat\trss, MB\tqueues")
	for _, x := range all {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\t%s\t%d\t%s\n", x.ID, x.Host, x.PID, x.Connections, x.HeldJobs, x.Quiet,
			x.LastHeartbeat.Format(time.TimeOnly), x.RSSKB>>10, strings.Join(x.Queues, " "))
	}
	return w.Flush()
}
