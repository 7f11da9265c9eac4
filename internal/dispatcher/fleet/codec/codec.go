// Package codec encodes what the fleet's processes exchange and store: CBOR in its
// deterministic encoding (RFC 8949, section 4.2), so that equal values have equal bytes at
// every replica, and a digest of those bytes. Structs are encoded as maps by field name, or
// by the name in a `cbor` tag; that name is part of the format.
package codec

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Bounds on decoded input, which may come from a peer or a file.
const (
	maxNested   = 16
	maxElements = 4 << 20
)

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: maxNested, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

func must[M any](m M, err error) M {
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// Encode encodes a value. It fails for values that have no encoding, such as functions and
// channels.
func Encode(v any) ([]byte, error) {
	text, err := encoding.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encoding %T: %w", v, err)
	}
	return text, nil
}

// Decode decodes exactly one value. Duplicate keys, unknown fields and trailing bytes are
// errors.
func Decode(text []byte, into any) error {
	if err := decoding.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decoding %T: %w", into, err)
	}
	return nil
}

// Digest returns the xxHash64 of an encoded value. It protects against errors, not
// against deliberate changes.
func Digest(text []byte) uint64 { return xxhash.Sum64(text) }
