package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestDemo runs the demo, and with it the whole program in this process: what
// it starts has ended when it returns.
func TestDemo(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	log, _ := test.NewNullLogger()
	var out bytes.Buffer
	require.NoError(t, Run(context.Background(), time.Now().Add(2*time.Second), log, &out, io.Discard))
	require.Contains(t, out.String(), "audits found nothing")
	require.Contains(t, out.String(), "0 things in it do not add up")
	require.Contains(t, out.String(), " 0 tickets of them twice")
}
