package state

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// snapshotMagic begins a snapshot; a file of anything else is foreign.
var snapshotMagic = []byte("basaltloft fleet\n")

// ErrForeign says that a snapshot is of another program or version, or not whole.
var ErrForeign = errors.New("not a whole snapshot of this program's version")

// storedMachine is what the machine itself has in a snapshot.
type storedMachine struct {
	Version  uint8           `cbor:"V"`
	Settings settingsInForce `cbor:"Set"`
	Now      time.Duration   `cbor:"At"`
	Index    uint64
	Members  []*Member
	Digests  digestReports `cbor:"Sums"`
	Boots    []bootCount
	Parts    []string // which follow, in this order
}

// encodeMembership encodes what the machine itself keeps.
func (m *Machine) encodeMembership() ([]byte, error) {
	k := storedMachine{Version: Version, Settings: m.settings, Now: m.now, Index: m.index, Members: m.members, Digests: m.digests, Boots: m.boots}
	for _, p := range m.partitions {
		k.Parts = append(k.Parts, p.Name())
	}
	return codec.Encode(k)
}

// Digests sums up the machine's own part, as "members", and each of the parts. What
// replicas told of earlier digests is left out: they compare the state, not that.
func (m *Machine) Digests() (map[string]uint64, error) {
	text, err := codec.Encode(struct {
		At      time.Duration
		Set     settingsInForce
		Members []*Member
	}{m.now, m.settings, m.members})
	if err != nil {
		return nil, err
	}
	all := map[string]uint64{"members": codec.Digest(text)}
	for _, p := range m.partitions {
		if all[p.Name()], err = p.Digest(); err != nil {
			return nil, fmt.Errorf("summing up %s: %w", p.Name(), err)
		}
	}
	return all, nil
}

// Snapshot takes the state as it is, while later commands are applied.
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

// Restore replaces the state by a snapshot. On an error the state is as it was, or
// the parts differ from one another: the replica must take a state anew then.
func (m *Machine) Restore(r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	mark := make([]byte, len(snapshotMagic))
	if _, err := io.ReadFull(in, mark); err != nil || !bytes.Equal(mark, snapshotMagic) {
		return fmt.Errorf("%w: it does not begin like one", ErrForeign)
	}
	text, err := io.ReadAll(&chunkReader{src: in})
	if err != nil {
		return err
	}
	var k storedMachine
	if err := codec.Decode(text, &k); err != nil {
		return fmt.Errorf("%w: %w", ErrForeign, err)
	}
	if k.Version != Version || len(k.Parts) != len(m.partitions) {
		return fmt.Errorf("%w: version %d with %d parts", ErrForeign, k.Version, len(k.Parts))
	}
	for i, p := range m.partitions {
		if p.Name() != k.Parts[i] {
			return fmt.Errorf("%w: part %s where %s is expected", ErrForeign, k.Parts[i], p.Name())
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

// A chunk is its length and its sum, 4 bytes each, and then its bytes; one of no
// length ends a section. So a section needs no length before it is written.
const maxChunk = 256 << 10

func writeSection(w io.Writer, write func(io.Writer) error) error {
	c := &chunkWriter{dst: w}
	b := bufio.NewWriterSize(c, maxChunk)
	if err := write(b); err != nil {
		return err
	}
	if err := b.Flush(); err != nil {
		return err
	}
	return c.writeChunk(nil)
}

type chunkWriter struct{ dst io.Writer }

func (c *chunkWriter) Write(text []byte) (n int, err error) {
	for n < len(text) {
		part := text[n:min(len(text), n+maxChunk)]
		if err := c.writeChunk(part); err != nil {
			return n, err
		}
		n += len(part)
	}
	return n, nil
}

func (c *chunkWriter) writeChunk(part []byte) error {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(part)))
	head = binary.BigEndian.AppendUint32(head, crc32.ChecksumIEEE(part))
	if _, err := c.dst.Write(head); err != nil {
		return err
	}
	_, err := c.dst.Write(part)
	return err
}

// chunkReader reads a section.
type chunkReader struct {
	src     io.Reader
	pending []byte
	eof     bool
}

func (c *chunkReader) Read(into []byte) (int, error) {
	for len(c.pending) == 0 {
		if c.eof {
			return 0, io.EOF
		}
		var head [8]byte
		if _, err := io.ReadFull(c.src, head[:]); err != nil {
			return 0, fmt.Errorf("%w: cut short", ErrForeign)
		}
		n := binary.BigEndian.Uint32(head[:4])
		if n > maxChunk {
			return 0, fmt.Errorf("%w: a chunk of %d bytes", ErrForeign, n)
		}
		part := make([]byte, n)
		if _, err := io.ReadFull(c.src, part); err != nil {
			return 0, fmt.Errorf("%w: cut short", ErrForeign)
		}
		if crc32.ChecksumIEEE(part) != binary.BigEndian.Uint32(head[4:]) {
			return 0, fmt.Errorf("%w: a chunk's sum is wrong", ErrForeign)
		}
		c.pending, c.eof = part, n == 0
	}
	n := copy(into, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}
