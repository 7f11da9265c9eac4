// Package cli is the command line of the dispatcher program: it reads flags and files, and calls the
// package that implements the sub-command.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"

	"basaltloft/internal/dispatcher/logging"

	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// usageError is returned for wrong arguments. The program then exits with exitUsage.
type usageError struct{ error }

// Unwrap returns the wrapped error, which describes the wrong argument.
func (m usageError) Unwrap() error { return m.error }

// errReported is returned by a command that has printed its failure already.
var errReported = errors.New("reported already")

// globalFlags holds the flags that all sub-commands have, and the outputs that they write to.
type globalFlags struct {
	logFormat, logLevel string
	stdout, stderr      io.Writer
}

// Main runs the command given by the arguments and returns the exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := rootCommand(stdout, stderr)
	root.SetArgs(normalizeLegacyFlags(args))
	err := root.ExecuteContext(ctx)
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errReported):
		return exitFailed
	case errors.As(err, &usage) || strings.HasPrefix(err.Error(), "unknown command"):
		printf(stderr, "basaltloft: %s; see basaltloft --help\n", firstLine(err.Error()))
		return exitUsage
	}
	printf(stderr, "basaltloft: %v\n", err)
	return exitFailed
}

// firstLine returns the first line of a text.
func firstLine(text string) string {
	text, _, _ = strings.Cut(text, "\n")
	return text
}

// normalizeLegacyFlags returns the arguments with -operator, written with one dash, replaced by --operator.
// Earlier versions had this flag only, with one dash.
func normalizeLegacyFlags(args []string) []string {
	normalized := append([]string(nil), args...)
	for i, a := range normalized {
		if a == "-operator" || strings.HasPrefix(a, "-operator=") {
			normalized[i] = "-" + a
		}
	}
	return normalized
}

// rootCommand returns the root command with all sub-commands. Without a sub-command it serves jobs.
func rootCommand(stdout, stderr io.Writer) *cobra.Command {
	global := &globalFlags{stdout: stdout, stderr: stderr}
	root := &cobra.Command{
		Use:   "basaltloft",
		Short: "A dispatcher: it takes jobs, decides which worker gets which and when, and gives each one final answer.",
		Long: "A dispatcher: it takes jobs, decides which worker gets which and when, and gives each one final answer.\n" +
			"Without a sub-command it serves. Its configuration is the file that ROUTER_CONFIG names.",
		SilenceErrors: true, SilenceUsage: true,
		Args:              noArgs,
		PersistentPreRunE: func(*cobra.Command, []string) error { return global.validate() },
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&global.logFormat, "log-format", "text", "text or json")
	root.PersistentFlags().StringVar(&global.logLevel, "log-level", "", "error, warn, info or debug (default info, or debug where ROUTER_DEBUG is set)")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	serve := serveCommand(global)
	root.Flags().AddFlagSet(serve.Flags())
	root.RunE = serve.RunE
	root.AddCommand(serve, demoCommand(global), checkCommand(global), metricsCommand(global), faktoryCommand(global), topCommand(global), labCommand(global), loadCommand(global), fakesCommand(global), versionCommand(global))
	return root
}

// noArgs returns an error if a command that takes no arguments has any.
func noArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unknown command %q", args[0])}
	}
	return nil
}

// exactlyOneArg returns a check that a command has exactly one argument.
func exactlyOneArg(argument string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError{fmt.Errorf("one %s is needed", argument)}
		}
		return nil
	}
}

// validate checks the flags, and sets the default of the log level.
func (global *globalFlags) validate() error {
	if format := logging.Format(global.logFormat); format != logging.Text && format != logging.JSON {
		return usageError{fmt.Errorf("--log-format is text or json, not %q", global.logFormat)}
	}
	if global.logLevel == "" {
		global.logLevel = "info"
		if os.Getenv("ROUTER_DEBUG") != "" {
			global.logLevel = "debug"
		}
	}
	if _, err := logging.ParseLevel(global.logLevel); err != nil {
		return usageError{fmt.Errorf("--log-level: %w", err)}
	}
	return nil
}

// newLogger returns a logger configured by the flags, which validate must have accepted.
func (global *globalFlags) newLogger() *slog.Logger {
	level, _ := logging.ParseLevel(global.logLevel) // validate has checked it
	return logging.New(global.stderr, logging.Format(global.logFormat), level)
}
