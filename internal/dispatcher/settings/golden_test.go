package settings

import (
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/schedulingdelay"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

// golden returns the path of a golden file. The golden files were written by commit 352ebf2
// and hold every key that it read. They must never be rewritten by later code, because
// operators and the platform write such files. The tests compare what is read from them with
// literals.
func golden(name string) string { return filepath.Join("testdata", "golden", name) }

const goldenConfiguration = `{
 "name": "n0", "listen": "127.0.0.1:7400", "discovery": "127.0.0.1:7401", "admin": "127.0.0.1:7402", "seed": "ff07",
 "limits": {"cores": 1.5, "memory_mb": 256, "sockets": 900},
 "known": {"generation": 7, "reset": true, "instances": [
  {"instanceId": "r-1", "hostPort": "h:1", "machineType": "k", "zone": "a", "cell": 3, "weight": 1.5, "startedAtMs": 1500, "lifecycle": "active"},
  {"instanceId": "r-2", "hostPort": "h:2", "cell": 4, "lifecycle": "leaving"}, {"instanceId": "r-3", "cell": 5, "lifecycle": "left"}]},
 "settings": {
  "balancers": 3, "rank": 1, "zone": "a", "registry_mode": "ask", "worth_by": "work", "shapes": ["k", "l"], "tenants": [{"name": "t"}],
  "family_info": {"tells_start": true, "report_x0": "free slots", "report_x1": "free memory", "class_kind": [1, -1, 0], "class_stretch": [2, 3, 4]},
  "clients": {"marks_retry": true}, "prices": {"cross_zone": 0.25}, "reporting": {"via": "piggyback", "columns": ["x0", "x1"]},
  "limits": {"most_tries": 3, "cancel": true, "probes": true, "second_copies": true, "retry_after": true, "max_retry_after": 11, "dial_timeout": 12},
  "guarantees": {"grace_to_answer": 21, "ask_every": 22, "start_capacity": 0.3, "warm_after": 23, "fall_multiple": 2.5, "tip_after": 24, "late_shedding": true, "dropped_stay_open": true},
  "lanes": [
   {"name": "read", "effect": "idempotent", "key_scope": "all", "promise": 31, "give_up": 32, "worth": 1.5, "aim_stretch": 5},
   {"name": "hold", "effect": "deduplicated", "key_scope": "zone", "repeat_window": 33, "promise": 34, "give_up": 35, "worth": 2},
   {"name": "ticket", "effect": "at_most_once", "key_scope": "cell", "promise": 36, "give_up": 37, "worth": 3}]}
}
`

// TestGoldenConfiguration reads every key of the configuration, the settings and a list.
func TestGoldenConfiguration(t *testing.T) {
	goldentest.Equal(t, golden("configuration.json"), []byte(goldenConfiguration))
	text := goldentest.Read(t, golden("configuration.json"))
	c, err := DecodeConfig(text)
	require.NoError(t, err)
	require.Equal(t, Config{
		Name: "n0", Listen: "127.0.0.1:7400", Discovery: "127.0.0.1:7401", Admin: "127.0.0.1:7402", Cores: 1.5, MemoryMB: 256, Sockets: 900,
		LastMembership: List{Generation: 7, Complete: true, Entries: []Entry{
			{ID: "r-1", Addr: "h:1", Kind: "k", Zone: "a", Cell: 3, State: policy.Ready, Weight: 1.5, Started: time.UnixMilli(1500)},
			{ID: "r-2", Addr: "h:2", Cell: 4, State: policy.Draining}, {ID: "r-3", Cell: 5, State: policy.Removed},
		}},
		Settings: goldenSettings(0xff07, 0, false), Tenants: []string{"t"}, ReportsLoad: true, ConnectTimeout: 12,
	}, c)
	s, err := Decode(fastjson.MustParseBytes(text).Get("settings"))
	require.NoError(t, err)
	require.Equal(t, goldenSettings(0, 12, true), s)
	require.Equal(t, Report{Kind: "configuration"}, Check(text))
}

func goldenSettings(seed uint64, connectWithin time.Duration, secondCopies bool) policy.Settings {
	return policy.Settings{
		Seed: seed, Instances: 3, Rank: 1, Zone: "a", Kinds: []string{"k", "l"}, ValueByWork: true, PullsMembership: true, ReportsStart: true, ClientsMarkRetries: true,
		ReportX0: "free slots", ReportX1: "free memory", CrossZonePrice: 0.25,
		Limits: policy.Limits{MaxAttempts: 3, Cancel: true, Probes: true, ConcurrentAttempts: secondCopies, RetryAfter: true, MaxRetryAfter: 11, ConnectTimeout: connectWithin},
		Rules: policy.Rules{
			AnswerGrace: 21, MembershipMaxAge: 22, ColdCapacity: 0.3, WarmupTime: 23, ColdOverloadMultiple: 2.5, ColdOverloadWindow: 24, RejectedMayHaveRun: true, RemovedMayServe: true,
		},
		Classes: []policy.Class{
			{Name: "read", Effect: policy.Idempotent, DedupScope: policy.DedupAll, LatencyTarget: 31, ClientTimeout: 32, Value: 1.5, TargetPerWork: 5, Kind: 1},
			{Name: "hold", Effect: policy.Deduplicated, DedupScope: policy.DedupZone, DedupWindow: 33, LatencyTarget: 34, ClientTimeout: 35, Value: 2, TargetPerWork: 3, Kind: -1},
			{Name: "ticket", Effect: policy.AtMostOnce, DedupScope: policy.DedupCell, LatencyTarget: 36, ClientTimeout: 37, Value: 3, TargetPerWork: 4, Kind: 0},
		},
	}
}

const goldenOperator = `{
 "#": "a comment",
 "agent_check": {"listen": "h:1"},
 "admission": {"behind_ms": 1, "behind_for_ms": 2},
 "faktory": {
  "listen": "h:2", "password": "p", "default": {"class": "c", "tenant": "t", "deadline_ms": 3, "cost_us": 4},
  "jobtypes": {"Hold": {"class": "d"}}, "queues": {"q": {"tenant": "u"}}, "workers": {"zone": "a", "kind": "k", "cell": 5},
  "connections": 6, "connections_per_address": 7, "outcomes": 8, "reserve_for_s": 9, "fetch_within_ms": 10, "backoff_unit_ms": 11,
  "waiting": {"jobs": 12, "megabytes": 13, "queue_jobs": 14, "queue_megabytes": 15, "client_jobs": 16, "client_megabytes": 17, "dead": 18, "dead_megabytes": 19, "dead_days": 20}},
 "figures": {"listen": "h:3", "asks": 21, "audit_every_ms": 22, "journal": {"folder": "f", "segment_mb": 23, "keep_mb": 46, "keep_days": 25, "write_within_ms": 26, "sync_within_ms": 27}},
 "fleet": {
  "name": "n1", "folder": "g", "calls": "h:4", "votes": "h:5", "keepers": {"n1": {"calls": "h:6", "votes": "h:7"}},
  "revision": 28, "lease_ms": 29, "election_ms": 30, "compare_every_ms": 31, "plans": ["p.hcl"],
  "budgets": [
   {"of": "jobs", "name": "t", "whole": 1.5, "burst": 2.5, "floor": 3.5, "floors": 32, "floor_for_s": 33, "linger_ms": 34, "weights": {"n1": 4.5}},
   {"of": "retries", "name": "c"}, {"of": "under_way", "name": "k"}, {"of": "cold"}, {"of": "probes"}],
  "records": {"body_bytes": 35, "tenants": {"t": {"days": 36, "failure_days": 37, "count": 38, "megabytes": 39}}}}
}
`

// TestGoldenOperator reads every key of the operator's file.
func TestGoldenOperator(t *testing.T) {
	goldentest.Equal(t, golden("operator.json"), []byte(goldenOperator))
	text := goldentest.Read(t, golden("operator.json"))
	o, err := DecodeOperator(text)
	require.NoError(t, err)
	const ms = time.Millisecond
	budget := func(of, name string) FleetBudget {
		return FleetBudget{Of: of, Name: name, FloorFor: 600 * time.Second, Weights: map[string]float64{}}
	}
	require.Equal(t, Operator{
		AgentCheck: "h:1", Overload: schedulingdelay.Bounds{Target: ms, Interval: 2 * ms},
		Faktory: &Faktory{
			Listen: "h:2", Password: "p", Default: FaktoryJob{Class: "c", Tenant: "t", Deadline: 3 * ms, Cost: 4 * time.Microsecond},
			JobTypes: map[string]FaktoryJob{"Hold": {Class: "d"}}, Queues: map[string]FaktoryJob{"q": {Tenant: "u"}}, Zone: "a", Kind: "k", Cell: 5,
			Connections: 6, PerAddress: 7, Jobs: 8, ReserveFor: 9 * time.Second, FetchIn: 10 * ms, BackoffUnit: 11 * ms,
			Waiting: FaktoryWaiting{
				Jobs: 12, Bytes: 13 << 20, QueueJobs: 14, QueueBytes: 15 << 20, ClientJobs: 16, ClientBytes: 17 << 20, Dead: 18, DeadBytes: 19 << 20, DeadFor: 20 * 24 * time.Hour,
			},
		},
		Metrics: Metrics{Listen: "h:3", LogicalRequests: 21, AuditEvery: 22 * ms, JournalDir: "f", SegmentMB: 23, KeepMB: 46, KeepDays: 25, WriteWithin: 26 * ms, SyncWithin: 27 * ms},
		Fleet: &Fleet{
			Name: "n1", DataDir: "g", RPCAddress: "h:4", RaftAddress: "h:5", RaftNodes: map[string]FleetRaftNode{"n1": {RPCAddress: "h:6", RaftAddress: "h:7"}},
			Revision: 28, Lease: 29 * ms, ElectionTimeout: 30 * ms, DigestInterval: 31 * ms, Plans: []string{"p.hcl"},
			Budgets: []FleetBudget{
				{Of: "jobs", Name: "t", Total: 1.5, Burst: 2.5, Floor: 3.5, Floors: 32, FloorFor: 33 * time.Second, SettleTime: 34 * ms, Weights: map[string]float64{"n1": 4.5}},
				budget("retries", "c"), budget("under_way", "k"), budget("cold", ""), budget("probes", ""),
			},
			Records: &FleetRecords{Body: 35, Tenants: map[string]RecordRule{"t": {Days: 36, FailureDays: 37, Count: 38, Megabytes: 39}}},
		},
	}, o)
	require.Equal(t, Report{Kind: "operator's file"}, Check(text))
	var keys []string
	for _, b := range o.Fleet.Budgets {
		keys = append(keys, b.Key())
	}
	require.Equal(t, []string{"jobs/t", "retries/c", "under_way/k", "cold", "probes"}, keys, "names of budgets in the fleet's state")
}

const goldenExperiment = `{
 "settings": {"registry_mode": "push", "lanes": [{"name": "c", "effect": "idempotent"}]},
 "experiment": {
  "length_s": 1, "dispatchers": 2, "net_us": 3, "net_cv": 0.4, "list_late_ms": 5, "retries": 6, "backoff_ms": 7, "clients": 8, "think_ms": 9, "capacity_ms": 10,
  "policies": ["p"], "seeds": 11, "loads": [0.5], "sweeps": [{"path": "experiment.seeds", "values": [12, 13]}],
  "members": [{"kind": "k", "count": 14, "cores": 15, "slots": 16, "queue": 17, "cells": 18, "speed": 1.5, "speed_cv": 0.2, "cold_from": 0.3, "cold_s": 19,
   "crowding": 0.5, "crowd_from": 20, "connections": 21, "handshake_us": 22}],
  "classes": [
   {"name": "c", "rate": 23, "work_ms": 24, "shape": "pareto", "cv": 25, "hint_error": 0.6, "slots": [1, 2], "arrivals": {"kind": "ramp", "from": 0.5, "to": 2}},
   {"name": "c", "rate": 1, "work_ms": 1, "arrivals": {"kind": "bursts", "on_ms": 26, "off_ms": 27, "high": 28, "low": 29}},
   {"name": "c", "rate": 1, "work_ms": 1, "arrivals": {"kind": "trace", "at_ms": [30, 31], "work_ms": [32, 33]}}, {"name": "c", "rate": 1, "work_ms": 1}],
  "troubles": [{"kind": "slow", "at_s": 34, "for_ms": 35, "part": 0.7, "size": 0.8}]}
}
`

// TestGoldenExperiment reads every key of an experiment of package lab.
func TestGoldenExperiment(t *testing.T) {
	goldentest.Equal(t, golden("experiment.json"), []byte(goldenExperiment))
	text := goldentest.Read(t, golden("experiment.json"))
	x, err := DecodeExperiment(text)
	require.NoError(t, err)
	const ms = time.Millisecond
	require.Equal(t, Experiment{
		Length: time.Second, Dispatchers: 2, Net: 3 * time.Microsecond, NetCV: 0.4, ListLate: 5 * ms, Retries: 6, Backoff: 7 * ms, Clients: 8, Think: 9 * ms, Capacity: 10 * ms,
		Policies: []string{"p"}, Seeds: 11, Loads: []float64{0.5}, Sweeps: []Sweep{{Path: "experiment.seeds", Values: []string{"12", "13"}}},
		Members: []ExperimentMembers{{
			Kind: "k", Count: 14, Cores: 15, Slots: 16, Queue: 17, Cells: 18, Speed: 1.5, SpeedCV: 0.2, ColdFrom: 0.3, ColdFor: 19 * time.Second,
			Crowding: 0.5, CrowdFrom: 20, Connections: 21, Handshake: 22 * time.Microsecond,
		}},
		Classes: []ExperimentClass{
			{Name: "c", Rate: 23, Work: 24 * ms, Shape: "pareto", CV: 25, HintError: 0.6, Slots: []float64{1, 2}, Arrivals: Arrivals{Kind: "ramp", From: 0.5, To: 2}},
			{Name: "c", Rate: 1, Work: ms, Shape: "exp", Arrivals: Arrivals{Kind: "bursts", On: 26 * ms, Off: 27 * ms, High: 28, Low: 29}},
			{Name: "c", Rate: 1, Work: ms, Shape: "exp", Arrivals: Arrivals{Kind: "trace", Trace: []Arrival{{30 * ms, 32 * ms}, {31 * ms, 33 * ms}}}},
			{Name: "c", Rate: 1, Work: ms, Shape: "exp", Arrivals: Arrivals{Kind: "poisson"}},
		},
		Faults:   []ExperimentFault{{Kind: "slow", At: 34 * time.Second, For: 35 * ms, Part: 0.7, Size: 0.8}},
		Settings: policy.Settings{Instances: 2, Classes: []policy.Class{{Name: "c", Effect: policy.Idempotent, DedupScope: policy.DedupCell, Kind: -1}}},
	}, x)
	require.Equal(t, Report{Kind: "experiment"}, Check(text))
	require.Equal(t, []string{"fixed", "exp", "pareto", "lognormal"}, Shapes)
	require.Equal(t, []string{"crash", "pause", "slow", "deploy", "restart", "cut", "lost"}, FaultKinds)
	require.Equal(t, []string{"poisson", "ramp", "bursts", "trace"}, ArrivalKinds)
	require.Equal(t, []string{"jobs", "retries", "under_way", "cold", "probes"}, BudgetKinds)
}

// TestGoldenKeys checks the set of keys that are read from the golden files: an additional or
// missing key changes what operators may write. Keys of lanes and instances, which readers
// don't record, are covered by the literals above.
func TestGoldenKeys(t *testing.T) {
	numbers := regexp.MustCompile(`\[\d+\]`)
	list := func(keysRead map[string]bool) string {
		distinct := map[string]bool{}
		for key := range keysRead {
			distinct[numbers.ReplaceAllString(key, "[]")] = true
		}
		return strings.Join(slices.Sorted(maps.Keys(distinct)), "\n") + "\n"
	}
	_, config := decodeConfig(fastjson.MustParse(goldenConfiguration))
	goldentest.Equal(t, golden("configuration-keys.txt"), []byte(list(config.keysRead)))
	_, operator := decodeOperator(fastjson.MustParse(goldenOperator))
	for _, added := range []string{"http", "http.silent_client_ms"} { // since the golden file was written
		require.True(t, operator.keysRead[added], added)
		delete(operator.keysRead, added)
	}
	goldentest.Equal(t, golden("operator-keys.txt"), []byte(list(operator.keysRead)))
	_, experiment := decodeExperiment(fastjson.MustParse(goldenExperiment))
	goldentest.Equal(t, golden("experiment-keys.txt"), []byte(list(experiment.keysRead)))
}
