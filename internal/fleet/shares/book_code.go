package shares

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"basaltloft/internal/fleet/codec"
)

// version is the form of the state that this program writes and reads.
const version = 1

// Encode writes the state: the same state gives the same bytes.
func (b *Book) Encode() ([]byte, error) {
	text, err := codec.Encode(&b.image)
	if err != nil {
		return nil, fmt.Errorf("state of the budgets: %w", err)
	}
	return text, nil
}

// Decode takes the state that Encode wrote in the place of its own. A text that
// is cut short, of another version, or does not hold together is an error, and
// nothing changes.
func (b *Book) Decode(text []byte) error {
	var im image
	if err := codec.Decode(text, &im); err != nil {
		return fmt.Errorf("state of the budgets: %w", err)
	}
	if im.Version != version {
		return fmt.Errorf("state of the budgets: version %d, not %d", im.Version, version)
	}
	if err := im.check(); err != nil {
		return fmt.Errorf("state of the budgets: %w", err)
	}
	b.image = im
	b.sum()
	return nil
}

func (im *image) check() error {
	for i, s := range im.Budgets {
		if s == nil || i > 0 && im.Budgets[i-1].Name >= s.Name {
			return fmt.Errorf("budget %d: out of order", i)
		}
		if err := s.check(); err != nil {
			return fmt.Errorf("budget %q: %w", s.Name, err)
		}
	}
	for i, h := range im.Holders {
		if h == nil || len(h.Lines) != len(im.Budgets) {
			return fmt.Errorf("holder %d: not a line a budget", i)
		}
		if h.Bound > h.Number || h.Number > im.Number {
			return fmt.Errorf("holder %q: numbers %d, %d, %d", h.Process, h.Bound, h.Number, im.Number)
		}
	}
	if !slices.IsSortedFunc(im.Holders, func(x, y *holder) int {
		return cmp.Or(strings.Compare(x.Process, y.Process), cmp.Compare(x.Incarnation, y.Incarnation))
	}) {
		return fmt.Errorf("holders: out of order")
	}
	return nil
}

// Digest is the sum of the encoded state, compared between replicas.
func (b *Book) Digest() (uint64, error) {
	text, err := b.Encode()
	if err != nil {
		return 0, err
	}
	return codec.Digest(text), nil
}

// sum makes anew what follows from the state.
func (b *Book) sum() {
	b.current = make(map[string]*holder, len(b.Holders))
	for _, s := range b.Budgets {
		s.held, s.resting = sums{}, sums{}
		for _, r := range s.Rests {
			s.resting.rest(r, 1)
		}
	}
	for _, h := range b.Holders {
		if !h.Old {
			b.current[h.Process] = h
		}
		for i, s := range b.Budgets {
			s.held.add(&h.Lines[i], 1)
		}
	}
	b.due = b.At // what is due is looked for with the next call
}
