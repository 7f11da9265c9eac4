package engine

import (
	"fmt"
	"hash/fnv"
	"testing"

	"github.com/stretchr/testify/require"
)

// hashed returns the hash of an id that its member's number is derived from.
func hashed(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// collidingIDs returns two ids with the same hash; among 300,000 ids there are some.
func collidingIDs() (string, string) {
	seen := make(map[uint32]string)
	for n := 0; ; n++ {
		id := fmt.Sprintf("s-%08x", n)
		if other, ok := seen[hashed(id)]; ok {
			return other, id
		}
		seen[hashed(id)] = id
	}
}

// TestMemberNumbers checks that a member's number depends on its id alone, so that it is the same at every
// dispatcher, independent of the members listed before, and that no two members share a number.
func TestMemberNumbers(t *testing.T) {
	first, second := collidingIDs()
	for _, before := range []int{0, 5} {
		c := &Engine{sources: make(map[string]int), listedIDs: make(map[string]bool), members: make(map[string]*Member), membersByNumber: make(map[uint32]*Member)}
		for n := range before {
			c.placeMember(&Member{ID: fmt.Sprint("other-", n)})
		}
		one, two := c.placeMember(&Member{ID: first}), c.placeMember(&Member{ID: second})
		require.Equal(t, hashed(first), one.Number)
		require.NotEqual(t, one.Number, two.Number)
		require.Equal(t, two, c.placeMember(&Member{ID: second}), "listed again")
		require.Equal(t, first, c.membersByNumber[one.Number].ID)
		require.Equal(t, second, c.membersByNumber[two.Number].ID)
	}
}
