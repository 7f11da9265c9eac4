package indexedheap_test

import (
	"slices"
	"testing"

	"basaltloft/internal/shared/indexedheap"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type item struct{ key, at int }

// TestHeap compares the heap with a sorted slice, also after items were removed by their index.
func TestHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := indexedheap.New(func(a, b *item) bool { return a.key < b.key }, func(x *item, at int) { x.at = at })
		var want []int
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			switch operation := rapid.IntRange(0, 3).Draw(t, "what"); {
			case operation < 2:
				x := &item{key: rapid.IntRange(0, 20).Draw(t, "key")}
				h.Push(x)
				want = append(want, x.key)
				slices.Sort(want)
			case len(want) == 0:
			case operation == 2:
				x := h.Pop()
				require.Equal(t, want[0], x.key)
				require.Equal(t, -1, x.at)
				want = want[1:]
			default:
				x := h.All()[rapid.IntRange(0, h.Len()-1).Draw(t, "at")]
				h.Remove(x.at)
				require.Equal(t, -1, x.at)
				i, found := slices.BinarySearch(want, x.key)
				require.True(t, found)
				want = slices.Delete(want, i, i+1)
			}
			require.Equal(t, len(want), h.Len())
			for i, x := range h.All() {
				require.Equal(t, i, x.at)
			}
		}
	})
}
