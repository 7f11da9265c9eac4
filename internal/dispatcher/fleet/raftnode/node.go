// Package raftnode is one replica of the fleet's state: hashicorp/raft with its log in a
// data directory, and the HTTP endpoints by which processes send commands and queries
// (package rpc). What a command means is decided by package state; this package decides
// when it may be answered.
package raftnode

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// Peer holds the addresses of a raft node, as this node reaches it.
type Peer struct{ RPCAddr, RaftAddr string }

// Settings configure a raft node.
type Settings struct {
	Name            string
	DataDir         string          // the data directory, which must be this node's own
	Peers           map[string]Peer // all raft nodes by name, including this one
	RaftListener    net.Listener    // where the other nodes' raft messages arrive
	ElectionTimeout time.Duration   // a leader without contact for this long is replaced
	DigestInterval  time.Duration   // how often the replicas' digests are compared
	// NewMachine returns an empty state. It is called when the one of the call before is no
	// longer used.
	NewMachine func() (*state.Machine, error)
	Log        *slog.Logger
}

// drainElections is how many election timeouts a replica's shutdown waits for calls in
// progress.
const drainElections = 8

// tickInterval is the interval at which the leader advances fleet time if there are no
// commands.
const tickInterval = 200 * time.Millisecond

// Node is one raft node. It is safe for concurrent use.
type Node struct {
	settings Settings
	log      *slog.Logger
	peers    *rpc.Client // client of the other nodes
	fsm      *fsm

	mu         sync.Mutex
	replica    *replica    // nil: raft is not running
	empty      bool        // the data directory has no state
	divergent  []string    // partitions whose state differs from the majority's
	leadership *leadership // nil: this node is not the leader
}

// replica is one run of raft on the data directory.
type replica struct {
	raft      *raft.Raft
	store     *raftboltdb.BoltStore
	transport *raft.NetworkTransport
	calls     sync.WaitGroup // commands, reads and membership changes in progress
}

// drainCalls waits until no command, read or membership change is in progress, for a limited
// time. At its shutdown the raft library answers only the calls that it has not passed on
// internally yet. The others end before that: a leader without a majority fails them within
// its lease.
func (r *replica) drainCalls(most time.Duration) {
	finished := make(chan struct{})
	go func() {
		r.calls.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(most):
	}
}

// New returns a node that is not running.
func New(s Settings) (*Node, error) {
	if err := os.MkdirAll(s.DataDir, 0o750); err != nil {
		return nil, fmt.Errorf("the fleet's folder: %w", err)
	}
	others := map[string]string{}
	for name, p := range s.Peers {
		if name != s.Name {
			others[name] = p.RPCAddr
		}
	}
	return &Node{settings: s, log: s.Log.With("keeper", s.Name), peers: rpc.New(others), fsm: &fsm{state: state.New()}, empty: true}, nil
}

// Run takes part in the raft group until the context ends. It returns an error if the data
// directory can't be used.
func (node *Node) Run(ctx context.Context) error {
	defer node.peers.Close()
	dir, err := node.openDir()
	if err != nil {
		return err
	}
	defer func() { _ = dir.lock.Close() }()
	for ctx.Err() == nil {
		discard, err := node.runReplica(ctx, dir)
		if err != nil {
			return err
		}
		if !discard {
			return nil
		}
		if err := dir.wipe(); err != nil {
			return fmt.Errorf("clearing the data directory: %w", err)
		}
	}
	return nil
}

// runReplica runs raft on the data directory. It reports whether the state must be
// discarded and restored from the other nodes.
func (node *Node) runReplica(ctx context.Context, dir *dataDir) (discard bool, err error) {
	m, err := node.settings.NewMachine() // empty: raft restores the snapshot and applies the log
	if err != nil {
		return false, fmt.Errorf("the fleet's state: %w", err)
	}
	node.fsm.replace(m)
	if err := dir.claim(); err != nil {
		return false, err
	}
	n, err := node.openReplica(dir)
	if err != nil {
		return false, err
	}
	ready, stale, err := node.prepareReplica(ctx, n, dir)
	if ready && err == nil {
		err = node.startRaft(n, dir)
	}
	if !ready || err != nil {
		_ = n.store.Close() // nothing was written that must be durable
		return stale, err
	}
	node.mu.Lock()
	node.replica, node.empty, node.divergent = n, false, nil
	node.mu.Unlock()
	discard = node.superviseReplica(ctx, n, dir)
	node.mu.Lock()
	node.replica, node.leadership = nil, nil
	node.mu.Unlock()
	n.drainCalls(drainElections * node.settings.ElectionTimeout)
	if err := n.raft.Shutdown().Error(); err != nil {
		node.log.Error("raft shutdown failed", "error", err)
	}
	n.transport.CloseStreams()
	_ = n.transport.Close() // the listener stays open
	if err := n.store.Close(); err != nil {
		node.log.Error("closing the raft log failed", "error", err)
	}
	return discard, nil
}

// prepareReplica prepares the data directory for raft. A stale copy must be discarded first.
// With an empty directory it waits until the other nodes have added this one, or bootstraps
// the fleet. It returns neither ready nor stale if the context has ended.
func (node *Node) prepareReplica(ctx context.Context, n *replica, dir *dataDir) (ready, stale bool, err error) {
	has, err := raft.HasExistingState(n.store, n.store, dir.snapshots)
	if err != nil {
		return false, false, fmt.Errorf("reading the raft log: %w", err)
	}
	if has && node.isStaleCopy(ctx, dir) {
		node.log.Error("data directory is a stale copy; it is cleared and the state restored from the other nodes")
		return false, true, nil
	}
	if has {
		return true, false, nil
	}
	bootstrap, err := node.joinWithEmptyDir(ctx)
	if err != nil || ctx.Err() != nil {
		return false, false, err
	}
	if bootstrap {
		if err := raft.BootstrapCluster(node.raftConfig(), n.store, n.store, dir.snapshots, &raft.InmemTransport{}, node.initialConfiguration()); err != nil {
			return false, false, fmt.Errorf("bootstrapping the fleet: %w", err)
		}
	}
	return true, false, nil
}

// startRaft counts the start and starts raft.
func (node *Node) startRaft(n *replica, dir *dataDir) (err error) {
	if err := dir.countStart(); err != nil {
		return err
	}
	n.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: newStreamLayer(node.settings.RaftListener, node.settings.Peers), MaxPool: 3, Timeout: 2 * time.Second, Logger: node.raftLogger()})
	if n.raft, err = raft.NewRaft(node.raftConfig(), node.fsm, n.store, n.store, dir.snapshots, n.transport); err != nil {
		_ = n.transport.Close() // the listener stays open
		return fmt.Errorf("starting raft: %w", err)
	}
	return nil
}

func (node *Node) raftConfig() *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(node.settings.Name)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = node.settings.ElectionTimeout, node.settings.ElectionTimeout, node.settings.ElectionTimeout/2
	c.MaxAppendEntries, c.BatchApplyCh = 256, true
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = 20*time.Second, 8192, 4096
	c.NoLegacyTelemetry = true
	c.ShutdownOnRemove = false // a node that was removed by a late copy of its own rejoin call asks to be added again
	c.Logger = node.raftLogger()
	return c
}

func (node *Node) initialConfiguration() (c raft.Configuration) {
	for _, name := range sortedKeys(node.settings.Peers) {
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)})
	}
	return c
}

func (node *Node) raftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: slog.NewLogLogger(node.log.Handler(), slog.LevelDebug).Writer(), DisableTime: true})
}

// openReplica opens the log and the snapshots.
func (node *Node) openReplica(dir *dataDir) (*replica, error) {
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir.path, "log.db"), BoltOptions: boltOptions})
	if err != nil {
		return nil, fmt.Errorf("opening the raft log: %w", err)
	}
	dir.snapshots, err = raft.NewFileSnapshotStoreWithLogger(dir.path, 2, node.raftLogger())
	if err != nil {
		_ = store.Close()
		return nil, fmt.Errorf("opening the raft snapshots: %w", err)
	}
	return &replica{store: store}, nil
}
