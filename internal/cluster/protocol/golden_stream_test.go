package protocol_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/rpc"
)

// capture holds the bytes that were sent over one connection.
type capture struct {
	request, response []byte // after the upgrade
	upgrade           string // header sections of the upgrade request and its response, without the server's address
}

// recordingListener records the bytes that its connections read and write.
type recordingListener struct {
	net.Listener
	mu            sync.Mutex
	read, written bytes.Buffer
}

type recordingConn struct {
	net.Conn
	listener *recordingListener
}

func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &recordingConn{Conn: conn, listener: l}, err
}

func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.read.Write(p[:n])
	return n, err
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.listener.mu.Lock()
	c.listener.written.Write(p)
	c.listener.mu.Unlock()
	return c.Conn.Write(p)
}

// recordingHandler records all received messages, and responds to each call with goldenJobResponse.
type recordingHandler struct {
	mu       sync.Mutex
	received []any
}

func (h *recordingHandler) HandleOneWay(body any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(h.received, body)
}

func (h *recordingHandler) HandleCall(body any) any {
	h.HandleOneWay(body)
	return goldenJobResponse()
}

func startServer(t *testing.T, handler http.Handler) (*recordingListener, string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(rpc.Path, handler)
	server := httptest.NewUnstartedServer(mux)
	listener := &recordingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return listener, strings.TrimPrefix(server.URL, "http://")
}

// exchange sends all golden messages and then a call from a client to a server of this build. It returns what
// was sent over the connection.
func exchange(t *testing.T) capture {
	t.Helper()
	server := rpc.NewServer(&recordingHandler{})
	listener, address := startServer(t, server)
	client := rpc.NewClient(address)
	for _, message := range goldenMessages() {
		require.NoError(t, client.SendOneWay(message))
	}
	answer, err := client.Call(t.Context(), goldenJobRequest())
	require.NoError(t, err)
	require.Equal(t, goldenJobResponse(), answer)
	server.Close()
	listener.mu.Lock()
	defer listener.mu.Unlock()
	requestHead, request, _ := strings.Cut(listener.read.String(), "\r\n\r\n")
	responseHead, response, _ := strings.Cut(listener.written.String(), "\r\n\r\n")
	upgrade := strings.ReplaceAll(requestHead, address, "ADDRESS") + "\r\n\r\n" + responseHead + "\r\n\r\n"
	return capture{request: []byte(request), response: []byte(response), upgrade: upgrade}
}

const upgradeRequest = "GET /internal/stream HTTP/1.1\r\nHost: core\r\nConnection: Upgrade\r\nUpgrade: basaltloft-gob/1\r\n\r\n"

// replayToServer sends recorded bytes to a server of this build. It returns the received messages, and the
// response to the call at the end.
func replayToServer(t *testing.T, request []byte) (received []any, response sentFrame) {
	t.Helper()
	handler := &recordingHandler{}
	server := rpc.NewServer(handler)
	_, address := startServer(t, server)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }() // everything needed was read
	_, err = io.WriteString(conn, upgradeRequest+string(request))
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	head, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusSwitchingProtocols, head.StatusCode)
	response = newFrameStream(t, reader).frame()
	handler.mu.Lock()
	defer handler.mu.Unlock()
	return handler.received, response
}

// callWithResponse makes a call with a client of this build, and responds to it with recorded bytes. It returns
// the response as decoded by the client.
func callWithResponse(t *testing.T, response []byte) any {
	t.Helper()
	_, address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }() // the client has read everything it needs
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: basaltloft-gob/1\r\n\r\n")
		_, _ = buffered.ReadByte() // the call
		_, _ = conn.Write(response)
		_, _ = io.Copy(io.Discard, buffered)
	}))
	client := rpc.NewClient(address)
	defer client.Close()
	answer, err := client.Call(t.Context(), goldenJobRequest())
	require.NoError(t, err)
	return answer
}
