package faktory

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/faktory/batch"
	"basaltloft/internal/dispatcher/faktory/sets"

	"github.com/stretchr/testify/require"
)

// pushLine is a PUSH of a job of queue q, with further fields.
func pushLine(jid, fields string) string {
	return fmt.Sprintf(`PUSH {"jid":%q,"jobtype":"Mail","queue":"q","args":[]%s}`, jid, fields)
}

// filterError is the reply to a MUTATE whose filter has a part of the wrong kind.
const filterError = "-ERR the filter of MUTATE is an object with jobtype and regexp as text, and jids as a list of text\r\n"

// malformedCommands are command lines with the reply that each gets while the job scheduled-1 is
// in the scheduled set.
var malformedCommands = []struct{ line, reply string }{
	{"SHOW scheduled 9223372036854775807", "$2\r\n[]\r\n"},
	{"SHOW scheduled 9223372036854775308", "$2\r\n[]\r\n"},
	{"SHOW scheduled 1", "$2\r\n[]\r\n"},
	{"SHOW retries 9223372036854775807", "$2\r\n[]\r\n"},
	{"SHOW dead 9223372036854775807", "$2\r\n[]\r\n"},
	{"SHOW workers 9223372036854775807", "$2\r\n[]\r\n"},
	{"SHOW dead 9223372036854775808", "-ERR SHOW takes a set's name and the number of an entry\r\n"},
	{"SHOW dead -1", "-ERR SHOW takes a set's name and the number of an entry\r\n"},
	{"SHOW dead 1e3", "-ERR SHOW takes a set's name and the number of an entry\r\n"},
	{"SHOW", "-ERR SHOW takes scheduled, retries, dead or workers, not \"\"\r\n"},

	{pushLine("job-000001", `,"custom":{"cost_us":9223372036854775807}`), "-ERR custom.cost_us is out of range\r\n"},
	{pushLine("job-000001", `,"custom":{"cost_us":1e300}`), "-ERR custom.cost_us is out of range\r\n"},
	{pushLine("job-000001", `,"custom":{"cost_us":3153600000000001}`), "-ERR custom.cost_us is out of range\r\n"},
	{pushLine("job-000002", `,"custom":{"cost_us":3153600000000000}`), okReply},
	{pushLine("job-000001", `,"custom":{"slots":2147483647}`), "-ERR custom.slots is out of range\r\n"},
	{pushLine("job-000001", `,"custom":{"slots":1e300}`), "-ERR custom.slots is out of range\r\n"},
	{pushLine("job-000003", `,"custom":{"slots":2147483646}`), okReply},
	{pushLine("job-000004", `,"custom":{"unique_for":1e300,"cost_us":-9223372036854775808,"slots":-1e300},"retry":1e300,"reserve_for":1e300`), okReply},
	{pushLine("job-000001", `,"retry":nan`), "-ERR the job has a number that is no JSON\r\n"},
	{pushLine("job-000001", `,"custom":{"unique_for":inf}`), "-ERR the job has a number that is no JSON\r\n"},
	{pushLine("job-000001", `,"of_mine":1-2`), "-ERR the job has a number that is no JSON\r\n"},
	{pushLine("job-000001", `,"of_mine":[{"a":01}]`), "-ERR the job has a number that is no JSON\r\n"},
	{"PUSHB [" + strings.TrimPrefix(pushLine("job-000001", `,"of_mine":1-2`), "PUSH ") + "]", "$53\r\n{\"job-000001\":\"the job has a number that is no JSON\"}\r\n"},
	{pushLine("job-000001", `,"of_mine":`+strings.Repeat("[", 400)+strings.Repeat("]", 400)), "-ERR the job is no JSON\r\n"},
	{`BATCH NEW {"success":{"jobtype":"Mail","args":[inf]}}`, "-ERR success: the job has a number that is no JSON\r\n"},
	{`BATCH NEW {"success":5}`, "-ERR success: a job is a JSON object\r\n"},

	{"QUEUE LATENCY " + strings.Repeat("q ", maxQueues+1), "-ERR QUEUE takes the names of 1000 queues at most\r\n"},
	{"QUEUE LATENCY " + strings.Repeat("* ", maxQueues+1), "-ERR QUEUE takes the names of 1000 queues at most\r\n"},
	{"FETCH " + strings.Repeat("q ", maxFetchQueues+1), "-ERR FETCH takes the names of 64 queues at most\r\n"},

	{`MUTATE {"cmd":"discard","target":"scheduled","filter":{"jids":"scheduled-1"}}`, filterError},
	{`MUTATE {"cmd":"discard","target":"scheduled","filter":{"jids":["scheduled-1",7]}}`, filterError},
	{`MUTATE {"cmd":"discard","target":"scheduled","filter":{"jids":{}}}`, filterError},
	{`MUTATE {"cmd":"discard","target":"scheduled","filter":{"jobtype":["Post"]}}`, filterError},
	{`MUTATE {"cmd":"kill","target":"scheduled","filter":{"regexp":7}}`, filterError},
	{`MUTATE {"cmd":"requeue","target":"scheduled","filter":["scheduled-1"]}`, filterError},
	{`MUTATE {"cmd":"requeue","target":"scheduled","filter":"*"}`, filterError},
	{`MUTATE {"cmd":"discard","target":"scheduled","filter":{"jids":["other"],"jobtype":null,"regexp":null}}`, okReply},
	{`MUTATE {"cmd":"discard","target":"scheduled","filter":{"jobtype":"","jids":["other"]}}`, okReply},
	{`MUTATE {"cmd":"discard","target":"scheduled","filter":{"regexp":"` + strings.Repeat("*a", sets.MaxPatternBytes/2) + `a"}}`,
		"-ERR regexp: the pattern has more than 1000 bytes\r\n"},
}

// TestMalformedCommands: a number out of range and a field of the wrong kind get the protocol's
// error, or an empty page, and the jobs that wait stay as they are.
func TestMalformedCommands(t *testing.T) {
	for _, c := range malformedCommands {
		t.Run(c.line[:min(len(c.line), 100)], func(t *testing.T) {
			s, h := newFront()
			client, replies := newRecordedSession(s, nil)
			require.Equal(t, okReply, handleRecorded(client, replies, pushLine("scheduled-1", `,"at":"2126-01-01T00:00:00Z"`)))
			sender, senderReplies := client, replies
			if strings.HasPrefix(c.line, "FETCH") {
				sender, senderReplies = newRecordedSession(s, s.workers.connect(hello{workerID: "w1"}))
			}
			reply := handleRecorded(sender, senderReplies, c.line)
			h.runUntilIdle()
			require.Equal(t, c.reply, reply)
			require.NotNil(t, s.backlog.store.Find("scheduled-1"), "it must not be removed")
			require.Equal(t, "scheduled", s.backlog.store.Find("scheduled-1").Location())
			requireNothingLost(t, s.backlog, append(acceptedIDs(c.line, reply), "scheduled-1"))
		})
	}
}

// TestAcceptedNumbersAreServed: a job whose numbers are accepted at its push is not denied when a
// worker fetches it.
func TestAcceptedNumbersAreServed(t *testing.T) {
	for _, fields := range []string{
		`,"custom":{"cost_us":3153600000000000}`, `,"custom":{"slots":2147483646}`, `,"custom":{"slots":1e-300}`,
		`,"custom":{"cost_us":-9223372036854775808,"slots":-1e300}`, `,"custom":{"unique_for":1e300}`, `,"retry":1e300`, `,"retry":-1e300`, `,"reserve_for":1e300`, `,"reserve_for":-1e300`,
	} {
		t.Run(fields, func(t *testing.T) {
			s, h := newFront()
			client, replies := newRecordedSession(s, nil)
			require.Equal(t, okReply, handleRecorded(client, replies, pushLine("job-000001", fields)))
			f := s.workers.fetch(s.workers.connect(hello{workerID: "w1"}), []string{"q"})
			h.runUntilIdle()
			d := s.workers.cancelFetch(f)
			require.NotNil(t, d)
			require.Equal(t, "job-000001", d.flow.Transaction.ID)
			requireNothingLost(t, s.backlog, []string{"job-000001"})
		})
	}
}

// TestFarTimes: a job whose time is beyond what 64 bits of nanoseconds hold waits, and is not
// due at once.
func TestFarTimes(t *testing.T) {
	for _, at := range []string{"2262-04-12T00:00:00Z", "2300-01-01T00:00:00Z", "9999-12-31T23:59:59Z"} {
		s, h := newFront()
		client, replies := newRecordedSession(s, nil)
		require.Equal(t, okReply, handleRecorded(client, replies, pushLine("job-000001", `,"at":"`+at+`"`)))
		s.backlog.promoteDue()
		h.runUntilIdle()
		require.Equal(t, "scheduled", s.backlog.store.Find("job-000001").Location(), at)
		require.Contains(t, handleRecorded(client, replies, "SHOW scheduled"), `"when":"2262-04-11T23:47:16.854775807Z"`)
	}
}

// TestRepeatedQueueOfFetch: a FETCH that names its queue several times waits for one job.
func TestRepeatedQueueOfFetch(t *testing.T) {
	s, h := newFront()
	client, replies := newRecordedSession(s, nil)
	w := s.workers.connect(hello{workerID: "w1"})
	f := s.workers.fetch(w, []string{"q", "other", "q", "q"})
	for n := range 3 {
		require.Equal(t, okReply, handleRecorded(client, replies, pushLine(fmt.Sprintf("job-%06d", n), "")))
	}
	h.runUntilIdle()
	require.NotNil(t, s.workers.cancelFetch(f))
	require.Empty(t, w.mailbox, "the FETCH gets one job, and no other is routed to its worker")
	require.Equal(t, 2, s.backlog.store.FindQueue("q").Len())
	requireNothingLost(t, s.backlog, []string{"job-000000", "job-000001", "job-000002"})
}

// TestQueuesOfAWorker: the number of queues that a worker may fetch from is bounded.
func TestQueuesOfAWorker(t *testing.T) {
	s, _ := newFront()
	w, replies := newRecordedSession(s, s.workers.connect(hello{workerID: "w1"}))
	fetch := func(from int) string {
		line := "FETCH"
		for n := from; n < from+50; n++ {
			line += fmt.Sprintf(" q%d", n)
		}
		return handleRecorded(w, replies, line)
	}
	for from := 0; from < maxQueues; from += 50 {
		require.Empty(t, fetch(from), "the FETCH waits, and its peer has disconnected")
	}
	require.Len(t, w.worker.queues, maxQueues)
	require.Equal(t, "-ERR a worker fetches from 1000 queues at most\r\n", fetch(maxQueues-49))
	require.Len(t, w.worker.queues, maxQueues)
	require.Empty(t, fetch(maxQueues-50), "queues that it has fetched from before are still accepted")
}

// TestCallbackWithoutCustom: a call-back job whose custom is null gets its batch's id and its kind
// in custom, as one without custom does.
func TestCallbackWithoutCustom(t *testing.T) {
	for _, custom := range []string{"", `,"custom":null`, `,"custom":{}`} {
		s, _ := newFront()
		b := s.backlog
		b.mu.Lock()
		b.pushCallbacks([]batch.Callback{{Batch: "b-1", Kind: batch.Success, Job: []byte(`{"jid":"call-back","jobtype":"Mail","queue":"q","args":[]` + custom + `}`)}})
		b.mu.Unlock()
		j, _ := b.store.Dequeue(time.Now(), "q")
		require.NotNil(t, j)
		require.Contains(t, string(j.Body), `"custom":{"_bid":"b-1","_cb":"success"}`)
	}
}

// TestBatchesAreBounded: batches whose call-backs are large are refused like jobs for which there
// is no room.
func TestBatchesAreBounded(t *testing.T) {
	s, _ := newFront()
	client, replies := newRecordedSession(s, nil)
	line := `BATCH NEW {"success":{"jid":"call-back","jobtype":"Mail","args":["` + strings.Repeat("x", 60000) + `"]}}`
	accepted := 0
	for reply := ""; ; accepted++ {
		if reply = handleRecorded(client, replies, line); !strings.HasPrefix(reply, "+b-") {
			require.Equal(t, "-ERR refused, retry-after 1.000\r\n", reply)
			break
		}
		require.Less(t, accepted*60000, s.config.Waiting.Bytes)
	}
	require.Equal(t, s.config.Waiting.Bytes/61000, accepted)
}
