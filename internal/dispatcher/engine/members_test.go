package engine

import (
	"fmt"
	"hash/fnv"
	"testing"

	"github.com/stretchr/testify/require"
)

func hashed(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// alike finds two ids that hash alike; among 300,000 there are some.
func alike() (string, string) {
	seen := make(map[uint32]string)
	for n := 0; ; n++ {
		id := fmt.Sprintf("s-%08x", n)
		if other, ok := seen[hashed(id)]; ok {
			return other, id
		}
		seen[hashed(id)] = id
	}
}

// TestNumbers: a number comes from the id alone, the same at every dispatcher
// whatever it has met before, and no two members share one.
func TestNumbers(t *testing.T) {
	first, second := alike()
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
