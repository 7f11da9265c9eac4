package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/leader"
)

func TestApplicants(t *testing.T) {
	const start, lifetime = time.Hour, 3 * time.Second
	var applicants leader.Applicants
	require.Empty(t, applicants.Addresses(start))
	require.True(t, applicants.Requested(start, "b:1"))
	require.True(t, applicants.Requested(start+time.Second, "a:1"))
	require.False(t, applicants.Requested(start+lifetime, "b:1"), "it is an applicant already")
	require.Equal(t, []string{"a:1", "b:1"}, applicants.Addresses(start+time.Second+lifetime))
	require.Equal(t, []string{"b:1"}, applicants.Addresses(start+time.Second+lifetime+1))
	require.True(t, applicants.Requested(start+2*lifetime, "a:1"), "it was removed")
	require.True(t, applicants.Requested(start+3*lifetime, "b:1"), "its last request is too old")
}
