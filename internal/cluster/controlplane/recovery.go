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
	leaderCheckTimeout  = 800 * time.Millisecond // of each call
	damageLogInterval   = 10 * time.Second       // between two log lines while the node waits
)

// recoverDataDir makes a data folder usable whose state can't be read. That state may be the last copy
// of something that was acknowledged, so it is set aside only once each group is seen to have a leader
// elsewhere: a lease shows that a majority has what this disk had. Until then the node serves nothing.
// It returns nil with damageCause still set where the context ends first.
func (n *Node) recoverDataDir(ctx context.Context) error {
	if n.damageCause == nil || !n.awaitLeadersElsewhere(ctx) {
		return nil
	}
	n.log.Error("state on disk unusable and set aside, joining as a new member", "error", n.damageCause.Error())
	for _, g := range n.groups { // those that could be opened; none runs
		g.Close()
	}
	if err := setAside(n.settings.DataDir); err != nil {
		return errors.Wrap(err, "check the disk")
	}
	n.groups = map[string]*group.Group{}
	n.settings.Bootstrap = false // the system was started long since
	if err := n.open(); err != nil {
		return errors.Wrap(err, "check the disk")
	}
	n.damageCause = nil
	return nil
}

// awaitLeadersElsewhere waits until each group has a leader on another node, and logs meanwhile why the
// node does not serve; false: the context ended first.
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

// findLedGroups asks the seeds, and the members that they name, which groups they lead with a lease. It
// returns these groups by name.
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

// setAsidePrefix begins the names of folders with state that is not used any more.
const setAsidePrefix = "set-aside-"

// setAside moves the content of the data folder into one of its own, in place of what was set aside
// before, and syncs that: the node then starts as on an empty disk.
func setAside(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return errors.Wrap(err, "list the data folder")
	}
	aside := filepath.Join(folder, setAsidePrefix+"state")
	if err := os.RemoveAll(aside); err != nil {
		return errors.Wrap(err, "remove what was set aside before")
	}
	if err := os.MkdirAll(aside, 0o755); err != nil {
		return errors.Wrap(err, "make a folder for the damaged state")
	}
	slices.SortStableFunc(entries, func(a, b os.DirEntry) int { return cmp.Compare(setAsideOrder(a), setAsideOrder(b)) })
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), setAsidePrefix) {
			continue
		}
		if err := os.Rename(filepath.Join(folder, entry.Name()), filepath.Join(aside, entry.Name())); err != nil {
			return errors.Wrap(err, "set the damaged state aside")
		}
	}
	if err := (ringlog.OSFileSystem{}).SyncDir(aside); err != nil {
		return errors.Wrap(err, "sync the damaged state's folder")
	}
	return errors.Wrap(ringlog.OSFileSystem{}.SyncDir(folder), "sync the data folder")
}

// setAsideOrder is 1 for the identity, which goes last: the node keeps it until all else, which is 0, is
// set aside.
func setAsideOrder(entry os.DirEntry) int {
	if entry.Name() == identityFile {
		return 1
	}
	return 0
}
