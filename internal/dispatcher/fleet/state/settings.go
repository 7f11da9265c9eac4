package state

import (
	"fmt"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// FleetSettings are the operators' settings for the whole fleet. Those with the highest
// revision are in force. Other settings with the same revision are refused.
type FleetSettings struct {
	Revision   uint64
	Lease      time.Duration
	Partitions map[string][]byte `cbor:"Parts"` // by partition; a partition that is missing here keeps its settings
}

// settingsInForce identifies the FleetSettings in force.
type settingsInForce struct {
	Revision, Digest uint64
	Lease            time.Duration
}

// Revision returns the revision of the settings in force; 0: none have been set.
func (m *Machine) Revision() uint64 { return m.settings.Revision }

func (m *Machine) applySettings(c Command) Reply {
	var b FleetSettings
	if err := codec.Decode(c.Body, &b); err != nil {
		return Reply{Code: Bad, Text: err.Error()}
	}
	digest := codec.Digest(c.Body)
	switch {
	case b.Revision == m.settings.Revision && digest == m.settings.Digest:
		return Reply{}
	case b.Revision <= m.settings.Revision:
		return Reply{Code: Refused, Text: fmt.Sprintf("revision %d of the fleet's settings is in force: another one needs a higher revision than that", m.settings.Revision)}
	case b.Lease < 100*time.Millisecond || b.Lease > time.Hour:
		return Reply{Code: Refused, Text: fmt.Sprintf("a lease of %s: not from 100ms to 1h", b.Lease)}
	}
	for _, p := range m.partitions { // all or none
		if err := p.Check(b.Partitions[p.Name()]); b.Partitions[p.Name()] != nil && err != nil {
			return Reply{Code: Refused, Text: fmt.Sprintf("%s: %s", p.Name(), err)}
		}
	}
	for _, p := range m.partitions {
		if b.Partitions[p.Name()] == nil {
			continue
		}
		if err := p.Set(m.now, b.Partitions[p.Name()]); err != nil {
			return Reply{Code: Refused, Text: fmt.Sprintf("%s: %s", p.Name(), err)}
		}
	}
	m.settings = settingsInForce{Revision: b.Revision, Digest: digest, Lease: b.Lease}
	return Reply{}
}
