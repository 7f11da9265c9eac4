package state

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// snapshotMagic holds the first bytes of every snapshot.
var snapshotMagic = []byte("basaltloft fleet\n")

// ErrInvalidSnapshot is returned for a snapshot that is incomplete or corrupt, or was written
// by another program or version.
var ErrInvalidSnapshot = errors.New("not a complete snapshot of this program's version")

// storedMachine is the machine's own section of a snapshot. It is stored under its field
// names, or the names in their tags.
type storedMachine struct {
	Version    uint8           `cbor:"V"`
	Settings   settingsInForce `cbor:"Set"`
	Now        time.Duration   `cbor:"At"`
	Index      uint64
	Members    []*Member
	Digests    digestReports `cbor:"Sums"`
	Boots      []bootCount
	Partitions []string `cbor:"Parts"` // the partitions whose sections follow, in this order
}

// encodeMembership encodes the machine's own section of a snapshot.
func (m *Machine) encodeMembership() ([]byte, error) {
	stored := storedMachine{Version: Version, Settings: m.settings, Now: m.now, Index: m.index, Members: m.members, Digests: m.digests, Boots: m.boots}
	for _, p := range m.partitions {
		stored.Partitions = append(stored.Partitions, p.Name())
	}
	return codec.Encode(stored)
}

// Snapshot returns the state as it is now, to be written while later commands are applied.
func (m *Machine) Snapshot() (Snapshot, error) {
	own, err := m.encodeMembership()
	if err != nil {
		return Snapshot{}, err
	}
	var all []Snapshot
	release := func() {
		for _, s := range all {
			s.Discard()
		}
	}
	for _, p := range m.partitions {
		s, err := p.Snapshot()
		if err != nil {
			release()
			return Snapshot{}, fmt.Errorf("taking a snapshot of %s: %w", p.Name(), err)
		}
		all = append(all, s)
	}
	return Snapshot{Release: release, Write: func(w io.Writer) error {
		if _, err := w.Write(snapshotMagic); err != nil {
			return err
		}
		if err := writeSection(w, func(w io.Writer) error { _, err := w.Write(own); return err }); err != nil {
			return err
		}
		for _, s := range all {
			if err := writeSection(w, s.Write); err != nil {
				return err
			}
		}
		return nil
	}}, nil
}

// Restore replaces the state by a snapshot. On an error the state is either unchanged or
// inconsistent between partitions: the replica must then restore another one before it
// serves anything.
func (m *Machine) Restore(r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	magic := make([]byte, len(snapshotMagic))
	if _, err := io.ReadFull(in, magic); err != nil || !bytes.Equal(magic, snapshotMagic) {
		return fmt.Errorf("%w: wrong magic bytes", ErrInvalidSnapshot)
	}
	text, err := io.ReadAll(&chunkReader{src: in})
	if err != nil {
		return err
	}
	var stored storedMachine
	if err := codec.Decode(text, &stored); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if stored.Version != Version || len(stored.Partitions) != len(m.partitions) {
		return fmt.Errorf("%w: version %d with %d partitions", ErrInvalidSnapshot, stored.Version, len(stored.Partitions))
	}
	for i, p := range m.partitions {
		if p.Name() != stored.Partitions[i] {
			return fmt.Errorf("%w: partition %s where %s is expected", ErrInvalidSnapshot, stored.Partitions[i], p.Name())
		}
	}
	for _, p := range m.partitions {
		c := &chunkReader{src: in}
		if err := p.Restore(c); err != nil {
			return fmt.Errorf("restoring %s: %w", p.Name(), err)
		}
		if _, err := io.Copy(io.Discard, c); err != nil { // reads the rest of the section, which verifies the last checksums
			return fmt.Errorf("restoring %s: %w", p.Name(), err)
		}
	}
	m.settings, m.now, m.index, m.members, m.digests, m.boots = stored.Settings, stored.Now, stored.Index, stored.Members, stored.Digests, stored.Boots
	return nil
}
