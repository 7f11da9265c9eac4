package raftnode

import (
	"bytes"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// TestRaftLog: lines of the raft library from its level info on become lines of the dispatcher's log at
// level debug, each with the name of the node.
func TestRaftLog(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetLevel(logrus.DebugLevel)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	n := &Node{log: log.WithField("keeper", "n1")}
	raftLog := n.raftLogger()
	raftLog.Debug("not passed on")
	raftLog.Info("entering follower state", "follower", "n1", "leader-address", "")
	raftLog.Named("snapshot").Warn("two\nlines")
	raftLog.Error("failed to contact", "error", "no route to \"n2\"")
	require.Equal(t, `level=debug msg="[INFO]  entering follower state: follower=n1 leader-address=\"\"" keeper=n1
level=debug msg="[WARN]  snapshot: two\nlines" keeper=n1
level=debug msg="[ERROR] failed to contact: error=\"no route to \\\"n2\\\"\"" keeper=n1
`, out.String())
}
