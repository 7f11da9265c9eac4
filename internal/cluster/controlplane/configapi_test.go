package controlplane

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/httpdrain"
)

// TestReplaceOfAnIncompleteBody checks that a truncated body gets a status that permits a retry, and that a
// body that is too large gets one that does not.
func TestReplaceOfAnIncompleteBody(t *testing.T) {
	for name, c := range map[string]struct {
		bytes int
		want  int
	}{
		"cut short": {10, http.StatusServiceUnavailable},
		"too large": {maxConfigBytes + 10, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			api := &configAPI{}
			api.serveReplace(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/-/config/replace", &truncatedBody{bytes: c.bytes}))
			require.Equal(t, c.want, w.Code)
		})
	}
}

// truncatedBody is a request body that yields the given number of bytes and then fails.
type truncatedBody struct{ bytes, read int }

var errTruncated = errors.New("the connection ended")

func (b *truncatedBody) Read(p []byte) (int, error) {
	if b.read >= b.bytes {
		return 0, errTruncated
	}
	n := min(len(p), b.bytes-b.read)
	b.read += n
	return n, nil
}

// TestShutdownRespondsToPendingOperators checks that an operator's request that is pending while the node stops
// gets its response. It guards against closing the connection before the response is written.
func TestShutdownRespondsToPendingOperators(t *testing.T) {
	node := newSingleNode(t)
	waiting := make(chan struct{})
	operators := httpdrain.New(&http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(waiting)
		<-node.stop // like configAPI.handle, which waits for a commit
		w.WriteHeader(http.StatusGatewayTimeout)
	})})
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = operators.Serve(listener.(*net.TCPListener)) }() // returns when the node shuts down
	go func() {
		<-waiting
		node.shutDown(&http.Server{ReadHeaderTimeout: headerTimeout}, operators)
	}()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err, "the connection was closed before the response")
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
}
