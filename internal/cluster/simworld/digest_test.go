package simworld_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/jobtrace"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
	"basaltloft/internal/shared/digesttest"
)

// digestFile has a line for each seed: the seed, the numbers of orders to runners, commits, messages
// between processes, and answers to clients and operators, and the digest of all of them in order.
const digestFile = "testdata/digests.txt"

// digestSeeds is how many seeds have a digest, from 0 on.
const digestSeeds = 200

// recorder records the orders, commits, messages and answers of a world; the zero value records
// nothing.
type recorder struct {
	trace    *digesttest.Trace
	orders   int
	commits  int
	messages int
	answers  int
}

// digestLine runs a seed and returns its line for digestFile.
func digestLine(t testing.TB, seed uint64) string {
	r := recordSeed(t, seed, false)
	return fmt.Sprintf("%d %d %d %d %d %s", seed, r.orders, r.commits, r.messages, r.answers, r.trace.Sum())
}

// recordSeed runs a seed and returns its recorder.
func recordSeed(t testing.TB, seed uint64, withText bool) *recorder {
	w := newWorld(t, seed, deployments[seed%uint64(len(deployments))])
	w.recorder.trace = digesttest.New(withText)
	w.runRandomScenario()
	return &w.recorder
}

// TestSeedDigests compares the digests of the first 200 seeds with those in digestFile.
func TestSeedDigests(t *testing.T) {
	if wanted, ok := digesttest.Traced(); ok {
		seed, err := strconv.ParseUint(wanted, 10, 64)
		require.NoError(t, err)
		fmt.Print(recordSeed(t, seed, true).trace.Text())
		return
	}
	all := make([]uint64, digestSeeds)
	for seed := range all {
		all[seed] = uint64(seed)
	}
	seeds := digesttest.SampleUnderRace(all)
	lines := make([]string, len(seeds))
	var next atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for part := range runtime.GOMAXPROCS(0) {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for at := next.Add(1) - 1; at < int64(len(seeds)); at = next.Add(1) - 1 {
					lines[at] = digestLine(t, seeds[at])
				}
			})
		}
	})
	digesttest.Compare(t, digestFile, lines)
}

// TestSeedsAreRepeatable checks that two runs of a seed in one process give the same digest.
func TestSeedsAreRepeatable(t *testing.T) {
	t.Parallel()
	for _, seed := range digesttest.SampleUnderRace([]uint64{0, 1, 2, 3}) {
		require.Equal(t, digestLine(t, seed), digestLine(t, seed))
	}
}

// order records an order that a shard sends to a runner.
func (r *recorder) order(c *controlNode, order *scheduler.Order) {
	if r.trace == nil {
		return
	}
	r.orders++
	r.trace.Begin(c.w.now, "order").String(c.name)
	jobtrace.Order(r.trace, order)
	r.trace.End()
}

// started records the answer to an order to start.
func (r *recorder) started(at *runner, reply scheduler.StartReply, clockMs int64) {
	if r.trace != nil {
		r.trace.Begin(at.w.now, "started").String(at.name).Int(int64(reply), clockMs).End()
	}
}

// stopped records the answer to an order to stop.
func (r *recorder) stopped(at *runner, ok bool, clockMs int64) {
	if r.trace != nil {
		r.trace.Begin(at.w.now, "stopped").String(at.name).Bool(ok).Int(clockMs).End()
	}
}

// reported records a runner's report.
func (r *recorder) reported(at *runner, report *scheduler.RunnerReport) {
	if r.trace == nil {
		return
	}
	r.trace.Begin(at.w.now, "look").String(at.name)
	jobtrace.RunnerReport(r.trace, report)
	r.trace.End()
}

// message records a message between replicas. It leaves out the data and sizes of snapshots: their
// gob encoding contains type names, and the entries of maps in varying order.
func (r *recorder) message(w *world, from *replicaGroup, send group.Envelope) {
	if r.trace == nil {
		return
	}
	r.messages++
	t, m := r.trace, &send.Message
	t.Begin(w.now, "message").String(from.node.name, send.Address).Int(int64(m.Kind)).String(m.Group, m.From, m.To)
	t.Uint(m.Term, m.Index, m.LogTerm, m.Commit).Int(int64(len(m.Entries)))
	for at := range m.Entries {
		r.entry(from.name, &m.Entries[at])
	}
	t.Bool(m.Reject).Int(int64(m.SentAt)).Bool(m.Handover, m.Fresh).Uint(m.Round, m.Life).Bool(m.Snapshot != nil)
	if m.Snapshot != nil {
		t.Uint(m.Snapshot.Index, m.Snapshot.Term)
		r.membership(&m.Snapshot.Membership)
	}
	r.members(m.Addresses)
	t.End()
}

// entry appends an entry of a replicated log.
func (r *recorder) entry(groupName string, e *replica.Entry) {
	r.trace.Uint(e.Index, e.Term).Int(int64(e.Kind)).Bool(e.Membership != nil)
	if e.Membership != nil {
		r.membership(e.Membership)
	}
	r.command(groupName, e.Data)
}

func (r *recorder) membership(m *replica.Membership) {
	r.members(m.Voters)
	r.members(m.Outgoing)
	r.members(m.Learners)
}

func (r *recorder) members(members []replica.Member) {
	r.trace.Int(int64(len(members)))
	for _, member := range members {
		r.trace.String(member.ID, member.Address)
	}
}

// command appends the values of a command of the configuration or of a shard.
func (r *recorder) command(groupName string, data []byte) {
	r.trace.Bool(len(data) > 0)
	if len(data) == 0 {
		return
	}
	if groupName == protocol.ConfigGroup {
		var change opconfig.Change
		if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&change); err != nil {
			panic(err)
		}
		r.trace.Int(change.Base, change.Version)
		r.content(change.Content)
		return
	}
	batch, err := job.DecodeBatch(data)
	if err != nil {
		panic(err)
	}
	r.trace.Int(int64(len(batch.Commands)))
	for at := range batch.Commands {
		jobtrace.Command(r.trace, &batch.Commands[at])
	}
}

// content appends the length and the digest of a longer text.
func (r *recorder) content(content []byte) {
	r.trace.Int(int64(len(content))).Uint(xxhash.Sum64(content))
}

// recordCommits returns a replica's state machine, wrapped so that it records the commands that it
// applies.
func (r *recorder) recordCommits(g *replicaGroup) group.StateMachine {
	if r.trace == nil {
		return g.stateMachine
	}
	return &recordedStateMachine{StateMachine: g.stateMachine, group: g}
}

// recordedStateMachine records the commands that it applies.
type recordedStateMachine struct {
	group.StateMachine
	group *replicaGroup
}

// Apply implements group.StateMachine.
func (s *recordedStateMachine) Apply(index uint64, command []byte) (any, error) {
	w := s.group.node.w
	w.recorder.commits++
	w.recorder.trace.Begin(w.now, "commit").String(s.group.node.name, s.group.name).Uint(index)
	w.recorder.command(s.group.name, command)
	w.recorder.trace.End()
	return s.StateMachine.Apply(index, command)
}

// join records a request to join a group.
func (r *recorder) join(from *controlNode, to string, ask protocol.JoinRequest) {
	if r.trace == nil {
		return
	}
	r.messages++
	r.trace.Begin(from.w.now, "join").String(from.name, to, ask.Group, ask.Member.ID, ask.Member.Address).Bool(ask.Relayed).End()
}

// leave records a stopping member's request to leave a group.
func (r *recorder) leave(from *controlNode, to, groupName string) {
	if r.trace == nil {
		return
	}
	r.messages++
	r.trace.Begin(from.w.now, "leave").String(from.name, to, groupName, from.identity.id).End()
}

// served records a call that has reached a node, and its answer.
func (r *recorder) served(c *controlNode, message any, reply func(any)) func(any) {
	if r.trace == nil {
		return reply
	}
	r.messages++
	r.trace.Begin(c.w.now, "call").String(c.name)
	r.call(message)
	r.trace.End()
	return func(answer any) {
		r.messages++
		r.trace.Begin(c.w.now, "reply").String(c.name)
		r.call(answer)
		r.trace.End()
		reply(answer)
	}
}

// call appends the values of a call or an answer, after a keyword for its type.
func (r *recorder) call(message any) {
	t := r.trace
	switch m := message.(type) {
	case protocol.SubmitRequest:
		t.String("submit", m.Queue, m.ID, string(m.Body)).Int(int64(m.Shard), m.Version)
		r.route(&m.Route)
	case protocol.JobRequest:
		t.String("ask", m.Queue, m.ID).Int(int64(m.Verb), int64(m.Shard), m.Version, m.Since).Uint(m.Hash)
	case protocol.JobResponse:
		r.jobResponse(&m)
	case protocol.WatchRequest:
		t.String("feed", m.Node).Int(m.Have, m.WaitMs)
	case protocol.WatchResponse:
		r.watchResponse(&m)
	case protocol.OperatorRequest:
		r.operatorRequest(&m)
	case protocol.OperatorResponse:
		r.operatorResponse(&m)
	default:
		panic(fmt.Sprintf("no encoding for %T", message))
	}
}

// route appends a route of the configuration.
func (r *recorder) route(route *opconfig.Route) {
	r.trace.String(route.Name, route.Host, route.PathPrefix, route.Backend).Int(route.TimeoutMs, int64(route.Priority), int64(route.Retries))
	r.trace.Float(route.TargetMs, route.Extension)
}

// jobResponse appends a response to a client, without the human-readable reason.
func (r *recorder) jobResponse(a *protocol.JobResponse) {
	r.trace.String("answer", a.Owner).Int(int64(a.Status), int64(a.State), int64(a.Pending), a.RetryAfterMs, a.Moved).Bool(a.Unknown, a.Never)
}

// watchResponse appends a response to a watch request.
func (r *recorder) watchResponse(a *protocol.WatchResponse) {
	r.trace.String("fed", a.Leader).Bool(a.Leads).Int(a.Version, a.HeldMs)
	r.content(a.Content)
	r.trace.Int(int64(len(a.Moved)))
	for _, queue := range slices.Sorted(maps.Keys(a.Moved)) {
		moves := a.Moved[queue]
		r.trace.String(queue).Int(moves.Since, int64(len(moves.Services))).String(moves.Services...)
	}
	r.trace.Int(int64(len(a.Cores))).String(a.Cores...)
	r.trace.Int(int64(len(a.Owners))).String(a.Owners...)
}

// operatorRequest appends an operator's request.
func (r *recorder) operatorRequest(o *protocol.OperatorRequest) {
	r.trace.String("operate").Bool(o.Replace).Int(o.Base)
	r.content(o.Content)
}

// operatorResponse appends a response to an operator, without the human-readable reason.
func (r *recorder) operatorResponse(a *protocol.OperatorResponse) {
	r.trace.String("operated", a.Leader).Int(int64(a.Status))
	r.content(a.Content)
}

// operatorAnswered records the final answer to an operator.
func (r *recorder) operatorAnswered(w *world, c *controlNode, request protocol.OperatorRequest, got protocol.OperatorResponse) {
	if r.trace == nil {
		return
	}
	r.answers++
	r.trace.Begin(w.now, "operator").String(c.name)
	r.operatorRequest(&request)
	r.operatorResponse(&got)
	r.trace.End()
}

// clientAnswered records the answer to a client, or that there was none.
func (r *recorder) clientAnswered(w *world, d *dispatcher, j *jobHistory, verb jobMethod, got protocol.JobResponse, ok bool) {
	if r.trace == nil {
		return
	}
	r.answers++
	r.trace.Begin(w.now, "client").String(d.name, j.queue, j.id).Int(int64(verb)).Bool(ok)
	r.jobResponse(&got)
	r.trace.End()
}
