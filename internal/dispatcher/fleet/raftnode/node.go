// Package raftnode is one replica of the fleet's state: hashicorp/raft with its log in a
// data directory, and the HTTP endpoints by which processes send commands and queries
// (package rpc). What a command means is decided by package state; this package decides
// when it may be answered.
package raftnode

import (
	"context"
	"fmt"
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
	"github.com/sirupsen/logrus"
)

// Peer is where another raft node is reached from this one.
type Peer struct{ RPCAddr, RaftAddr string }

// Settings configure a raft node.
type Settings struct {
	Name            string
	Folder          string          // the data directory, which must be this node's own
	Peers           map[string]Peer // all raft nodes by name, including this one
	RaftListener    net.Listener    // where the other nodes' raft messages arrive
	ElectionTimeout time.Duration   // a leader without contact for this long is replaced
	DigestInterval  time.Duration   // how often the replicas' digests are compared
	// NewMachine makes an empty state. The one before it is not used any more.
	NewMachine func() (*state.Machine, error)
	Log        *logrus.Logger
}

// drainElections is how many election timeouts a replica's shutdown waits for calls in
// progress.
const drainElections = 8

// tickInterval is how often fleet time advances at the least.
const tickInterval = 200 * time.Millisecond

// Node is one raft node. It is safe for concurrent use.
type Node struct {
	settings Settings
	log      *logrus.Entry
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

// drainCalls waits until no command and no membership change is in progress, for a limited
// time. At its shutdown the raft library answers only what it has not passed on yet; a
// leader without a majority fails the rest within its lease.
func (n *replica) drainCalls(most time.Duration) {
	finished := make(chan struct{})
	go func() {
		n.calls.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(most):
	}
}

// New returns a node that is not running.
func New(s Settings) (*Node, error) {
	if err := os.MkdirAll(s.Folder, 0o750); err != nil {
		return nil, fmt.Errorf("the fleet's folder: %w", err)
	}
	others := map[string]string{}
	for name, p := range s.Peers {
		if name != s.Name {
			others[name] = p.RPCAddr
		}
	}
	return &Node{settings: s, log: s.Log.WithField("keeper", s.Name), peers: rpc.New(others), fsm: &fsm{state: state.New(), applied: make(chan struct{})}, empty: true}, nil
}

// Run takes part in the raft group until the context ends. It returns an error if the data
// directory can't be used.
func (k *Node) Run(ctx context.Context) error {
	defer k.peers.Close()
	own, err := k.openDir()
	if err != nil {
		return err
	}
	defer own.lock.Close()
	for ctx.Err() == nil {
		anew, err := k.runReplica(ctx, own)
		if err != nil {
			return err
		}
		if !anew {
			return nil
		}
		if err := own.wipe(); err != nil {
			return fmt.Errorf("making room for the state anew: %w", err)
		}
	}
	return nil
}

// runReplica runs raft on the data directory. It reports whether the state must be
// discarded and restored from the other nodes.
func (k *Node) runReplica(ctx context.Context, own *dataDir) (anew bool, err error) {
	m, err := k.settings.NewMachine() // from nothing: raft brings the snapshot and the log
	if err != nil {
		return false, fmt.Errorf("the fleet's state: %w", err)
	}
	k.fsm.replace(m)
	n, err := k.openReplica(own)
	if err != nil {
		return false, err
	}
	has, err := raft.HasExistingState(n.store, n.store, own.snapshots)
	if err != nil {
		n.store.Close()
		return false, fmt.Errorf("reading the fleet's log: %w", err)
	}
	if has && k.isStaleCopy(ctx, own) {
		k.log.Error("data directory is a stale copy; it is cleared and the state restored from the other nodes")
		n.store.Close()
		return true, nil
	}
	if !has {
		found, err := k.joinWithEmptyDir(ctx, own)
		if err != nil || ctx.Err() != nil {
			n.store.Close()
			return false, err
		}
		if found {
			if err := raft.BootstrapCluster(k.raftConfig(), n.store, n.store, own.snapshots, &raft.InmemTransport{}, k.initialConfiguration()); err != nil {
				n.store.Close()
				return false, fmt.Errorf("founding the fleet: %w", err)
			}
		}
	}
	if err := own.countStart(); err != nil {
		n.store.Close()
		return false, err
	}
	n.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: newStreamLayer(k.settings.RaftListener, k.settings.Peers), MaxPool: 3, Timeout: 2 * time.Second, Logger: k.raftLogger()})
	if n.raft, err = raft.NewRaft(k.raftConfig(), k.fsm, n.store, n.store, own.snapshots, n.transport); err != nil {
		n.transport.Close()
		n.store.Close()
		return false, fmt.Errorf("starting the fleet's log: %w", err)
	}
	k.mu.Lock()
	k.replica, k.empty, k.divergent = n, false, nil
	k.mu.Unlock()
	anew = k.superviseReplica(ctx, n, own)
	k.mu.Lock()
	k.replica, k.leadership = nil, nil
	k.mu.Unlock()
	n.drainCalls(drainElections * k.settings.ElectionTimeout)
	if err := n.raft.Shutdown().Error(); err != nil {
		k.log.WithError(err).Error("raft shutdown failed")
	}
	n.transport.CloseStreams()
	n.transport.Close()
	if err := n.store.Close(); err != nil {
		k.log.WithError(err).Error("closing the raft log failed")
	}
	return anew, nil
}

func (k *Node) raftConfig() *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(k.settings.Name)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = k.settings.ElectionTimeout, k.settings.ElectionTimeout, k.settings.ElectionTimeout/2
	c.MaxAppendEntries, c.BatchApplyCh = 256, true
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = 20*time.Second, 8192, 4096
	c.NoLegacyTelemetry = true
	c.ShutdownOnRemove = false // one put out by a late copy of its own call asks to come back
	c.Logger = k.raftLogger()
	return c
}

func (k *Node) initialConfiguration() (c raft.Configuration) {
	for _, name := range sortedKeys(k.settings.Peers) {
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)})
	}
	return c
}

func (k *Node) raftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: debugWriter{k.log}, DisableTime: true})
}

type debugWriter struct{ log *logrus.Entry }

func (d debugWriter) Write(text []byte) (int, error) {
	d.log.Debug(string(text[:max(0, len(text)-1)]))
	return len(text), nil
}

// openReplica opens the log.
func (k *Node) openReplica(own *dataDir) (*replica, error) {
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(own.path, "log.db"), BoltOptions: boltOptions})
	if err != nil {
		return nil, fmt.Errorf("opening the fleet's log: %w", err)
	}
	own.snapshots, err = raft.NewFileSnapshotStoreWithLogger(own.path, 2, k.raftLogger())
	if err != nil {
		store.Close()
		return nil, fmt.Errorf("opening the fleet's snapshots: %w", err)
	}
	return &replica{store: store}, nil
}
