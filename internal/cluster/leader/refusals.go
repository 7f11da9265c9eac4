package leader

import "time"

// minRefusalRetention is how long the first refusal of a job is remembered, at least.
const minRefusalRetention = 10 * time.Second

// refusalTimes records when jobs were first refused, by ID. A client that sends a refused job again has been
// waiting since then. It keeps two generations of entries: once the newer one spans minRefusalRetention, it
// becomes the older one, and the previous older one is dropped.
type refusalTimes struct {
	newer, older map[string]time.Duration
	newerSince   time.Duration // when the newer generation began
}

func (r *refusalTimes) add(id string, now time.Duration) {
	if now-r.newerSince > minRefusalRetention {
		r.older, r.newer, r.newerSince = r.newer, map[string]time.Duration{}, now
	}
	r.newer[id] = now
}

// since returns how long ago a job was first refused, or 0 if no refusal of it is recorded.
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
