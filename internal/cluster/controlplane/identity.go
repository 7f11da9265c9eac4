package controlplane

import (
	"bytes"
	"crypto/rand"
	"encoding/gob"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
	"basaltloft/internal/cluster/leader"
)

// identity is what a process's disk says of it. A process whose disk was lost draws a new
// ID: it is another member, and the votes of the old one are never given again.
type identity struct {
	ID       string
	Founding *replica.Membership // the first membership of all groups, if it is a founder's
}

const identityFile = "identity"

// errIdentity is an identity that is there and can't be read.
var errIdentity = errors.New("the identity on disk can't be read: what else is on the disk may be the last copy")

// loadIdentity reads the identity, or makes one on an empty disk.
func loadIdentity(folder string, fresh func() (identity, error)) (identity, error) {
	content, err := os.ReadFile(filepath.Join(folder, identityFile))
	if err == nil {
		var found identity
		if decoded := gob.NewDecoder(bytes.NewReader(content)).Decode(&found); decoded != nil || found.ID == "" {
			return identity{}, errors.Wrapf(errIdentity, "%s", folder)
		}
		// The last life may have been killed before its folder was synced.
		return found, errors.Wrap(ringlog.OSFileSystem{}.SyncDir(folder), "sync the data folder")
	}
	if !errors.Is(err, os.ErrNotExist) {
		return identity{}, errors.Wrap(err, "read the identity")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return identity{}, errors.Wrap(err, "make the data folder")
	}
	// Groups are written only after the identity: what else is here an earlier life left
	// behind, or was set aside.
	drawn, err := fresh()
	if err != nil {
		return identity{}, err
	}
	return drawn, drawn.save(folder)
}

// freshIdentity is the identity of this process on an empty disk.
func (c *Node) freshIdentity() (identity, error) {
	drawn := make([]byte, 8)
	if _, err := rand.Read(drawn); err != nil {
		return identity{}, errors.Wrap(err, "draw an identity")
	}
	id, founding := leader.FoundingMembership(c.settings.Bootstrap, c.settings.SeedAddresses(), c.self.Address, hex.EncodeToString(drawn))
	return identity{ID: id, Founding: founding}, nil
}

// setAsidePrefix begins the names of folders with state that is not used any more.
const setAsidePrefix = "set-aside-"

// setAside moves what the folder holds into one of its own, in place of what was set aside
// before, and syncs that: the process then starts as on an empty disk.
func setAside(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return errors.Wrap(err, "list the data folder")
	}
	aside := filepath.Join(folder, setAsidePrefix+"state")
	if err := os.RemoveAll(aside); err != nil {
		return errors.Wrap(err, "remove what was set aside before")
	}
	if err := os.MkdirAll(aside, 0o755); err != nil {
		return errors.Wrap(err, "make a folder for the damaged state")
	}
	// The identity goes last: until then the process is who it was.
	slices.SortFunc(entries, func(a, b os.DirEntry) int { return identityLast(a) - identityLast(b) })
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), setAsidePrefix) {
			continue
		}
		if err := os.Rename(filepath.Join(folder, entry.Name()), filepath.Join(aside, entry.Name())); err != nil {
			return errors.Wrap(err, "set the damaged state aside")
		}
	}
	if err := (ringlog.OSFileSystem{}).SyncDir(aside); err != nil {
		return errors.Wrap(err, "sync the damaged state's folder")
	}
	return errors.Wrap(ringlog.OSFileSystem{}.SyncDir(folder), "sync the data folder")
}

func identityLast(entry os.DirEntry) int {
	if entry.Name() == identityFile {
		return 1
	}
	return 0
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
	return errors.Wrap(ringlog.OSFileSystem{}.SyncDir(folder), "sync the data folder")
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
