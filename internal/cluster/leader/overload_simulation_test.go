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
	// sustainableLoad is the load that the leader of these tests can serve, in jobs per second.
	sustainableLoad = 120
	trafficTime     = 20 * time.Second
	// finishTime is how long accepted jobs may take after the last submission: the deployment's finish_s.
	finishTime = 14 * time.Second
)

// loadResult counts the jobs of a simulation by their results. Those in inTime ended within their objective,
// those in useful within three times their objective.
type loadResult struct {
	offered, inTime, useful, refused, accepted, unfinished int
	longestRefusal                                         time.Duration
}

func offerLoad(perSecond float64) (*quotaSimulation, loadResult) {
	sim := newQuotaSimulation(quotaRunners)
	sim.run(2 * time.Second)
	sim.offer(perSecond, trafficTime)
	sim.run(trafficTime + finishTime)
	return sim, sim.result()
}

func (sim *quotaSimulation) result() loadResult {
	var s loadResult
	for _, c := range sim.clients {
		s.offered++
		s.longestRefusal = max(s.longestRefusal, c.maxRefusalTime)
		if c.refusals > 0 {
			s.refused++
		}
		ended := sim.ended[c.id]
		if sim.state(c.id).Status == http.StatusOK { // accepted, even if the client got no response
			s.accepted++
			if ended == 0 {
				s.unfinished++
			}
		}
		if ended > 0 && ended <= c.sentAt+objective {
			s.inTime++
		}
		if ended > 0 && ended <= c.sentAt+3*objective {
			s.useful++
		}
	}
	return s
}

// TestOverloadedLeaderServesItsCapacity guards against a leader that gets twice the load that its processor time
// allows, accepts all of it, starts each job later than the one before, and doesn't finish accepted jobs.
func TestOverloadedLeaderServesItsCapacity(t *testing.T) {
	t.Parallel()
	_, normal := offerLoad(sustainableLoad)
	require.Equal(t, normal.offered, normal.useful, "the leader can serve this load: %+v", normal)
	require.Zero(t, normal.refused, "nothing is refused at normal load: %+v", normal)

	sim, overloaded := offerLoad(2 * sustainableLoad)
	t.Logf("normal load %+v, overload %+v; %d start orders, of which %d started nothing", normal, overloaded, sim.startOrders, sim.wastedStarts)
	require.Zero(t, overloaded.unfinished, "accepted jobs that were not finished: %+v", overloaded)
	require.GreaterOrEqual(t, overloaded.useful, normal.useful/2, "%+v", overloaded)
	require.LessOrEqual(t, overloaded.longestRefusal, attemptTimeout, "refusals are sent at once")
	for _, c := range sim.clients {
		if c.refusals == c.tries {
			require.Equal(t, protocol.Status(http.StatusGone), sim.state(c.id).Status, "job %s was refused each time", c.id)
		}
		require.Contains(t, []protocol.Status{0, http.StatusOK}, c.resendStatus, "job %s was already accepted", c.id)
		require.False(t, c.refusals > 0 && c.minRetryAfter == 0, "job %s: a refusal has a Retry-After", c.id)
	}
}
