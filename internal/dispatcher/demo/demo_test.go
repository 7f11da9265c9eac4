package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestDemo runs the demo, which runs the whole dispatcher in this process. No goroutine may be
// left when Run has returned.
func TestDemo(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	log := logtest.Discard()
	var out bytes.Buffer
	require.NoError(t, Run(context.Background(), time.Now().Add(2*time.Second), log, &out, io.Discard))
	require.Contains(t, out.String(), "audits found nothing")
	require.Contains(t, out.String(), "0 things in it do not add up")
	require.Contains(t, out.String(), " 0 tickets of them twice")
}

// TestFleetDemo checks that three processes of the program serve as one fleet and end at ShutdownSignal.
func TestFleetDemo(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	program, err := scenario.Build()
	require.NoError(t, err)
	var out bytes.Buffer
	ctx, patience := hangPatience(t)
	settings := FleetSettings{Program: program, Processes: 3, Until: time.Now().Add(4 * time.Second), MinimumTaken: 1, Patience: patience}
	require.NoError(t, RunFleet(ctx, settings, &out, io.Discard))
	for _, want := range []string{`n3: [1-9]\d* jobs taken.*adds up`, `"process":"n1".*"members":3`, `[1-9]\d* plans of 42 seats: [1-9]`, `; 0 tickets ran twice`} {
		require.Regexp(t, want, out.String())
	}
}

// hangPatience returns time limits that only a hang exceeds, and a context that ends the waits early
// enough to stop the processes before the test's deadline. The test doesn't check how long the fleet
// takes, because that depends on the other load of the machine.
func hangPatience(t *testing.T) (context.Context, Patience) {
	t.Helper()
	const shutdownReserve = 2 * time.Minute
	deadline, ok := t.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Hour)
	}
	ctx, cancel := context.WithDeadline(t.Context(), deadline.Add(-shutdownReserve))
	t.Cleanup(cancel)
	rest := time.Until(deadline)
	return ctx, Patience{Start: rest, Load: rest, Answer: rest, Standstill: rest, Idle: rest, Shutdown: shutdownReserve / 2}
}
