package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/cespare/xxhash/v2"
)

// digestClass is the form in which a class enters the digest of a plan, by which runs in
// progress and other builds identify the plan. It is formatted with %+v, so that the names and
// the order of these fields are part of the digest. They stay, whatever policy.Class calls them.
type digestClass struct {
	Name    string
	Effect  policy.Effect
	Group   policy.DedupScope
	Window  time.Duration
	Aim     time.Duration
	Stretch float64
	GiveUp  time.Duration
	Worth   float64
	Kind    int
}

// computeDigest returns the digest of the plan's text and of the classes that it names.
func (p *Plan) computeDigest(text []byte, classes map[string]policy.Class) uint64 {
	sum := xxhash.New()
	_, _ = sum.Write(text) // writing to a hash never fails
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		if p.namesClass(name) {
			c := classes[name]
			_, _ = fmt.Fprintf(sum, "%+v", digestClass{
				Name: c.Name, Effect: c.Effect, Group: c.DedupScope, Window: c.DedupWindow, Aim: c.LatencyTarget, Stretch: c.TargetPerWork,
				GiveUp: c.ClientTimeout, Worth: c.Value, Kind: c.Kind,
			})
		}
	}
	return sum.Sum64()
}
