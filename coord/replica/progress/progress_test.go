package progress_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica/progress"
)

const start = time.Hour

func TestLateAcknowledgementsDoNotLowerMatch(t *testing.T) {
	p := progress.New(11, start)
	p.Acknowledge(10)
	p.Acknowledge(7)
	require.Equal(t, uint64(10), p.Match)
	require.Equal(t, uint64(11), p.Next)
	p.Acknowledge(20)
	require.Equal(t, uint64(21), p.Next, "an acknowledged entry is not sent again")
}

func TestRejectStaysBetweenMatchAndTheLogsEnd(t *testing.T) {
	for _, c := range []struct {
		name               string
		proposed, wantNext uint64
	}{
		{"the proposed index is accepted", 7, 8},
		{"an acknowledged entry is not sent again", 2, 6},
		{"no more than the log has", 99, 21},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := progress.New(21, start)
			p.Acknowledge(5)
			p.Reject(c.proposed, 20)
			require.Equal(t, c.wantNext, p.Next)
		})
	}
}

func TestEntriesWithoutAResponseAreSentAgain(t *testing.T) {
	p := progress.New(11, start)
	p.Acknowledge(10)
	p.RecordSent(15, start)
	p.RewindIfLost(20, start+progress.ResendAfter)
	require.Equal(t, uint64(16), p.Next, "the response may still come")
	p.RewindIfLost(15, start+2*progress.ResendAfter)
	require.Equal(t, uint64(16), p.Next, "no entries are waiting: a heartbeat detects the loss")
	p.RewindIfLost(20, start+2*progress.ResendAfter)
	require.Equal(t, uint64(11), p.Next)
}

func TestContact(t *testing.T) {
	p := progress.New(1, start)
	require.Equal(t, time.Second, p.UnresponsiveFor(start, start+time.Second), "counted from the beginning of the term")
	p.RecordResponse(start+2*time.Second, start+3*time.Second)
	p.RecordResponse(start+time.Second, start+4*time.Second)
	require.Equal(t, start+2*time.Second, p.AckedSentAt(), "a late response renews nothing")
	require.Equal(t, time.Second, p.UnresponsiveFor(start, start+5*time.Second))
}

func TestSnapshotIsRequestedAgainAfterResendAfter(t *testing.T) {
	p := progress.New(1, start)
	require.False(t, p.SnapshotPending(start))
	p.RecordSnapshotRequest(start)
	require.True(t, p.SnapshotPending(start+progress.ResendAfter-1))
	require.False(t, p.SnapshotPending(start+progress.ResendAfter))
}
