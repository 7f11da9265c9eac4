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

// partAfter is when a drain that operators ask for closes the clients' connections
// between requests: clients that hold one are served on for this long, and a
// job that comes later than that is none that the front still sends.
const partAfter = time.Second

// handFor is how long what is kept of a runner put back by hand is worth
// handing over: it is warm by then.
const handFor = time.Minute

// operators is what the door sets: the service's side of it.
type operators struct {
	s    *Service
	http *httpfront.Server
	dir  string // where the state for a new version is kept; $TMPDIR
	name string

	mu      sync.Mutex
	hand    *override.State
	parting *time.Timer // the drain's closing of connections; nil: none
}

func newOperators(s *Service, http *httpfront.Server) *operators {
	return &operators{s: s, http: http, dir: os.TempDir(), name: s.options.Config.Name, hand: override.New()}
}

// Serving implements door.Operator.
func (o *operators) Serving() bool { return o.s.hub.Ready() && !o.s.isDraining() }

// TakeOut implements door.Operator.
func (o *operators) TakeOut(id string) error {
	if !o.s.hub.SetMemberOut(id, true, false) {
		return adminapi.ErrUnknownRunner
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hand.TakeOut(id)
	return o.save()
}

// PutBack implements door.Operator. A runner that is out is put back also when
// no list names it any more.
func (o *operators) PutBack(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.s.hub.SetMemberOut(id, false, o.hand.IsOut(id)) && !o.hand.IsOut(id) {
		return adminapi.ErrUnknownRunner
	}
	now := time.Now()
	o.hand.PutBack(id, now)
	o.hand.ForgetRestoredBefore(now.Add(-handFor))
	return o.save()
}

// Drain implements door.Operator: the ready check says no at once; clients on
// open connections are served on, and after partAfter their connections close
// between requests.
func (o *operators) Drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.http.Drain()
	if o.parting == nil {
		var due *time.Timer
		due = time.AfterFunc(partAfter, func() { o.part(due) })
		o.parting = due
	}
}

// part closes connections between requests, unless the drain that wanted it has been
// undone meanwhile.
func (o *operators) part(due *time.Timer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.parting == due {
		o.http.CloseIdleConnections()
	}
}

// Undrain implements door.Operator. It does not undo a planned end.
func (o *operators) Undrain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.parting != nil {
		o.parting.Stop()
		o.parting = nil
	}
	if !o.s.isDraining() {
		o.http.Undrain()
	}
}

// HandleForwardedUpdate implements door.Operator.
func (o *operators) HandleForwardedUpdate(text []byte) error {
	return o.http.HandleForwardedUpdate(text)
}

// statePath is the file of what operators set, for a new version of the program.
func (o *operators) statePath() string {
	return filepath.Join(o.dir, "basaltloft-"+o.name+".hand.json")
}

// save writes the state whole or not at all: into a file of its own first,
// then renamed over the old one. It is called with mu held.
func (o *operators) save() error {
	path := o.statePath()
	temp := path + "." + strconv.Itoa(os.Getpid())
	if err := os.WriteFile(temp, o.hand.Encode(o.name), 0o600); err != nil {
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
func (o *operators) restore() {
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
	o.hand = h
	now := time.Now()
	h.ForgetRestoredBefore(now.Add(-handFor))
	for _, id := range h.OutRunners() {
		o.s.hub.SetMemberOut(id, true, true)
	}
	for _, id := range h.RestoredRunners() {
		o.s.hub.MarkRestored(id, h.RestoredAt(id))
	}
	log.WithField("out", len(h.OutRunners())).Info("the operators' settings of an older process are taken over")
}

// peersDir holds a file for each process of this dispatcher that has a door:
// its process id names it, its door's address is in it.
func (o *operators) peersDir() string {
	return filepath.Join(o.dir, "basaltloft-"+o.name+".peers")
}

// announce writes this process's door for the others; the returned function
// takes it back.
func (o *operators) announce(admin string) func() {
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

// elsewhere hands news of a job that is not in hand here to the other live
// processes of this dispatcher, each within a short time. What nobody takes
// is dropped: the member has done its part.
func (o *operators) elsewhere(text []byte) {
	entries, err := os.ReadDir(o.peersDir())
	if err != nil {
		return
	}
	for _, e := range entries {
		pid, err := strconv.Atoi(e.Name())
		if err != nil || pid == os.Getpid() || !alive(pid) {
			continue
		}
		addr, err := os.ReadFile(filepath.Join(o.peersDir(), e.Name()))
		if err != nil || len(addr) == 0 {
			continue
		}
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(300*time.Millisecond))
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(addr)+"/_jobs/news", bytes.NewReader(text))
		if err == nil {
			if resp, err := handing.Do(req); err == nil {
				resp.Body.Close()
			}
		}
		cancel()
	}
}

// handing is the client of news handed on; its connections are not kept.
var handing = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func alive(pid int) bool {
	err := syscall.Kill(pid, 0)
	return err == nil || errors.Is(err, syscall.EPERM)
}
