package httpfront

import (
	"fmt"
	"net/http"
)

// serveReady answers the ready check: whether clients should send new jobs to this process.
func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	s.serveHealth(w, r, s.engine.Ready() && !s.draining.Load())
}

// serveLive answers the liveness check, which succeeds whenever the process serves.
func (s *Server) serveLive(w http.ResponseWriter, r *http.Request) { s.serveHealth(w, r, true) }

// serveHealth answers a health check with 200 or 503.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request, healthy bool) {
	s.announceClose(w.Header())
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		rejectInput(w, http.StatusMethodNotAllowed, "health checks are read with GET")
	case healthy:
		_, _ = fmt.Fprintln(w, "ok") // a write error means that the client has disconnected
	default:
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}
