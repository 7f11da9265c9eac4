package rpc_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/rpc"
)

// question and statement are the messages of these tests.
type question struct{ Text string }

type statement struct{ Text string }

func init() { rpc.Register(question{}, statement{}) }

// echoHandler responds to questions, except to the question "never", and records one-way messages.
type echoHandler struct{ oneWay chan string }

func (e *echoHandler) HandleCall(body any) any {
	q := body.(question)
	if q.Text == "never" {
		select {}
	}
	return statement{Text: "re: " + q.Text}
}

func (e *echoHandler) HandleOneWay(body any) { e.oneWay <- body.(statement).Text }

func newEchoServer(t *testing.T) (*echoHandler, *httptest.Server, *rpc.Client) {
	t.Helper()
	e := &echoHandler{oneWay: make(chan string, 100)}
	mux := http.NewServeMux()
	mux.Handle(rpc.Path, rpc.NewServer(e))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client := rpc.NewClient(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(client.Close)
	return e, server, client
}

func TestManyCallsOverOneConnection(t *testing.T) {
	_, _, client := newEchoServer(t)
	responses := make(chan any, 50)
	for range 50 {
		go func() {
			got, err := client.Call(t.Context(), question{Text: "x"})
			if err != nil {
				got = err
			}
			responses <- got
		}()
	}
	for range 50 {
		require.Equal(t, statement{Text: "re: x"}, <-responses)
	}
}

func TestOneWayMessagesArriveInOrder(t *testing.T) {
	e, _, client := newEchoServer(t)
	for _, text := range []string{"a", "b", "c"} {
		require.NoError(t, client.SendOneWay(statement{Text: text}))
	}
	require.Equal(t, "a", <-e.oneWay)
	require.Equal(t, "b", <-e.oneWay)
	require.Equal(t, "c", <-e.oneWay)
}

func TestCallWithoutResponseIsLost(t *testing.T) {
	_, _, client := newEchoServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, question{Text: "never"})
	require.ErrorIs(t, err, rpc.ErrConnectionLost)
	got, err := client.Call(t.Context(), question{Text: "y"})
	require.NoError(t, err, "the connection stays open")
	require.Equal(t, statement{Text: "re: y"}, got)
}

func TestReconnectsAfterConnectionLoss(t *testing.T) {
	_, _, client := newEchoServer(t)
	_, err := client.Call(t.Context(), question{Text: "x"})
	require.NoError(t, err)
	client.Close()
	for { // a call may still be sent on the old connection
		if _, err = client.Call(t.Context(), question{Text: "x"}); err == nil {
			return
		}
		require.ErrorIs(t, err, rpc.ErrConnectionLost)
	}
}

func TestUnreachablePeer(t *testing.T) {
	_, err := rpc.NewClient("127.0.0.1:1").Call(t.Context(), question{})
	require.ErrorIs(t, err, rpc.ErrConnectionLost)
}

func TestRequestsWithoutUpgradeAreRejected(t *testing.T) {
	_, server, _ := newEchoServer(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+rpc.Path, nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusUpgradeRequired, response.StatusCode)
}

// TestResponsesReachTheirCalls checks that responses reach their calls when they arrive in an order other
// than that of the calls.
func TestResponsesReachTheirCalls(t *testing.T) {
	release := map[string]chan struct{}{"0": make(chan struct{}), "1": make(chan struct{}), "2": make(chan struct{})}
	received := make(chan string, 3)
	_, client := newCallbackServer(t, func(text string) {
		received <- text
		<-release[text]
	})
	type result struct {
		text string
		got  any
		err  error
	}
	results := make(chan result, 3)
	for _, text := range []string{"0", "1", "2"} {
		go func() {
			got, err := client.Call(t.Context(), question{Text: text})
			results <- result{text, got, err}
		}()
	}
	for range 3 {
		<-received
	}
	for _, text := range []string{"2", "0", "1"} {
		close(release[text])
		r := <-results
		require.NoError(t, r.err)
		require.Equal(t, text, r.text)
		require.Equal(t, statement{Text: "re: " + text}, r.got)
	}
}

// TestCallIsSentOnce checks that a call whose connection is lost before the response fails with
// ErrConnectionLost and is not sent again on the next connection.
func TestCallIsSentOnce(t *testing.T) {
	received := make(chan string, 10)
	block := make(chan struct{})
	server, client := newCallbackServer(t, func(text string) {
		received <- text
		if text == "once" {
			<-block
		}
	})
	defer close(block)
	failed := make(chan error, 1)
	go func() {
		_, err := client.Call(t.Context(), question{Text: "once"})
		failed <- err
	}()
	require.Equal(t, "once", <-received)
	server.dropConnections()
	require.ErrorIs(t, <-failed, rpc.ErrConnectionLost)
	for {
		if _, err := client.Call(t.Context(), question{Text: "next"}); err == nil {
			break
		}
	}
	close(received)
	for text := range received {
		require.Equal(t, "next", text)
	}
}

// TestCancelledCallIsNotSent checks that a call that is cancelled before the client is connected is not
// sent.
func TestCancelledCallIsNotSent(t *testing.T) {
	received := make(chan string, 10)
	server, client := newCallbackServer(t, func(text string) { received <- text })
	upgradeStarted, continueUpgrade := make(chan struct{}), make(chan struct{})
	server.beforeUpgrade = func() {
		close(upgradeStarted)
		<-continueUpgrade
	}
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := client.Call(ctx, question{Text: "given up"})
		failed <- err
	}()
	<-upgradeStarted
	cancel()
	require.ErrorIs(t, <-failed, rpc.ErrConnectionLost)
	close(continueUpgrade)
	_, err := client.Call(t.Context(), question{Text: "next"})
	require.NoError(t, err)
	require.Equal(t, "next", <-received)
}

// restartableServer is a server that can close its connections and still accept new ones.
type restartableServer struct {
	inner         *rpc.Server
	beforeUpgrade func() // called once, before the first upgrade
}

func (g *restartableServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if before := g.beforeUpgrade; before != nil {
		g.beforeUpgrade = nil
		before()
	}
	g.inner.ServeHTTP(w, r)
}

// dropConnections closes all connections. New ones are served as before.
func (g *restartableServer) dropConnections() {
	old := g.inner
	g.inner = rpc.NewServer(old.Handler())
	old.Close()
}

// callbackHandler calls a function with the text of each question before it responds.
type callbackHandler func(text string)

func (a callbackHandler) HandleOneWay(any) {}

func (a callbackHandler) HandleCall(body any) any {
	text := body.(question).Text
	a(text)
	return statement{Text: "re: " + text}
}

func newCallbackServer(t *testing.T, onQuestion func(text string)) (*restartableServer, *rpc.Client) {
	t.Helper()
	g := &restartableServer{inner: rpc.NewServer(callbackHandler(onQuestion))}
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	client := rpc.NewClient(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(client.Close)
	return g, client
}
