package controlplane

import (
	"bytes"
	"crypto/rand"
	"encoding/gob"
	"encoding/hex"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
)

// identity is what a process's disk says of it. A process whose disk was lost draws a new
// ID: it is another member, and the votes of the old one are never given again.
type identity struct {
	ID       string
	Founding *replica.Membership // the first membership of all groups, once it was decided
}

const identityFile = "identity"

// loadIdentity reads the identity, or draws one on an empty disk.
func loadIdentity(folder string) (identity, error) {
	content, err := os.ReadFile(filepath.Join(folder, identityFile))
	if err == nil {
		var found identity
		if gob.NewDecoder(bytes.NewReader(content)).Decode(&found) == nil && found.ID != "" {
			// The last life may have been killed before its folder was synced.
			return found, errors.Wrap(ringlog.OSFiles{}.SyncFolder(folder), "sync the data folder")
		}
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return identity{}, errors.Wrap(err, "read the identity")
	}
	if err := empty(folder); err != nil {
		return identity{}, err
	}
	drawn := make([]byte, 8)
	if _, err := rand.Read(drawn); err != nil {
		return identity{}, errors.Wrap(err, "draw an identity")
	}
	fresh := identity{ID: hex.EncodeToString(drawn)}
	return fresh, fresh.save(folder)
}

// empty removes what an identity that can't be read has left.
func empty(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "make the data folder")
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return errors.Wrap(err, "list the data folder")
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(folder, entry.Name())); err != nil {
			return errors.Wrap(err, "empty the data folder")
		}
	}
	return nil
}

// save writes the identity so that it is either the old or the new one after a loss of power.
func (i identity) save(folder string) error {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(i); err != nil {
		return errors.Wrap(err, "encode the identity")
	}
	path := filepath.Join(folder, identityFile)
	if err := writeSynced(path+".new", body.Bytes()); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errors.Wrap(err, "put the identity in place")
	}
	return errors.Wrap(ringlog.OSFiles{}.SyncFolder(folder), "sync the data folder")
}

func writeSynced(path string, content []byte) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write the identity")
	}
	defer file.Close()
	if _, err := file.Write(content); err != nil {
		return errors.Wrap(err, "write the identity")
	}
	return errors.Wrap(file.Sync(), "sync the identity")
}
