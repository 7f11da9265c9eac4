package raftnode

import (
	"bytes"
	"log/slog"
	"regexp"
	"testing"

	"basaltloft/internal/dispatcher/logging"

	"github.com/stretchr/testify/require"
)

// timePattern is the time that each line begins with.
var timePattern = regexp.MustCompile(`(?m)^time="[^"]+" `)

// TestRaftLog checks that lines of the raft library at level info and above become lines of the
// dispatcher's log at level debug, each with the name of the node.
func TestRaftLog(t *testing.T) {
	var out bytes.Buffer
	n := &Node{log: logging.New(&out, logging.Text, slog.LevelDebug).With("keeper", "n1")}
	raftLog := n.raftLogger()
	raftLog.Debug("not passed on")
	raftLog.Info("entering follower state", "follower", "n1", "leader-address", "")
	raftLog.Named("snapshot").Warn("two\nlines")
	raftLog.Error("failed to contact", "error", "no route to \"n2\"")
	require.Equal(t, `level=debug msg="[INFO]  entering follower state: follower=n1 leader-address=\"\"" keeper=n1
level=debug msg="[WARN]  snapshot: two\nlines" keeper=n1
level=debug msg="[ERROR] failed to contact: error=\"no route to \\\"n2\\\"\"" keeper=n1
`, timePattern.ReplaceAllString(out.String(), ""))
}
