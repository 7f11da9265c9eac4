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

// readFor bounds how long a read waits for what was committed before it.
const readFor = time.Second

// ServeHTTP answers calls of the fleet's processes and of the other keepers.
func (k *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, rpc.MostBody+1))
	switch {
	case err != nil:
		return // the caller is gone
	case r.Method != http.MethodPost:
		http.Error(w, "calls are told with POST", http.StatusMethodNotAllowed)
		return
	case len(body) > rpc.MostBody:
		http.Error(w, "the call is too large", http.StatusRequestEntityTooLarge)
		return
	}
	switch r.URL.Path {
	case rpc.About:
		k.write(w, k.about())
	case rpc.Do:
		k.do(w, body)
	case rpc.Read, rpc.Nearby:
		k.answer(w, r, body)
	case rpc.Rejoin:
		k.change(w, body, k.takeIn)
	case rpc.Ready:
		k.change(w, body, k.letVote)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

func (k *Node) write(w http.ResponseWriter, v any) {
	text, err := codec.Encode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Write(text)
}

// notHere says that another keeper leads, and which.
func (k *Node) notHere(w http.ResponseWriter, why string) {
	k.mu.Lock()
	n := k.node
	k.mu.Unlock()
	if n != nil {
		if _, id := n.raft.LeaderWithID(); id != "" && string(id) != k.s.Name {
			w.Header().Set(rpc.LeaderHeader, string(id))
		}
	}
	http.Error(w, why, http.StatusMisdirectedRequest)
}

func (k *Node) about() rpc.AboutBody {
	k.mu.Lock()
	a := rpc.AboutBody{Name: k.s.Name, Empty: k.empty, Leads: k.lead != nil, Differs: k.differs, Boots: map[string]uint64{}}
	k.mu.Unlock()
	k.fsm.read(func(m *state.Machine) {
		a.Index, a.At = m.Index(), m.At()
		for name := range k.s.Peers {
			a.Boots[name] = m.Boots(name)
		}
	})
	a.Founded = !a.Empty && a.Index > 0
	return a
}

func (k *Node) do(w http.ResponseWriter, body []byte) {
	c, err := state.Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r, err := k.propose(c)
	if err != nil {
		k.notHere(w, err.Error())
		return
	}
	k.write(w, r)
}

// answer answers a query. The leader's answer knows of all that was answered before:
// it first makes sure that it still leads.
func (k *Node) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	var q rpc.Query
	if err := codec.Decode(body, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	n, leads := k.node, k.lead != nil
	if n == nil || len(k.differs) > 0 {
		k.mu.Unlock()
		k.notHere(w, "this keeper has no state to serve")
		return
	}
	n.calls.Add(1)
	k.mu.Unlock()
	defer n.calls.Done()
	if r.URL.Path == rpc.Read {
		if !leads {
			k.notHere(w, "another keeper leads")
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(readFor))
		defer cancel()
		upTo := n.raft.CommitIndex()
		if err := errors.Join(n.raft.VerifyLeader().Error(), k.reached(ctx, n, upTo)); err != nil {
			k.notHere(w, err.Error())
			return
		}
	}
	k.write(w, k.Ask(q))
}

// reached waits until what was committed at an index is applied. Some entries of
// the log are raft's own, which the state does not see.
func (k *Node) reached(ctx context.Context, n *node, index uint64) error {
	for n.raft.AppliedIndex() < index {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

// Ask answers a query of the state as it is here.
func (k *Node) Ask(q rpc.Query) (a rpc.Answer) {
	k.fsm.read(func(m *state.Machine) {
		a.Index, a.At = m.Index(), m.At()
		body, err := m.Ask(q.Kind, q.Body)
		if err != nil {
			a.Code, a.Text = state.Refused, err.Error()
			return
		}
		a.Body = body
	})
	return a
}

// beginChange returns the replica of which a change of who votes begins; nil: it does not
// lead, or ends.
func (k *Node) beginChange() *node {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.node == nil || k.lead == nil {
		return nil
	}
	k.node.calls.Add(1)
	return k.node
}

// change carries out a change of who votes.
func (k *Node) change(w http.ResponseWriter, body []byte, how func(*node, readyBody) error) {
	n := k.beginChange()
	if n == nil {
		k.notHere(w, "another keeper leads")
		return
	}
	defer n.calls.Done()
	var b readyBody
	if err := codec.Decode(body, &b); err != nil && codec.Decode(body, &b.Name) != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := k.s.Peers[b.Name]; !ok || b.Name == k.s.Name {
		http.Error(w, "no other keeper is called that", http.StatusBadRequest)
		return
	}
	if err := how(n, b); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	k.write(w, true)
}

// takeIn puts a keeper that has nothing out of the configuration, so that nothing
// counts on what it has forgotten, and takes it in without a vote.
func (k *Node) takeIn(n *node, b readyBody) error {
	id := raft.ServerID(b.Name)
	if err := n.raft.RemoveServer(id, 0, 0).Error(); err != nil {
		return err
	}
	k.command(context.Background(), state.Boot, state.BootBody{Process: b.Name}) // its count begins anew
	k.log.WithField("keeper", b.Name).Warn("a keeper comes back with nothing: it has no vote until it has caught up")
	return n.raft.AddNonvoter(id, raft.ServerAddress(b.Name), 0, 0).Error()
}

// letVote lets a keeper vote that has all that is committed by now. One that is not
// in the configuration is taken in first: it has not forgotten anything.
func (k *Node) letVote(n *node, b readyBody) error {
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
	case b.Index+voteWithin < n.raft.CommitIndex():
		return errors.New("it has not caught up yet")
	}
	k.log.WithField("keeper", b.Name).Info("a keeper has caught up and votes again")
	return n.raft.AddVoter(id, addr, 0, 0).Error()
}

// voteWithin entries of the log: a keeper that lacks no more has caught up. It is
// safe at any number, since it forgot nothing that it took in after it was put out;
// a large one would leave a majority that is far behind.
const voteWithin = 64

// TransferLeadership hands the lead over, if this keeper has it: a planned end costs the fleet no
// election.
func (k *Node) TransferLeadership() {
	k.mu.Lock()
	n, leads := k.node, k.lead != nil
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
	return k.lead != nil
}

// Look lets a function see the state as it is here. It must be short: no command is
// applied meanwhile.
func (k *Node) Look(see func(*state.Machine)) { k.fsm.read(see) }

// Status tells how this keeper stands, as JSON.
func (k *Node) Status(arena *fastjson.Arena) *fastjson.Value {
	a := k.about()
	o := arena.NewObject()
	flag := func(name string, on bool) {
		v := arena.NewFalse()
		if on {
			v = arena.NewTrue()
		}
		o.Set(name, v)
	}
	flag("leads", a.Leads)
	flag("empty", a.Empty)
	differs, names := arena.NewArray(), arena.NewArray()
	for i, name := range a.Differs {
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
