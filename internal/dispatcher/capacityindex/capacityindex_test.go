package capacityindex_test

import (
	"fmt"
	"testing"

	"basaltloft/internal/dispatcher/capacityindex"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type member struct {
	id       int
	position capacityindex.Position
}

// TestSetMatchesMap compares a set with a map after random additions and removals.
func TestSetMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]*member, rapid.IntRange(1, 40).Draw(t, "members"))
		for i := range members {
			members[i] = &member{id: i}
		}
		s := capacityindex.New(func(m *member) *capacityindex.Position { return &m.position })
		want := make(map[int]bool)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			m := members[rapid.IntRange(0, len(members)-1).Draw(t, "member")]
			in := rapid.Bool().Draw(t, "in")
			require.Equal(t, want[m.id] != in, s.Put(m, in))
			want[m.id] = in
			require.Equal(t, in, m.position.In())
			seen := make(map[int]bool)
			for _, m := range s.All() {
				require.False(t, seen[m.id], "twice")
				seen[m.id] = true
				require.True(t, m.position.In())
			}
			for _, m := range members {
				require.Equal(t, want[m.id], seen[m.id])
			}
		}
	})
}

func BenchmarkPut(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			members := make([]member, n)
			s := capacityindex.New(func(m *member) *capacityindex.Position { return &m.position })
			for i := range members {
				s.Put(&members[i], true)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := &members[i*7919%n]
				s.Put(m, false)
				s.Put(m, true)
			}
		})
	}
}
