package lab

import (
	"math"

	"basaltloft/internal/dispatcher/settings"
)

// FromFile makes a run's experiment of a file's, at a multiple of its rates.
func FromFile(f settings.Experiment, load float64) *Experiment {
	x := &Experiment{
		Length: f.Length, Dispatchers: f.Dispatchers, NetworkDelay: f.Net, NetworkJitter: f.NetCV, DiscoveryDelay: f.ListLate, Retries: f.Retries, Backoff: f.Backoff, Settings: f.Settings,
		Clients: int(math.Round(float64(f.Clients) * load)), ThinkTime: f.Think, Capacity: f.Capacity,
	}
	for _, k := range f.Members {
		x.Kinds = append(x.Kinds, MemberKind{
			Name: k.Kind, Count: k.Count, Cores: k.Cores, Slots: k.Slots, Queue: k.Queue, Speed: k.Speed, SpeedCV: k.SpeedCV, Cells: k.Cells,
			ColdFrom: k.ColdFrom, ColdFor: k.ColdFor, Crowding: k.Crowding, CrowdFrom: k.CrowdFrom, Connections: k.Connections, Handshake: k.Handshake,
		})
	}
	for _, c := range f.Classes {
		for _, of := range f.Settings.Classes {
			if of.Name == c.Name {
				x.Classes = append(x.Classes, Class{
					Class: of, Rate: c.Rate * load, Work: c.Work, Shape: c.Shape, CV: c.CV, HintError: c.HintError, Slots: c.Slots,
					Arrivals: arrivals(c.Arrivals, load),
				})
			}
		}
	}
	for _, t := range f.Faults {
		x.Faults = append(x.Faults, Fault(t))
	}
	return x
}
