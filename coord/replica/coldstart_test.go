package replica

import (
	"fmt"
	"testing"
	"time"
)

// TestColdStartSpreadsLeaders checks that, if the logs of all groups are equal at all processes, each
// process is the preferred candidate in its share of the groups, and each group has exactly one.
func TestColdStartSpreadsLeaders(t *testing.T) {
	const groups, fewest = 60, 10
	ids := []string{"4f1c02", "4f1c03", "9a77e1"}
	preferred := map[string]int{}
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
				preferred[id]++
			}
		}
	}
	sum := 0
	for _, id := range ids {
		sum += preferred[id]
		if preferred[id] < fewest {
			t.Errorf("%s is the preferred candidate in %d of %d groups", id, preferred[id], groups)
		}
	}
	if sum != groups {
		t.Errorf("there are %d preferred candidates in %d groups", sum, groups)
	}
}

// TestMoreCompleteLogPrecedes checks that the more complete log decides, regardless of the rank.
func TestMoreCompleteLogPrecedes(t *testing.T) {
	for _, id := range []string{"a", "b", "c"} {
		node := NewNode(id, "g", Timing{ElectionJitter: time.Second}, PersistedState{Snapshot: Snapshot{Index: 5, Term: 2}}, 1, 0)
		if !node.precedes(Message{From: "x", Index: 4, LogTerm: 2}) || node.precedes(Message{From: "x", Index: 4, LogTerm: 3}) {
			t.Errorf("the preference of %s does not follow the logs", id)
		}
	}
}
