package raftnode

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/budget"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/fleet/recordstore"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

// goldenFolder is the data directory of a raft node, written by commit 352ebf2: its identity
// file, raft's log and a snapshot in the middle of it. Later code must never rewrite it.
//
// The identity, the snapshot and the log contain names of exported Go fields.
var goldenFolder = filepath.Join("testdata", "golden", "keeper")

// runSingleNode runs the only raft node of a fleet on a data directory until stop is called.
func runSingleNode(t *testing.T, folder string) (node *Node, client *rpc.Client, stop func()) {
	t.Helper()
	listen := func() net.Listener {
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		return l
	}
	rpcListener, raftListener := listen(), listen()
	store, err := recordstore.Open(t.TempDir())
	require.NoError(t, err)
	log := logtest.Discard()
	node, err = New(Settings{
		Name: "k1", DataDir: folder, Peers: map[string]Peer{"k1": {rpcListener.Addr().String(), raftListener.Addr().String()}}, RaftListener: raftListener,
		ElectionTimeout: 100 * time.Millisecond, DigestInterval: time.Hour, Log: log,
		NewMachine: func() (*state.Machine, error) {
			return state.New(partition.NewBudgets(), partition.NewPlans(), partition.NewRecords(store, records.Fence{})), nil
		},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	server := &http.Server{Handler: node}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(rpcListener) // ends with the listener
	}()
	client = rpc.New(map[string]string{"k1": rpcListener.Addr().String()})
	return node, client, func() {
		cancel()
		require.NoError(t, <-ended)
		require.NoError(t, server.Close())
		<-served
		client.Close()
		require.NoError(t, raftListener.Close())
		require.NoError(t, store.Close())
	}
}

func encoded(t *testing.T, v any) []byte {
	t.Helper()
	text, err := codec.Encode(v)
	require.NoError(t, err)
	return text
}

func goldenRecord(id string) records.Record {
	return records.Record{
		ID: id, Key: "key-" + id, Tenant: "hrad-kamenec", Class: "place-hold", Plan: "booking", Stage: "hold", Outcome: "served", Reason: "answered",
		Arrived: 1_780_000_000_000_000_000, Ended: 1_780_000_000_040_000_000, Attempts: 2, Members: []string{"cell-1", "cell-2"}, Body: []byte(`{"seat":"A1"}`),
	}
}

// writeGoldenFolder bootstraps a fleet of one raft node, and has it execute commands before and
// after a snapshot.
func writeGoldenFolder(t *testing.T, folder string) {
	node, client, stop := runSingleNode(t, folder)
	defer stop()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	session, _, err := client.Join(ctx, "n1", "start-1", "352ebf2")
	require.NoError(t, err)
	require.NoError(t, session.Execute(ctx, state.SetSettings, state.FleetSettings{Revision: 4, Lease: time.Hour, Partitions: map[string][]byte{
		partition.BudgetsName: encoded(t, budget.Config{Lease: time.Hour, Budgets: []budget.Budget{{Name: "jobs/hrad-kamenec", Kind: budget.Rate, Total: 120, Burst: 40}}}),
		partition.RecordsName: encoded(t, records.SetRules{At: 1, Rules: []records.Rule{{Tenant: records.DefaultRuleTenant, Keep: records.Limits{MaxCount: 100}}}}),
	}}, nil))
	for grant := (budget.Grant{}); len(grant.Shares) == 0 || grant.Shares[0].Amount == 0; {
		renewed, err := session.Renew(ctx, map[string][]byte{partition.BudgetsName: encoded(t, budget.Renewal{
			Process: "n1", Incarnation: session.Incarnation, AppliedGrant: grant.Number, Usage: map[string]budget.Usage{"jobs/hrad-kamenec": {Demand: 9}},
		})})
		require.NoError(t, err)
		require.NoError(t, codec.Decode(renewed.Partitions[partition.BudgetsName], &grant))
	}
	startRun := func(run string) {
		shape := planrun.Shape{MaxAttempts: 9, Timeout: 10 * time.Minute, Stages: []planrun.StageShape{{Name: "hold", Class: "hold", Effect: policy.Deduplicated}}}
		var reply partition.PlanReply
		require.NoError(t, session.Execute(ctx, partition.PlansCommand, planrun.Command{Start: &planrun.Start{Run: run, Plan: "booking", Tenant: "hrad-kamenec", Shape: shape, Input: []byte(`{"tour":7}`), Before: time.Hour}}, &reply))
		require.NoError(t, reply.Err())
		require.NoError(t, session.Execute(ctx, partition.PlansCommand, planrun.Command{Open: &planrun.Open{Run: run, Fence: reply.Started.Fence, Items: [][]byte{nil}}}, &reply))
		require.NoError(t, reply.Err())
	}
	ship := func(first uint64, ids ...string) {
		s := records.Ship{Epoch: 70, FirstSeq: first}
		for _, id := range ids {
			s.Records = append(s.Records, goldenRecord(id))
		}
		require.NoError(t, session.Execute(ctx, partition.RecordsShip, s, nil))
	}
	startRun("run-in-the-snapshot")
	ship(1, "job-1", "job-2")
	node.mu.Lock()
	running := node.replica
	node.mu.Unlock()
	require.NoError(t, running.raft.Snapshot().Error())
	startRun("run-in-the-log")
	ship(3, "job-3")
}

// TestGoldenFolder checks that a raft node which starts on a copy of the golden folder has all
// that was committed before and after the snapshot, and executes further commands.
func TestGoldenFolder(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	if goldentest.Missing(goldenFolder) {
		written := filepath.Join(t.TempDir(), "keeper")
		writeGoldenFolder(t, written)
		goldentest.WriteMissingFolder(t, written, goldenFolder)
	}
	snapshots, err := filepath.Glob(filepath.Join(goldenFolder, "snapshots", "*", "state.bin"))
	require.NoError(t, err)
	require.Len(t, snapshots, 1)

	node, client, stop := runSingleNode(t, goldentest.CopyFolder(t, goldenFolder))
	defer stop()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	ask := func(kind state.Kind, body, into any) {
		answer, err := client.Read(ctx, rpc.Query{Kind: kind, Body: encoded(t, body)})
		require.NoError(t, err)
		require.NoError(t, codec.Decode(answer.Body, into))
	}
	for _, run := range []string{"run-in-the-snapshot", "run-in-the-log"} {
		var reply partition.PlanReply
		ask(partition.PlansRun, run, &reply)
		require.NotNil(t, reply.Run, run)
		require.Equal(t, run, reply.Run.ID)
		require.Equal(t, "booking", reply.Run.Plan)
		require.Equal(t, "hrad-kamenec", reply.Run.Tenant)
		require.Equal(t, `{"tour":7}`, string(reply.Run.Input))
		require.Equal(t, "n1", reply.Run.Process)
		require.True(t, reply.Run.Stages[0].Opened)
		require.Len(t, reply.Run.Stages[0].Items, 1)
	}
	var page records.Page
	ask(partition.RecordsPage, records.Query{Tenant: "hrad-kamenec", Limit: 9}, &page)
	require.Len(t, page.Records, 3)
	for i, id := range []string{"job-1", "job-2", "job-3"} {
		want := goldenRecord(id)
		want.Process, want.Epoch, want.Seq = "n1", 70, uint64(i+1)
		require.Equal(t, want, page.Records[i])
	}
	var budgets []budget.Occupancy
	ask(partition.BudgetsStatus, nil, &budgets)
	require.Len(t, budgets, 1)
	require.Equal(t, "jobs/hrad-kamenec", budgets[0].Name)
	require.Positive(t, budgets[0].Held)

	var member state.Member
	var revision uint64
	node.fsm.read(func(m *state.Machine) {
		revision = m.Revision()
		require.Len(t, m.Members(), 1)
		member = *m.Members()[0]
	})
	require.EqualValues(t, 4, revision)
	require.Equal(t, "n1", member.Process)
	require.Equal(t, "start-1", member.Nonce)
	require.Equal(t, "352ebf2", member.Version)

	var arena fastjson.Arena
	status := node.Status(&arena)
	var keys []string
	status.GetObject().Visit(func(key []byte, _ *fastjson.Value) { keys = append(keys, string(key)) })
	require.Equal(t, []string{"leads", "empty", "differs", "index", "at_ms", "members", "digests"}, keys)
	var partitions []string
	status.Get("digests").GetObject().Visit(func(key []byte, _ *fastjson.Value) { partitions = append(partitions, string(key)) })
	require.ElementsMatch(t, []string{"members", "budgets", "plans", "records"}, partitions)
	require.Equal(t, `["n1"]`, status.Get("members").String())

	// The same start of the process keeps its incarnation, and its commands are executed.
	session, joined, err := client.Join(ctx, "n1", "start-1", "new")
	require.NoError(t, err)
	require.Equal(t, member.Incarnation, joined.Incarnation)
	require.NoError(t, session.PostToLeader(ctx, rpc.PathCommand, encoded(t, state.Command{
		Version: state.Version, Process: "n1", Incarnation: joined.Incarnation, Seq: 99, Kind: partition.RecordsShip,
		Body: encoded(t, records.Ship{Epoch: 70, FirstSeq: 4, Records: []records.Record{goldenRecord("job-4")}}),
	}), &state.Reply{}))
	ask(partition.RecordsPage, records.Query{Tenant: "hrad-kamenec", Limit: 9}, &page)
	require.Len(t, page.Records, 4)
}

// TestGoldenIdentity checks that the identity file has the bytes that commit 352ebf2 wrote.
func TestGoldenIdentity(t *testing.T) {
	text := goldentest.Read(t, filepath.Join(goldenFolder, identityFile))
	require.Equal(t, "keeper", identityFile)
	var m identity
	require.NoError(t, codec.Decode(text, &m))
	require.Equal(t, identity{Version: 1, Node: "k1", Starts: 1}, m)
	require.Equal(t, text, encoded(t, m))
}

// TestGoldenMembershipRequest checks that the promotion call of a raft node that has caught up
// has the bytes of commit 352ebf2.
func TestGoldenMembershipRequest(t *testing.T) {
	text := []byte("\xa2\x64Name\x62k1\x65Index\x07")
	require.Equal(t, text, encoded(t, membershipRequest{Name: "k1", Index: 7}))
	var read membershipRequest
	require.NoError(t, codec.Decode(text, &read))
	require.Equal(t, membershipRequest{Name: "k1", Index: 7}, read)
}
