package opconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"

	"github.com/cockroachdb/errors"
)

// Digest identifies a configuration by its bytes.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a configuration as it was sent.
func DigestOf(content []byte) Digest { return sha256.Sum256(content) }

// Change is the register's command: a configuration that replaces the version Base. The log stores
// it by gob under these names: never rename a field.
type Change struct {
	Base    int64 // the version that the change builds on; 0: none
	Version int64 // of Content
	Content []byte
}

// Encode returns the change as the replicated log stores it.
func (c Change) Encode() ([]byte, error) {
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(c)
	return body.Bytes(), errors.Wrap(err, "encode a change of the configuration")
}

func decodeChange(command []byte) (Change, error) {
	var change Change
	err := gob.NewDecoder(bytes.NewReader(command)).Decode(&change)
	return change, errors.Wrap(err, "decode a change of the configuration")
}
