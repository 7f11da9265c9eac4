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
	"basaltloft/internal/cluster/leader"
)

// identity is what a node's disk says of it. A node whose disk was lost draws a new ID: it is another
// member, and the votes of the old one are never given again. The identity file stores it by gob under
// these names: never rename a field.
type identity struct {
	ID       string              // of the member in all groups
	Founding *replica.Membership // the first membership of all groups; nil: the node is no founder
}

const identityFile = "identity"

// identityBytes is how many random bytes a drawn ID has; it is written in hexadecimal.
const identityBytes = 8

// errIdentityUnreadable is returned for an identity file that exists and can't be decoded.
var errIdentityUnreadable = errors.New("the identity on disk can't be read: what else is on the disk may be the last copy")

// loadIdentity reads the identity, or writes the one that create returns on an empty disk.
func loadIdentity(folder string, create func() (identity, error)) (identity, error) {
	content, err := os.ReadFile(filepath.Join(folder, identityFile))
	if err == nil {
		var found identity
		if err := gob.NewDecoder(bytes.NewReader(content)).Decode(&found); err != nil || found.ID == "" {
			return identity{}, errors.Wrapf(errIdentityUnreadable, "%s", folder)
		}
		// The process that wrote it may have been killed before the folder was synced.
		return found, errors.Wrap(ringlog.OSFileSystem{}.SyncDir(folder), "sync the data folder")
	}
	if !errors.Is(err, os.ErrNotExist) {
		return identity{}, errors.Wrap(err, "read the identity")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return identity{}, errors.Wrap(err, "make the data folder")
	}
	// Groups are written only after the identity: whatever else is in the folder was left by a process
	// that never took part, or was set aside.
	created, err := create()
	if err != nil {
		return identity{}, err
	}
	return created, created.save(folder)
}

// newIdentity returns the identity of this node on an empty disk.
func (n *Node) newIdentity() (identity, error) {
	random := make([]byte, identityBytes)
	if _, err := rand.Read(random); err != nil {
		return identity{}, errors.Wrap(err, "draw an identity")
	}
	id, founding := leader.FoundingMembership(n.settings.Bootstrap, n.seeds(), n.self.Address, hex.EncodeToString(random))
	return identity{ID: id, Founding: founding}, nil
}

// save writes the identity: after a loss of power the file is either absent or whole.
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

// writeSynced writes a file and syncs its content; its name is not synced yet.
func writeSynced(path string, content []byte) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write the identity")
	}
	defer func() { _ = file.Close() }() // Sync has reported what matters
	if _, err := file.Write(content); err != nil {
		return errors.Wrap(err, "write the identity")
	}
	return errors.Wrap(file.Sync(), "sync the identity")
}
