package router

import "time"

// silences remembers which core processes left a question without an answer lately. One that
// is frozen or cut off is named as an owner until the others have another; without this memory
// a dispatcher would wait for it each time it is named.
// By address, it holds when the process was last noticed to be silent.
type silences map[string]time.Duration

const (
	// silentWait is how long a question must have waited to tell of a silence: one that fails
	// sooner has met a closed port, and asking there again costs nothing.
	silentWait = 150 * time.Millisecond
	// silentFor is how long a silent process is passed by: a change of owner takes less.
	silentFor = 700 * time.Millisecond
)

// note takes in that a question which was sent at a time failed.
func (s silences) note(address string, asked, now time.Duration) {
	if now-asked >= silentWait {
		s[address] = now
	}
}

// end takes in that a process has answered.
func (s silences) end(address string) { delete(s, address) }

// lately tells whether a process is passed by.
func (s silences) lately(address string, now time.Duration) bool {
	last, noted := s[address]
	return noted && now-last < silentFor
}

// next returns the next of several processes by turns, passing by those that were silent
// lately, unless all were.
func (s silences) next(addresses []string, turn *int, now time.Duration) string {
	for range addresses {
		address := addresses[*turn%len(addresses)]
		if !s.lately(address, now) {
			return address
		}
		*turn++
	}
	return addresses[*turn%len(addresses)]
}
