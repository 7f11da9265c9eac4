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

// replyTimeout is how long a sub-command waits for each reply of a server.
const replyTimeout = 5 * time.Second

// faktoryFlags holds the flags that all sub-commands of faktory have.
type faktoryFlags struct{ address, passwordFile, format string }

// faktoryAction implements a sub-command on a connection.
type faktoryAction func(conn *client.Conn, args []string) error

// faktoryCommand returns the command with which operators inspect and manage a running Faktory front.
func faktoryCommand(global *globalFlags) *cobra.Command {
	f := &faktoryFlags{}
	c := &cobra.Command{Use: "faktory", Short: "look after a running Faktory front", Args: noArgs, RunE: showHelp}
	c.PersistentFlags().StringVar(&f.address, "at", "127.0.0.1:7419", "`address` that faktory.listen names")
	c.PersistentFlags().StringVar(&f.passwordFile, "password-file", "", "`file` with the password")
	c.PersistentFlags().StringVar(&f.format, "format", "table", "table or json")
	c.AddCommand(
		&cobra.Command{Use: "info", Short: "show counts of the whole front", Args: noArgs,
			RunE: f.run(func(conn *client.Conn, _ []string) error { return f.info(global.stdout, conn) })},
		&cobra.Command{Use: "queues", Short: "show queues and how long their first job has waited", Args: noArgs,
			RunE: f.run(func(conn *client.Conn, _ []string) error { return f.queues(global.stdout, conn, nil) })},
		&cobra.Command{Use: "workers", Short: "show workers", Args: noArgs,
			RunE: f.run(func(conn *client.Conn, _ []string) error { return f.workers(global.stdout, conn) })},
		queueCommand(global, f, "PAUSE", "let queues hand out nothing"),
		queueCommand(global, f, "RESUME", "let queues hand out again"),
		queueCommand(global, f, "REMOVE", "drop queues with all that waits in them"),
	)
	for _, set := range []string{"scheduled", "retries", "dead"} {
		c.AddCommand(setCommand(global, f, set))
	}
	return c
}

// run returns a function that connects to the server named by the flags and calls do on the connection.
func (f *faktoryFlags) run(do faktoryAction) func(*cobra.Command, []string) error {
	return func(_ *cobra.Command, args []string) error {
		if f.format != "table" && f.format != "json" {
			return usageError{fmt.Errorf("--format is table or json, not %q", f.format)}
		}
		password := ""
		if f.passwordFile != "" {
			text, err := os.ReadFile(f.passwordFile)
			if err != nil {
				return err
			}
			password = strings.TrimSpace(string(text))
		}
		conn, err := client.Dial(f.address, password, time.Now().Add(replyTimeout))
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }() // the replies have been read
		return do(conn, args)
	}
}

// queueCommand returns a command that changes queues and shows them afterwards.
func queueCommand(global *globalFlags, f *faktoryFlags, verb, short string) *cobra.Command {
	return &cobra.Command{
		Use: strings.ToLower(verb) + " QUEUE ...", Short: short,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("name queues, or * for all")}
			}
			return nil
		},
		RunE: f.run(func(conn *client.Conn, queues []string) error {
			if _, err := conn.Do("QUEUE "+verb+" "+strings.Join(queues, " "), time.Now().Add(replyTimeout)); err != nil {
				return err
			}
			return f.queues(global.stdout, conn, queues)
		}),
	}
}

// mutation holds the flags of a MUTATE command.
type mutation struct {
	ids              []string
	jobType, pattern string
	confirmedBy      string // who confirms that the jobs have not run, and why; empty: not confirmed
}

// command returns the text of the MUTATE command. All verbs but clear need a filter.
func (m *mutation) command(verb, set string) (string, error) {
	filter := map[string]any{}
	if len(m.ids) > 0 {
		filter["jids"] = m.ids
	}
	if m.jobType != "" {
		filter["jobtype"] = m.jobType
	}
	if m.pattern != "" {
		filter["regexp"] = m.pattern
	}
	if len(filter) == 0 && verb != "clear" {
		return "", usageError{errors.New("say which jobs: --jid, --jobtype or --pattern")}
	}
	body := map[string]any{"cmd": verb, "target": set, "filter": filter}
	if m.confirmedBy != "" {
		body["known_not_run"] = m.confirmedBy
	}
	text, err := json.Marshal(body)
	return "MUTATE " + string(text), err
}

// setCommand returns a command that shows a set. Its sub-commands change the set and show it afterwards.
func setCommand(global *globalFlags, f *faktoryFlags, set string) *cobra.Command {
	var m mutation
	c := &cobra.Command{Use: set, Short: "show the " + set + " jobs, or change them", Args: noArgs}
	c.RunE = f.run(func(conn *client.Conn, _ []string) error { return f.jobs(global.stdout, conn, set) })
	for _, verb := range []string{"requeue", "kill", "discard", "clear"} {
		v := &cobra.Command{
			Use: verb, Short: verb + " jobs of this set", Args: noArgs,
			RunE: f.run(func(conn *client.Conn, _ []string) error {
				command, err := m.command(verb, set)
				if err != nil {
					return err
				}
				if _, err := conn.Do(command, time.Now().Add(replyTimeout)); err != nil {
					return err
				}
				return f.jobs(global.stdout, conn, set)
			}),
		}
		v.Flags().StringSliceVar(&m.ids, "jid", nil, "`jids` of the jobs")
		v.Flags().StringVar(&m.jobType, "jobtype", "", "their `jobtype`")
		v.Flags().StringVar(&m.pattern, "pattern", "", "a `pattern` that their JSON matches, with * and ?")
		if verb == "requeue" {
			v.Flags().StringVar(&m.confirmedBy, "known-not-run", "", "`who` vouches that they have not run, and why; it is logged")
		}
		c.AddCommand(v)
	}
	return c
}

// info shows the counts of INFO.
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
	t := newTable(out, 0)
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
		t.line("%s\t%d", row.name, row.value)
	}
	return t.flush()
}

// queues shows the queues named in only, or all queues if only is empty or contains "*".
func (f *faktoryFlags) queues(out io.Writer, conn *client.Conn, only []string) error {
	var i client.Info
	if err := conn.Query("INFO", &i, time.Now().Add(replyTimeout)); err != nil {
		return err
	}
	latency := map[string]float64{}
	if err := conn.Query("QUEUE LATENCY *", &latency, time.Now().Add(replyTimeout)); err != nil {
		return err
	}
	type queue struct { // these names are the keys of the JSON
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
	t := newTable(out, tabwriter.AlignRight)
	t.line("queue\twaiting\tfirst waits, s\tpaused\t")
	for _, q := range all {
		t.line("%s\t%d\t%.1f\t%v\t", q.Name, q.Waiting, q.Latency, q.Paused)
	}
	return t.flush()
}

// allPages reads all entries of a SHOW, a page at a time.
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

// jobs shows the jobs of a set.
func (f *faktoryFlags) jobs(out io.Writer, conn *client.Conn, set string) error {
	all, err := allPages[client.JobEntry](conn, set)
	if err != nil {
		return err
	}
	if f.format == "json" {
		return writeJSON(out, all)
	}
	t := newTable(out, 0)
	t.line("jid\tjobtype\tqueue\twhen\tmay have run\tfailure")
	for _, j := range all {
		var failure struct{ Errtype, Message string }
		if len(j.Failure) > 0 {
			_ = json.Unmarshal(j.Failure, &failure) // only displayed: a failure that can't be decoded is left out
		}
		t.line("%s\t%s\t%s\t%s\t%v\t%s", j.ID, j.Type, j.Queue, j.At.Format(time.RFC3339), j.MayHaveRun,
			strings.TrimPrefix(failure.Errtype+": "+failure.Message, ": "))
	}
	return t.flush()
}

// workers shows the workers.
func (f *faktoryFlags) workers(out io.Writer, conn *client.Conn) error {
	all, err := allPages[client.Worker](conn, "workers")
	if err != nil {
		return err
	}
	if f.format == "json" {
		return writeJSON(out, all)
	}
	t := newTable(out, 0)
	t.line("wid\thost\tpid\tconnections\tholding\tquiet\tlast beat\trss, MB\tqueues")
	for _, w := range all {
		t.line("%s\t%s\t%d\t%d\t%d\t%v\t%s\t%d\t%s", w.ID, w.Host, w.PID, w.Connections, w.HeldJobs, w.Quiet,
			w.LastHeartbeat.Format(time.TimeOnly), w.RSSKB>>10, strings.Join(w.Queues, " "))
	}
	return t.flush()
}
