package faktory

import (
	"path/filepath"
	"regexp"
	"testing"

	"basaltloft/internal/shared/goldentest"
)

var (
	varyingNumber = regexp.MustCompile(`"(uptime|command_count|used_memory_mb)":\d+`)
	varyingTime   = regexp.MustCompile(`"(now|server_utc_time|updated_at|beat)":"[^"]*"`)
	replyLength   = regexp.MustCompile(`^\$\d+`)
)

// TestGoldenInfo: the replies to INFO, SHOW and other commands, of a front with jobs in its queues
// and sets, are those of commit 352ebf2 byte for byte, except for times, varying numbers and the
// replies' lengths. The golden file must never be rewritten by later code: Faktory's clients
// depend on this format.
func TestGoldenInfo(t *testing.T) {
	s, h := newFront()
	client := &session{Server: s}
	s.workers.connect(hello{workerID: "w1", host: "host", pid: 7})
	var text string
	add := func(command, answer string) {
		answer = varyingTime.ReplaceAllString(varyingNumber.ReplaceAllString(answer, `"$1":0`), `"$1":"TIME"`)
		text += command + "\n" + replyLength.ReplaceAllString(answer, "$$LENGTH") + "\n"
		h.runUntilIdle()
	}
	const later = "2126-01-01T00:00:00Z"
	for _, job := range []string{
		`{"jid":"job-00001","jobtype":"Sell","queue":"default","args":[1,"a"]}`,
		`{"jid":"job-00002","jobtype":"Ticket","queue":"tickets","args":[]}`,
		`{"jid":"job-00003","jobtype":"Sell","queue":"default","args":[],"at":"` + later + `"}`,
	} {
		add("PUSH", client.handlePush(job))
	}
	add("QUEUE PAUSE", client.handleQueue("PAUSE tickets"))
	add("INFO", client.handleInfo(""))
	for _, what := range []string{"scheduled", "retries", "dead", "workers", "other"} {
		add("SHOW "+what, client.handleShow(what))
	}
	add("TRACK GET", client.handleTrack("GET job-00001"))
	add("TRACK GET", client.handleTrack("GET nothing"))
	add("unknown", errorReply("unknown command %q", "DANCE"))
	goldentest.Equal(t, filepath.Join("testdata", "golden", "info.txt"), []byte(text))
}
