package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"basaltloft/internal/cluster/settings"
)

// settingsCheckInterval is how often the settings file is checked for changes.
const settingsCheckInterval = 2 * time.Second

// reloadChanges reloads the settings at each SIGHUP, which hangups receives, and when the file has
// changed, until the context ends. It logs settings that can't be used and leaves the daemon's settings
// as they are.
func reloadChanges(ctx context.Context, path string, log *slog.Logger, daemon Daemon, hangups <-chan os.Signal) {
	last := fileVersion(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-time.After(settingsCheckInterval):
			if fileVersion(path) == last {
				continue
			}
		}
		last = fileVersion(path)
		loaded, err := settings.Load(path)
		if err != nil {
			log.Error("changed settings rejected", "error", err)
			continue
		}
		daemon.Reload(loaded)
	}
}

// fileVersion returns the file's modification time and size as a string, to detect changes; empty: the file
// can't be read.
func fileVersion(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}
