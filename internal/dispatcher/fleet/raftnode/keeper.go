// Package raftnode is one replica of the fleet's state: hashicorp/raft with its log in a
// data directory, and the HTTP endpoints by which processes send commands and queries
// (package rpc). What a command means is decided by package state; this package decides
// when it may be answered.
package raftnode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
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

// leadership is the clock of a leader, which continues the fleet time.
type leadership struct {
	startTime   time.Duration // fleet time when the leadership began
	since       time.Time     // the same moment by the monotonic clock
	lastCommand atomic.Int64  // fleet time of the last proposed command
}

// now returns the fleet time: that of the last command when this node became the leader,
// plus what has passed since by the monotonic clock. No fleet time passes between two
// leaders, so that it never runs ahead of real time.
func (l *leadership) now() time.Duration { return l.startTime + time.Since(l.since) }

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

// streamLayer connects the raft nodes. Raft addresses are node names, which each node
// resolves by its own settings.
type streamLayer struct {
	net.Listener
	peers  map[string]Peer
	closed chan struct{}

	mu       sync.Mutex
	accepted map[net.Conn]bool // the library leaves them open
}

func newStreamLayer(l net.Listener, peers map[string]Peer) *streamLayer {
	return &streamLayer{Listener: l, peers: peers, closed: make(chan struct{}), accepted: make(map[net.Conn]bool)}
}

// Accept implements net.Listener. The listener outlives the streamLayer, so that the node's
// next replica can use it.
func (s *streamLayer) Accept() (net.Conn, error) {
	l := s.Listener.(*net.TCPListener)
	for {
		select {
		case <-s.closed:
			return nil, net.ErrClosed
		default:
		}
		l.SetDeadline(time.Now().Add(100 * time.Millisecond))
		c, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.accepted[c] = true
		return &acceptedConn{c, s}, nil
	}
}

type acceptedConn struct {
	net.Conn
	layer *streamLayer
}

func (c *acceptedConn) Close() error {
	c.layer.mu.Lock()
	delete(c.layer.accepted, c.Conn)
	c.layer.mu.Unlock()
	return c.Conn.Close()
}

// Close implements net.Listener.
func (s *streamLayer) Close() error {
	close(s.closed)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.accepted {
		c.Close()
	}
	return nil
}

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(address raft.ServerAddress, within time.Duration) (net.Conn, error) {
	p, ok := s.peers[string(address)]
	if !ok {
		return nil, fmt.Errorf("no keeper is called %q", address)
	}
	return net.DialTimeout("tcp", p.RaftAddr, within)
}

// fsm adapts the state to raft. Commands are applied by raft's single goroutine; other
// goroutines read.
type fsm struct {
	mu            sync.RWMutex
	state         *state.Machine
	applied       chan struct{} // closed and replaced at each command
	onDigests     func(index uint64, sums map[string]uint64, err error)
	onPeerDigests func() // some replica's digests have arrived
}

// digestRequest is the body of a tick at which every replica computes its digests.
var digestRequest = []byte{1}

// Apply implements raft.FSM.
func (f *fsm) Apply(l *raft.Log) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.state.Apply(l.Index, l.Data)
	if c, err := state.Decode(l.Data); err == nil && f.onDigests != nil {
		switch {
		case c.Kind == state.Tick && len(c.Body) > 0:
			sums, err := f.state.Digests()
			f.onDigests(l.Index, sums, err)
		case c.Kind == state.ReportDigests:
			f.onPeerDigests()
		}
	}
	close(f.applied)
	f.applied = make(chan struct{})
	return r
}

// Snapshot implements raft.FSM.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now, err := f.state.Snapshot()
	return fsmSnapshot{now}, err
}

// Restore implements raft.FSM.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Restore(r)
}

func (f *fsm) replace(m *state.Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = m
}

// read calls a function with the state, which it must not change.
func (f *fsm) read(see func(*state.Machine)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	see(f.state)
}

// waitIndex waits until the command at an index has been applied.
func (f *fsm) waitIndex(ctx context.Context, index uint64) error {
	for {
		f.mu.RLock()
		at, more := f.state.Index(), f.applied
		f.mu.RUnlock()
		if at >= index {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-more:
		}
	}
}

type fsmSnapshot struct{ state.Snapshot }

// Persist implements raft.FSMSnapshot.
func (s fsmSnapshot) Persist(to raft.SnapshotSink) error {
	if err := s.Write(to); err != nil {
		to.Cancel()
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	return to.Close()
}

// Release implements raft.FSMSnapshot.
func (s fsmSnapshot) Release() { s.Discard() }

// propose appends a command to the log and waits for its reply. After an error the command
// may have been carried out, or may be yet.
func (k *Node) propose(c state.Command) (state.Reply, error) {
	k.mu.Lock()
	n, l := k.replica, k.leadership
	if n == nil || l == nil || len(k.divergent) > 0 {
		k.mu.Unlock()
		return state.Reply{}, raft.ErrNotLeader
	}
	n.calls.Add(1)
	k.mu.Unlock()
	defer n.calls.Done()
	c.Version, c.At = state.Version, l.now()
	text, err := codec.Encode(c)
	if err != nil {
		return state.Reply{}, err
	}
	l.lastCommand.Store(int64(c.At))
	f := n.raft.Apply(text, 0)
	if err := f.Error(); err != nil {
		return state.Reply{}, err
	}
	return f.Response().(state.Reply), nil
}
