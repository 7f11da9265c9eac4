package server

import (
	"os"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/httpfront"
	"basaltloft/internal/dispatcher/override"
)

// closeIdleAfter is the time from the start of an operator's drain until the clients' idle connections
// are closed. Until then clients are still served on their open connections, so that they have time to
// notice the drain.
const closeIdleAfter = time.Second

// restoredRetention is how long the process stores the time at which a runner was put back. By then the
// runner has warmed up.
const restoredRetention = time.Minute

// adminOperations implements adminapi.Operations for this process. It shares state with the other
// processes of this dispatcher on this machine through files: see overrides_file.go and forward.go.
type adminOperations struct {
	s    *Service
	http *httpfront.Server
	dir  string // of the shared files: $TMPDIR
	name string // of the dispatcher

	mu             sync.Mutex
	overrides      *override.State
	closeIdleTimer *time.Timer // closes connections of a drain; nil: no drain
}

func newAdminOperations(s *Service, http *httpfront.Server) *adminOperations {
	return &adminOperations{s: s, http: http, dir: os.TempDir(), name: s.options.Config.Name, overrides: override.New()}
}

// Serving implements adminapi.Operations.
func (o *adminOperations) Serving() bool { return o.s.engine.Ready() && !o.s.isDraining() }

// TakeOut implements adminapi.Operations.
func (o *adminOperations) TakeOut(id string) error {
	if !o.s.engine.SetMemberOut(id, true, false) {
		return adminapi.ErrUnknownRunner
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overrides.TakeOut(id)
	return o.save()
}

// PutBack implements adminapi.Operations. A runner that is out can be put back even if it is in no
// membership list any more.
func (o *adminOperations) PutBack(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.s.engine.SetMemberOut(id, false, o.overrides.IsOut(id)) && !o.overrides.IsOut(id) {
		return adminapi.ErrUnknownRunner
	}
	now := time.Now()
	o.overrides.PutBack(id, now)
	o.overrides.ForgetRestoredBefore(now.Add(-restoredRetention))
	return o.save()
}

// Drain implements adminapi.Operations: the ready check fails at once. Clients are still served on their
// open connections; after closeIdleAfter, connections are closed when they are idle.
func (o *adminOperations) Drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.http.Drain()
	if o.closeIdleTimer == nil {
		var timer *time.Timer
		timer = time.AfterFunc(closeIdleAfter, func() { o.closeIdle(timer) })
		o.closeIdleTimer = timer
	}
}

// closeIdle closes idle connections, unless the drain that started the timer has been undone meanwhile.
func (o *adminOperations) closeIdle(timer *time.Timer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closeIdleTimer == timer {
		o.http.CloseIdleConnections()
	}
}

// Undrain implements adminapi.Operations. It does not undo a shutdown.
func (o *adminOperations) Undrain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closeIdleTimer != nil {
		o.closeIdleTimer.Stop()
		o.closeIdleTimer = nil
	}
	if !o.s.isDraining() {
		o.http.Undrain()
	}
}

// HandleForwardedUpdate implements adminapi.Operations.
func (o *adminOperations) HandleForwardedUpdate(text []byte) error {
	return o.http.HandleForwardedUpdate(text)
}
