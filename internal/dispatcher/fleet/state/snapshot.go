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

// magic begins a snapshot; a file of anything else is foreign.
var magic = []byte("basaltloft fleet\n")

// ErrForeign says that a snapshot is of another program or version, or not whole.
var ErrForeign = errors.New("not a whole snapshot of this program's version")

// kept is what the machine itself has in a snapshot.
type kept struct {
	V       uint8
	Set     setting
	At      time.Duration
	Index   uint64
	Members []*Member
	Sums    sums
	Boots   []boot
	Parts   []string // which follow, in this order
}

// own encodes what the machine itself keeps.
func (m *Machine) own() ([]byte, error) {
	k := kept{V: Version, Set: m.set, At: m.at, Index: m.index, Members: m.members, Sums: m.sums, Boots: m.boots}
	for _, p := range m.parts {
		k.Parts = append(k.Parts, p.Name())
	}
	return codec.Encode(k)
}

// Digests sums up the machine's own part, as "members", and each of the parts. What
// replicas told of earlier digests is left out: they compare the state, not that.
func (m *Machine) Digests() (map[string]uint64, error) {
	text, err := codec.Encode(struct {
		At      time.Duration
		Set     setting
		Members []*Member
	}{m.at, m.set, m.members})
	if err != nil {
		return nil, err
	}
	all := map[string]uint64{"members": codec.Digest(text)}
	for _, p := range m.parts {
		if all[p.Name()], err = p.Digest(); err != nil {
			return nil, fmt.Errorf("summing up %s: %w", p.Name(), err)
		}
	}
	return all, nil
}

// Freeze takes the state as it is, while later commands are applied.
func (m *Machine) Freeze() (Frozen, error) {
	own, err := m.own()
	if err != nil {
		return Frozen{}, err
	}
	var all []Frozen
	release := func() {
		for _, f := range all {
			f.Let()
		}
	}
	for _, p := range m.parts {
		f, err := p.Freeze()
		if err != nil {
			release()
			return Frozen{}, fmt.Errorf("freezing %s: %w", p.Name(), err)
		}
		all = append(all, f)
	}
	return Frozen{Release: release, Write: func(w io.Writer) error {
		if _, err := w.Write(magic); err != nil {
			return err
		}
		if err := writeChunks(w, func(w io.Writer) error { _, err := w.Write(own); return err }); err != nil {
			return err
		}
		for _, f := range all {
			if err := writeChunks(w, f.Write); err != nil {
				return err
			}
		}
		return nil
	}}, nil
}

// Thaw replaces the state by a snapshot. On an error the state is as it was, or
// the parts differ from one another: the replica must take a state anew then.
func (m *Machine) Thaw(r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	mark := make([]byte, len(magic))
	if _, err := io.ReadFull(in, mark); err != nil || !bytes.Equal(mark, magic) {
		return fmt.Errorf("%w: it does not begin like one", ErrForeign)
	}
	text, err := io.ReadAll(&chunks{in: in})
	if err != nil {
		return err
	}
	var k kept
	if err := codec.Decode(text, &k); err != nil {
		return fmt.Errorf("%w: %w", ErrForeign, err)
	}
	if k.V != Version || len(k.Parts) != len(m.parts) {
		return fmt.Errorf("%w: version %d with %d parts", ErrForeign, k.V, len(k.Parts))
	}
	for i, p := range m.parts {
		if p.Name() != k.Parts[i] {
			return fmt.Errorf("%w: part %s where %s is expected", ErrForeign, k.Parts[i], p.Name())
		}
	}
	for _, p := range m.parts {
		c := &chunks{in: in}
		if err := p.Thaw(c); err != nil {
			return fmt.Errorf("thawing %s: %w", p.Name(), err)
		}
		if _, err := io.Copy(io.Discard, c); err != nil { // its last sum must be right, too
			return fmt.Errorf("thawing %s: %w", p.Name(), err)
		}
	}
	m.set, m.at, m.index, m.members, m.sums, m.boots = k.Set, k.At, k.Index, k.Members, k.Sums, k.Boots
	return nil
}

// A chunk is its length and its sum, 4 bytes each, and then its bytes; one of no
// length ends a section. So a section needs no length before it is written.
const chunkSize = 256 << 10

func writeChunks(w io.Writer, write func(io.Writer) error) error {
	c := &chunker{to: w}
	b := bufio.NewWriterSize(c, chunkSize)
	if err := write(b); err != nil {
		return err
	}
	if err := b.Flush(); err != nil {
		return err
	}
	return c.put(nil)
}

type chunker struct{ to io.Writer }

func (c *chunker) Write(text []byte) (n int, err error) {
	for n < len(text) {
		part := text[n:min(len(text), n+chunkSize)]
		if err := c.put(part); err != nil {
			return n, err
		}
		n += len(part)
	}
	return n, nil
}

func (c *chunker) put(part []byte) error {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(part)))
	head = binary.BigEndian.AppendUint32(head, crc32.ChecksumIEEE(part))
	if _, err := c.to.Write(head); err != nil {
		return err
	}
	_, err := c.to.Write(part)
	return err
}

// chunks reads a section.
type chunks struct {
	in   io.Reader
	left []byte
	end  bool
}

func (c *chunks) Read(into []byte) (int, error) {
	for len(c.left) == 0 {
		if c.end {
			return 0, io.EOF
		}
		var head [8]byte
		if _, err := io.ReadFull(c.in, head[:]); err != nil {
			return 0, fmt.Errorf("%w: cut short", ErrForeign)
		}
		n := binary.BigEndian.Uint32(head[:4])
		if n > chunkSize {
			return 0, fmt.Errorf("%w: a chunk of %d bytes", ErrForeign, n)
		}
		part := make([]byte, n)
		if _, err := io.ReadFull(c.in, part); err != nil {
			return 0, fmt.Errorf("%w: cut short", ErrForeign)
		}
		if crc32.ChecksumIEEE(part) != binary.BigEndian.Uint32(head[4:]) {
			return 0, fmt.Errorf("%w: a chunk's sum is wrong", ErrForeign)
		}
		c.left, c.end = part, n == 0
	}
	n := copy(into, c.left)
	c.left = c.left[n:]
	return n, nil
}
