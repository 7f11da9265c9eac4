package raftnode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/hashicorp/raft"
	"github.com/valyala/fastjson"
)

// readTimeout bounds how long a read waits for what was committed before it.
const readTimeout = time.Second

// ServeHTTP answers calls of the fleet's processes and of the other keepers.
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

// redirect says that another keeper leads, and which.
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

func (k *Node) status() rpc.NodeStatus {
	k.mu.Lock()
	a := rpc.NodeStatus{Name: k.settings.Name, Empty: k.empty, IsLeader: k.leadership != nil, DivergentPartitions: k.divergent, BootCounts: map[string]uint64{}}
	k.mu.Unlock()
	k.fsm.read(func(m *state.Machine) {
		a.Index, a.At = m.Index(), m.At()
		for name := range k.settings.Peers {
			a.BootCounts[name] = m.BootCount(name)
		}
	})
	a.Bootstrapped = !a.Empty && a.Index > 0
	return a
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

// handleQuery answers a query. The leader's answer knows of all that was answered before:
// it first makes sure that it still leads.
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

// waitApplied waits until what was committed at an index is applied. Some entries of
// the log are raft's own, which the state does not see.
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

// Query answers a query of the state as it is here.
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

// beginMembershipChange returns the replica of which a change of who votes begins; nil: it does not
// lead, or ends.
func (k *Node) beginMembershipChange() *replica {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.replica == nil || k.leadership == nil {
		return nil
	}
	k.replica.calls.Add(1)
	return k.replica
}

// handleMembershipChange carries out a change of who votes.
func (k *Node) handleMembershipChange(w http.ResponseWriter, body []byte, how func(*replica, membershipRequest) error) {
	n := k.beginMembershipChange()
	if n == nil {
		k.redirect(w, "another keeper leads")
		return
	}
	defer n.calls.Done()
	var b membershipRequest
	if err := codec.Decode(body, &b); err != nil && codec.Decode(body, &b.Name) != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := k.settings.Peers[b.Name]; !ok || b.Name == k.settings.Name {
		http.Error(w, "no other keeper is called that", http.StatusBadRequest)
		return
	}
	if err := how(n, b); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	k.writeReply(w, true)
}

// readmit puts a keeper that has nothing out of the configuration, so that nothing
// counts on what it has forgotten, and takes it in without a vote.
func (k *Node) readmit(n *replica, b membershipRequest) error {
	id := raft.ServerID(b.Name)
	if err := n.raft.RemoveServer(id, 0, 0).Error(); err != nil {
		return err
	}
	k.submit(context.Background(), state.ReportBoot, state.BootBody{Process: b.Name}) // its count begins anew
	k.log.WithField("keeper", b.Name).Warn("a keeper comes back with nothing: it has no vote until it has caught up")
	return n.raft.AddNonvoter(id, raft.ServerAddress(b.Name), 0, 0).Error()
}

// promote lets a keeper vote that has all that is committed by now. One that is not
// in the configuration is taken in first: it has not forgotten anything.
func (k *Node) promote(n *replica, b membershipRequest) error {
	f := n.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	id, addr := raft.ServerID(b.Name), raft.ServerAddress(b.Name)
	at := slices.IndexFunc(f.Configuration().Servers, func(s raft.Server) bool { return s.ID == id })
	switch {
	case at < 0:
		k.log.WithField("keeper", b.Name).Warn("a keeper that was put out comes back: it has no vote until it has caught up")
		if err := n.raft.AddNonvoter(id, addr, 0, 0).Error(); err != nil {
			return err
		}
		return errors.New("it is taken in, and has yet to catch up")
	case f.Configuration().Servers[at].Suffrage == raft.Voter:
		return nil
	case b.Index+maxPromotionLag < n.raft.CommitIndex():
		return errors.New("it has not caught up yet")
	}
	k.log.WithField("keeper", b.Name).Info("a keeper has caught up and votes again")
	return n.raft.AddVoter(id, addr, 0, 0).Error()
}

// maxPromotionLag entries of the log: a keeper that lacks no more has caught up. It is
// safe at any number, since it forgot nothing that it took in after it was put out;
// a large one would leave a majority that is far behind.
const maxPromotionLag = 64

// TransferLeadership hands the lead over, if this keeper has it: a planned end costs the fleet no
// election.
func (k *Node) TransferLeadership() {
	k.mu.Lock()
	n, leads := k.replica, k.leadership != nil
	k.mu.Unlock()
	if n == nil || !leads {
		return
	}
	if err := n.raft.LeadershipTransfer().Error(); err != nil {
		k.log.WithError(err).Info("the lead could not be handed over")
	}
}

// IsLeader tells whether this keeper leads.
func (k *Node) IsLeader() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leadership != nil
}

// Inspect lets a function see the state as it is here. It must be short: no command is
// applied meanwhile.
func (k *Node) Inspect(see func(*state.Machine)) { k.fsm.read(see) }

// Status tells how this keeper stands, as JSON.
func (k *Node) Status(arena *fastjson.Arena) *fastjson.Value {
	a := k.status()
	o := arena.NewObject()
	flag := func(name string, on bool) {
		v := arena.NewFalse()
		if on {
			v = arena.NewTrue()
		}
		o.Set(name, v)
	}
	flag("leads", a.IsLeader)
	flag("empty", a.Empty)
	differs, names := arena.NewArray(), arena.NewArray()
	for i, name := range a.DivergentPartitions {
		differs.SetArrayItem(i, arena.NewString(name))
	}
	o.Set("differs", differs)
	digests := arena.NewObject()
	k.fsm.read(func(m *state.Machine) { // at one command: digests are compared by its index
		o.Set("index", arena.NewNumberString(fmt.Sprint(m.Index())))
		o.Set("at_ms", arena.NewNumberString(fmt.Sprint(m.At().Milliseconds())))
		for i, who := range m.Members() {
			names.SetArrayItem(i, arena.NewString(who.Process))
		}
		if sums, err := m.Digests(); err == nil {
			for name, sum := range sums {
				digests.Set(name, arena.NewString(fmt.Sprintf("%016x", sum)))
			}
		}
	})
	o.Set("members", names)
	o.Set("digests", digests)
	return o
}
