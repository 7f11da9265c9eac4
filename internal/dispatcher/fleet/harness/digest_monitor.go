package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// DigestMonitor compares the digests that raft nodes report of their state, by log index.
type DigestMonitor struct {
	mu          sync.Mutex
	byIndex     map[uint64]map[string]string // then by partition
	lastIndex   map[string]uint64            // by process
	differences []string
}

// Watch polls all processes until the context ends. It is for Soak.Background.
func (m *DigestMonitor) Watch(ctx context.Context, r *Cluster) {
	for ctx.Err() == nil {
		for _, p := range r.Processes {
			m.poll(p)
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (m *DigestMonitor) poll(p *Process) {
	var s struct {
		Keeper *struct {
			Index   uint64
			Digests map[string]string
		}
	}
	_, text, err := p.AdminRequest("GET", "/fleet", "", time.Now().Add(time.Second))
	// A process that is not a raft node, or has no state yet, is passed over.
	if err != nil || json.Unmarshal([]byte(text), &s) != nil || s.Keeper == nil || s.Keeper.Index == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byIndex == nil {
		m.byIndex, m.lastIndex = make(map[uint64]map[string]string), make(map[string]uint64)
	}
	at := s.Keeper.Index
	m.lastIndex[p.Name] = at
	if previous := m.byIndex[at]; previous == nil {
		m.byIndex[at] = s.Keeper.Digests
	} else if !maps.Equal(previous, s.Keeper.Digests) {
		m.differences = append(m.differences, fmt.Sprintf("%s at %d: %v, before %v", p.Name, at, s.Keeper.Digests, previous))
	}
}

// WaitConverged waits until the given number of raft nodes report the same index, and returns all
// differences that were seen.
func (m *DigestMonitor) WaitConverged(r *Cluster, nodes int, until time.Time) ([]string, error) {
	for time.Now().Before(until) {
		for _, p := range r.Processes {
			m.poll(p)
		}
		m.mu.Lock()
		ends := slices.Compact(slices.Sorted(maps.Values(m.lastIndex)))
		diff, polled := slices.Clone(m.differences), len(m.lastIndex)
		m.mu.Unlock()
		if polled == nodes && len(ends) == 1 {
			return diff, nil
		}
	}
	var responses []string
	for _, p := range r.Processes {
		_, text, err := p.AdminRequest("GET", "/fleet", "", time.Now().Add(time.Second))
		responses = append(responses, fmt.Sprintf("%s: %s (%v)", p.Name, text, err))
	}
	return nil, fmt.Errorf("%d raft nodes did not reach the same index: %v\n%s", nodes, m.lastIndex, strings.Join(responses, "\n"))
}
