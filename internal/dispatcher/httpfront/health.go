package httpfront

import (
	"fmt"
	"net/http"
)

// serveReady answers whether new jobs should be sent here.
func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	s.serveHealth(w, r, s.engine.Ready() && !s.draining.Load())
}

// serveLive answers that the process serves.
func (s *Server) serveLive(w http.ResponseWriter, r *http.Request) { s.serveHealth(w, r, true) }

// serveHealth answers a health check.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request, well bool) {
	s.announceClose(w.Header())
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		rejectInput(w, http.StatusMethodNotAllowed, "health checks are read with GET")
	case well:
		_, _ = fmt.Fprintln(w, "ok") // a client that has left needs no answer
	default:
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}
