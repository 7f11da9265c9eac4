package state

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
)

// maxChunk is the largest chunk of a section, in bytes. A section is a sequence of chunks:
// length and checksum (CRC-32) in 4 bytes each, then the bytes. An empty chunk ends the
// section, so that its length need not be known before it is written.
const maxChunk = 256 << 10

// writeSection writes one section.
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

// chunkWriter splits the written bytes into chunks.
type chunkWriter struct{ dst io.Writer }

func (c *chunkWriter) Write(text []byte) (n int, err error) {
	for n < len(text) {
		chunk := text[n:min(len(text), n+maxChunk)]
		if err := c.writeChunk(chunk); err != nil {
			return n, err
		}
		n += len(chunk)
	}
	return n, nil
}

func (c *chunkWriter) writeChunk(chunk []byte) error {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(chunk)))
	head = binary.BigEndian.AppendUint32(head, crc32.ChecksumIEEE(chunk))
	if _, err := c.dst.Write(head); err != nil {
		return err
	}
	_, err := c.dst.Write(chunk)
	return err
}

// chunkReader reads one section. Its errors wrap ErrInvalidSnapshot.
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
			return 0, fmt.Errorf("%w: truncated", ErrInvalidSnapshot)
		}
		n := binary.BigEndian.Uint32(head[:4])
		if n > maxChunk {
			return 0, fmt.Errorf("%w: a chunk of %d bytes", ErrInvalidSnapshot, n)
		}
		chunk := make([]byte, n)
		if _, err := io.ReadFull(c.src, chunk); err != nil {
			return 0, fmt.Errorf("%w: truncated", ErrInvalidSnapshot)
		}
		if crc32.ChecksumIEEE(chunk) != binary.BigEndian.Uint32(head[4:]) {
			return 0, fmt.Errorf("%w: a chunk has a wrong checksum", ErrInvalidSnapshot)
		}
		c.pending, c.eof = chunk, n == 0
	}
	n := copy(into, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}
