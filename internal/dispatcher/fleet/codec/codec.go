// Package codec is the form in which the fleet layer writes what its processes
// exchange and keep: CBOR in its deterministic encoding (RFC 8949, 4.2), so that
// the same value gives the same bytes at every replica, and a digest of those.
package codec

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// The bounds hold for what comes from outside: a peer, a file.
const (
	mostNested   = 16
	mostElements = 4 << 20
)

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: mostNested, MaxArrayElements: mostElements, MaxMapPairs: mostElements,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

func must[M any](m M, err error) M {
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// Encode writes a value. It fails for what has no form: functions, channels.
func Encode(v any) ([]byte, error) {
	text, err := encoding.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encoding %T: %w", v, err)
	}
	return text, nil
}

// Decode reads a value whole. Keys given twice, fields that the type does not
// have, and bytes left over are errors.
func Decode(text []byte, into any) error {
	if err := decoding.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decoding %T: %w", into, err)
	}
	return nil
}

// Digest is a short sum of an encoded value, compared between replicas. It guards
// against mistakes, not against malice.
func Digest(text []byte) uint64 { return xxhash.Sum64(text) }
