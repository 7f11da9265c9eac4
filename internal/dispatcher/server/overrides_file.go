package server

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"basaltloft/internal/dispatcher/override"
)

// statePath returns the path of the file in which the overrides are saved, for a new version of the
// program that is started beside this one.
func (o *adminOperations) statePath() string {
	return filepath.Join(o.dir, "basaltloft-"+o.name+".hand.json")
}

// save writes the overrides completely or not at all: it writes a temporary file and renames it over the
// old one. The caller must hold the lock.
func (o *adminOperations) save() error {
	path := o.statePath()
	temp := path + "." + strconv.Itoa(os.Getpid())
	if err := os.WriteFile(temp, o.overrides.Encode(o.name), 0o600); err != nil {
		return fmt.Errorf("keeping the operators' settings: %w", err)
	}
	if err := os.Rename(temp, path); err != nil {
		_ = os.Remove(temp) // the error that matters is returned
		return fmt.Errorf("keeping the operators' settings: %w", err)
	}
	return nil
}

// restore applies the overrides that an older process of this dispatcher saved, if there are any. If the
// file can't be read, it logs an error and continues without them.
func (o *adminOperations) restore() {
	text, err := os.ReadFile(o.statePath())
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	log := o.s.log.With("file", o.statePath())
	if err != nil {
		log.Error("the operators' settings of an older process can't be read and are ignored", "error", err)
		return
	}
	saved, err := override.Decode(text, o.name)
	if err != nil {
		log.Error("the operators' settings of an older process are ignored", "error", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overrides = saved
	now := time.Now()
	saved.ForgetRestoredBefore(now.Add(-restoredRetention))
	for _, id := range saved.OutMembers() {
		o.s.engine.SetMemberOut(id, true, true)
	}
	for _, id := range saved.RestoredMembers() {
		o.s.engine.MarkRestored(id, saved.RestoredAt(id))
	}
	log.Info("the operators' settings of an older process are taken over", "out", len(saved.OutMembers()))
}
