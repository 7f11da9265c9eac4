package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/httpfront"
	"basaltloft/internal/dispatcher/override"
)

// closeIdleAfter is when a drain that operators ask for closes the clients' connections
// between requests: clients that hold one are served on for this long, and a
// job that comes later than that is none that the front still sends.
const closeIdleAfter = time.Second

// restoredRetention is how long what is kept of a runner put back by hand is worth
// handing over: it is warm by then.
const restoredRetention = time.Minute

// adminOperations is what the door sets: the service's side of it.
type adminOperations struct {
	s    *Service
	http *httpfront.Server
	dir  string // where the state for a new version is kept; $TMPDIR
	name string

	mu             sync.Mutex
	overrides      *override.State
	closeIdleTimer *time.Timer // the drain's closing of connections; nil: none
}

func newAdminOperations(s *Service, http *httpfront.Server) *adminOperations {
	return &adminOperations{s: s, http: http, dir: os.TempDir(), name: s.options.Config.Name, overrides: override.New()}
}

// Serving implements door.Operator.
func (o *adminOperations) Serving() bool { return o.s.engine.Ready() && !o.s.isDraining() }

// TakeOut implements door.Operator.
func (o *adminOperations) TakeOut(id string) error {
	if !o.s.engine.SetMemberOut(id, true, false) {
		return adminapi.ErrUnknownRunner
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overrides.TakeOut(id)
	return o.save()
}

// PutBack implements door.Operator. A runner that is out is put back also when
// no list names it any more.
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

// Drain implements door.Operator: the ready check says no at once; clients on
// open connections are served on, and after partAfter their connections close
// between requests.
func (o *adminOperations) Drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.http.Drain()
	if o.closeIdleTimer == nil {
		var due *time.Timer
		due = time.AfterFunc(closeIdleAfter, func() { o.closeIdle(due) })
		o.closeIdleTimer = due
	}
}

// closeIdle closes connections between requests, unless the drain that wanted it has been
// undone meanwhile.
func (o *adminOperations) closeIdle(due *time.Timer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closeIdleTimer == due {
		o.http.CloseIdleConnections()
	}
}

// Undrain implements door.Operator. It does not undo a planned end.
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

// HandleForwardedUpdate implements door.Operator.
func (o *adminOperations) HandleForwardedUpdate(text []byte) error {
	return o.http.HandleForwardedUpdate(text)
}

// statePath is the file of what operators set, for a new version of the program.
func (o *adminOperations) statePath() string {
	return filepath.Join(o.dir, "basaltloft-"+o.name+".hand.json")
}

// save writes the state whole or not at all: into a file of its own first,
// then renamed over the old one. It is called with mu held.
func (o *adminOperations) save() error {
	path := o.statePath()
	temp := path + "." + strconv.Itoa(os.Getpid())
	if err := os.WriteFile(temp, o.overrides.Encode(o.name), 0o600); err != nil {
		return fmt.Errorf("keeping the operators' settings: %w", err)
	}
	if err := os.Rename(temp, path); err != nil {
		os.Remove(temp)
		return fmt.Errorf("keeping the operators' settings: %w", err)
	}
	return nil
}

// restore takes over what an older process of this dispatcher kept. A file
// that is missing says nothing; one that can't be read is ignored with a log line.
func (o *adminOperations) restore() {
	text, err := os.ReadFile(o.statePath())
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	log := o.s.log.WithField("file", o.statePath())
	if err != nil {
		log.WithError(err).Error("the operators' settings of an older process can't be read and are ignored")
		return
	}
	h, err := override.Decode(text, o.name)
	if err != nil {
		log.WithError(err).Error("the operators' settings of an older process are ignored")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overrides = h
	now := time.Now()
	h.ForgetRestoredBefore(now.Add(-restoredRetention))
	for _, id := range h.OutRunners() {
		o.s.engine.SetMemberOut(id, true, true)
	}
	for _, id := range h.RestoredRunners() {
		o.s.engine.MarkRestored(id, h.RestoredAt(id))
	}
	log.WithField("out", len(h.OutRunners())).Info("the operators' settings of an older process are taken over")
}

// peersDir holds a file for each process of this dispatcher that has a door:
// its process id names it, its door's address is in it.
func (o *adminOperations) peersDir() string {
	return filepath.Join(o.dir, "basaltloft-"+o.name+".peers")
}

// announce writes this process's door for the others; the returned function
// takes it back.
func (o *adminOperations) announce(admin string) func() {
	dir := o.peersDir()
	self := filepath.Join(dir, strconv.Itoa(os.Getpid()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		o.s.log.WithError(err).Error("the other process of an upgrade can't be told of this one's door")
		return func() {}
	}
	temp := self + ".new"
	if err := os.WriteFile(temp, []byte(admin), 0o600); err == nil {
		err = os.Rename(temp, self)
	}
	return func() { os.Remove(self) }
}

// forwardUpdate hands news of a job that is not in hand here to the other live
// processes of this dispatcher, each within a short time. What nobody takes
// is dropped: the member has done its part.
func (o *adminOperations) forwardUpdate(text []byte) {
	entries, err := os.ReadDir(o.peersDir())
	if err != nil {
		return
	}
	for _, e := range entries {
		pid, err := strconv.Atoi(e.Name())
		if err != nil || pid == os.Getpid() || !processAlive(pid) {
			continue
		}
		addr, err := os.ReadFile(filepath.Join(o.peersDir(), e.Name()))
		if err != nil || len(addr) == 0 {
			continue
		}
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(300*time.Millisecond))
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(addr)+"/_jobs/news", bytes.NewReader(text))
		if err == nil {
			if resp, err := forwardClient.Do(req); err == nil {
				resp.Body.Close()
			}
		}
		cancel()
	}
}

// forwardClient is the client of news handed on; its connections are not kept.
var forwardClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func processAlive(pid int) bool {
	err := syscall.Kill(pid, 0)
	return err == nil || errors.Is(err, syscall.EPERM)
}
