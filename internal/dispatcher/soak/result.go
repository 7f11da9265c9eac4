package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/metrics"
	"basaltloft/internal/dispatcher/textout"
)

// Result holds the counts of a soak and the violations that it found.
type Result struct {
	Kills, Starts   int // of the dispatcher
	WorkerKills     int
	Audits          int64                 // audits that the dispatcher answered
	Differences     int64                 // differences that these audits found
	HTTP, Faktory   string                // counts of the clients' answers, as text
	ServedToClients int64                 // answers with status 200 that HTTP clients read
	Journal         *journal.Verification // of the latest verification
	ServedByJournal int64                 // jobs of the HTTP front that the journal has as served
	Lost            int64                 // answers read by clients whose records the journal lost in kills
	RunTwice        []string              // tickets that ran twice
	RSS             []int64               // of the dispatcher before each kill, in kB
	Violations      []string
}

// violation adds a violation.
func (r *Result) violation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// auditTimeout limits the time of an audit: a dispatcher that is starting does not answer.
const auditTimeout = time.Second

// audit has the dispatcher audit its ledger and adds the differences. Without an answer it does nothing.
func (r *Result) audit(metricsAddr string) {
	state, err := readAudit(metricsAddr)
	if err != nil {
		return // it is starting
	}
	r.Audits++
	r.Differences += int64(len(state.Differences))
	for _, d := range state.Differences {
		r.Violations = append(r.Violations, d.String())
	}
}

// readAudit requests an audit from a dispatcher's metrics address and returns its result.
func readAudit(metricsAddr string) (state metrics.AuditState, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(auditTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+metricsAddr+"/audit", nil)
	if err != nil {
		return state, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return state, err
	}
	defer func() { _ = resp.Body.Close() }() // an error of closing does not affect what was read
	err = json.NewDecoder(resp.Body).Decode(&state)
	return state, err
}

// recount verifies the journal and adds its inconsistencies as violations; when is the prefix of their text.
func (r *Result) recount(journalDir, when string) {
	dir, err := journal.ReadDirectory(journalDir)
	if err == nil {
		r.Journal, err = journal.Verify(dir)
	}
	if err != nil {
		r.violation("%s: %v", when, err)
		return
	}
	for _, inconsistency := range r.Journal.Inconsistencies {
		r.violation("%s: %s", when, inconsistency)
	}
}

// residentKB returns a process's resident memory in kB, or 0 if it can't be read from /proc.
func residentKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize()) / 1024
}

// Write writes the result as readable text. It returns an error if there are violations or a write failed.
func (r *Result) Write(out io.Writer) error {
	p := textout.New(out)
	p.Printf("%d kills, %d starts, %d workers killed, %d audits with %d differences\n", r.Kills, r.Starts, r.WorkerKills, r.Audits, r.Differences)
	p.Printf("HTTP clients: %s\nFaktory clients: %s\n", r.HTTP, r.Faktory)
	if v := r.Journal; v != nil {
		t := &v.Totals
		p.Printf("journal: %d segments, %d epochs, %d jobs, %d marks; %d taken = %d served + %d refused + %d failed (%d cut off) + %d open\n",
			v.Segments, v.Epochs, v.Jobs, v.Checkpoints, t.Taken, t.EndedAs(accounting.Served), t.EndedAs(accounting.Refused),
			t.EndedAs(accounting.Failed), t.Ends[accounting.Crashed], t.Open)
	}
	p.Printf("served by HTTP: %d answers read, %d in the journal\n", r.ServedToClients, r.ServedByJournal)
	if n := len(r.RSS); n > 0 {
		p.Printf("resident memory before a kill: first %d kB, last %d kB\n", r.RSS[0], r.RSS[n-1])
	}
	for _, violation := range r.Violations {
		p.Println("BROKEN:", violation)
	}
	if len(r.Violations) > 0 {
		return errors.New("the soak found something broken")
	}
	p.Println("nothing broken")
	return p.Err()
}
