package server

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/agent"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/fleet/spool"
	"basaltloft/internal/dispatcher/httpfront"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/override"
	"basaltloft/internal/dispatcher/segment"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

// TestGoldenOverridesFile: a new build reads the overrides that commit 352ebf2 saved in $TMPDIR, under the
// same file name, and saves the same bytes.
func TestGoldenOverridesFile(t *testing.T) {
	golden := filepath.Join("..", "override", "testdata", "golden")
	s := &Service{log: logtest.Discard()}
	s.options.Config.Name = "n0"
	t.Setenv("TMPDIR", goldentest.CopyFolder(t, golden))
	o := newAdminOperations(s, httpfront.New(nil, nil, logtest.Discard()))
	require.Equal(t, "basaltloft-n0.hand.json", filepath.Base(o.statePath()))
	read, err := override.Decode(goldentest.Read(t, o.statePath()), "n0")
	require.NoError(t, err)
	require.Len(t, read.OutMembers(), 3)
	o.overrides = read
	require.NoError(t, o.save())
	require.Equal(t, goldentest.Read(t, filepath.Join(golden, "basaltloft-n0.hand.json")), goldentest.Read(t, o.statePath()))
}

// TestGoldenPlanAnswer: a run's final answer as the admin API returns it, in the JSON of 352ebf2.
func TestGoldenPlanAnswer(t *testing.T) {
	require.Equal(t, `{"run":"a","plan":"b","outcome":"served","attempts":2,"results":{"c":[{"d":1},null,"no json"]}}`, string(answerJSON(&planrun.Answer{
		Run: "a", Plan: "b", Attempts: 2, Results: []planrun.Results{{Stage: "c", Items: [][]byte{[]byte(`{"d":1}`), nil, []byte("no json")}}},
	})))
	require.Equal(t, `{"run":"a","plan":"b","outcome":"may have run","attempts":2,"stage":"c","end":"late","reason":"d","left":["e"],"results_cut":true}`, string(answerJSON(&planrun.Answer{
		Run: "a", Plan: "b", Attempts: 2, Outcome: planrun.Unknown, Stage: "c", End: plan.Late, Reason: "d", StagesWithEffects: []string{"e"}, ResultsOmitted: true,
	})))
	for outcome, word := range map[planrun.Outcome]string{planrun.Served: "served", planrun.Refused: "refused", planrun.Failed: "failed", planrun.Unknown: "may have run"} {
		require.Equal(t, word, outcome.String())
	}
}

// TestGoldenRecordsAnswer: records as the admin API returns them, in the keys of 352ebf2.
func TestGoldenRecordsAnswer(t *testing.T) {
	var a fastjson.Arena
	at := time.Date(2026, 1, 31, 12, 0, 0, 5, time.UTC).UnixNano()
	text := recordsJSON(&a, []records.Record{{
		ID: "a", Key: "b", Tenant: "c", Class: "d", Plan: "e", Stage: "f", Outcome: "g", Reason: "h", Arrived: at, Ended: at + 1, Attempts: 2,
		Members: []string{"i", "j"}, Body: []byte("k\xff"), Process: "l", Epoch: 4, Seq: 5,
	}}).MarshalTo(nil)
	require.JSONEq(t, `[{"id":"a","key":"b","tenant":"c","class":"d","plan":"e","stage":"f","outcome":"g","reason":"h","process":"l","attempts":2,
		"arrived":"2026-01-31T12:00:00.000000005Z","ended":"2026-01-31T12:00:00.000000006Z","members":["i","j"],"body":"k\ufffd"}]`, string(text))
}

// TestGoldenFleetStatus: the keys of GET /fleet of a process that ships records, as of 352ebf2.
func TestGoldenFleetStatus(t *testing.T) {
	folder, err := segment.OpenDirectory(t.TempDir())
	require.NoError(t, err)
	log := logtest.Discard()
	shipNothing := func(context.Context, records.Ship) (uint64, error) { return 0, nil }
	recordSpool, err := spool.Open(folder, spool.Settings{Process: "n1", QueueLength: 1, BatchSize: 1, SegmentBytes: 1}, time.Now(), log, shipNothing)
	require.NoError(t, err)
	f := &fleet{agent: agent.New(agent.Settings{Process: "n1"}), recorder: &recorder{spool: recordSpool}}
	text, err := f.Status(t.Context())
	require.NoError(t, err)
	require.JSONEq(t, `{"process":"n1","incarnation":0,"joined":0,"members":0,"renewed_ms":-1,
		"spool":{"added":0,"dropped":0,"shipped":0,"lost":0,"unsent":0,"failures":0,"bytes":0,"lag_ms":0}}`, string(text))
	require.NoError(t, recordSpool.Close(t.Context()))
}
