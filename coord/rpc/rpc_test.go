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

// echo answers questions and keeps what is cast. A question "never" has no answer.
type echo struct{ cast chan string }

func (e *echo) Call(body any) any {
	q := body.(question)
	if q.Text == "never" {
		select {}
	}
	return statement{Text: "re: " + q.Text}
}

func (e *echo) Cast(body any) { e.cast <- body.(statement).Text }

func serve(t *testing.T) (*echo, *httptest.Server, *rpc.Client) {
	t.Helper()
	e := &echo{cast: make(chan string, 100)}
	mux := http.NewServeMux()
	mux.Handle(rpc.Path, rpc.NewServer(e))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client := rpc.NewClient(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(client.Close)
	return e, server, client
}

func TestManyCallsOverOneConnection(t *testing.T) {
	_, _, client := serve(t)
	answers := make(chan any, 50)
	for range 50 {
		go func() {
			got, err := client.Call(t.Context(), question{Text: "x"})
			if err != nil {
				got = err
			}
			answers <- got
		}()
	}
	for range 50 {
		require.Equal(t, statement{Text: "re: x"}, <-answers)
	}
}

func TestCastsArriveInOrder(t *testing.T) {
	e, _, client := serve(t)
	for _, text := range []string{"a", "b", "c"} {
		require.NoError(t, client.Cast(statement{Text: text}))
	}
	require.Equal(t, "a", <-e.cast)
	require.Equal(t, "b", <-e.cast)
	require.Equal(t, "c", <-e.cast)
}

func TestACallWithoutAnAnswerIsUnknown(t *testing.T) {
	_, _, client := serve(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, question{Text: "never"})
	require.ErrorIs(t, err, rpc.ErrGone)
	got, err := client.Call(t.Context(), question{Text: "y"})
	require.NoError(t, err, "the connection goes on")
	require.Equal(t, statement{Text: "re: y"}, got)
}

func TestConnectsAgainAfterTheConnectionEnded(t *testing.T) {
	_, _, client := serve(t)
	_, err := client.Call(t.Context(), question{Text: "x"})
	require.NoError(t, err)
	client.Close()
	for { // a call may meet the connection's end
		if _, err = client.Call(t.Context(), question{Text: "x"}); err == nil {
			return
		}
		require.ErrorIs(t, err, rpc.ErrGone)
	}
}

func TestNobodyThere(t *testing.T) {
	_, err := rpc.NewClient("127.0.0.1:1").Call(t.Context(), question{})
	require.ErrorIs(t, err, rpc.ErrGone)
}

func TestOtherRequestsAreTurnedDown(t *testing.T) {
	_, server, _ := serve(t)
	response, err := http.Get(server.URL + rpc.Path)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusUpgradeRequired, response.StatusCode)
}
