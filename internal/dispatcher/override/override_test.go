package override

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOutTwiceBackOnce: one PutBack undoes two calls of TakeOut.
func TestOutTwiceBackOnce(t *testing.T) {
	s, at := New(), time.UnixMilli(1_700_000_000_000)
	require.True(t, s.TakeOut("r1"))
	require.False(t, s.TakeOut("r1"))
	require.True(t, s.IsOut("r1"))
	require.True(t, s.PutBack("r1", at))
	require.False(t, s.IsOut("r1"))
	require.False(t, s.PutBack("r1", at))
	require.Equal(t, at, s.RestoredAt("r1"))
	s.ForgetRestoredBefore(at.Add(time.Millisecond))
	require.True(t, s.RestoredAt("r1").IsZero())
}

// TestRoundTrip: an encoded state is decoded completely.
func TestRoundTrip(t *testing.T) {
	s, at := New(), time.UnixMilli(1_700_000_000_000)
	s.TakeOut("b")
	s.TakeOut("a")
	s.TakeOut("c")
	s.PutBack("c", at)
	got, err := Decode(s.Encode("n0"), "n0")
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, got.OutMembers())
	require.Equal(t, at, got.RestoredAt("c"))
}

// TestBadState: an empty, truncated or malformed state, and that of another dispatcher or version, is
// rejected.
func TestBadState(t *testing.T) {
	s := New()
	s.TakeOut("a")
	good := s.Encode("n0")
	for name, text := range map[string]string{
		"empty":         "",
		"cut short":     string(good[:len(good)-3]),
		"other name":    string(New().Encode("n1")),
		"older":         `{"version":0,"name":"n0","out":[],"back":{}}`,
		"no list":       `{"version":1,"name":"n0","back":{}}`,
		"no id":         `{"version":1,"name":"n0","out":[""],"back":{}}`,
		"id a number":   `{"version":1,"name":"n0","out":[3],"back":{}}`,
		"time no count": `{"version":1,"name":"n0","out":[],"back":{"a":"x"}}`,
		"time below 0":  `{"version":1,"name":"n0","out":[],"back":{"a":-4}}`,
		"not an object": `[1]`,
	} {
		_, err := Decode([]byte(text), "n0")
		require.Error(t, err, name)
	}
}
