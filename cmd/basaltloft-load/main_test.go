package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRun(t *testing.T) {
	served := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer served.Close()
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer busy.Close()
	dir := t.TempDir()
	trace := filepath.Join(dir, "trace")
	require.NoError(t, os.WriteFile(trace, []byte("# due\n0\n1.5\n\n2\n"), 0o600))
	for args, want := range map[string]string{
		"-rate 200 -for 50ms -even -plot " + filepath.Join(dir, "p.svg"): "served 10 (100.00%)",
		"-rate 0 -to 200 -for 100ms -even -format json":                  `"Asks": 10`,
		"-trace " + trace: "3 asks",
	} {
		var out, errs bytes.Buffer
		require.NoError(t, run(context.Background(), append(strings.Fields(args), "-class", "c", "-at", served.Listener.Addr().String()), &out, &errs), args)
		require.Contains(t, out.String(), want, args)
	}
	text, err := os.ReadFile(filepath.Join(dir, "p.svg"))
	require.NoError(t, err)
	require.Contains(t, string(text), "<svg")

	var out bytes.Buffer
	err = run(context.Background(), strings.Fields("-class c -rate 200 -for 50ms -even -at "+busy.Listener.Addr().String()), &out, &bytes.Buffer{})
	require.ErrorContains(t, err, "nothing was served")
	require.Contains(t, out.String(), "refused, come back later 10 (100.00%)")
}

func TestMisuse(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad")
	require.NoError(t, os.WriteFile(bad, []byte("1\nx\n"), 0o600))
	for args, want := range map[string]string{
		"":                                               "-at",
		"-at 10.0.0.1:80":                                "-anywhere",
		"-at 127.0.0.1:1":                                "-class must name a class",
		"-class c -at 127.0.0.1:1 more":                  "one argument too many",
		"-class c -at 127.0.0.1:1 -front smtp":           "-front is",
		"-class c -at 127.0.0.1:1 -format xml":           "-format is",
		"-class c -at 127.0.0.1:1 -rate -1":              "rates must not be below 0",
		"-class c -at 127.0.0.1:1 -for 0s":               "length",
		"-class c -at 127.0.0.1:1 -connections 0":        "-connections",
		"-class c -at 127.0.0.1:1 -plot x.gif":           ".svg or .png",
		"-class c -at 127.0.0.1:1 -trace " + bad:         "line 2",
		"-class c -at 127.0.0.1:1 -trace " + dir + "/no": "no such file",
	} {
		err := run(context.Background(), strings.Fields(args), &bytes.Buffer{}, &bytes.Buffer{})
		require.ErrorContains(t, err, want, args)
		require.True(t, errors.As(err, new(usageError)), args)
	}
}
