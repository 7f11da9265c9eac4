package raftnode

import (
	"fmt"

	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/valyala/fastjson"
)

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

// Status describes this node as JSON, for the operators' admin API.
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
