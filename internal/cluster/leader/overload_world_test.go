package leader_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/protocol"
)

const (
	quotaRunners = 80
	// carriedLoad is what the machine of these tests carries, in jobs a second.
	carriedLoad = 120
	trafficTime = 20 * time.Second
	// finishTime is how long after the traffic accepted jobs may take: the deployment's finish_s.
	finishTime = 14 * time.Second
)

// served is what a run of the world came to.
type served struct {
	offered, inTime, worth, refused, accepted, unfinished int
	longestRefusal                                        time.Duration
}

func offerLoad(perSecond float64) (*quotaWorld, served) {
	w := newQuotaWorld(quotaRunners)
	w.run(2 * time.Second)
	w.offer(perSecond, trafficTime)
	w.run(trafficTime + finishTime)
	return w, w.result()
}

func (w *quotaWorld) result() served {
	var s served
	for _, c := range w.clients {
		s.offered++
		s.longestRefusal = max(s.longestRefusal, c.refusedIn)
		if c.refusals > 0 {
			s.refused++
		}
		ended := w.ended[c.id]
		if w.state(c.id).Status == http.StatusOK { // accepted, also where the client was not told
			s.accepted++
			if ended == 0 {
				s.unfinished++
			}
		}
		if ended > 0 && ended <= c.sentAt+objective {
			s.inTime++
		}
		if ended > 0 && ended <= c.sentAt+3*objective {
			s.worth++
		}
	}
	return s
}

// TestOverloadedLeaderServesWhatItCarries guards against a leader that is offered twice what its processor
// time carries, accepts all of it, starts each job later than the one before, and leaves accepted jobs undone.
func TestOverloadedLeaderServesWhatItCarries(t *testing.T) {
	t.Parallel()
	_, calm := offerLoad(carriedLoad)
	require.Equal(t, calm.offered, calm.worth, "the machine carries this load: %+v", calm)
	require.Zero(t, calm.refused, "nothing is refused on a calm day: %+v", calm)

	w, overloaded := offerLoad(2 * carriedLoad)
	t.Logf("calm %+v, overloaded %+v; of %d starts %d in vain", calm, overloaded, w.started, w.wasted)
	require.Zero(t, overloaded.unfinished, "accepted jobs that were not worked off: %+v", overloaded)
	require.GreaterOrEqual(t, overloaded.worth, calm.worth/2, "%+v", overloaded)
	require.LessOrEqual(t, overloaded.longestRefusal, attemptTimeout, "refusals come at once")
	for _, c := range w.clients {
		if c.refusals == c.tries {
			require.Equal(t, protocol.Status(http.StatusGone), w.state(c.id).Status, "job %s was refused each time", c.id)
		}
		require.Contains(t, []protocol.Status{0, http.StatusOK}, c.resent, "job %s was accepted before", c.id)
		require.False(t, c.refusals > 0 && c.leastRetryAfter == 0, "job %s: a refusal names when to come again", c.id)
	}
}
