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
func (k *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		k.writeReply(w, k.status())
	case rpc.PathCommand:
		k.handleCommand(w, body)
	case rpc.PathRead, rpc.PathLocalRead:
		k.handleQuery(w, r, body)
	case rpc.PathRejoin:
		k.handleMembershipChange(w, body, k.readmit)
	case rpc.PathPromote:
		k.handleMembershipChange(w, body, k.promote)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

func (k *Node) writeReply(w http.ResponseWriter, v any) {
	text, err := codec.Encode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Write(text)
}

// redirect answers that another node is the leader, and which.
func (k *Node) redirect(w http.ResponseWriter, why string) {
	k.mu.Lock()
	n := k.replica
	k.mu.Unlock()
	if n != nil {
		if _, id := n.raft.LeaderWithID(); id != "" && string(id) != k.settings.Name {
			w.Header().Set(rpc.LeaderHeader, string(id))
		}
	}
	http.Error(w, why, http.StatusMisdirectedRequest)
}

func (k *Node) handleCommand(w http.ResponseWriter, body []byte) {
	c, err := state.Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r, err := k.propose(c)
	if err != nil {
		k.redirect(w, err.Error())
		return
	}
	k.writeReply(w, r)
}

// handleQuery answers a query. For a read, the leader first makes sure that it is still the
// leader, so that the answer reflects all that was answered before.
func (k *Node) handleQuery(w http.ResponseWriter, r *http.Request, body []byte) {
	var q rpc.Query
	if err := codec.Decode(body, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	n, leads := k.replica, k.leadership != nil
	if n == nil || len(k.divergent) > 0 {
		k.mu.Unlock()
		k.redirect(w, "this keeper has no state to serve")
		return
	}
	n.calls.Add(1)
	k.mu.Unlock()
	defer n.calls.Done()
	if r.URL.Path == rpc.PathRead {
		if !leads {
			k.redirect(w, "another keeper leads")
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(readTimeout))
		defer cancel()
		upTo := n.raft.CommitIndex()
		if err := errors.Join(n.raft.VerifyLeader().Error(), k.waitApplied(ctx, n, upTo)); err != nil {
			k.redirect(w, err.Error())
			return
		}
	}
	k.writeReply(w, k.Query(q))
}

// waitApplied waits until everything up to an index is applied. Some log entries are raft's
// own, which the state does not see.
func (k *Node) waitApplied(ctx context.Context, n *replica, index uint64) error {
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
func (k *Node) Query(q rpc.Query) (a rpc.Answer) {
	k.fsm.read(func(m *state.Machine) {
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
func (k *Node) Inspect(see func(*state.Machine)) { k.fsm.read(see) }
