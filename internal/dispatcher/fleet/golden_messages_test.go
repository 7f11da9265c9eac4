package fleet

import (
	"encoding/hex"
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/budget"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// goldenMessages holds each message between processes and raft nodes as hexadecimal CBOR,
// one a line, written by commit 352ebf2. It must never be rewritten by later code:
// older and newer builds exchange these messages during a rolling upgrade. CBOR maps in it
// carry the Go names of exported fields; the labels of the lines are the test's own.
var goldenMessages = filepath.Join("testdata", "golden", "messages")

// message is one message in which each field has a value of its own.
type message struct {
	label string
	value any
}

func messages() []message { //nolint:funlen // one scenario, to be read from top to bottom
	span := 1234567 * time.Microsecond
	bytes := func(text string) []byte { return []byte(text) }
	order := records.Position{Ended: 91, Process: "n1", Epoch: 92, Seq: 93}
	limits := func(n int64) records.Limits { return records.Limits{MaxAge: n, MaxCount: n + 1, MaxBytes: n + 2} }
	hold := records.Hold{Name: "a", Tenant: "b", ID: "c", Key: "d", Class: "e", From: 1, To: 2, Owner: "f", Reason: "g", Until: 3}
	record := records.Record{
		ID: "a", Key: "b", Tenant: "c", Class: "d", Plan: "e", Stage: "f", Outcome: "g", Reason: "h", Arrived: 1, Ended: 2, Attempts: 3,
		Members: []string{"i", "j"}, Body: bytes("k"), Process: "l", Epoch: 4, Seq: 5,
	}
	try := func(n uint32) planrun.Execution {
		return planrun.Execution{State: planrun.InFlight, Attempt: n, Fence: uint64(n) + 1, SentAt: span, NotBefore: span + 1, End: plan.Reset, MayHaveRun: true, MayHaveRunBefore: false}
	}
	run := planrun.Run{
		ID: "a", Plan: "b", Tenant: "c", Digest: 1, Shape: 2, Input: bytes("d"), Seed: 3, Started: span, StartBy: span + 1, Deadline: span + 2, Process: "e", Incarnation: 4,
		Fence: 5, Orphan: true, AttemptsUsed: 6, Bytes: 7, GaveUp: &planrun.GiveUp{Stage: 8, End: plan.Failed, Reason: "f"},
		Stages: []planrun.Stage{{Generation: 9, LostThrough: 10, RerunsUsed: 11, Opened: true, Complete: false, SharedKey: "g", SharedResults: [][]byte{bytes("h")}, Items: []planrun.Item{{
			Value: bytes("i"), Job: try(12), Generation: 14, Inputs: []uint64{15}, RetriesUsed: []int{16}, Result: bytes("j"), Member: "k", RetryPlace: plan.OtherMember, Undo: try(17),
		}}}},
	}
	answer := planrun.Answer{
		Run: "a", Plan: "b", Digest: 1, Outcome: planrun.Unknown, Stage: "c", End: plan.MayRun, Reason: "d", Started: span, At: span + 1, Until: span + 2, Attempts: 2,
		StagesWithEffects: []string{"e"}, Results: []planrun.Results{{Stage: "f", Items: [][]byte{bytes("g")}}}, ResultsOmitted: true,
	}
	usage := func(n int64) records.Usage { return records.Usage{Count: n, Bytes: n + 1, Sum: uint64(n) + 2} }
	rate := budget.Budget{
		Name: "a", Kind: budget.Divided, Total: 1.5, Burst: 2.5, Floor: 3.5, FloorSlots: 4, FloorDuration: span, SettleTime: span + 1, Weights: map[string]float64{"n1": 5.5},
	}
	return []message{
		{"call to a keeper: command", state.Command{Version: 1, At: span, Process: "a", Incarnation: 2, Seq: 3, Acked: 4, Kind: "plans/do", Body: bytes("b")}},
		{"call to a keeper: reply", state.Reply{Code: state.Refused, Text: "a", Body: bytes("b")}},
		{"call to a keeper: query", rpc.Query{Kind: "plans/look", Body: bytes("a")}},
		{"call to a keeper: answer", rpc.Answer{Index: 1, At: span, Code: state.Bad, Text: "a", Body: bytes("b")}},
		{"call to a keeper: about", rpc.NodeStatus{Name: "a", Empty: true, Bootstrapped: false, IsLeader: true, BootCounts: map[string]uint64{"k1": 1, "k2": 2}, DivergentPartitions: []string{"b"}, Index: 3, At: span}},
		{"members: join", state.JoinBody{Process: "a", Nonce: "b", Version: "c"}},
		{"members: joined", state.JoinReply{Incarnation: 1, Lease: span}},
		{"members: renew", state.RenewBody{Partitions: map[string][]byte{"budgets": bytes("a")}}},
		{"members: renewed", state.RenewReply{Lease: span, Members: 1, Partitions: map[string][]byte{"budgets": bytes("a")}, Refused: map[string]string{"plans": "b"}}},
		{"settings", state.FleetSettings{Revision: 1, Lease: span, Partitions: map[string][]byte{"budgets": bytes("a")}}},
		{"keepers: boot", state.BootBody{Process: "a", Count: 1}},
		{"keepers: sums", state.DigestsBody{Replica: "a", Index: 1, Partitions: map[string]uint64{"plans": 2}}},
		{"budgets: settings", budget.Config{Lease: span, Budgets: []budget.Budget{rate}}},
		{"budgets: renewal", budget.Renewal{Process: "a", Incarnation: 1, AppliedGrant: 2, Usage: map[string]budget.Usage{"b": {Demand: 1.5, InFlight: 2.5, MaxRemaining: span}}}},
		{"budgets: grant", budget.Grant{Process: "a", Incarnation: 1, Number: 2, Lease: span, RenewSoon: true, Shares: []budget.Share{
			{Name: "b", Kind: budget.InFlight, Amount: 1.5, Burst: 2.5, Floor: 3.5, FloorDuration: span + 1, SettleTime: span + 2},
		}}},
		{"budgets: leave", partition.BudgetsDeparture{Left: map[string]budget.Departure{"a": {InFlight: 1.5, MaxRemaining: span}}}},
		{"budgets: standings", []budget.Occupancy{{Name: "a", Total: 1.5, Held: 2.5, Quarantined: 3.5, Reserved: 4.5, Burst: 5.5, HeldBurst: 6.5, Binding: true}}},
		{"plans: start", planrun.Command{Start: &planrun.Start{
			Run: "a", Plan: "b", Tenant: "c", Digest: 1, Shape: goldenShape(), Input: bytes("d"), Seed: 2, Before: span, Process: "e", Incarnation: 3,
		}}},
		{"plans: claim", planrun.Command{Claim: &planrun.Claim{Process: "a", Incarnation: 1, MaxRuns: 2, Plans: []uint64{3, 4}}}},
		{"plans: open", planrun.Command{Open: &planrun.Open{Run: "a", Fence: 1, Stage: 2, Key: "b", Items: [][]byte{bytes("c"), nil}}}},
		{"plans: sending", planrun.Command{SendAttempt: &planrun.SendAttempt{Run: "a", Fence: 1, Stage: 2, Item: 3, Undo: true, Generation: 4, Inputs: []uint64{5}, Attempt: 6, RemainingTime: span}}},
		{"plans: ended", planrun.Command{ReportEnd: &planrun.ReportEnd{
			Run: "a", Fence: 1, Stage: 2, Item: 3, Undo: true, Attempt: 4, End: plan.Lost, Result: bytes("b"), Member: "c", Lost: &planrun.LostInput{Stage: 5, Generation: 6},
		}}},
		{"plans: abandon", planrun.Command{Abandon: &planrun.Abandon{Run: "a", Fence: 1, Stage: 2, End: plan.Unsent, Reason: "b"}}},
		{"plans: finish", planrun.Command{Finish: &planrun.Finish{Run: "a"}}},
		{"plans: gone", planrun.Command{LeaseExpired: &planrun.LeaseExpired{Process: "a", Incarnation: 1}}},
		{"plans: reply", partition.PlanReply{
			Reply: planrun.Reply{
				Started: &planrun.StartReply{Known: true, Fence: 1, Answer: &answer}, Claimed: []planrun.Claimed{{Run: "a", Fence: 2}}, Sent: &planrun.SendAttemptReply{Again: true},
				Counted: &planrun.ReportEndReply{Accepted: true, NewLoss: false, Answer: &answer}, Answer: &answer, Refusal: "b", Kind: 3,
			},
			Index: 4, At: span, Run: &run, Producing: 5, FinalAnswer: &answer,
		}},
		{"records: settings", records.SetRules{At: 1, Rules: []records.Rule{{Tenant: "a", Keep: limits(2), Failed: limits(5)}}}},
		{"records: ship", records.Ship{Process: "a", Incarnation: 1, Epoch: 2, FirstSeq: 3, GapLost: true, Records: []records.Record{record}}},
		{"records: shipped", partition.RecordsShipped{Shipped: records.Shipped{Through: 1, Stored: 2, Duplicates: 3, AlreadyPruned: 4, Missing: 5, TooLarge: 6}, Gap: true}},
		{"records: hold", records.SetHold{At: 4, Hold: hold}},
		{"records: lift", records.ReleaseHold{At: 1, Name: "a"}},
		{"records: cut", records.Prune{At: 1, RulesEdition: 2, Watermarks: []records.Watermark{{Tenant: "a", Class: records.Failures, Position: order}}, MaxSwept: 3, NextTenant: "b"}},
		{"records: cuts", records.Pruned{Removed: 1, Held: 2}},
		{"records: planned", partition.RecordsPrunePlan{Needed: true, Prune: records.Prune{At: 1, RulesEdition: 2, MaxSwept: 3, NextTenant: "a"}}},
		{"records: query", records.Query{Tenant: "a", From: 1, To: 2, Descending: true, Cursor: "b", Limit: 3}},
		{"records: page", records.Page{Records: []records.Record{record}, Next: "a", Missing: 1}},
		{"records: standing", partition.RecordsStatusBody{
			Counts: records.Counts{Taken: 1, Again: 2, Below: 3, TooLarge: 4, Cut: 5, Swept: 6, Missing: 7}, Holds: []records.Hold{hold}, Usage: map[string]records.Usage{"a": usage(8)}, Bytes: 11,
		}},
	}
}

// TestGoldenMessages checks that each message is encoded to the golden bytes, and that these are
// decoded to the message.
func TestGoldenMessages(t *testing.T) {
	var written strings.Builder
	for _, m := range messages() {
		text, err := codec.Encode(m.value)
		require.NoError(t, err, m.label)
		fmt.Fprintf(&written, "%s = %x\n", m.label, text)
	}
	goldentest.Equal(t, goldenMessages, []byte(written.String()))

	lines := strings.Split(strings.TrimSpace(string(goldentest.Read(t, goldenMessages))), "\n")
	require.Len(t, lines, len(messages()))
	for i, m := range messages() {
		label, digits, _ := strings.Cut(lines[i], " = ")
		require.Equal(t, m.label, label)
		text, err := hex.DecodeString(digits)
		require.NoError(t, err)
		into := reflect.New(reflect.TypeOf(m.value))
		require.NoError(t, codec.Decode(text, into.Interface()), label)
		again, err := codec.Encode(into.Elem().Interface())
		require.NoError(t, err)
		require.Equal(t, digits, hex.EncodeToString(again), label)
		require.EqualExportedValues(t, m.value, into.Elem().Interface(), label)
	}
}

// TestGoldenCalls checks the paths and the header of the raft nodes' calls, the partitions' names,
// the kinds of commands and queries, and the values of enums that are sent or stored.
func TestGoldenCalls(t *testing.T) {
	require.Equal(t, []string{"/fleet/do", "/fleet/read", "/fleet/nearby", "/fleet/about", "/fleet/rejoin", "/fleet/ready", "Fleet-Leader"},
		[]string{rpc.PathCommand, rpc.PathRead, rpc.PathLocalRead, rpc.PathStatus, rpc.PathRejoin, rpc.PathPromote, rpc.LeaderHeader})
	require.Equal(t, []string{"budgets", "plans", "records"}, []string{partition.BudgetsName, partition.PlansName, partition.RecordsName})
	require.Equal(t, []state.Kind{
		"tick", "join", "renew", "leave", "sums", "boot", "set", "budgets/leave", "budgets/standings", "plans/do", "plans/orphans", "plans/look",
		"records/ship", "records/cut", "records/hold", "records/lift", "records/plan", "records/find", "records/page", "records/stand",
	}, []state.Kind{
		state.Tick, state.Join, state.Renew, state.Leave, state.ReportDigests, state.ReportBoot, state.SetSettings, partition.BudgetsLeave, partition.BudgetsStatus, partition.PlansCommand, partition.PlansCountOrphans, partition.PlansRun,
		partition.RecordsShip, partition.RecordsPrune, partition.RecordsSetHold, partition.RecordsReleaseHold, partition.RecordsPlanPrune, partition.RecordsByID, partition.RecordsPage, partition.RecordsStatus,
	})
	require.EqualValues(t, 1, state.Version)
	require.Equal(t, []state.Code{0, 1, 2, 3}, []state.Code{state.OK, state.Fenced, state.Refused, state.Bad})
	require.Equal(t, []planrun.ExecutionState{0, 1, 2, 3}, []planrun.ExecutionState{planrun.Pending, planrun.InFlight, planrun.Succeeded, planrun.PermanentlyFailed})
	require.Equal(t, []planrun.Outcome{0, 1, 2, 3}, []planrun.Outcome{planrun.Served, planrun.Refused, planrun.Failed, planrun.Unknown})
	require.Equal(t, []plan.End{"done", "refused", "full", "unsent", "late", "failed", "reset", "may_have_run", "lost_input"},
		[]plan.End{plan.Done, plan.Refused, plan.Full, plan.Unsent, plan.Late, plan.Failed, plan.Reset, plan.MayRun, plan.Lost})
	require.Equal(t, []plan.Place{"anywhere", "other_member", "other_zone"}, []plan.Place{plan.Anywhere, plan.OtherMember, plan.OtherZone})
	require.Equal(t, []budget.Kind{0, 1, 2}, []budget.Kind{budget.Rate, budget.InFlight, budget.Divided})
	require.Equal(t, []records.RetentionClass{0, 1, 2}, []records.RetentionClass{records.Ordinary, records.Failures, records.RetentionClasses})
	// A refusal's kind is sent over the network as its number.
	for i, refused := range []error{
		planrun.ErrFull, planrun.ErrDeadline, planrun.ErrUnknownRun, planrun.ErrEnded, planrun.ErrFenced, planrun.ErrGivenUp, planrun.ErrNotFound, planrun.ErrInFlight, planrun.ErrSettled,
		planrun.ErrWrongAttempt, planrun.ErrAtMostOnce, planrun.ErrStale, planrun.ErrTooEarly, planrun.ErrProducedElsewhere, planrun.ErrTooLarge, planrun.ErrInvalidShape,
	} {
		require.ErrorIs(t, planrun.Reply{Refusal: "no", Kind: i + 1}.Err(), refused)
	}
}
