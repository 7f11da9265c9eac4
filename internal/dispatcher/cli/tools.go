package cli

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/soak"

	"github.com/spf13/cobra"
)

// maxDemoProcesses is the maximum number of processes of a demo.
const maxDemoProcesses = 30

// demoCommand returns the command that serves fake clients and members and shows the metrics.
func demoCommand(global *globalFlags) *cobra.Command {
	var duration time.Duration
	var processes int
	c := &cobra.Command{
		Use: "demo", Short: "serve stand-in clients and members in one process, and show the account", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if duration <= 0 {
				return usageError{errors.New("--for must be more than nothing")}
			}
			if processes < 0 || processes > maxDemoProcesses {
				return usageError{fmt.Errorf("--processes must be 1 to %d", maxDemoProcesses)}
			}
			if !c.Flags().Changed("log-level") && global.logLevel == "info" {
				global.logLevel = "warn" // the demo shows its progress instead
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			if processes > 0 {
				program, err := os.Executable()
				if err != nil {
					return err
				}
				return demo.RunFleet(ctx, demo.FleetSettings{Program: program, Processes: processes, Until: time.Now().Add(duration)}, global.stdout, global.stderr)
			}
			return demo.Run(ctx, time.Now().Add(duration), global.newLogger(), global.stdout, global.stderr)
		},
	}
	c.Flags().DurationVar(&duration, "for", 10*time.Second, "how `long` to serve")
	c.Flags().IntVar(&processes, "processes", 0, "serve by so `many` processes, joined as one fleet, in place of one")
	return c
}

// soakCommand returns the command that loads a dispatcher, kills it at random and compares its ledger, its
// journal and what its clients saw.
func soakCommand(global *globalFlags) *cobra.Command {
	var duration time.Duration
	s := soak.Settings{}
	c := &cobra.Command{
		Use: "soak", Short: "load a dispatcher, kill it at random, and check every sum", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if duration <= 0 || s.Kills < 0 || s.WorkerKills < 0 || s.Rate <= 0 {
				return usageError{errors.New("--for, --kills and --rate must be more than nothing")}
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			var err error
			if s.Program, err = os.Executable(); err != nil {
				return err
			}
			if s.JournalDir == "" {
				if s.JournalDir, err = os.MkdirTemp("", "basaltloft-figures"); err != nil {
					return err
				}
				defer func() { _ = os.RemoveAll(s.JournalDir) }() // a temporary directory
			}
			s.Until = time.Now().Add(duration)
			r, err := soak.Run(ctx, s, global.stderr)
			if err != nil {
				return fmt.Errorf("soaking: %w", err)
			}
			return r.Write(global.stdout)
		},
	}
	c.Flags().DurationVar(&duration, "for", time.Minute, "how `long`")
	c.Flags().IntVar(&s.Kills, "kills", 10, "how often the dispatcher is killed")
	c.Flags().IntVar(&s.WorkerKills, "worker-kills", 0, "how often a Faktory worker is killed")
	c.Flags().Float64Var(&s.Rate, "rate", 60, "asks a second by each front")
	c.Flags().StringVar(&s.JournalDir, "folder", "", "keep the journal in this `folder`")
	c.Flags().Uint64Var(&s.Seed, "seed", 1, "of the random numbers")
	return c
}

// topCommand returns the command that runs the live view, basaltloft-top. It is a separate program so that
// the dispatcher does not depend on its libraries.
func topCommand(global *globalFlags) *cobra.Command {
	var figures, faktory, password string
	var every time.Duration
	var once bool
	c := &cobra.Command{
		Use: "top", Short: "a live view of a running dispatcher", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if every < 100*time.Millisecond {
				return usageError{errors.New("--every must be 100ms or more")}
			}
			args := []string{"-figures", figures, "-faktory", faktory, "-password-file", password, "-every", every.String()}
			if once {
				args = append(args, "-once")
			}
			return runSibling(c, global, "basaltloft-top", args...)
		},
	}
	c.Flags().StringVar(&figures, "at", "127.0.0.1:7421", "`address` that figures.listen names; empty: not read")
	c.Flags().StringVar(&faktory, "faktory", "", "`address` that faktory.listen names; empty: not read")
	c.Flags().StringVar(&password, "password-file", "", "`file` with the Faktory password")
	c.Flags().DurationVar(&every, "every", time.Second, "how `often` it is read")
	c.Flags().BoolVar(&once, "once", false, "read once, and write that to standard output")
	return c
}

// runSibling runs a program that is installed in the same directory as this one.
func runSibling(c *cobra.Command, global *globalFlags, name string, args ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(c.Context(), filepath.Join(filepath.Dir(self), name), args...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, global.stdout, global.stderr
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("%s, which is installed beside this program: %w", name, err)
	}
	return nil
}

// labCommand returns the command that runs the model of the fleet, basaltloft-lab, a separate program that
// checks its arguments itself.
func labCommand(global *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:                "lab run|sweep|compare|plot FILE [-set PATH=VALUE,...] [-loads X,Y] [-seeds N] [-policies A,B] [-base POLICY] [-format table|csv|json] [-out NAME.svg]",
		Short:              "play experiments in a model of the fleet",
		DisableFlagParsing: true,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 || args[0] == "--help" || args[0] == "-h" {
				return c.Help()
			}
			return runSibling(c, global, "basaltloft-lab", args...)
		},
	}
}

// loadCommand returns the command that runs the load generator, basaltloft-load, a separate program that checks
// its arguments itself.
func loadCommand(global *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "load -at ADDRESS -class CLASS [-front http|faktory] [-rate N] [-to N] [-for 10s] [-trace FILE] [-format table|json] [-plot FILE.svg]",
		Short: "send an open-loop load to a dispatcher, and tell what became of it", DisableFlagParsing: true,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 || args[0] == "--help" || args[0] == "-h" {
				return c.Help()
			}
			return runSibling(c, global, "basaltloft-load", args...)
		},
	}
}

// fakesCommand returns the command that serves fake members and discovery, and writes the configuration
// files with which a dispatcher finds them.
func fakesCommand(global *globalFlags) *cobra.Command {
	var folder string
	load := demo.Load{}
	c := &cobra.Command{
		Use: "standin --folder DIR", Short: "serve stand-in members and discovery for a dispatcher", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if folder == "" || load.Members < 1 || load.Slots < 1 || load.RunTime < 0 {
				return usageError{errors.New("--folder must be named, --members and --slots be 1 or more, --run not below 0")}
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			w, err := demo.NewWorld(load)
			if err != nil {
				return err
			}
			defer w.Close()
			config, operator := filepath.Join(folder, "config.json"), filepath.Join(folder, "operator.json")
			for name, text := range map[string]string{config: w.Configuration(), operator: w.OperatorFile("")} {
				if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
					return fmt.Errorf("standing in: %w", err)
				}
			}
			printf(global.stdout, "%d members, discovery at %s; a dispatcher for them, which listens at %s (Faktory: %s):\n", load.Members, w.Discovery.Addr(), w.HTTPAddr, w.FaktoryAddr)
			printf(global.stdout, "ROUTER_CONFIG=%s basaltloft serve --operator %s\n", config, operator)
			<-ctx.Done()
			return nil
		},
	}
	c.Flags().StringVar(&folder, "folder", "", "`folder` for the files with which a dispatcher finds them")
	c.Flags().IntVar(&load.Members, "members", 8, "how many members")
	c.Flags().IntVar(&load.Slots, "slots", 4, "jobs that a member runs at a time")
	c.Flags().DurationVar(&load.RunTime, "run", 20*time.Millisecond, "how `long` a job runs; 0: 10 to 30 ms, tickets three times as long")
	return c
}
