package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/settings"
)

// reloadRecorder is a daemon that records the settings with which Reload is called.
type reloadRecorder struct{ reloaded []settings.Settings }

func (r *reloadRecorder) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (r *reloadRecorder) Reload(changed settings.Settings) { r.reloaded = append(r.reloaded, changed) }

// TestChangedSettingsAreReloaded: a changed file is loaded once, within settingsCheckInterval; a file that
// can't be used is logged and leaves the daemon's settings as they are.
func TestChangedSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(seeds string) {
		t.Helper()
		require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, "ip: \"10.1.0.15\"\nport_range: [7660, 7675]\nseeds: [%s]\n", seeds), 0o600))
	}
	write(`"10.1.0.15:8146"`)

	synctest.Test(t, func(t *testing.T) {
		daemon, logged := &reloadRecorder{}, &strings.Builder{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			reloadChanges(ctx, path, slog.New(slog.NewTextHandler(logged, nil)), daemon, nil)
		}()
		pass := func() {
			<-time.After(settingsCheckInterval + time.Millisecond)
			synctest.Wait()
		}
		pass()
		require.Empty(t, daemon.reloaded, "nothing has changed")

		write(`"10.1.0.15:8146", "10.2.0.25:8146"`)
		pass()
		require.Len(t, daemon.reloaded, 1)
		require.Equal(t, []string{"10.1.0.15:8146", "10.2.0.25:8146"}, daemon.reloaded[0].Seeds)
		pass()
		require.Len(t, daemon.reloaded, 1, "the same file again")
		require.Empty(t, logged.String())

		write(`"10.1.0.15:8146"` + "\nbroken: [")
		pass()
		require.Len(t, daemon.reloaded, 1)
		require.Contains(t, logged.String(), "changed settings rejected")

		cancel()
		<-done
	})
}

// TestHangupDuringTheStartReloads guards against a process that ends by a SIGHUP that it receives before
// it serves. The builder sends it to the test's own process, which it would end.
func TestHangupDuringTheStartReloads(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte("ip: \"10.1.0.15\"\nport_range: [7660, 7675]\nseeds: [\"10.1.0.15:8146\"]\n"), 0o600))
	reloaded := reloadWaiter{}
	reloaded.ctx, reloaded.stop = context.WithCancel(t.Context())
	status := Main("test", "", []string{"--settings", path}, func(settings.Settings, *slog.Logger) (Daemon, error) {
		return reloaded, syscall.Kill(os.Getpid(), syscall.SIGHUP)
	})
	require.Zero(t, status)
}

// reloadWaiter is a daemon that runs until its settings are reloaded.
type reloadWaiter struct {
	ctx  context.Context //nolint:containedctx // it stands for the daemon's own end
	stop func()
}

// Run implements Daemon.
func (r reloadWaiter) Run(context.Context) error {
	<-r.ctx.Done()
	return nil
}

// Reload implements Daemon.
func (r reloadWaiter) Reload(settings.Settings) { r.stop() }
