package opconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"

	"github.com/cockroachdb/errors"
)

// Digest is the SHA-256 digest of an encoded configuration.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a configuration, computed from its bytes as they were sent.
func DigestOf(content []byte) Digest { return sha256.Sum256(content) }

// Change is the command of the replicated register: a configuration that replaces the version Base. The log
// stores it in gob encoding with these names, so that a field must never be renamed.
type Change struct {
	Base    int64 // the version that the change replaces; 0: there was none
	Version int64 // of Content
	Content []byte
}

// Encode returns the change in the encoding of the replicated log.
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
