package server

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// peersDir returns the directory with a file for each process of this dispatcher on this machine that has
// an admin API. The file's name is the process id, its content the API's address. During an upgrade there
// are two such processes.
func (o *adminOperations) peersDir() string {
	return filepath.Join(o.dir, "basaltloft-"+o.name+".peers")
}

// announce writes this process's file into peersDir; the returned function removes it.
func (o *adminOperations) announce(admin string) func() {
	dir := o.peersDir()
	self := filepath.Join(dir, strconv.Itoa(os.Getpid()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		o.s.log.Error("the other process of an upgrade can't find this one's admin API", "error", err)
		return func() {}
	}
	temp := self + ".new"
	err := os.WriteFile(temp, []byte(admin), 0o600)
	if err == nil {
		err = os.Rename(temp, self)
	}
	if err != nil {
		o.s.log.Error("the other process of an upgrade can't find this one's admin API", "error", err)
	}
	return func() { _ = os.Remove(self) } // if it stays, others ignore it: its process has ended
}

// forwardTimeout is the timeout for forwarding an update to one process.
const forwardTimeout = 300 * time.Millisecond

// forwardUpdate forwards a runner's update of a job that this process does not have to the other live
// processes of this dispatcher. If none of them accepts the update, it is dropped: the runner need not
// send it again.
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
		postUpdate(string(addr), text)
	}
}

// postUpdate forwards an update to one process. Errors are ignored: the process did not accept the update.
func postUpdate(address string, text []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/_jobs/news", bytes.NewReader(text))
	if err != nil {
		return
	}
	if response, err := forwardClient.Do(request); err == nil {
		_ = response.Body.Close() // nothing is read from it
	}
}

// forwardClient posts updates; each connection is closed afterwards.
var forwardClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// processAlive reports whether there is a process with this id.
func processAlive(pid int) bool {
	err := syscall.Kill(pid, 0)
	return err == nil || errors.Is(err, syscall.EPERM)
}
