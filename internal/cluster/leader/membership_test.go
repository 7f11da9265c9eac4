package leader_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/leader"
)

// TestFoundingMembership checks that each seed computes the same initial membership and that no other process
// is a founder.
func TestFoundingMembership(t *testing.T) {
	seeds := []string{"c:1", "a:1", "b:1", "a:1"}
	id, founding := leader.FoundingMembership(true, seeds, "b:1", "drawn")
	other, same := leader.FoundingMembership(true, []string{"a:1", "b:1", "c:1"}, "c:1", "drawn")
	require.NotEqual(t, id, other)
	require.Equal(t, founding, same)
	require.Len(t, founding.Voters, 3)
	require.True(t, founding.IsVoter(id))
	for name, c := range map[string]struct {
		bootstrap bool
		self      string
	}{"a later start": {false, "b:1"}, "no seed": {true, "d:1"}} {
		t.Run(name, func(t *testing.T) {
			id, founding := leader.FoundingMembership(c.bootstrap, seeds, c.self, "drawn")
			require.Equal(t, "drawn", id)
			require.Nil(t, founding)
		})
	}
}
