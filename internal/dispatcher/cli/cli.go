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

// usageError is a call whose words are off.
type usageError struct{ error }

func (m usageError) Unwrap() error { return m.error }

// errReported is a failure that has been told already.
var errReported = errors.New("told already")

// globalFlags are the flags that each sub-command has.
type globalFlags struct {
	logFormat, logLevel string
	stdout, stderr      io.Writer
}

// Main runs one call and returns its exit status.
func Main(ctx context.Context, args []string, out, errs io.Writer) int {
	root := rootCommand(out, errs)
	root.SetArgs(normalizeLegacyFlags(args))
	err := root.ExecuteContext(ctx)
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errReported):
		return exitFailed
	case errors.As(err, &usage) || strings.HasPrefix(err.Error(), "unknown command"):
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

// normalizeLegacyFlags takes -operator, with one dash, which was the only flag once.
func normalizeLegacyFlags(args []string) []string {
	out := append([]string(nil), args...)
	for i, a := range out {
		if a == "-operator" || strings.HasPrefix(a, "-operator=") {
			out[i] = "-" + a
		}
	}
	return out
}

func rootCommand(out, errs io.Writer) *cobra.Command {
	sh := &globalFlags{stdout: out, stderr: errs}
	root := &cobra.Command{
		Use:   "basaltloft",
		Short: "A dispatcher: it takes jobs, decides which worker gets which and when, and gives each one final answer.",
		Long: "A dispatcher: it takes jobs, decides which worker gets which and when, and gives each one final answer.\n" +
			"Without a sub-command it serves. Its configuration is the file that ROUTER_CONFIG names.",
		SilenceErrors: true, SilenceUsage: true,
		Args:              noArgs,
		PersistentPreRunE: func(*cobra.Command, []string) error { return sh.validate() },
	}
	root.SetOut(out)
	root.SetErr(errs)
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&sh.logFormat, "log-format", "text", "text or json")
	root.PersistentFlags().StringVar(&sh.logLevel, "log-level", "", "error, warn, info or debug (default info, or debug where ROUTER_DEBUG is set)")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	serve := serveCommand(sh)
	root.Flags().AddFlagSet(serve.Flags())
	root.RunE = serve.RunE
	root.AddCommand(serve, demoCommand(sh), checkCommand(sh), metricsCommand(sh), faktoryCommand(sh), topCommand(sh), labCommand(sh), loadCommand(sh), fakesCommand(sh), versionCommand(sh))
	return root
}

func noArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unknown command %q", args[0])}
	}
	return nil
}

func exactlyOneArg(argument string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError{fmt.Errorf("one %s is needed", argument)}
		}
		return nil
	}
}

func (sh *globalFlags) validate() error {
	if sh.logFormat != "text" && sh.logFormat != "json" {
		return usageError{fmt.Errorf("--log-format is text or json, not %q", sh.logFormat)}
	}
	if sh.logLevel == "" {
		sh.logLevel = "info"
		if os.Getenv("ROUTER_DEBUG") != "" {
			sh.logLevel = "debug"
		}
	}
	if _, err := logrus.ParseLevel(sh.logLevel); err != nil {
		return usageError{fmt.Errorf("--log-level: no level is called %q", sh.logLevel)}
	}
	return nil
}

// newLogger is made after check.
func (sh *globalFlags) newLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(sh.stderr)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if sh.logFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	level, _ := logrus.ParseLevel(sh.logLevel)
	log.SetLevel(level)
	return log
}
