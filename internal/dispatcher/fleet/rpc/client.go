// Package rpc is the client of the fleet's raft nodes: HTTP/1.1 POSTs with CBOR bodies
// (package codec). A command or a read is sent to the leader, and retried at the other
// nodes until its context ends. A retry is safe, since the replicated state answers a command
// that arrives twice with its first reply.
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
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/state"
)

const (
	// LeaderHeader is the response header in which a node that is not the leader names the
	// leader.
	LeaderHeader = "Fleet-Leader"
	// MaxBody is the largest request or response body, in bytes.
	MaxBody = 4 << 20
	// attemptTimeout bounds one attempt at one node, since a node that is stopped or partitioned
	// doesn't answer.
	attemptTimeout = 1200 * time.Millisecond
	// roundPause is the pause after all nodes have been tried.
	roundPause = 20 * time.Millisecond
)

// ErrUnavailable is returned if no raft node answered in time. The command may have been
// carried out, or may still be. It is safe to send the same command again.
var ErrUnavailable = errors.New("no keeper answered in time")

// Client sends commands and queries to the raft nodes. It is safe for concurrent use.
type Client struct {
	names     []string
	addrs     map[string]string
	http      *http.Client
	preferred atomic.Int64 // index of the node that is tried first
	bodyBytes atomic.Int64 // of request and response bodies
}

// New returns a client of the raft nodes with these addresses, by name.
func New(raftNodes map[string]string) *Client {
	c := &Client{addrs: raftNodes, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}}
	for name := range raftNodes {
		c.names = append(c.names, name)
	}
	slices.Sort(c.names)
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// BodyBytes returns the number of bytes of all request and response bodies.
func (c *Client) BodyBytes() int64 { return c.bodyBytes.Load() }

// Do sends a command to the leader and returns the reply. Its error wraps ErrUnavailable and
// the context's error, or is that of the reply.
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

// Read queries the leader. The answer reflects all commands that were answered before the
// call.
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

// PostToLeader posts to the leader, trying the nodes in turn until the context ends.
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

// Post sends one request to one node. If the node is not the leader, Post returns the leader's
// name, if the node knows it.
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
	defer func() { _ = resp.Body.Close() }()
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
