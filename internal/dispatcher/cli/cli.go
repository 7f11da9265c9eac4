// Package cli is the command line: it reads flags and files, and starts what
// was asked for. Nothing is done here that another package could do.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// misuse is a call whose words are off.
type misuse struct{ error }

func (m misuse) Unwrap() error { return m.error }

// silent is a failure that has been told already.
var silent = errors.New("told already")

// shared are the flags that each sub-command has.
type shared struct {
	format, level string
	out, err      io.Writer
}

// Main runs one call and returns its exit status.
func Main(ctx context.Context, args []string, out, errs io.Writer) int {
	root := commands(out, errs)
	root.SetArgs(legacy(args))
	err := root.ExecuteContext(ctx)
	var wrong misuse
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, silent):
		return exitFailed
	case errors.As(err, &wrong) || strings.HasPrefix(err.Error(), "unknown command"):
		fmt.Fprintln(errs, "basaltloft:", oneLine(err.Error())+"; see basaltloft --help")
		return exitUsage
	}
	fmt.Fprintln(errs, "basaltloft:", err)
	return exitFailed
}

func oneLine(text string) string {
	text, _, _ = strings.Cut(text, "\n")
	return text
}

// legacy takes -operator, with one dash, which was the only flag once.
func legacy(args []string) []string {
	out := append([]string(nil), args...)
	for i, a := range out {
		if a == "-operator" || strings.HasPrefix(a, "-operator=") {
			out[i] = "-" + a
		}
	}
	return out
}

func commands(out, errs io.Writer) *cobra.Command {
	sh := &shared{out: out, err: errs}
	root := &cobra.Command{
		Use:   "basaltloft",
		Short: "A dispatcher: it takes jobs, decides which worker gets which and when, and gives each one final answer.",
		Long: "A dispatcher: it takes jobs, decides which worker gets which and when, and gives each one final answer.\n" +
			"Without a sub-command it serves. Its configuration is the file that ROUTER_CONFIG names.",
		SilenceErrors: true, SilenceUsage: true,
		Args:              none,
		PersistentPreRunE: func(*cobra.Command, []string) error { return sh.check() },
	}
	root.SetOut(out)
	root.SetErr(errs)
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&sh.format, "log-format", "text", "text or json")
	root.PersistentFlags().StringVar(&sh.level, "log-level", "", "error, warn, info or debug (default info, or debug where ROUTER_DEBUG is set)")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return misuse{err} })
	serve := serveCommand(sh)
	root.Flags().AddFlagSet(serve.Flags())
	root.RunE = serve.RunE
	root.AddCommand(serve, demoCommand(sh), checkCommand(sh), figuresCommand(sh), faktoryCommand(sh), topCommand(sh), labCommand(sh), loadCommand(sh), standinCommand(sh), versionCommand(sh))
	return root
}

func none(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return misuse{fmt.Errorf("unknown command %q", args[0])}
	}
	return nil
}

func exactly(what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != 1 {
			return misuse{fmt.Errorf("one %s is needed", what)}
		}
		return nil
	}
}

func (sh *shared) check() error {
	if sh.format != "text" && sh.format != "json" {
		return misuse{fmt.Errorf("--log-format is text or json, not %q", sh.format)}
	}
	if sh.level == "" {
		sh.level = "info"
		if os.Getenv("ROUTER_DEBUG") != "" {
			sh.level = "debug"
		}
	}
	if _, err := logrus.ParseLevel(sh.level); err != nil {
		return misuse{fmt.Errorf("--log-level: no level is called %q", sh.level)}
	}
	return nil
}

// logger is made after check.
func (sh *shared) logger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(sh.err)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if sh.format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	level, _ := logrus.ParseLevel(sh.level)
	log.SetLevel(level)
	return log
}
