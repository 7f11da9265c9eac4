package simprotocol

import (
	"bytes"
	"errors"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// The lines in goldenActions and goldenEvents were written by, and read by, commit
// 352ebf2. They must never be rewritten by later code: a simulator speaks them.
var (
	goldenActions = filepath.Join("testdata", "golden", "actions.txt")
	goldenEvents  = filepath.Join("testdata", "golden", "events.txt")
)

// TestGoldenActions: each action of a host, with and without what it may leave out.
func TestGoldenActions(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	first, second := e.Host("s/0"), e.Host("s/1")
	first.Send("r-1", 5, 0)
	first.Send("r-1", 4294967295, 1500*time.Millisecond)
	first.Refuse("r-2", 0)
	first.Refuse("r-2", 20*time.Millisecond)
	second.Fail("r-3")
	second.Cancel("r-4", 2)
	first.Probe(7)
	first.Timer(900*time.Millisecond, "due")
	first.Watch(true)
	first.Watch(false)
	first.Fetch()
	first.Log("two\nlines\rand more")
	require.NoError(t, e.Finish())
	first.Fail("r-5")
	require.NoError(t, e.Finish())
	goldentest.Equal(t, goldenActions, out.Bytes())
}

const goldenConfiguration = `{"balancers":3,"rank":1,"zone":"a","registry_mode":"ask","shapes":["k"],"lanes":[{"name":"c","effect":"idempotent","promise":400000000,"give_up":5000000000,"worth":1}]}`

// goldenLines are one event of each kind, and of each word that an event may have.
var goldenLines = []string{
	"BEGIN_BATCH\tat_time=1000000000",
	"INSTANCE\ti=s/0",
	"CONFIGURE\tnonce64=-7\tconf=" + goldenConfiguration,
	"ROSTER\tset_id=2\trecords=3",
	"ROW\ttype=k\tcluster=4\tstage_state=healthy\tdc=a\tscale=1.5\tsince=77\tworker=5",
	"ROW\ttype=k\tcluster=4\tstage_state=cordoned\tdc=b\tscale=2\tworker=6",
	"ROW\tstage_state=deregistered\tworker=7",
	"DISCOVERY\tset_id=2\tseq_no=1\tkind=update",
	"DISCOVERY\tset_id=2\tseq_no=2\tkind=replace",
	"DISCOVERY\tset_id=2\tseq_no=3\tkind=restored",
	"DISCOVERY\tset_id=2\tseq_no=4\tkind=unavailable",
	"INGRESS\ttxn=r-1\tclass=c\tentity=91f0 3b\tcost_guess=100000000\texpires=6000000000\twidth=2\tmem=0.5\tretry=1\treconnect=1\twrite=0",
	"COMPLETED\ttxn=r-1\tended=1\tcopy=2\tstate_code=254\tduration=5\tworker=6\tserver_stats=outstanding:1,backlog:2,utilization:0.3,recent_ms:4,throughput:5,errors_per_s:6,x0:7,x1:8,new:9",
	"COMPLETED\ttxn=r-1\tcopy=0\tworker=6",
	"COMPLETED\ttxn=r-1\tstate_code=255\tworker=6",
	"COMPLETED\ttxn=r-1\tstate_code=253\tworker=6",
	"COMPLETED\ttxn=r-1\tstate_code=252\tworker=6",
	"COMPLETED\ttxn=r-1\tstate_code=251\tworker=6",
	"COMPLETED\ttxn=r-1\tstate_code=250\tworker=6",
	"COMPLETED\ttxn=r-1\tstate_code=249\tworker=6",
	"STATUS_BACK\tworker=5\tstate_code=253\tduration=1400000\tserver_stats=x0:0.4",
	"STATUS_NOTE\ttxn=r-1\tcopy=1\tlevel=0.5\tworker=5\ttopic=2",
	"STATUS_NOTE\ttxn=r-1\tcopy=1\tworker=5\ttopic=1",
	"STATUS_NOTE\ttxn=r-1\tcopy=1\tworker=5\ttopic=9",
	"OPENED\ttxn=r-1\tcopy=3\tworker=5\tduration=9",
	"LAPSED\ttxn=r-9",
	"ELAPSED\tctx=sweep",
	"MEMO\tby=2\toctets=aGkgNw==",
	"TEARDOWN",
	"EOB",
}

// TestGoldenEvents: the golden lines are read to these events.
func TestGoldenEvents(t *testing.T) {
	goldentest.Equal(t, goldenEvents, []byte(strings.Join(goldenLines, "\n")+"\n"))
	d := NewDecoder(bytes.NewReader(goldentest.Read(t, goldenEvents)))
	next := func(kind Kind) Event {
		t.Helper()
		e, err := d.Next()
		require.NoError(t, err)
		require.Equal(t, kind, e.Kind, d.Position())
		require.Equal(t, time.Second, e.Now)
		copied := *e
		copied.Members = slices.Clone(e.Members)
		return copied
	}
	next(BatchStart)
	configured := next(Configure)
	require.Equal(t, "s/0", configured.Instance)
	require.Equal(t, policy.Settings{
		Seed: 18446744073709551609, Instances: 3, Rank: 1, Zone: "a", Kinds: []string{"k"}, PullsMembership: true,
		Classes: []policy.Class{{Name: "c", Effect: policy.Idempotent, DedupScope: policy.DedupCell, LatencyTarget: 400 * time.Millisecond, ClientTimeout: 5 * time.Second, Value: 1, Kind: -1}},
	}, configured.Settings)
	members := []policy.Member{
		{Number: 5, Kind: "k", Cell: 4, Zone: "a", State: policy.Ready, StartedAt: 77, Weight: 1.5},
		{Number: 6, Kind: "k", Cell: 4, Zone: "b", State: policy.Draining, Weight: 2},
		{Number: 7, State: policy.Removed},
	}
	for _, list := range []policy.ListKind{policy.ListDelta, policy.ListSnapshot, policy.ListRestored} {
		told := next(MembershipChanged)
		require.Equal(t, list, told.ListKind)
		require.Equal(t, members, told.Members)
	}
	failed := next(MembershipChanged)
	require.Equal(t, policy.ListFailed, failed.ListKind)
	require.Empty(t, failed.Members)
	require.Equal(t, policy.Request{
		ID: "r-1", Class: "c", AffinityKey: "91f0 3b", Hint: 100 * time.Millisecond, Deadline: 6 * time.Second, Slots: 2, Memory: 0.5, Retry: true,
	}, next(RequestArrived).Request)
	all := policy.HasInFlight | policy.HasQueue | policy.HasUtil | policy.HasLatency | policy.HasQPS | policy.HasErrors | policy.HasX0 | policy.HasX1
	require.Equal(t, policy.AttemptResult{
		Request: "r-1", Attempt: 2, Worker: 6, Status: policy.Rejected, Final: true, Latency: 5,
		Report: policy.Report{Has: all, InFlight: 1, Queue: 2, Util: 0.3, LatencyMS: 4, QPS: 5, ErrorsPerS: 6, X0: 7, X1: 8},
	}, next(AttemptEnded).AttemptResult)
	for _, status := range []policy.Status{
		policy.OK, policy.Error, policy.TimedOut, policy.ConnectFailed, policy.Reset, policy.Cancelled, policy.NotSent,
	} {
		require.Equal(t, policy.AttemptResult{Request: "r-1", Worker: 6, Status: status}, next(AttemptEnded).AttemptResult)
	}
	require.Equal(t, policy.ProbeResult{
		Worker: 5, Status: policy.TimedOut, Latency: 1400 * time.Microsecond, Report: policy.Report{Has: policy.HasX0, X0: 0.4},
	}, next(ProbeAnswered).ProbeResult)
	require.Equal(t, policy.AttemptUpdate{Request: "r-1", Attempt: 1, Worker: 5, Kind: policy.UpdateProgress, Value: 0.5}, next(AttemptUpdated).AttemptUpdate)
	require.Equal(t, policy.AttemptUpdate{Request: "r-1", Attempt: 1, Worker: 5, Kind: policy.UpdateStarted}, next(AttemptUpdated).AttemptUpdate)
	require.Equal(t, policy.AttemptUpdate{Request: "r-1", Attempt: 1, Worker: 5}, next(AttemptUpdated).AttemptUpdate)
	require.Equal(t, policy.StreamStart{Request: "r-1", Attempt: 3, Worker: 5}, next(StreamStarted).StreamStart)
	require.Equal(t, "r-9", next(ClientGone).RequestID)
	require.Equal(t, "sweep", next(TimerFired).TimerToken)
	next(PeerMessage)
	next(Teardown)
	next(BatchEnd)
	_, err := d.Next()
	require.True(t, errors.Is(err, io.EOF))
}
