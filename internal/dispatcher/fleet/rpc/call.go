// Package rpc is how a process of a fleet asks the keepers: HTTP/1.1 calls with
// bodies by codec. A call goes to whichever keeper leads, and again to the next one
// until its deadline; the state answers a command that came twice as it did the
// first time.
package rpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/state"
)

// Paths of the keepers' calls.
const (
	PathCommand   = "/fleet/do"     // a state.Command, answered with a state.Reply
	PathRead      = "/fleet/read"   // a Query, answered with an Answer: by the leader, of all that was answered before
	PathLocalRead = "/fleet/nearby" // a Query, answered by any keeper of what it has, with how far that is
	PathStatus    = "/fleet/about"  // what a keeper is and has: an AboutBody
	PathRejoin    = "/fleet/rejoin" // a keeper's name: it has nothing, and is to be taken in again
	PathPromote   = "/fleet/ready"  // a keeper's name: it has caught up, and may vote
)

const (
	// LeaderHeader names the keeper that leads, in an answer of one that does not.
	LeaderHeader = "Fleet-Leader"
	// MaxBody bounds the body of a call, in bytes.
	MaxBody = 4 << 20
	// attemptTimeout is how long one keeper has for an answer before the next is asked: a
	// cut link or a frozen keeper stays silent.
	attemptTimeout = 1200 * time.Millisecond
	// roundPause is between two rounds over all keepers.
	roundPause = 20 * time.Millisecond
)

// Query asks a part of the state.
type Query struct {
	Kind state.Kind
	Body []byte
}

// Answer answers a query.
type Answer struct {
	Index uint64        // of the last command that the answer knows of
	At    time.Duration // its fleet time
	Code  state.Code
	Text  string
	Body  []byte
}

// NodeStatus is what a keeper says of itself.
type NodeStatus struct {
	Name                string
	Empty               bool              // it has no state, and has founded none
	Bootstrapped        bool              `cbor:"Founded"` // the fleet has applied a command, as far as this one knows
	IsLeader            bool              `cbor:"Leads"`   // it leads
	BootCounts          map[string]uint64 `cbor:"Boots"`   // how often each keeper is known to have started
	DivergentPartitions []string          `cbor:"Differs"` // parts in which its state is not the others'; it serves nothing then
	Index               uint64
	At                  time.Duration
}

// ErrUnavailable says that no keeper answered in time. The command may have been carried
// out, or may yet be: the same one may be asked again.
var ErrUnavailable = errors.New("no keeper answered in time")

// Client asks the keepers. It may be used by several goroutines.
type Client struct {
	names     []string
	addrs     map[string]string
	http      *http.Client
	preferred atomic.Int64 // who is asked first
	bodyBytes atomic.Int64 // bytes of bodies, both ways
}

// New returns a client of the keepers with these addresses.
func New(keepers map[string]string) *Client {
	c := &Client{addrs: keepers, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}}
	for name := range keepers {
		c.names = append(c.names, name)
	}
	slices.Sort(c.names)
	return c
}

// Close lets go of the connections that are kept.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// BodyBytes counts the bytes of all bodies, both ways.
func (c *Client) BodyBytes() int64 { return c.bodyBytes.Load() }

// Do has a command carried out. Its error is ErrNobody, the context's, or the reply's.
func (c *Client) Do(ctx context.Context, cmd state.Command) (state.Reply, error) {
	cmd.Version = state.Version
	text, err := codec.Encode(cmd)
	if err != nil {
		return state.Reply{}, err
	}
	var r state.Reply
	if err := c.PostToLeader(ctx, PathCommand, text, &r); err != nil {
		return r, err
	}
	return r, r.Err()
}

// Read asks the leader, whose answer knows of all commands that were answered
// before the question.
func (c *Client) Read(ctx context.Context, q Query) (Answer, error) {
	text, err := codec.Encode(q)
	if err != nil {
		return Answer{}, err
	}
	var a Answer
	if err := c.PostToLeader(ctx, PathRead, text, &a); err != nil {
		return a, err
	}
	return a, state.Reply{Code: a.Code, Text: a.Text}.Err()
}

// PostToLeader posts to whoever leads, until the context ends.
func (c *Client) PostToLeader(ctx context.Context, path string, text []byte, into any) error {
	var last error
	for n := 0; ; n++ {
		i := int(c.preferred.Load()) % len(c.names)
		leader, err := c.Post(ctx, c.names[i], path, text, into)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w (%w)", ErrUnavailable, ctx.Err(), errors.Join(last, err))
		}
		last = err
		next := int64(i + 1)
		if at := slices.Index(c.names, leader); at >= 0 && at != i {
			next = int64(at)
		} else if (n+1)%len(c.names) == 0 {
			select {
			case <-ctx.Done():
			case <-time.After(roundPause):
			}
		}
		c.preferred.CompareAndSwap(int64(i), next%int64(len(c.names)))
	}
}

// Post asks one keeper once. Of one that does not lead it returns who does, as far
// as that one knows.
func (c *Client) Post(ctx context.Context, name, path string, text []byte, into any) (leader string, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(attemptTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addrs[name]+path, bytes.NewReader(text))
	if err != nil {
		return "", fmt.Errorf("asking keeper %s: %w", name, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", fmt.Errorf("asking keeper %s: %w", name, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	c.bodyBytes.Add(int64(len(text) + len(body)))
	switch {
	case err != nil:
		return "", fmt.Errorf("keeper %s: %w", name, err)
	case resp.StatusCode != http.StatusOK:
		return resp.Header.Get(LeaderHeader), fmt.Errorf("keeper %s: %s: %s", name, resp.Status, bytes.TrimSpace(body))
	}
	if err := codec.Decode(body, into); err != nil {
		return "", fmt.Errorf("keeper %s: %w", name, err)
	}
	return "", nil
}

// Session is one incarnation of a process at the keepers.
type Session struct {
	*Client
	Process     string
	Incarnation uint64

	mu      sync.Mutex
	lastSeq uint64
	pending map[uint64]bool // commands without an answer
	acked   uint64
}

// Join gets an incarnation for this start of a process; the nonce tells the start.
func (c *Client) Join(ctx context.Context, process, nonce, version string) (*Session, state.JoinReply, error) {
	var j state.JoinReply
	body, err := codec.Encode(state.JoinBody{Process: process, Nonce: nonce, Version: version})
	if err != nil {
		return nil, j, err
	}
	r, err := c.Do(ctx, state.Command{Kind: state.Join, Body: body})
	if err == nil {
		err = codec.Decode(r.Body, &j)
	}
	if err != nil {
		return nil, j, fmt.Errorf("joining the fleet as %s: %w", process, err)
	}
	return &Session{Client: c, Process: process, Incarnation: j.Incarnation, pending: make(map[uint64]bool)}, j, nil
}

// Execute has a command carried out once, however often it has to be asked: an error
// that wraps ErrNobody leaves open whether it was.
func (s *Session) Execute(ctx context.Context, kind state.Kind, body, into any) error {
	text, err := codec.Encode(body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.lastSeq++
	seq, acked := s.lastSeq, s.acked
	s.pending[seq] = true
	s.mu.Unlock()
	r, err := s.Do(ctx, state.Command{Process: s.Process, Incarnation: s.Incarnation, Seq: seq, Acked: acked, Kind: kind, Body: text})
	// One that nobody answered counts as answered too: a late copy of it is refused from
	// the next command on, and the state need not keep all later answers for its sake.
	s.mu.Lock()
	delete(s.pending, seq)
	for s.acked < s.lastSeq && !s.pending[s.acked+1] {
		s.acked++
	}
	s.mu.Unlock()
	if err != nil || into == nil {
		return err
	}
	return codec.Decode(r.Body, into)
}

// Renew renews the lease with what each part is to be told.
func (s *Session) Renew(ctx context.Context, parts map[string][]byte) (state.RenewReply, error) {
	var told state.RenewReply
	body, err := codec.Encode(state.RenewBody{Parts: parts})
	if err != nil {
		return told, err
	}
	r, err := s.Do(ctx, state.Command{Process: s.Process, Incarnation: s.Incarnation, Kind: state.Renew, Body: body})
	if err != nil {
		return told, err
	}
	return told, codec.Decode(r.Body, &told)
}
