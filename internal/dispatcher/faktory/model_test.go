package faktory

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
	"pgregory.net/rapid"
)

// fakeEngine replaces the engine. It queues the front's calls; runUntilIdle processes them, as the
// engine's goroutine would.
type fakeEngine struct {
	submitted  []*engine.Transaction
	events     []func()
	members    map[string]*engine.Member
	refuseNext bool // refuse the next submitted job
}

func (h *fakeEngine) Submit(t *engine.Transaction) { h.submitted = append(h.submitted, t) }
func (h *fakeEngine) Do(func())                    {}
func (h *fakeEngine) HasOtherSources(string) bool  { return false }
func (h *fakeEngine) EndFlow(f *engine.Flow, s policy.Status, result []byte) {
	h.events = append(h.events, func() { h.answer(f.Transaction, s, result) })
}
func (h *fakeEngine) UpdateFlow(*engine.Flow, policy.UpdateKind, float64)              {}
func (h *fakeEngine) EndProbe(*engine.Member, policy.Status, policy.Report, time.Time) {}
func (h *fakeEngine) UpdateMembers(_ string, _ policy.ListKind, of []*engine.Member) {
	for _, m := range of {
		if h.members[m.ID] = m; m.State != policy.Ready {
			delete(h.members, m.ID)
		}
	}
}

// answer gives the client the answer that the policy would decide on: a job that was returned
// before it started is refused, and so is a failed one whose class is idempotent.
func (h *fakeEngine) answer(t *engine.Transaction, s policy.Status, result []byte) {
	a := engine.Answer{Verdict: engine.Served, Body: result}
	switch {
	case s == policy.OK:
	case s == policy.Rejected || s == policy.ConnectFailed:
		a = engine.Answer{Verdict: engine.Refused}
	case t.Class == "safe":
		a = engine.Answer{Verdict: engine.Refused, Ran: s == policy.Error}
	default:
		a = engine.Answer{Verdict: engine.Failed}
	}
	t.Client.Answer(a)
}

// runUntilIdle does the engine's work until none is left.
func (h *fakeEngine) runUntilIdle() {
	for len(h.submitted) > 0 || len(h.events) > 0 {
		if len(h.events) > 0 {
			next := h.events[0]
			h.events = h.events[1:]
			next()
			continue
		}
		t := h.submitted[0]
		h.submitted = h.submitted[1:]
		var to *engine.Member
		for _, m := range h.members {
			ws := m.Transport.(*workers)
			w := ws.byID[strings.TrimPrefix(m.ID, memberIDPrefix)]
			if slices.Contains(m.Capabilities, t.Capability) && len(w.fetches) > 0 && (to == nil || m.ID < to.ID) {
				to = m
			}
		}
		if to == nil || h.refuseNext {
			h.refuseNext = false
			t.Client.Answer(engine.Answer{Verdict: engine.Refused})
			continue
		}
		to.Transport.Start(&engine.Flow{Transaction: t, Member: to})
	}
}

// fakeTransactions replaces the pipeline. It has two classes.
type fakeTransactions struct{}

func (fakeTransactions) NewTransaction(a pipeline.Submission, now time.Time, c engine.Client) (*engine.Transaction, error) {
	if a.Hint < 0 || !(a.Slots >= 0 && a.Slots < math.MaxInt32) { // the pipeline checks this too
		return nil, errors.New("a figure is negative or no number")
	}
	return &engine.Transaction{ID: a.ID, Class: a.Class, Capability: a.Capability, Body: a.Body, BodyFormat: a.BodyFormat, Arrived: now, Deadline: now.Add(time.Hour), Client: c}, nil
}

func (fakeTransactions) Effect(class string) (policy.Effect, bool) {
	return map[string]policy.Effect{"safe": policy.Idempotent, "ticket": policy.AtMostOnce}[class], class != ""
}

func newFront() (*Server, *fakeEngine) {
	log := logtest.Discard()
	h := &fakeEngine{members: make(map[string]*engine.Member)}
	return New(h, fakeTransactions{}, &settings.Faktory{
		Connections: 8, Jobs: 1000, ReserveFor: time.Hour, FetchIn: time.Hour, BackoffUnit: 1,
		Default: settings.FaktoryJob{Class: "safe"}, JobTypes: map[string]settings.FaktoryJob{"Ticket": {Class: "ticket"}},
		Waiting: settings.FaktoryWaiting{Jobs: 30, Bytes: 1 << 20, QueueJobs: 20, QueueBytes: 1 << 20, Dead: 100, DeadBytes: 1 << 20, DeadFor: time.Hour},
	}, log), h
}

// TestFrontModel compares the front, on a fake engine, with a simple model of queues, sets and
// reservations.
//
//nolint:funlen,gocognit // a state machine: its actions share the model
func TestFrontModel(t *testing.T) {
	type job struct {
		id, queue string
		ticket    bool
		retries   int
		fails     int
		where     string // queue, retries, dead, success, or a worker's id
		seq       int
	}
	rapid.Check(t, func(t *rapid.T) {
		s, h := newFront()
		b := s.backlog
		jobs := map[string]*job{}
		sessions := map[string]*session{}
		paused := map[string]bool{}
		seq := 0
		client := &session{Server: s}
		for _, id := range []string{"w1", "w2", "w3"} {
			sessions[id] = &session{Server: s, worker: b.workers.connect(hello{workerID: id})}
		}
		queues := []string{"high", "low"}
		in := func(where string) (found []*job) {
			for _, j := range jobs {
				if j.where == where {
					found = append(found, j)
				}
			}
			slices.SortFunc(found, func(a, b *job) int { return a.seq - b.seq })
			return found
		}
		drawWorker := func(t *rapid.T) string { return rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "worker") }
		end := func(t *rapid.T, verb string) (*job, bool) {
			wid := drawWorker(t)
			var held []*job
			for _, w := range []string{"w1", "w2", "w3"} {
				held = append(held, in(w)...)
			}
			if len(held) == 0 {
				t.Skip()
			}
			j := held[rapid.IntRange(0, len(held)-1).Draw(t, "job")]
			text := commandHandlers[verb](sessions[wid], `{"jid":"`+j.id+`","errtype":"E","message":"m"}`)
			require.Equal(t, okReply, text)
			h.runUntilIdle()
			return j, j.where == wid
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id := fmt.Sprintf("job-%04d", rapid.IntRange(0, 40).Draw(t, "id"))
				j := &job{id: id, queue: rapid.SampledFrom(queues).Draw(t, "queue"), ticket: rapid.Bool().Draw(t, "ticket"),
					retries: rapid.IntRange(-1, 2).Draw(t, "retry"), where: "queue"}
				kind := map[bool]string{true: "Ticket", false: "Mail"}[j.ticket]
				known := jobs[id]
				if known != nil && !known.ticket && (known.where == "dead" || known.where == "gone") {
					known = nil // it may run again, and this push adds it again
				}
				text := commandHandlers["PUSH"](client, fmt.Sprintf(`{"jid":%q,"jobtype":%q,"queue":%q,"args":[],"retry":%d}`, id, kind, j.queue, j.retries))
				h.runUntilIdle()
				switch {
				case known != nil:
					require.Equal(t, okReply, text)
				case strings.HasPrefix(text, "-ERR refused"):
					full := b.store.Len() >= 30 || len(in("queue")) > 0 && b.store.FindQueue(j.queue).Len() >= 20
					require.True(t, full, text)
				default:
					require.Equal(t, okReply, text)
					seq++
					j.seq = seq
					jobs[id] = j
				}
			},
			"fetch": func(t *rapid.T) {
				wid := drawWorker(t)
				order := slices.Clone(queues)
				if rapid.Bool().Draw(t, "low first") {
					slices.Reverse(order)
				}
				var want *job
				for _, q := range order {
					for _, j := range in("queue") {
						if j.queue == q && !paused[q] && want == nil {
							want = j
						}
					}
				}
				f := b.workers.fetch(sessions[wid].worker, order)
				h.runUntilIdle()
				e := b.workers.cancelFetch(f)
				h.runUntilIdle()
				if want == nil {
					require.Nil(t, e)
					return
				}
				require.NotNil(t, e, "%v waits", want)
				require.Equal(t, want.id, e.flow.Transaction.ID)
				want.where = wid
			},
			"a worker is gone while a job is written to it": func(t *rapid.T) {
				wid := drawWorker(t)
				f := b.workers.fetch(sessions[wid].worker, queues)
				h.runUntilIdle()
				if e := b.workers.cancelFetch(f); e != nil {
					j := jobs[e.flow.Transaction.ID]
					require.Equal(t, "queue", j.where)
					b.workers.returnUndelivered(e)
					h.runUntilIdle()
					j.where = "retries" // refused, and retried later
				}
			},
			"ack": func(t *rapid.T) {
				if j, mine := end(t, "ACK"); mine {
					j.where = "success"
				}
			},
			"fail": func(t *rapid.T) {
				j, mine := end(t, "FAIL")
				if !mine {
					return
				}
				switch {
				case j.retries < 0:
					j.where = "gone"
				case j.ticket || j.fails >= j.retries || b.store.Len() >= 30 && b.store.Find(j.id).Location() == "dead":
					j.where = "dead"
				default:
					j.where = "retries"
				}
				j.fails++
			},
			"due": func(t *rapid.T) {
				if len(in("retries")) == 0 {
					t.Skip()
				}
				// The unit of the backoff is a nanosecond: all are due, in the order of
				// their times, which the front's set has.
				var order []string
				for _, j := range b.store.Retries.Sorted() {
					order = append(order, j.ID)
				}
				time.Sleep(time.Microsecond)
				b.promoteDue()
				h.runUntilIdle()
				for _, id := range order {
					seq++
					jobs[id].where, jobs[id].seq = "queue", seq
				}
			},
			"pause": func(t *rapid.T) {
				q, on := rapid.SampledFrom(queues).Draw(t, "queue"), rapid.Bool().Draw(t, "on")
				verb := map[bool]string{true: "PAUSE ", false: "RESUME "}[on]
				require.Equal(t, okReply, commandHandlers["QUEUE"](client, verb+q))
				h.runUntilIdle()
				paused[q] = on
			},
			"requeue the dead": func(t *rapid.T) {
				dead := in("dead")
				if len(dead) == 0 {
					t.Skip()
				}
				j := dead[rapid.IntRange(0, len(dead)-1).Draw(t, "job")]
				text := commandHandlers["MUTATE"](client, `{"cmd":"requeue","target":"dead","filter":{"jids":["`+j.id+`"]}}`)
				h.runUntilIdle()
				switch {
				case j.ticket:
					require.Contains(t, text, "must not run twice")
				case text == okReply:
					seq++
					j.where, j.seq = "queue", seq
				default:
					require.Contains(t, text, "no room")
				}
			},
			"": func(t *rapid.T) {
				b.mu.Lock()
				defer b.mu.Unlock()
				for id, j := range jobs {
					where := "success"
					switch at := b.store.Find(id); {
					case b.workers.reserved[id] != nil:
						where = b.workers.reserved[id].worker.id
					case at != nil:
						where = at.Location()
					case b.tasks[id].answer.Verdict != engine.Served:
						where = "gone"
					}
					require.Equal(t, j.where, where, id)
				}
				require.Len(t, b.workers.reserved, len(in("w1"))+len(in("w2"))+len(in("w3")))
				require.Zero(t, b.submitted-len(b.workers.reserved), "no job is submitted but the reserved ones")
				require.Empty(t, b.unfetched)
				require.Empty(t, b.workers.waitingFetches)
				require.Empty(t, b.workers.submittedFor)
				for _, q := range b.store.Info(time.Now()) {
					require.Equal(t, paused[q.Name], q.Paused)
				}
			},
		})
	})
}

// isCompleteReply reports whether a text is exactly one reply of the protocol.
func isCompleteReply(text string) bool {
	switch {
	case !strings.HasSuffix(text, "\r\n"):
		return false
	case strings.HasPrefix(text, "+") || strings.HasPrefix(text, "-"):
		return strings.Count(text, "\n") == 1
	case text == "$-1\r\n":
		return true
	case strings.HasPrefix(text, "$"):
		size, rest, _ := strings.Cut(text[1:], "\r\n")
		n, err := strconv.Atoi(size)
		return err == nil && len(rest) == n+2 && fastjson.Validate(rest[:n]) == nil
	}
	return false
}

// replyRecorder is a network connection that keeps what is written to it. Nothing is read from it.
type replyRecorder struct {
	net.Conn
	written strings.Builder
}

func (r *replyRecorder) Write(text []byte) (int, error)   { return r.written.Write(text) }
func (r *replyRecorder) SetWriteDeadline(time.Time) error { return nil }

// newRecordedSession returns a session whose replies are recorded; w is nil for a client that
// only pushes. Its peer has disconnected, so that a FETCH does not wait.
func newRecordedSession(s *Server, w *worker) (*session, *replyRecorder) {
	recorder := new(replyRecorder)
	conn := &connection{netConn: recorder, closed: make(chan struct{})}
	close(conn.closed)
	return &session{Server: s, conn: conn, worker: w}, recorder
}

// handleRecorded serves one command line and returns what was replied to it.
func handleRecorded(s *session, recorder *replyRecorder, line string) string {
	recorder.written.Reset()
	s.handle(line)
	return recorder.written.String()
}

// acceptedIDs returns the jids that the reply to a PUSH or a PUSHB accepts.
func acceptedIDs(line, reply string) (ids []string) {
	name, text, _ := strings.Cut(line, " ")
	v, err := fastjson.Parse(strings.TrimSpace(text))
	if err != nil {
		return nil
	}
	switch {
	case name == "PUSH" && reply == okReply:
		return []string{string(v.GetStringBytes("jid"))}
	case name == "PUSHB" && strings.HasPrefix(reply, "$"):
		_, problems, _ := strings.Cut(reply, "\r\n")
		rejected, err := fastjson.Parse(problems)
		if err != nil {
			return nil
		}
		for _, job := range v.GetArray() {
			id := string(job.GetStringBytes("jid"))
			if asReplied := string([]rune(id)); !rejected.Exists(asReplied) { // U+FFFD for what is no UTF-8
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// requireNothingLost checks that each accepted job is in a queue, in a set, with a worker, or has an answer
// that does not deny it.
func requireNothingLost(t require.TestingT, b *backlog, accepted []string) {
	for _, id := range accepted {
		known := b.tasks[id]
		require.NotNil(t, known, "job %s is forgotten", id)
		switch known.state {
		case taskWaiting:
			require.NotNil(t, known.job, "job %s", id)
			require.NotEmpty(t, known.job.Location(), "job %s is in no queue or set", id)
		case taskSubmitted:
			require.NotNil(t, b.workers.reserved[id], "job %s is at no worker", id)
		case taskFinal:
			require.NotEqual(t, engine.Denied, known.answer.Verdict, "job %s was accepted, and denied: %s", id, known.answer.Body)
		}
	}
	require.Zero(t, b.submitted-len(b.workers.reserved), "no job is submitted but the reserved ones")
	require.Empty(t, b.unfetched)
	require.Empty(t, b.workers.waitingFetches)
	require.Empty(t, b.workers.submittedFor)
}

// FuzzCommands: whatever a connection sends, each command gets exactly one complete reply, no job
// that was accepted is lost, and none is accepted that FETCH would return unreadable. The lines
// of a text are commands, which a client and a worker send in turn.
func FuzzCommands(f *testing.F) {
	for _, line := range []string{
		`PUSH {"jid":"job-000001","jobtype":"Mail","queue":"q","args":[1,{"a":"b"}],"at":"2100-01-01T00:00:00Z","retry":3,"custom":{"unique_for":5,"bid":"b-1"}}`,
		`PUSHB [{"jid":"job-000001","jobtype":"Mail","args":[]},{"jid":7}]`, `ACK {"jid":"job-000001","result":{"a":1}}`,
		`FAIL {"jid":"job-000001","errtype":"E","message":"m","backtrace":["a",1]}`, `BEAT {"wid":"w1","current_state":"quiet","rss_kb":1}`,
		`INFO`, `FLUSH`, `QUEUE PAUSE *`, `QUEUE LATENCY a b`, `MUTATE {"cmd":"kill","target":"dead","filter":{"jids":["a"],"regexp":"*[*"}}`,
		`TRACK GET job-000001`, `TRACK SET {"jid":"job-000001","percent":5,"reserve_until":"2100-01-01T00:00:00Z"}`,
		`BATCH NEW {"success":{"jobtype":"Mail","args":[]},"parent_bid":"x"}`, `BATCH COMMIT b-1`, `SHOW dead 5`, `PUSH {"retry":1e99}`,
		"PUSH {\"jid\":\"job\xff00001\",\"jobtype\":\"\\u0000\",\"args\":[]}",
		`SHOW dead 9223372036854775807`, `SHOW workers 9223372036854775807`, `SHOW dead 9223372036854775808`, `SHOW dead -1`, `SHOW`, `SHOW  0`,
		`PUSH {"jid":"job-000001","jobtype":"Mail","queue":"q","args":[],"at":"9999-12-31T23:59:59Z"}` + "\nSHOW scheduled 9223372036854775807\nSHOW scheduled",
		`PUSH {"jid":"job-000001","jobtype":"Mail","args":[],"custom":{"cost_us":9223372036854775807}}`,
		`PUSH {"jid":"job-000001","jobtype":"Mail","args":[],"custom":{"slots":1e300,"unique_for":inf},"retry":nan,"reserve_for":-1}`,
		`PUSH {"jid":"job-000001","jobtype":"Mail","args":[nan,01,1-2]}`, `PUSH {"jid":"","jobtype":"","queue":"","args":[]}`, `PUSH`, `PUSHB`, `ACK`, `FAIL {}`, `BEAT []`,
		`TRACK SET {"jid":"job-000001","percent":-9223372036854775808,"reserve_until":"0000-01-01T00:00:00Z"}`, `BEAT {"rss_kb":-1}`,
		`BATCH NEW {"success":{"jobtype":"Mail","args":[],"custom":null}}`, `BATCH`, `BATCH OPEN`, `QUEUE LATENCY`, `QUEUE PAUSE * *`, `FETCH`, `FETCH q q q`, `END`,
		`MUTATE {"cmd":"discard","target":"scheduled","filter":{"jids":"job-000001"}}`, `MUTATE {"cmd":"clear"}`, "FAIL {\"jid\":\"job-000001\",\"backtrace\":{}}",
	} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, h := newFront()
		client, clientReplies := newRecordedSession(s, nil)
		w, workerReplies := newRecordedSession(s, s.workers.connect(hello{workerID: "w1"}))
		var accepted []string
		in := bufio.NewReader(strings.NewReader(text + "\n"))
		for line, err := readCommand(in); err == nil; line, err = readCommand(in) {
			for _, peer := range []struct {
				session *session
				replies *replyRecorder
			}{{client, clientReplies}, {w, workerReplies}} {
				reply := handleRecorded(peer.session, peer.replies, line)
				h.runUntilIdle()
				name, _, _ := strings.Cut(line, " ")
				if name == "FETCH" && reply == "" { // its worker has disconnected
					continue
				}
				require.True(t, isCompleteReply(reply), "%q", reply)
				accepted = append(accepted, acceptedIDs(line, reply)...)
			}
		}
		requireNothingLost(t, s.backlog, accepted)
		fetched := s.workers.fetch(w.worker, []string{"q", "default"})
		h.runUntilIdle()
		if e := s.workers.cancelFetch(fetched); e != nil {
			require.NoError(t, fastjson.ValidateBytes(e.payload))
			require.NotContains(t, string(e.payload), "\n")
		}
		requireNothingLost(t, s.backlog, accepted)
	})
}

// FuzzReadLine: a command is read completely, or rejected for its length, whatever its bytes.
func FuzzReadLine(f *testing.F) {
	f.Add("HELLO {}\r\n", 16)
	f.Add("\n", 16)
	f.Add(strings.Repeat("x", 5000), 64)
	f.Fuzz(func(t *testing.T, text string, size int) {
		in := bufio.NewReaderSize(strings.NewReader(text), max(16, size%8192))
		var got []string
		for {
			line, err := readCommand(in)
			if err != nil {
				break
			}
			require.LessOrEqual(t, len(line), maxCommandBytes)
			require.NotContains(t, line, "\n")
			got = append(got, line)
		}
		want := strings.Split(text, "\n")
		for i, line := range got {
			require.Equal(t, strings.TrimRight(want[i], "\r"), line)
		}
	})
}

// FuzzHello: HELLO is parsed or rejected, whatever its argument.
func FuzzHello(f *testing.F) {
	f.Add(`{"v":2,"wid":"w","hostname":"h","pid":1,"labels":["a",1]}`, "secret")
	f.Fuzz(func(t *testing.T, text, password string) {
		h, err := parseHello(text, password, "salt")
		if err == nil {
			require.LessOrEqual(t, len(h.workerID), maxNameLength)
			require.NotEmpty(t, h.describe())
		}
	})
}
