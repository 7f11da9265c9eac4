package raftnode

import (
	"fmt"

	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/valyala/fastjson"
)

func (node *Node) status() rpc.NodeStatus {
	node.mu.Lock()
	a := rpc.NodeStatus{Name: node.settings.Name, Empty: node.empty, IsLeader: node.leadership != nil, DivergentPartitions: node.divergent, BootCounts: map[string]uint64{}}
	node.mu.Unlock()
	node.fsm.read(func(m *state.Machine) {
		a.Index, a.At = m.Index(), m.At()
		for name := range node.settings.Peers {
			a.BootCounts[name] = m.BootCount(name)
		}
	})
	a.Bootstrapped = !a.Empty && a.Index > 0
	return a
}

// Status describes this node as JSON, for the operators' admin API.
func (node *Node) Status(arena *fastjson.Arena) *fastjson.Value {
	a := node.status()
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
	divergent, names := arena.NewArray(), arena.NewArray()
	for i, name := range a.DivergentPartitions {
		divergent.SetArrayItem(i, arena.NewString(name))
	}
	o.Set("differs", divergent)
	digests := arena.NewObject()
	node.fsm.read(func(m *state.Machine) { // all as of one command, since digests are compared by log index
		o.Set("index", arena.NewNumberString(fmt.Sprint(m.Index())))
		o.Set("at_ms", arena.NewNumberString(fmt.Sprint(m.At().Milliseconds())))
		for i, member := range m.Members() {
			names.SetArrayItem(i, arena.NewString(member.Process))
		}
		if byPartition, err := m.Digests(); err == nil {
			for name, sum := range byPartition {
				digests.Set(name, arena.NewString(fmt.Sprintf("%016x", sum)))
			}
		}
	})
	o.Set("members", names)
	o.Set("digests", digests)
	return o
}
