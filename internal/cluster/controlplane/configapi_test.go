package controlplane

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestReplaceOfAnIncompleteBody: a body that is cut short is not rejected for good; one that is too
// large is.
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

// truncatedBody has some bytes and then fails.
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
