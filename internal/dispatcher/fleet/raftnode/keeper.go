// Package raftnode is one replica of the fleet's state and its vote: hashicorp/raft
// with its log in a folder, and the calls by which processes ask. What a command
// means is for package state; here is when it may be answered.
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

// Peer is where another keeper is reached from here.
type Peer struct{ RPCAddr, RaftAddr string }

// Settings are what a keeper is made of.
type Settings struct {
	Name            string
	Folder          string
	Peers           map[string]Peer // all keepers, this one too
	RaftListener    net.Listener    // where the others' votes and logs arrive
	ElectionTimeout time.Duration   // a leader that was silent for so long is replaced
	DigestInterval  time.Duration   // the replicas' digests are compared so often
	// NewMachine makes an empty state; the one before it is not used any more.
	NewMachine func() (*state.Machine, error)
	Log        *logrus.Logger
}

// drainElections: the end of a replica waits so many elections for what is under way.
const drainElections = 8

// tickInterval: fleet time goes on at least so often.
const tickInterval = 200 * time.Millisecond

// Node is one replica.
type Node struct {
	settings Settings
	log      *logrus.Entry
	peers    *rpc.Client // the other keepers
	fsm      *fsm

	mu         sync.Mutex
	replica    *replica // nil: not started, or being taken in again
	empty      bool
	divergent  []string
	leadership *leadership // nil: another one leads
}

// replica is what lives between a start of raft and its end.
type replica struct {
	raft      *raft.Raft
	store     *raftboltdb.BoltStore
	transport *raft.NetworkTransport
	calls     sync.WaitGroup // commands, reads and changes of who votes that are under way
}

// drainCalls waits, for a while at the most, until no command and no change of who votes is
// under way. The library answers one at its shutdown only if it has not handed it on yet; a
// leader without a majority gives all of them up within its lease.
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

// leadership is what a leader keeps: the fleet time that it goes on from.
type leadership struct {
	startTime   time.Duration
	since       time.Time // by the monotonic clock
	lastCommand atomic.Int64
}

// now is the fleet time: that of the last command when this one began to lead, and
// what this process's monotonic clock has gone on since. Between two leaders none
// goes by, so that it never runs ahead of the time that has passed.
func (l *leadership) now() time.Duration { return l.startTime + time.Since(l.since) }

// New returns a keeper that is not running.
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

// Run takes part until the context ends. It returns an error if the folder can't be
// used; that it must not be guessed at.
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

// runReplica runs raft on what the folder has. It tells whether the state is to be taken
// anew.
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
		k.log.Error("the folder is an older copy of this keeper's own: it is cleared and the state taken anew")
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
		k.log.WithError(err).Error("ending the fleet's log")
	}
	n.transport.CloseStreams()
	n.transport.Close()
	if err := n.store.Close(); err != nil {
		k.log.WithError(err).Error("closing the fleet's log")
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

// streamLayer is how keepers reach one another: addresses are names, which each looks up
// among its own peers.
type streamLayer struct {
	net.Listener
	peers  map[string]Peer
	closed chan struct{}

	mu       sync.Mutex
	accepted map[net.Conn]bool // accepted; the library leaves them open
}

func newStreamLayer(l net.Listener, peers map[string]Peer) *streamLayer {
	return &streamLayer{Listener: l, peers: peers, closed: make(chan struct{}), accepted: make(map[net.Conn]bool)}
}

// Accept implements net.Listener. The listener outlives the stream: a keeper whose
// state is taken anew goes on with it.
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

// fsm joins the state to raft. Commands are applied by raft's one goroutine,
// and read by others.
type fsm struct {
	mu            sync.RWMutex
	state         *state.Machine
	applied       chan struct{} // closed and made anew at each command
	onDigests     func(index uint64, sums map[string]uint64, err error)
	onPeerDigests func() // digests of some replica have arrived
}

// digestRequest is the body of a tick at which every replica sums its state up.
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

// read lets a function see the state.
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

// propose puts a command into the log and waits for what it comes to. An error says
// that it may have been carried out, or may yet be.
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
