package settings

import (
	"testing"
	"time"

	"basaltloft"

	"github.com/stretchr/testify/require"
)

// TestLists: a list that is malformed anywhere is an error as a whole.
func TestLists(t *testing.T) {
	const good = `{"instanceId":"a","hostPort":"h:1","lifecycle":"active","startedAtMs":1500,"cell":3}`
	l, err := DecodeList([]byte(`{"generation":7,"reset":true,"instances":[` + good + `,{"instanceId":"b","lifecycle":"left"}]}`))
	require.NoError(t, err)
	require.Equal(t, List{Generation: 7, Whole: true, Entries: []Entry{
		{ID: "a", Addr: "h:1", Cell: 3, Started: time.UnixMilli(1500)}, {ID: "b", State: basaltloft.Removed},
	}}, l)
	for _, bad := range []string{`[]`, `{}`, `{"instances":5}`, `{"generation":"x","instances":[]}`, `{"generation":1.5,"instances":[]}`,
		`{"instances":[` + good + `,{}]}`, `{"instances":[{"instanceId":"a","hostPort":"none","lifecycle":"active"}]}`} {
		_, err := DecodeList([]byte(bad))
		require.Error(t, err, bad)
	}
}

func TestOperator(t *testing.T) {
	o, err := DecodeOperator([]byte(`{"faktory":{"listen":"h:1","jobtypes":{"a.b":{"class":"c","deadline_ms":5}}}}`))
	require.NoError(t, err)
	require.Equal(t, map[string]FaktoryJob{"a.b": {Class: "c", Deadline: 5 * time.Millisecond}}, o.Faktory.JobTypes)
	require.Empty(t, o.AgentCheck)
	for _, bad := range []string{`{`, `{"faktory":5}`, `{"faktory":{}}`, `{"agent_check":{"listen":"x"}}`,
		`{"faktory":{"listen":"h:1","queues":{"q":{"deadline_ms":-1}}}}`, `{"faktory":{"listen":"h:1","jobtypes":{"q":{"class":3}}}}`} {
		_, err := DecodeOperator([]byte(bad))
		require.Error(t, err, bad)
	}
}
