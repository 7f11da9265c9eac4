package protocol_test

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/shared/goldentest"
)

// Files under testdata, which were written by commit 352ebf2. Processes of that build send and expect these
// bytes.
const (
	requestFile  = "client-to-server.bin" // what a client sends after the upgrade
	responseFile = "server-to-client.bin" // what a server sends after the upgrade
	schemaFile   = "messages.txt"         // registered names and fields of the messages
	upgradeFile  = "upgrade.txt"          // HTTP upgrade that precedes them
)

func golden(t *testing.T, name string) []byte {
	t.Helper()
	return goldentest.Read(t, filepath.Join("testdata", name))
}

func goldenMembership(prefix string) replica.Membership {
	return replica.Membership{
		Voters:   []replica.Member{{ID: prefix + "voter", Address: "10.1.0.1:7660"}, {ID: prefix + "voter-2", Address: "10.1.0.2:7660"}},
		Outgoing: []replica.Member{{ID: prefix + "outgoing", Address: "10.1.0.3:7660"}},
		Learners: []replica.Member{{ID: prefix + "learner", Address: "10.1.0.4:7660"}},
	}
}

func goldenReplicaMessage() replica.Message {
	members := goldenMembership("entry-")
	return replica.Message{
		Kind: replica.InstallSnapshot, Group: "jobs-3", From: "sender", To: "receiver", Term: 11, Index: 12, LogTerm: 13, Commit: 14,
		Entries: []replica.Entry{{Index: 15, Term: 16, Kind: replica.EntryMembership, Data: []byte("entry data"), Membership: &members}},
		Reject:  true, SentAt: 17 * time.Millisecond, Handover: true, Fresh: true, Round: 18, Life: 19,
		Snapshot: &replica.Snapshot{Index: 20, Term: 21, Membership: goldenMembership("snapshot-"), Data: []byte("snapshot data")},
		Offset:   22, Total: 23, Addresses: []replica.Member{{ID: "address", Address: "10.1.0.5:7660"}},
	}
}

func goldenSubmitRequest() protocol.SubmitRequest {
	return protocol.SubmitRequest{
		Shard: 2, Queue: "host/queue/", ID: "job-id", Body: []byte(`{"stages":[]}`), Version: 31,
		Route: opconfig.Route{
			Name: "route", Host: "host", PathPrefix: "/queue/", TimeoutMs: 32, TargetMs: 33.5, Priority: 34,
			Backend: "service", Retries: 35, Extension: 1.25,
		},
	}
}

func goldenJobRequest() protocol.JobRequest {
	return protocol.JobRequest{Verb: protocol.CheckFormerShard, Shard: 3, Queue: "host/asked/", ID: "asked-id", Version: 41, Since: 42, Hash: 43}
}

func goldenJobResponse() protocol.JobResponse {
	return protocol.JobResponse{
		Status: 409, State: job.StateCanceled, Pending: 51, RetryAfterMs: 52, Owner: "10.1.0.6:7660", Reason: "reason",
		Unknown: true, Never: true, Moved: 53,
	}
}

func goldenWatchResponse() protocol.WatchResponse {
	return protocol.WatchResponse{
		Leads: true, Leader: "10.1.0.7:7660", Version: 61, Content: []byte(`{"version":61}`),
		Moved: map[string]opconfig.ServiceHistory{"host/moved/": {Services: []string{"old", "new"}, Since: 62}},
		Cores: []string{"10.1.0.8:7660"}, Owners: []string{"10.1.0.9:7660"}, HeldMs: 63,
	}
}

func goldenRunnerList() protocol.RunnerList {
	return protocol.RunnerList{Epoch: 71, Sequence: 72, List: []protocol.Runner{{
		ID: "runner", Service: "service", Address: "10.3.0.1:9000", Labels: []string{"rack=1", "ssd"},
		Capacity: job.Resources{CPU: 73, MemMB: 74, GPU: 75}, Draining: true, RemainingMs: 76,
	}}}
}

func goldenStatusResponse() protocol.StatusResponse {
	return protocol.StatusResponse{
		Node: "core-a-1", Member: replica.Member{ID: "member", Address: "10.1.0.10:7660"}, Version: 81,
		Groups: []protocol.GroupStatus{{Name: "config", Leader: "10.1.0.11:7660", Status: group.Status{
			Role: replica.Leader, Term: 82, Leads: true, LeaseLeft: 83 * time.Millisecond, Applied: 84, Last: 85, Snapshot: 86,
			Unsynced: 87, Digest: 88, Members: goldenMembership("status-"), Lacks: map[string]uint64{"member": 89}, Receiving: 90, Halted: "halted",
		}}},
	}
}

// goldenMessages returns one message of each registered type, with no field zero.
func goldenMessages() []any {
	return []any{
		goldenReplicaMessage(),
		goldenSubmitRequest(),
		goldenJobRequest(),
		goldenJobResponse(),
		protocol.WatchRequest{Node: "edge-a-1", Have: 91, WaitMs: 92},
		goldenWatchResponse(),
		protocol.OperatorRequest{Replace: true, Base: 93, Content: []byte(`{"version":94}`)},
		protocol.OperatorResponse{Status: 412, Leader: "10.1.0.12:7660", Content: []byte(`{"version":95}`), Reason: "operate reason"},
		protocol.LeaveNotice{Group: "jobs-1", ID: "leaving"},
		protocol.JoinRequest{Group: "jobs-2", Member: replica.Member{ID: "joining", Address: "10.1.0.13:7660"}, Relayed: true},
		goldenRunnerList(),
		protocol.StatusRequest{},
		goldenStatusResponse(),
	}
}

// requireFilled requires that no field of a value is zero, because gob omits zero fields.
func requireFilled(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		require.False(t, value.IsNil(), path)
		requireFilled(t, path, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			requireFilled(t, path+"."+value.Type().Field(i).Name, value.Field(i))
		}
	case reflect.Slice:
		require.NotZero(t, value.Len(), path)
		requireFilled(t, path+"[0]", value.Index(0))
	case reflect.Map:
		require.NotZero(t, value.Len(), path)
		requireFilled(t, path+"[]", value.MapIndex(value.MapKeys()[0]))
	default:
		require.False(t, value.IsZero(), path)
	}
}

func TestGoldenMessagesHaveAllFieldsFilled(t *testing.T) {
	for _, message := range goldenMessages() {
		requireFilled(t, reflect.TypeOf(message).String(), reflect.ValueOf(message))
	}
}

// writeMissingFiles writes the golden files that do not exist yet, if goldentest.Writing returns true.
func writeMissingFiles(t *testing.T) {
	t.Helper()
	recorded := exchange(t)
	for name, content := range map[string][]byte{
		requestFile: recorded.request, responseFile: recorded.response, schemaFile: []byte(describe(t, recorded)), upgradeFile: []byte(recorded.upgrade),
	} {
		goldentest.WriteMissingFile(t, filepath.Join("testdata", name), content)
	}
}

// TestGoldenMessagesAreRead checks that a server of this build decodes the messages of a client of commit
// 352ebf2.
func TestGoldenMessagesAreRead(t *testing.T) {
	writeMissingFiles(t)
	received, response := replayToServer(t, golden(t, requestFile))
	wanted := append(goldenMessages(), goldenJobRequest()) // the last one is a call
	require.Len(t, received, len(wanted))
	for i, message := range wanted {
		require.Equal(t, message, received[i], "message %d, %T", i, message)
	}
	require.Equal(t, frames(t, golden(t, responseFile)), []sentFrame{response}, "the answer")
}

// TestGoldenAnswerIsRead checks that a client of this build decodes the response of a server of commit 352ebf2.
func TestGoldenAnswerIsRead(t *testing.T) {
	require.Equal(t, goldenJobResponse(), callWithResponse(t, golden(t, responseFile)))
}

// TestMessagesMatchGolden checks that the messages of this build have the names, fields and types that a process
// of commit 352ebf2 expects. The bytes may differ because gob numbers types in the order of their use.
func TestMessagesMatchGolden(t *testing.T) {
	recorded := exchange(t)
	require.Equal(t, string(golden(t, schemaFile)), describe(t, recorded))
	old := capture{request: golden(t, requestFile), response: golden(t, responseFile)}
	require.Equal(t, string(golden(t, schemaFile)), describe(t, old), "the golden bytes themselves")
	require.Equal(t, frames(t, old.request), frames(t, recorded.request), "the values, encoded")
	require.Equal(t, frames(t, old.response), frames(t, recorded.response), "the values, encoded")
	require.Equal(t, string(golden(t, upgradeFile)), recorded.upgrade)
}

// TestMessagesHaveTheirOldRegisteredNames checks the registered names. They contain the path of the package that
// had the type at commit 352ebf2. A type that was moved since is registered under its old name by
// rpc.RegisterName.
func TestMessagesHaveTheirOldRegisteredNames(t *testing.T) {
	var names []string
	for _, frame := range frames(t, exchange(t).request) {
		names = append(names, frame.name)
	}
	require.Equal(t, []string{
		"basaltloft/coord/replica.Message",
		"basaltloft/internal/protocol.Submit",
		"basaltloft/internal/protocol.Ask",
		"basaltloft/internal/protocol.Answer",
		"basaltloft/internal/protocol.Feed",
		"basaltloft/internal/protocol.FeedAnswer",
		"basaltloft/internal/protocol.Operate",
		"basaltloft/internal/protocol.OperateAnswer",
		"basaltloft/internal/protocol.Leave",
		"basaltloft/internal/protocol.Join",
		"basaltloft/internal/protocol.Runners",
		"basaltloft/internal/protocol.AskStatus",
		"basaltloft/internal/protocol.StatusAnswer",
		"basaltloft/internal/protocol.Ask",
	}, names)
}

// TestNumbersOnTheWire checks that constants that are sent keep their numbers.
func TestNumbersOnTheWire(t *testing.T) {
	require.Equal(t, []protocol.JobOperation{1, 2, 3, 4}, []protocol.JobOperation{protocol.GetJobState, protocol.CancelJob, protocol.CountPending, protocol.CheckFormerShard})
	require.Equal(t, []replica.MessageKind{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, []replica.MessageKind{
		replica.PreVoteRequest, replica.PreVoteResponse, replica.VoteRequest, replica.VoteResponse, replica.AppendRequest, replica.AppendResponse,
		replica.InstallSnapshot, replica.TimeoutNow, replica.ColdStartRequest, replica.ColdStartResponse, replica.SnapshotChunk, replica.SnapshotChunkResponse,
	})
	require.Equal(t, []replica.EntryKind{0, 1, 2}, []replica.EntryKind{replica.EntryCommand, replica.EntryNoop, replica.EntryMembership})
	require.Equal(t, []replica.Role{0, 1, 2, 3}, []replica.Role{replica.Follower, replica.PreCandidate, replica.Candidate, replica.Leader})
	require.Equal(t, []job.State{0, 1, 2, 3, 4}, []job.State{job.StatePending, job.StateRunning, job.StateCompleted, job.StateFailed, job.StateCanceled})
}

// TestGroupsAndShardsKeepTheirNames checks the groups' names, which folders on disk and messages contain, and the
// shards of services, which must be the same in all builds.
func TestGroupsAndShardsKeepTheirNames(t *testing.T) {
	require.Equal(t, "config", protocol.ConfigGroup)
	require.Equal(t, 4, protocol.ShardCount)
	require.Equal(t, "jobs-3", protocol.ShardGroup(3))
	var shards strings.Builder
	for _, service := range []string{"", "a", "b", "service", "analytics", "web-backend", "gpu-pool"} {
		shards.WriteByte(byte('0' + protocol.ShardOf(service)))
	}
	require.Equal(t, "1010320", shards.String())
}
