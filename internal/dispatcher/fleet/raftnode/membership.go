package raftnode

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/hashicorp/raft"
)

// beginMembershipChange returns the replica for a membership change, or nil if this node is
// not the leader or is shutting down. The caller must end the call with calls.Done.
func (node *Node) beginMembershipChange() *replica {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.replica == nil || node.leadership == nil {
		return nil
	}
	node.replica.calls.Add(1)
	return node.replica
}

// handleMembershipChange handles a rejoin or promotion call.
func (node *Node) handleMembershipChange(w http.ResponseWriter, body []byte, change func(*replica, membershipRequest) error) {
	n := node.beginMembershipChange()
	if n == nil {
		node.redirect(w, "another keeper leads")
		return
	}
	defer n.calls.Done()
	var b membershipRequest
	if err := codec.Decode(body, &b); err != nil && codec.Decode(body, &b.Name) != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := node.settings.Peers[b.Name]; !ok || b.Name == node.settings.Name {
		http.Error(w, "no other keeper is called that", http.StatusBadRequest)
		return
	}
	if err := change(n, b); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	node.writeReply(w, true)
}

// readmit removes a node without state from the configuration, so that no majority relies on
// votes and entries that it has lost, and adds it again without a vote.
func (node *Node) readmit(n *replica, b membershipRequest) error {
	id := raft.ServerID(b.Name)
	if err := n.raft.RemoveServer(id, 0, 0).Error(); err != nil {
		return err
	}
	_ = node.submit(context.Background(), state.ReportBoot, state.BootBody{Process: b.Name}) // its count restarts; the node reports its starts again if this fails
	node.log.Warn("raft node rejoins without state; no vote until it has caught up", "keeper", b.Name)
	return n.raft.AddNonvoter(id, raft.ServerAddress(b.Name), 0, 0).Error()
}

// promote gives a node its vote once it has nearly all that is committed by now (see
// maxPromotionLag). A node that is not in the configuration is added first without a vote:
// it has lost nothing.
func (node *Node) promote(n *replica, b membershipRequest) error {
	f := n.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	id, addr := raft.ServerID(b.Name), raft.ServerAddress(b.Name)
	at := slices.IndexFunc(f.Configuration().Servers, func(s raft.Server) bool { return s.ID == id })
	switch {
	case at < 0:
		node.log.Warn("removed raft node rejoins; no vote until it has caught up", "keeper", b.Name)
		if err := n.raft.AddNonvoter(id, addr, 0, 0).Error(); err != nil {
			return err
		}
		return errors.New("it is taken in, and has yet to catch up")
	case f.Configuration().Servers[at].Suffrage == raft.Voter:
		return nil
	case b.Index+maxPromotionLag < n.raft.CommitIndex():
		return errors.New("it has not caught up yet")
	}
	node.log.Info("raft node has caught up and gets its vote", "keeper", b.Name)
	return n.raft.AddVoter(id, addr, 0, 0).Error()
}

// maxPromotionLag is how many log entries a node may lag behind when it gets its vote. Any
// number is safe, since the node has lost nothing since it was added. With a large one, a
// majority may be far behind.
const maxPromotionLag = 64

// requestPromotion asks the leader for this node's vote once it has caught up. It also asks
// when it has had no contact with a leader for a while: a delayed copy of its own rejoin
// call, or a leader that failed half-way, may have removed it from the configuration, and a
// removed node receives no messages.
func (node *Node) requestPromotion(ctx context.Context, n *replica) {
	f := n.raft.GetConfiguration()
	if f.Error() != nil || n.raft.State() == raft.Leader || len(node.settings.Peers) == 1 {
		return
	}
	votes := false
	for _, s := range f.Configuration().Servers {
		votes = votes || string(s.ID) == node.settings.Name && s.Suffrage == raft.Voter
	}
	if votes && time.Since(n.raft.LastContact()) < leaderlessElections*node.settings.ElectionTimeout {
		return
	}
	self, err := codec.Encode(membershipRequest{node.settings.Name, n.raft.AppliedIndex()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(node.settings.ElectionTimeout))
	defer cancel()
	var ok bool
	if err := node.peers.PostToLeader(ctx, rpc.PathPromote, self, &ok); err == nil && ok && !votes {
		node.log.Info("got its vote back")
	}
}

// leaderlessElections is the number of election timeouts without contact with a leader after
// which a node asks to be added again, since it may have been removed.
const leaderlessElections = 4

// membershipRequest is the body of a rejoin or promotion call.
type membershipRequest struct {
	Name  string
	Index uint64 // the node's applied index
}
