package fleet

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/budget"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/fleet/recordstore"
	"basaltloft/internal/dispatcher/fleet/state"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// The files in goldenState were written by commit 352ebf2 and must never be rewritten
// by later code: they are the raft log, its replies, the snapshot and the digests that
// raft nodes of both builds share during a rolling upgrade.
//
// CBOR maps in them carry the Go names of exported struct fields, so a renamed field of a
// stored type needs a cbor tag with its old name.
var goldenState = filepath.Join("testdata", "golden", "state")

const (
	goldenWall   = int64(1_780_000_000_000_000_000) // nanoseconds since 1970
	goldenSecond = int64(time.Second)
)

// goldenMachine returns an empty state with the partitions of a raft node, in their order.
func goldenMachine(t *testing.T) *state.Machine {
	store, err := recordstore.Open(t.TempDir())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, store.Close()) })
	return state.New(partition.NewBudgets(), partition.NewPlans(), partition.NewRecords(store, records.Fence{}))
}

// goldenLog applies commands to a machine and logs each with its reply.
type goldenLog struct {
	t       *testing.T
	machine *state.Machine
	index   uint64
	text    strings.Builder
	seq     map[string]uint64
}

func (l *goldenLog) encode(v any) []byte {
	text, err := codec.Encode(v)
	require.NoError(l.t, err)
	return text
}

// command applies one command; a body of nil stays empty.
func (l *goldenLog) command(c state.Command, body any) state.Reply {
	c.Version = state.Version
	if body != nil {
		c.Body = l.encode(body)
	}
	text := l.encode(c)
	l.index++
	reply := l.machine.Apply(l.index, text)
	fmt.Fprintf(&l.text, "%d %s %x %x\n", l.index, c.Kind, text, l.encode(reply))
	return reply
}

// by applies a command of a process's incarnation, with the next sequence number.
func (l *goldenLog) by(process string, incarnation uint64, at time.Duration, kind state.Kind, body any) state.Reply {
	l.seq[process]++
	seq := l.seq[process]
	return l.command(state.Command{At: at, Process: process, Incarnation: incarnation, Seq: seq, Acked: max(seq, 3) - 3, Kind: kind}, body)
}

// joinedAt is when each process joins, in fleet time.
const joinedAt = time.Second

func (l *goldenLog) join(process, nonce string) uint64 {
	reply := l.command(state.Command{At: joinedAt, Kind: state.Join}, state.JoinBody{Process: process, Nonce: nonce, Version: "352ebf2"})
	require.NoError(l.t, reply.Err())
	var joined state.JoinReply
	require.NoError(l.t, codec.Decode(reply.Body, &joined))
	return joined.Incarnation
}

// plan applies a command of the plans' partition and returns its reply, refused or not.
func (l *goldenLog) plan(process string, incarnation uint64, at time.Duration, do planrun.Command) partition.PlanReply {
	reply := l.by(process, incarnation, at, partition.PlansCommand, do)
	require.NoError(l.t, reply.Err())
	var answer partition.PlanReply
	require.NoError(l.t, codec.Decode(reply.Body, &answer))
	return answer
}

// served makes process n1 send an attempt of one item, and report its success.
func (l *goldenLog) served(incarnation uint64, at time.Duration, do planrun.SendAttempt, result string) partition.PlanReply {
	const process = "n1"
	require.NoError(l.t, l.plan(process, incarnation, at, planrun.Command{SendAttempt: &do}).Err())
	reply := l.plan(process, incarnation, at+time.Millisecond, planrun.Command{ReportEnd: &planrun.ReportEnd{
		Run: do.Run, Fence: do.Fence, Stage: do.Stage, Item: do.Item, Undo: do.Undo, Attempt: do.Attempt, End: plan.Done, Result: []byte(result), Member: "cell-2",
	}})
	require.NoError(l.t, reply.Err())
	return reply
}

// goldenShape returns a shape in which each field is set in at least one stage.
func goldenShape() planrun.Shape {
	retry := []planrun.RetryShape{{On: []plan.End{plan.Refused, plan.Late, plan.Reset}, MaxRetries: 2, Wait: 20 * time.Millisecond, WaitAtMost: 100 * time.Millisecond, Jitter: 200, Where: plan.OtherZone}}
	return planrun.Shape{MaxAttempts: 40, Timeout: 30 * time.Second, Stages: []planrun.StageShape{
		{Name: "prices", Class: "read", Effect: policy.Idempotent, Cost: 30 * time.Millisecond, Shared: true, SharedFor: 20 * time.Second, Retries: retry},
		{Name: "hold", Class: "hold", Effect: policy.Deduplicated, After: []int{0}, Each: true, MaxItems: 4, MinSucceeded: 1, Retries: retry,
			Reruns: []planrun.RerunShape{{Of: 0, Most: 2}},
			Undo:   &planrun.UndoShape{Class: "release", Effect: policy.Deduplicated, MaxTries: 2, Wait: 25 * time.Millisecond}},
		{Name: "ticket", Class: "ticket", Effect: policy.AtMostOnce, After: []int{1}},
	}}
}

func goldenRecord(number int64, tenant, outcome, reason string) records.Record {
	return records.Record{
		ID: fmt.Sprintf("job-%d", number), Key: fmt.Sprintf("key-%d", number%2), Tenant: tenant, Class: "place-hold", Plan: "booking", Stage: "hold",
		Outcome: outcome, Reason: reason, Arrived: goldenWall + number*goldenSecond, Ended: goldenWall + number*goldenSecond + 40_000_000, Attempts: 2,
		Members: []string{"cell-1", "cell-2"}, Body: []byte(`{"seat":"A1"}`),
	}
}

// goldenSettings returns settings with a budget of each kind, and rules for records.
func (l *goldenLog) goldenSettings() state.FleetSettings {
	return state.FleetSettings{Revision: 4, Lease: 20 * time.Second, Partitions: map[string][]byte{
		partition.BudgetsName: l.encode(budget.Config{Lease: 20 * time.Second, Budgets: []budget.Budget{
			{Name: "jobs/hrad-kamenec", Kind: budget.Rate, Total: 120, Burst: 40, Floor: 5, FloorSlots: 3, FloorDuration: time.Minute, Weights: map[string]float64{"n1": 2}},
			{Name: "under-way/hrad-kamenec", Kind: budget.InFlight, Total: 60, Floor: 2, FloorSlots: 3, FloorDuration: time.Minute, SettleTime: 8 * time.Second},
			{Name: "cold", Kind: budget.Divided, Total: 9, SettleTime: 3 * time.Second},
		}}),
		partition.RecordsName: l.encode(records.SetRules{At: goldenWall, Rules: []records.Rule{
			{Tenant: "hrad-kamenec", Keep: records.Limits{MaxCount: 3}, Failed: records.Limits{MaxAge: int64(time.Hour), MaxCount: 10, MaxBytes: 1 << 20}},
			{Tenant: records.DefaultRuleTenant, Keep: records.Limits{MaxAge: int64(24 * time.Hour), MaxCount: 100, MaxBytes: 4 << 20}, Failed: records.Limits{MaxCount: 50}},
		}}),
	}}
}

// work applies commands of every kind: members that stay, are replaced and leave,
// budgets that are divided, plans in all states, records that are kept, held and pruned.
func (l *goldenLog) work() (first, third uint64) {
	at := joinedAt
	first = l.join("n1", "start-1")
	second := l.join("n2", "start-2")
	require.NoError(l.t, l.by("n1", first, at, state.SetSettings, l.goldenSettings()).Err())
	l.command(state.Command{At: at, Kind: state.ReportBoot}, state.BootBody{Process: "k1", Count: 1})
	l.command(state.Command{At: at, Kind: state.ReportBoot}, state.BootBody{Process: "k2", Count: 7})
	l.command(state.Command{At: at, Kind: state.ReportDigests}, state.DigestsBody{Replica: "k1", Index: 4, Partitions: map[string]uint64{"plans": 17, "members": 18}})
	l.command(state.Command{At: at, Kind: state.ReportDigests}, state.DigestsBody{Replica: "k2", Index: 4, Partitions: map[string]uint64{"plans": 17, "members": 18}})
	third = l.join("n2", "start-3") // replaces the start before it
	require.ErrorIs(l.t, l.by("n2", second, at, partition.PlansCommand, planrun.Command{}).Err(), state.ErrFenced)
	fourth := l.join("n3", "start-4")

	renew := func(process string, incarnation uint64, at time.Duration, bound uint64) uint64 {
		reply := l.command(state.Command{At: at, Process: process, Incarnation: incarnation, Kind: state.Renew}, state.RenewBody{Partitions: map[string][]byte{
			partition.BudgetsName: l.encode(budget.Renewal{Process: process, Incarnation: incarnation, AppliedGrant: bound, Usage: map[string]budget.Usage{
				"jobs/hrad-kamenec": {Demand: 30.5}, "under-way/hrad-kamenec": {Demand: 12, InFlight: 4, MaxRemaining: 2 * time.Second}, "cold": {Demand: 2},
			}}),
			partition.PlansName: nil, // refused: plans are not renewed
		}})
		require.NoError(l.t, reply.Err())
		var renewed state.RenewReply
		require.NoError(l.t, codec.Decode(reply.Body, &renewed))
		var grant budget.Grant
		require.NoError(l.t, codec.Decode(renewed.Partitions[partition.BudgetsName], &grant))
		return grant.Number
	}
	bound := map[string]uint64{}
	for round := range 3 {
		at += 300 * time.Millisecond
		for _, member := range []struct {
			process     string
			incarnation uint64
		}{{"n1", first}, {"n2", third}, {"n3", fourth}} {
			bound[member.process] = renew(member.process, member.incarnation, at+time.Duration(round), bound[member.process])
		}
	}

	l.workPlans(at, first, third)
	l.workRecords(at, first, third)

	at += 2 * time.Second
	require.NoError(l.t, l.by("n3", fourth, at, partition.BudgetsLeave, partition.BudgetsDeparture{Left: map[string]budget.Departure{
		"under-way/hrad-kamenec": {InFlight: 3, MaxRemaining: 4 * time.Second},
	}}).Err())
	require.NoError(l.t, l.by("n3", fourth, at, state.Leave, nil).Err())
	l.command(state.Command{At: at + time.Millisecond, Kind: state.Tick}, nil)
	require.ErrorIs(l.t, l.by("n1", first, at, "nobody/asks", nil).Err(), state.ErrBad)
	return first, third
}

func (l *goldenLog) workPlans(at time.Duration, first, third uint64) { //nolint:funlen // one scenario, to be read from top to bottom
	start := func(process string, incarnation uint64, run string) uint64 {
		reply := l.plan(process, incarnation, at, planrun.Command{Start: &planrun.Start{
			Run: run, Plan: "booking", Tenant: "hrad-kamenec", Digest: 99, Shape: goldenShape(), Input: []byte(`{"tour":7}`), Seed: 5, Before: at + 25*time.Second,
		}})
		require.NoError(l.t, reply.Err())
		return reply.Started.Fence
	}
	open := func(process string, incarnation uint64, o planrun.Open) {
		require.NoError(l.t, l.plan(process, incarnation, at, planrun.Command{Open: &o}).Err())
	}
	// One run is served.
	fence := start("n1", first, "run-served")
	open("n1", first, planrun.Open{Run: "run-served", Fence: fence, Stage: 0, Key: "prices/7", Items: [][]byte{nil}})
	reply := l.served(first, at, planrun.SendAttempt{Run: "run-served", Fence: fence, Generation: 1, Attempt: 1, RemainingTime: 50 * time.Millisecond}, `{"price":12}`)
	prices := reply.Run.Stages[0].Generation
	open("n1", first, planrun.Open{Run: "run-served", Fence: fence, Stage: 1, Items: [][]byte{[]byte(`"A1"`), []byte(`"A2"`)}})
	for item := range 2 {
		reply = l.served(first, at, planrun.SendAttempt{Run: "run-served", Fence: fence, Stage: 1, Item: item, Generation: reply.Run.Stages[1].Generation, Inputs: []uint64{prices}, Attempt: 1}, `{"held":true}`)
	}
	holds := reply.Run.Stages[1].Generation
	open("n1", first, planrun.Open{Run: "run-served", Fence: fence, Stage: 2, Items: [][]byte{nil}})
	reply = l.served(first, at, planrun.SendAttempt{Run: "run-served", Fence: fence, Stage: 2, Generation: 1, Inputs: []uint64{prices, holds}, Attempt: 1}, `{"ticket":1}`)
	require.NotNil(l.t, reply.FinalAnswer)

	// One is in progress: a shared output is used, one item is in flight, one attempt has failed.
	fence = start("n1", first, "run-under-way")
	open("n1", first, planrun.Open{Run: "run-under-way", Fence: fence, Stage: 0, Key: "prices/7", Items: [][]byte{nil}})
	open("n1", first, planrun.Open{Run: "run-under-way", Fence: fence, Stage: 1, Items: [][]byte{[]byte(`"B1"`), []byte(`"B2"`), []byte(`"B3"`)}})
	sending := planrun.SendAttempt{Run: "run-under-way", Fence: fence, Stage: 1, Generation: 1, Inputs: []uint64{prices}, Attempt: 1}
	require.NoError(l.t, l.plan("n1", first, at, planrun.Command{SendAttempt: &sending}).Err())
	failing := sending
	failing.Item = 1
	require.NoError(l.t, l.plan("n1", first, at, planrun.Command{SendAttempt: &failing}).Err())
	require.NoError(l.t, l.plan("n1", first, at, planrun.Command{ReportEnd: &planrun.ReportEnd{Run: "run-under-way", Fence: fence, Stage: 1, Item: 1, Attempt: 1, End: plan.Late, Member: "cell-3"}}).Err())
	l.served(first, at, planrun.SendAttempt{Run: "run-under-way", Fence: fence, Stage: 1, Item: 2, Generation: 1, Inputs: []uint64{prices}, Attempt: 1}, `{"held":true}`)
	skipped := sending
	skipped.Attempt = 7
	require.ErrorIs(l.t, l.plan("n1", first, at, planrun.Command{SendAttempt: &skipped}).Err(), planrun.ErrInFlight)

	// One loses its coordinator and is claimed by another.
	fence = start("n2", third, "run-claimed")
	open("n2", third, planrun.Open{Run: "run-claimed", Fence: fence, Stage: 0, Key: "prices/8", Items: [][]byte{nil}})
	require.NoError(l.t, l.plan("n2", third, at, planrun.Command{SendAttempt: &planrun.SendAttempt{Run: "run-claimed", Fence: fence, Generation: 2, Attempt: 1}}).Err())
	l.plan("n1", first, at, planrun.Command{Claim: &planrun.Claim{MaxRuns: 3, Plans: []uint64{99}}})

	// One is abandoned: its effects are to be undone.
	fence = start("n1", first, "run-given-up")
	open("n1", first, planrun.Open{Run: "run-given-up", Fence: fence, Stage: 0, Key: "prices/7", Items: [][]byte{nil}})
	open("n1", first, planrun.Open{Run: "run-given-up", Fence: fence, Stage: 1, Items: [][]byte{[]byte(`"C1"`)}})
	sending = planrun.SendAttempt{Run: "run-given-up", Fence: fence, Stage: 1, Generation: 1, Inputs: []uint64{prices}, Attempt: 1}
	require.NoError(l.t, l.plan("n1", first, at, planrun.Command{SendAttempt: &sending}).Err())
	require.NoError(l.t, l.plan("n1", first, at, planrun.Command{Abandon: &planrun.Abandon{Run: "run-given-up", Fence: fence, Stage: 1, End: plan.Failed, Reason: "no seat is left"}}).Err())

	// One reports its input as lost, one was abandoned and has ended.
	fence = start("n1", first, "run-lost-input")
	open("n1", first, planrun.Open{Run: "run-lost-input", Fence: fence, Stage: 0, Key: "prices/9", Items: [][]byte{nil}})
	gen := l.view("run-lost-input").Run.Stages[0].Generation
	l.served(first, at, planrun.SendAttempt{Run: "run-lost-input", Fence: fence, Generation: gen, Attempt: 1}, `{"price":13}`)
	open("n1", first, planrun.Open{Run: "run-lost-input", Fence: fence, Stage: 1, Items: [][]byte{[]byte(`"D1"`)}})
	sending = planrun.SendAttempt{Run: "run-lost-input", Fence: fence, Stage: 1, Generation: 1, Inputs: []uint64{gen}, Attempt: 1}
	require.NoError(l.t, l.plan("n1", first, at, planrun.Command{SendAttempt: &sending}).Err())
	lost := l.plan("n1", first, at, planrun.Command{ReportEnd: &planrun.ReportEnd{
		Run: "run-lost-input", Fence: fence, Stage: 1, Attempt: 1, End: plan.Lost, Member: "cell-1", Lost: &planrun.LostInput{Stage: 0, Generation: gen},
	}})
	require.NoError(l.t, lost.Err())
	fence = start("n1", first, "run-refused")
	require.NoError(l.t, l.plan("n1", first, at, planrun.Command{Abandon: &planrun.Abandon{Run: "run-refused", Fence: fence, Stage: -1, End: plan.Refused, Reason: "not now"}}).Err())
	l.plan("n1", first, at, planrun.Command{Finish: &planrun.Finish{Run: "run-refused"}})
	require.ErrorIs(l.t, l.plan("n1", first, at, planrun.Command{Finish: &planrun.Finish{Run: "run-nobody-knows"}}).Err(), planrun.ErrUnknownRun)
}

func (l *goldenLog) workRecords(at time.Duration, first, third uint64) {
	ship := func(process string, incarnation uint64, s records.Ship) {
		require.NoError(l.t, l.by(process, incarnation, at, partition.RecordsShip, s).Err())
	}
	var all []records.Record
	for n := range int64(6) {
		all = append(all, goldenRecord(n, "hrad-kamenec", "served", ""))
	}
	ship("n1", first, records.Ship{Epoch: 70, FirstSeq: 1, Records: all})
	ship("n1", first, records.Ship{Epoch: 70, FirstSeq: 5, Records: all[4:]})                                                             // again
	ship("n1", first, records.Ship{Epoch: 71, FirstSeq: 3, Records: []records.Record{goldenRecord(20, "zelena-hora", "failed", "late")}}) // a gap
	ship("n2", third, records.Ship{Epoch: 80, FirstSeq: 3, GapLost: true, Records: []records.Record{
		goldenRecord(21, "zelena-hora", "failed", "late"), goldenRecord(22, "hrad-kamenec", "failed", "reset"),
	}})
	require.NoError(l.t, l.by("n1", first, at, partition.RecordsSetHold, records.SetHold{At: goldenWall + 60*goldenSecond, Hold: records.Hold{
		Name: "audit", Tenant: "hrad-kamenec", Key: "key-1", Class: "place-hold", From: goldenWall, To: goldenWall + 100*goldenSecond, Owner: "finance", Reason: "yearly audit", Until: goldenWall + 900*goldenSecond,
	}}).Err())
	require.NoError(l.t, l.by("n1", first, at, partition.RecordsSetHold, records.SetHold{At: goldenWall + 60*goldenSecond, Hold: records.Hold{Name: "short", Tenant: "zelena-hora", ID: "job-21", Owner: "legal", Reason: "a claim"}}).Err())
	require.NoError(l.t, l.by("n1", first, at, partition.RecordsReleaseHold, records.ReleaseHold{At: goldenWall + 61*goldenSecond, Name: "short"}).Err())
	var planned partition.RecordsPrunePlan
	l.ask(partition.RecordsPlanPrune, goldenWall+62*goldenSecond, &planned)
	require.True(l.t, planned.Needed)
	require.NoError(l.t, l.by("n1", first, at, partition.RecordsPrune, planned.Prune).Err())
}

func (l *goldenLog) ask(kind state.Kind, body, into any) {
	text, err := l.machine.Query(kind, l.encode(body))
	require.NoError(l.t, err)
	require.NoError(l.t, codec.Decode(text, into))
}

func (l *goldenLog) view(run string) (r partition.PlanReply) {
	l.ask(partition.PlansRun, run, &r)
	return r
}

func snapshot(t *testing.T, m *state.Machine) []byte {
	frozen, err := m.Snapshot()
	require.NoError(t, err)
	defer frozen.Discard()
	var b bytes.Buffer
	require.NoError(t, frozen.Write(&b))
	return b.Bytes()
}

// beforeRecords returns the part of a snapshot before the records' partition. That partition holds
// a bbolt file, whose unused bytes differ from run to run; its digest and contents are compared.
func beforeRecords(t *testing.T, text []byte) []byte {
	const chunkHead = 8
	at := bytes.Index(text, []byte("BASALTFR"))
	require.Greater(t, at, 4000)
	return text[:at-chunkHead]
}

func digests(t *testing.T, m *state.Machine) []byte {
	all, err := m.Digests()
	require.NoError(t, err)
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(&b, "%s %016x\n", name, all[name])
	}
	return []byte(b.String())
}

// TestGoldenLogOfTheState checks that the commands are encoded to the bytes of the golden log, and
// result in the replies, the snapshot and the digests of the build that wrote it.
func TestGoldenLogOfTheState(t *testing.T) {
	l := &goldenLog{t: t, machine: goldenMachine(t), seq: map[string]uint64{}}
	first, _ := l.work()
	goldentest.Equal(t, filepath.Join(goldenState, "digests"), digests(t, l.machine))
	written := snapshot(t, l.machine)
	if goldentest.Missing(filepath.Join(goldenState, "snapshot")) {
		goldentest.Equal(t, filepath.Join(goldenState, "snapshot"), written)
	}
	require.Equal(t, beforeRecords(t, goldentest.Read(t, filepath.Join(goldenState, "snapshot"))), beforeRecords(t, written))
	l.last(first)
	goldentest.Equal(t, filepath.Join(goldenState, "log"), []byte(l.text.String()))
	goldentest.Equal(t, filepath.Join(goldenState, "digests-after"), digests(t, l.machine))
}

// last applies the commands after the snapshot.
func (l *goldenLog) last(first uint64) {
	l.served(first, 5*time.Second, planrun.SendAttempt{Run: "run-under-way", Fence: 2, Stage: 1, Item: 1, Generation: 1, Inputs: []uint64{1}, Attempt: 2}, `{"held":true}`)
}

// TestGoldenLogIsReplayed checks that a replica that applies only the golden log reaches the golden
// digests, independently of how this build encodes the commands itself.
func TestGoldenLogIsReplayed(t *testing.T) {
	m := goldenMachine(t)
	lines := strings.Split(strings.TrimSpace(string(goldentest.Read(t, filepath.Join(goldenState, "log")))), "\n")
	require.Greater(t, len(lines), 50)
	for _, line := range lines {
		var index uint64
		var kind, command, reply string
		_, err := fmt.Sscan(line, &index, &kind, &command, &reply)
		require.NoError(t, err)
		text, err := hex.DecodeString(command)
		require.NoError(t, err)
		got, err := codec.Encode(m.Apply(index, text))
		require.NoError(t, err)
		require.Equal(t, reply, hex.EncodeToString(got), "command %d, %s", index, kind)
	}
	require.Equal(t, string(goldentest.Read(t, filepath.Join(goldenState, "digests-after"))), string(digests(t, m)))
}

// TestGoldenSnapshotIsRestored checks the fields of the restored golden snapshot, and that further
// commands can be applied to the restored state.
func TestGoldenSnapshotIsRestored(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	m := goldenMachine(t)
	golden := goldentest.Read(t, filepath.Join(goldenState, "snapshot"))
	require.NoError(t, m.Restore(bytes.NewReader(golden)))
	l := &goldenLog{t: t, machine: m, index: m.Index(), seq: map[string]uint64{}}
	require.Equal(t, string(goldentest.Read(t, filepath.Join(goldenState, "digests"))), string(digests(t, m)))
	require.Equal(t, beforeRecords(t, golden), beforeRecords(t, snapshot(t, m)))

	require.EqualValues(t, 4, m.Revision())
	require.EqualValues(t, 1, m.BootCount("k1"))
	require.EqualValues(t, 7, m.BootCount("k2"))
	require.Equal(t, 3901*time.Millisecond, m.At())
	members := m.Members()
	require.Len(t, members, 2)
	require.Equal(t, "n1", members[0].Process)
	require.EqualValues(t, 1, members[0].Incarnation)
	require.Equal(t, "start-1", members[0].Nonce)
	require.Equal(t, "352ebf2", members[0].Version)
	require.Equal(t, time.Second, members[0].JoinedAt)
	require.Equal(t, 1900*time.Millisecond+2+20*time.Second, members[0].LeaseEnd)
	require.NotEmpty(t, members[0].Replies)
	require.Equal(t, "n2", members[1].Process)
	require.EqualValues(t, 8, members[1].Incarnation)

	var seen strings.Builder
	for _, run := range []string{"run-served", "run-under-way", "run-claimed", "run-given-up", "run-lost-input", "run-refused"} {
		r := l.view(run)
		fmt.Fprintf(&seen, "%s run=%x ended=%x makes=%d\n", run, l.encode(r.Run), l.encode(r.FinalAnswer), r.Producing)
	}
	goldentest.Equal(t, filepath.Join(goldenState, "plans"), []byte(seen.String()))
	served := l.view("run-served").FinalAnswer
	require.Equal(t, &planrun.Answer{
		Run: "run-served", Plan: "booking", Digest: 99, Outcome: planrun.Served, Started: 1900*time.Millisecond + 2, At: 1901 * time.Millisecond,
		Until: 601_901 * time.Millisecond, Attempts: 4, Results: []planrun.Results{{Stage: "ticket", Items: [][]byte{[]byte(`{"ticket":1}`)}}},
	}, served)
	underWay := l.view("run-under-way").Run
	require.Equal(t, "hrad-kamenec", underWay.Tenant)
	require.EqualValues(t, 99, underWay.Digest)
	require.Equal(t, `{"tour":7}`, string(underWay.Input))
	require.EqualValues(t, 5, underWay.Seed)
	require.Equal(t, "n1", underWay.Process)
	require.EqualValues(t, 1, underWay.Incarnation)
	require.Equal(t, 3, underWay.AttemptsUsed)
	require.True(t, underWay.Stages[0].Complete)
	require.Equal(t, "prices/7", underWay.Stages[0].SharedKey)
	require.Equal(t, planrun.InFlight, underWay.Stages[1].Items[0].Job.State)
	require.Equal(t, plan.Late, underWay.Stages[1].Items[1].Job.End)
	require.Equal(t, "cell-3", underWay.Stages[1].Items[1].Member)
	require.Equal(t, plan.OtherZone, underWay.Stages[1].Items[1].RetryPlace)
	require.Equal(t, planrun.Succeeded, underWay.Stages[1].Items[2].Job.State)
	require.Equal(t, `{"held":true}`, string(underWay.Stages[1].Items[2].Result))
	require.Equal(t, &planrun.GiveUp{Stage: 1, End: plan.Failed, Reason: "no seat is left"}, l.view("run-given-up").Run.GaveUp)

	var standings []budget.Occupancy
	l.ask(partition.BudgetsStatus, nil, &standings)
	goldentest.Equal(t, filepath.Join(goldenState, "budgets"), fmt.Appendf(nil, "%x\n", l.encode(standings)))
	require.Len(t, standings, 3)
	require.Equal(t, "jobs/hrad-kamenec", standings[1].Name)
	require.InDelta(t, 120, standings[1].Total, 0)

	var page records.Page
	l.ask(partition.RecordsPage, records.Query{Tenant: "hrad-kamenec", Limit: 20}, &page)
	var ids []string
	for _, r := range page.Records {
		ids = append(ids, r.ID)
	}
	require.Equal(t, []string{"job-1", "job-3", "job-4", "job-5", "job-22"}, ids)
	var found []records.Record
	l.ask(partition.RecordsByID, "job-22", &found)
	want := goldenRecord(22, "hrad-kamenec", "failed", "reset")
	want.Process, want.Epoch, want.Seq = "n2", 80, 4
	require.Equal(t, []records.Record{want}, found)
	var kept partition.RecordsStatusBody
	l.ask(partition.RecordsStatus, nil, &kept)
	require.Len(t, kept.Holds, 1)
	require.Equal(t, records.Hold{
		Name: "audit", Tenant: "hrad-kamenec", Key: "key-1", Class: "place-hold", From: goldenWall, To: goldenWall + 100*goldenSecond, Owner: "finance", Reason: "yearly audit", Until: goldenWall + 900*goldenSecond,
	}, kept.Holds[0])
	require.EqualValues(t, 5, kept.Usage["hrad-kamenec"].Count)

	l.seq["n1"] = members[0].Replies[len(members[0].Replies)-1].Seq
	l.last(members[0].Incarnation)
	require.True(t, strings.HasSuffix(string(goldentest.Read(t, filepath.Join(goldenState, "log"))), l.text.String()), "the commands after the snapshot")
	require.Equal(t, string(goldentest.Read(t, filepath.Join(goldenState, "digests-after"))), string(digests(t, m)))
}
