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

// snapshotMagic begins a snapshot.
var snapshotMagic = []byte("basaltloft fleet\n")

// ErrInvalidSnapshot says that a snapshot is of another program or version, or incomplete.
var ErrInvalidSnapshot = errors.New("not a whole snapshot of this program's version")

// storedMachine is the machine's own section of a snapshot, stored by the field names in
// its tags.
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
	k := storedMachine{Version: Version, Settings: m.settings, Now: m.now, Index: m.index, Members: m.members, Digests: m.digests, Boots: m.boots}
	for _, p := range m.partitions {
		k.Partitions = append(k.Partitions, p.Name())
	}
	return codec.Encode(k)
}

// Snapshot returns the state as it is now, to be written while later commands are applied.
func (m *Machine) Snapshot() (Snapshot, error) {
	own, err := m.encodeMembership()
	if err != nil {
		return Snapshot{}, err
	}
	var all []Snapshot
	release := func() {
		for _, f := range all {
			f.Discard()
		}
	}
	for _, p := range m.partitions {
		f, err := p.Snapshot()
		if err != nil {
			release()
			return Snapshot{}, fmt.Errorf("freezing %s: %w", p.Name(), err)
		}
		all = append(all, f)
	}
	return Snapshot{Release: release, Write: func(w io.Writer) error {
		if _, err := w.Write(snapshotMagic); err != nil {
			return err
		}
		if err := writeSection(w, func(w io.Writer) error { _, err := w.Write(own); return err }); err != nil {
			return err
		}
		for _, f := range all {
			if err := writeSection(w, f.Write); err != nil {
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
		return fmt.Errorf("%w: it does not begin like one", ErrInvalidSnapshot)
	}
	text, err := io.ReadAll(&chunkReader{src: in})
	if err != nil {
		return err
	}
	var k storedMachine
	if err := codec.Decode(text, &k); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if k.Version != Version || len(k.Partitions) != len(m.partitions) {
		return fmt.Errorf("%w: version %d with %d parts", ErrInvalidSnapshot, k.Version, len(k.Partitions))
	}
	for i, p := range m.partitions {
		if p.Name() != k.Partitions[i] {
			return fmt.Errorf("%w: part %s where %s is expected", ErrInvalidSnapshot, k.Partitions[i], p.Name())
		}
	}
	for _, p := range m.partitions {
		c := &chunkReader{src: in}
		if err := p.Restore(c); err != nil {
			return fmt.Errorf("thawing %s: %w", p.Name(), err)
		}
		if _, err := io.Copy(io.Discard, c); err != nil { // its last sum must be right, too
			return fmt.Errorf("thawing %s: %w", p.Name(), err)
		}
	}
	m.settings, m.now, m.index, m.members, m.digests, m.boots = k.Settings, k.Now, k.Index, k.Members, k.Digests, k.Boots
	return nil
}
