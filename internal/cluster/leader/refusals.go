package leader

import "time"

// refusalMemory is for how long the first refusal of a job is remembered, at the least.
const refusalMemory = 10 * time.Second

// refusalTimes remembers when jobs were first refused, by ID: who comes again has waited since then.
type refusalTimes struct {
	newer, older map[string]time.Duration
	from         time.Duration // the newer ones are no older
}

func (r *refusalTimes) add(id string, now time.Duration) {
	if now-r.from > refusalMemory {
		r.older, r.newer, r.from = r.newer, map[string]time.Duration{}, now
	}
	r.newer[id] = now
}

// since returns how long ago a job was first refused; 0: it was not, as far as is remembered.
func (r *refusalTimes) since(id string, now time.Duration) time.Duration {
	at, refused := r.newer[id]
	if !refused {
		at, refused = r.older[id]
	}
	if !refused {
		return 0
	}
	return now - at
}
