package controlplane

import (
	"cmp"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/coord/ringlog"
	"basaltloft/internal/cluster/protocol"
)

const (
	leaderCheckInterval = 500 * time.Millisecond
	leaderCheckTimeout  = 800 * time.Millisecond // timeout of each status request
	damageLogInterval   = 10 * time.Second       // interval of the log line while the node waits
)

// recoverDataDir makes a data folder with unreadable state usable again. It sets the state aside, and the
// node rejoins as a new member. The unreadable state may be the last copy of acknowledged data. Therefore
// recoverDataDir first waits until each group has a leader with a lease on another node, which shows that a
// majority has the data. Until then the node serves nothing. If the context ends first, it returns nil and
// leaves damageCause set.
func (n *Node) recoverDataDir(ctx context.Context) error {
	if n.damageCause == nil || !n.awaitLeadersElsewhere(ctx) {
		return nil
	}
	n.log.Error("state on disk unusable and set aside, joining as a new member", "error", n.damageCause.Error())
	for _, g := range n.groups { // only those that could be opened; none is running
		g.Close()
	}
	if err := setAside(n.settings.DataDir); err != nil {
		return errors.Wrap(err, "check the disk")
	}
	n.groups = map[string]*group.Group{}
	n.settings.Bootstrap = false // the cluster exists already; this node must join it
	if err := n.open(); err != nil {
		return errors.Wrap(err, "check the disk")
	}
	n.damageCause = nil
	return nil
}

// awaitLeadersElsewhere waits until each group has a leader on another node. While it waits, it logs why
// the node does not serve. It returns false if the context ended first.
func (n *Node) awaitLeadersElsewhere(ctx context.Context) bool {
	loggedAt := time.Time{}
	for !n.allGroupsLedElsewhere() {
		if time.Since(loggedAt) > damageLogInterval {
			loggedAt = time.Now()
			n.log.Error("state on disk unusable and not all groups have a leader elsewhere, nothing is changed: start the other core machines or restore this disk", "error", n.damageCause.Error())
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(leaderCheckInterval):
		}
	}
	return true
}

// allGroupsLedElsewhere reports whether each group has a leader with a lease on another node.
func (n *Node) allGroupsLedElsewhere() bool {
	hasLeader := n.findLedGroups()
	if !hasLeader[protocol.ConfigGroup] {
		return false
	}
	for number := range protocol.ShardCount {
		if !hasLeader[protocol.ShardGroup(number)] {
			return false
		}
	}
	return true
}

// findLedGroups sends status requests to the seeds and to all members that the responses list. It returns
// the names of the groups that one of these nodes leads with a lease.
func (n *Node) findLedGroups() map[string]bool {
	hasLeader := map[string]bool{}
	visited := map[string]bool{n.self.Address: true}
	addresses := n.seeds()
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		if visited[address] {
			continue
		}
		visited[address] = true
		response, err := n.peers.call(address, leaderCheckTimeout, protocol.StatusRequest{})
		status, ok := response.(protocol.StatusResponse)
		if err != nil || !ok {
			continue
		}
		for _, g := range status.Groups {
			hasLeader[g.Name] = hasLeader[g.Name] || g.Leads
			for _, member := range g.Members.AllMembers() {
				addresses = append(addresses, member.Address)
			}
		}
	}
	return hasLeader
}

// setAsidePrefix is the name prefix of folders that hold state that was set aside and is no longer used.
const setAsidePrefix = "set-aside-"

// setAside moves the content of the data folder into a subfolder, replaces what was set aside earlier, and
// syncs both folders. Afterwards the node starts as if the disk were empty.
func setAside(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return errors.Wrap(err, "list the data folder")
	}
	aside := filepath.Join(folder, setAsidePrefix+"state")
	if err := os.RemoveAll(aside); err != nil {
		return errors.Wrap(err, "remove the state that was set aside earlier")
	}
	if err := os.MkdirAll(aside, 0o755); err != nil {
		return errors.Wrap(err, "create the folder for the damaged state")
	}
	slices.SortStableFunc(entries, func(a, b os.DirEntry) int { return cmp.Compare(setAsideOrder(a), setAsideOrder(b)) })
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), setAsidePrefix) {
			continue
		}
		if err := os.Rename(filepath.Join(folder, entry.Name()), filepath.Join(aside, entry.Name())); err != nil {
			return errors.Wrap(err, "move the damaged state")
		}
	}
	if err := (ringlog.OSFileSystem{}).SyncDir(aside); err != nil {
		return errors.Wrap(err, "sync the folder of the damaged state")
	}
	return errors.Wrap(ringlog.OSFileSystem{}.SyncDir(folder), "sync the data folder")
}

// setAsideOrder returns the sort key by which entries are set aside: 1 for the identity, which is moved
// last so that the node keeps it until everything else has been moved, and 0 for all other entries.
func setAsideOrder(entry os.DirEntry) int {
	if entry.Name() == identityFile {
		return 1
	}
	return 0
}
