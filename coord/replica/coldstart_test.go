package replica

import (
	"fmt"
	"testing"
	"time"
)

// TestColdStartSpreadsLeaders: where the logs of all groups are equal at all processes, each process goes
// first in its share of the groups, and one goes first in each group.
func TestColdStartSpreadsLeaders(t *testing.T) {
	const groups, fewest = 60, 10
	ids := []string{"4f1c02", "4f1c03", "9a77e1"}
	first := map[string]int{}
	for group := range groups {
		for _, id := range ids {
			var others []Message
			for _, other := range ids {
				if other != id {
					others = append(others, Message{From: other})
				}
			}
			node := NewNode(id, fmt.Sprintf("jobs-%d", group), Timing{ElectionJitter: time.Second}, PersistedState{}, 1, 0)
			if node.precedes(others[0]) && node.precedes(others[1]) {
				first[id]++
			}
		}
	}
	sum := 0
	for _, id := range ids {
		sum += first[id]
		if first[id] < fewest {
			t.Errorf("%s goes first in %d of %d groups", id, first[id], groups)
		}
	}
	if sum != groups {
		t.Errorf("one goes first in %d of %d groups", sum, groups)
	}
}

// TestMoreCompleteLogGoesFirst: whatever the rank.
func TestMoreCompleteLogGoesFirst(t *testing.T) {
	for _, id := range []string{"a", "b", "c"} {
		node := NewNode(id, "g", Timing{ElectionJitter: time.Second}, PersistedState{Snapshot: Snapshot{Index: 5, Term: 2}}, 1, 0)
		if !node.precedes(Message{From: "x", Index: 4, LogTerm: 2}) || node.precedes(Message{From: "x", Index: 4, LogTerm: 3}) {
			t.Errorf("%s goes by another order than its log's", id)
		}
	}
}
