package raftnode

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"
)

// readTimeout bounds how long a read waits for earlier commands to be applied.
const readTimeout = time.Second

// ServeHTTP serves the endpoints of package rpc.
func (node *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, rpc.MaxBody+1))
	switch {
	case err != nil:
		return // the caller is gone
	case r.Method != http.MethodPost:
		http.Error(w, "calls are told with POST", http.StatusMethodNotAllowed)
		return
	case len(body) > rpc.MaxBody:
		http.Error(w, "the call is too large", http.StatusRequestEntityTooLarge)
		return
	}
	switch r.URL.Path {
	case rpc.PathStatus:
		node.writeReply(w, node.status())
	case rpc.PathCommand:
		node.handleCommand(w, body)
	case rpc.PathRead, rpc.PathLocalRead:
		node.handleQuery(w, r, body)
	case rpc.PathRejoin:
		node.handleMembershipChange(w, body, node.readmit)
	case rpc.PathPromote:
		node.handleMembershipChange(w, body, node.promote)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

func (node *Node) writeReply(w http.ResponseWriter, v any) {
	text, err := codec.Encode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(text) // the caller may be gone
}

// redirect answers that another node must be asked, and names the leader if it is known.
func (node *Node) redirect(w http.ResponseWriter, why string) {
	node.mu.Lock()
	n := node.replica
	node.mu.Unlock()
	if n != nil {
		if _, id := n.raft.LeaderWithID(); id != "" && string(id) != node.settings.Name {
			w.Header().Set(rpc.LeaderHeader, string(id))
		}
	}
	http.Error(w, why, http.StatusMisdirectedRequest)
}

func (node *Node) handleCommand(w http.ResponseWriter, body []byte) {
	c, err := state.Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r, err := node.propose(c)
	if err != nil {
		node.redirect(w, err.Error())
		return
	}
	node.writeReply(w, r)
}

// handleQuery answers a query. For a read, the leader first verifies that it is still the
// leader, so that the answer reflects all commands that were answered before.
func (node *Node) handleQuery(w http.ResponseWriter, r *http.Request, body []byte) {
	var q rpc.Query
	if err := codec.Decode(body, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	node.mu.Lock()
	n, leads := node.replica, node.leadership != nil
	if n == nil || len(node.divergent) > 0 {
		node.mu.Unlock()
		node.redirect(w, "this keeper has no state to serve")
		return
	}
	n.calls.Add(1)
	node.mu.Unlock()
	defer n.calls.Done()
	if r.URL.Path == rpc.PathRead {
		if !leads {
			node.redirect(w, "another keeper leads")
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(readTimeout))
		defer cancel()
		upTo := n.raft.CommitIndex()
		if err := errors.Join(n.raft.VerifyLeader().Error(), node.waitApplied(ctx, n, upTo)); err != nil {
			node.redirect(w, err.Error())
			return
		}
	}
	node.writeReply(w, node.Query(q))
}

// waitApplied waits until all log entries up to an index are applied. It asks raft for that,
// since the state does not see raft's own log entries.
func (node *Node) waitApplied(ctx context.Context, n *replica, index uint64) error {
	for n.raft.AppliedIndex() < index {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

// Query answers a query from this node's own state.
func (node *Node) Query(q rpc.Query) (a rpc.Answer) {
	node.fsm.read(func(m *state.Machine) {
		a.Index, a.At = m.Index(), m.At()
		body, err := m.Query(q.Kind, q.Body)
		if err != nil {
			a.Code, a.Text = state.Refused, err.Error()
			return
		}
		a.Body = body
	})
	return a
}

// Inspect calls a function with this node's state, which it must not change. No command is
// applied until it returns.
func (node *Node) Inspect(inspect func(*state.Machine)) { node.fsm.read(inspect) }
