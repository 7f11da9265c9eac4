package opconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"

	"github.com/cockroachdb/errors"
)

// Digest stands for a configuration's bytes.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a configuration as it was sent.
func DigestOf(content []byte) Digest { return sha256.Sum256(content) }

// Change is the command of the register: a configuration on top of a version.
type Change struct {
	Base    int64
	Version int64
	Content []byte
}

// Encode returns the change as bytes.
func (c Change) Encode() ([]byte, error) {
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(c)
	return body.Bytes(), errors.Wrap(err, "encode a change of the configuration")
}

// Verdict is what became of a change.
type Verdict uint8

// Verdicts.
const (
	Taken    Verdict = iota + 1
	WasTaken         // that very configuration had been taken before
	Conflict         // another version is current
	Stale            // its version is not above the current one
)

// Register holds the newest configuration and remembers each that was taken.
type Register struct {
	Version int64
	Content []byte
	Taken   map[int64]Digest
	// Backends lists, by queue, each service that the queue was ever sent to, newest last:
	// a job handed in before a change is found where it was accepted.
	Backends map[string][]string

	parsed *Config
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{Taken: map[int64]Digest{}, Backends: map[string][]string{}}
}

// Judge says what Apply would make of a change now.
func (r *Register) Judge(c Change) Verdict {
	if digest, ok := r.Taken[c.Version]; ok && digest == DigestOf(c.Content) {
		return WasTaken
	}
	if c.Base != r.Version {
		return Conflict
	}
	if c.Version <= r.Version {
		return Stale
	}
	return Taken
}

// Apply carries a change out.
func (r *Register) Apply(c Change) Verdict {
	verdict := r.Judge(c)
	if verdict != Taken {
		return verdict
	}
	config, err := Read(c.Content)
	if err != nil {
		return Stale
	}
	r.Version, r.Content, r.parsed = c.Version, c.Content, config
	r.Taken[c.Version] = DigestOf(c.Content)
	for at := range config.Routes {
		r.noteBackend(&config.Routes[at])
	}
	return Taken
}

func (r *Register) noteBackend(route *Route) {
	known := r.Backends[route.Queue()]
	if len(known) > 0 && known[len(known)-1] == route.Backend {
		return
	}
	r.Backends[route.Queue()] = append(known[:len(known):len(known)], route.Backend)
}

// Current returns the newest configuration; nil: there is none yet.
func (r *Register) Current() *Config { return r.parsed }

// ApplyBytes carries out an encoded change.
func (r *Register) ApplyBytes(command []byte) Verdict {
	var c Change
	if gob.NewDecoder(bytes.NewReader(command)).Decode(&c) != nil {
		return Stale
	}
	return r.Apply(c)
}

// Snapshot returns the whole state.
func (r *Register) Snapshot() ([]byte, error) {
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(r)
	return body.Bytes(), errors.Wrap(err, "encode the configuration")
}

// Restore replaces the whole state.
func (r *Register) Restore(content []byte) error {
	next := NewRegister()
	if err := gob.NewDecoder(bytes.NewReader(content)).Decode(next); err != nil {
		return errors.Wrap(err, "decode the configuration")
	}
	if len(next.Content) > 0 {
		config, err := Read(next.Content)
		if err != nil {
			return err
		}
		next.parsed = config
	}
	*r = *next
	return nil
}
