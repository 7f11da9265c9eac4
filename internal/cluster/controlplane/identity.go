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

// identity is the persistent identity of a node. A node that lost its disk generates a new ID and joins as
// a new member: it no longer knows the votes that the old member gave, so it must not vote under the old
// ID. The identity file stores this struct by gob with its field names: never rename a field.
type identity struct {
	ID       string              // member ID of the node in all groups
	Founding *replica.Membership // initial membership of all groups; nil: the node is not an initial member
}

const identityFile = "identity"

// identityBytes is the number of random bytes of a generated ID, which is written in hexadecimal.
const identityBytes = 8

// errIdentityUnreadable is returned by loadIdentity for an identity file that exists but can't be decoded.
var errIdentityUnreadable = errors.New("the identity file can't be decoded; other data on the disk is kept because it may be the last copy")

// loadIdentity reads the identity from the data folder. If there is none, it writes and returns the one
// that create returns.
func loadIdentity(folder string, create func() (identity, error)) (identity, error) {
	content, err := os.ReadFile(filepath.Join(folder, identityFile))
	if err == nil {
		var found identity
		if err := gob.NewDecoder(bytes.NewReader(content)).Decode(&found); err != nil || found.ID == "" {
			return identity{}, errors.Wrapf(errIdentityUnreadable, "%s", folder)
		}
		// The process that wrote the file may have been killed before it synced the folder.
		return found, errors.Wrap(ringlog.OSFileSystem{}.SyncDir(folder), "sync the data folder")
	}
	if !errors.Is(err, os.ErrNotExist) {
		return identity{}, errors.Wrap(err, "read the identity")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return identity{}, errors.Wrap(err, "make the data folder")
	}
	// Groups write to the folder only after the identity exists. Anything else in the folder was left by a
	// process that never participated in a group, or was set aside.
	created, err := create()
	if err != nil {
		return identity{}, err
	}
	return created, created.save(folder)
}

// newIdentity returns a new identity for this node when its disk is empty.
func (n *Node) newIdentity() (identity, error) {
	random := make([]byte, identityBytes)
	if _, err := rand.Read(random); err != nil {
		return identity{}, errors.Wrap(err, "generate an identity")
	}
	id, founding := leader.FoundingMembership(n.settings.Bootstrap, n.seeds(), n.self.Address, hex.EncodeToString(random))
	return identity{ID: id, Founding: founding}, nil
}

// save writes the identity file atomically: after a power failure it is either absent or complete.
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
		return errors.Wrap(err, "rename the new identity file")
	}
	return errors.Wrap(ringlog.OSFileSystem{}.SyncDir(folder), "sync the data folder")
}

// writeSynced writes a file and syncs its content. It does not sync the folder, so the file's name may still
// be lost.
func writeSynced(path string, content []byte) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write the identity")
	}
	defer func() { _ = file.Close() }() // errors that matter were reported by Sync
	if _, err := file.Write(content); err != nil {
		return errors.Wrap(err, "write the identity")
	}
	return errors.Wrap(file.Sync(), "sync the identity")
}
