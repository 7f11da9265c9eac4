package demo

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/fakes"
)

// Tenants are the tenants of the demo.
var Tenants = []string{"hrad-kamenec", "jaskyna-dolina", "hrad-vysoka"}

// ticketShare is the share of group tickets among the requests; the rest are holds.
const ticketShare = 0.28

// Load describes the requests, pool members, workers and injected faults of a demo.
type Load struct {
	Rate    float64 // logical requests per second at each front
	Members int
	Workers int           // Faktory workers
	Slots   int           // of a member; NewWorld replaces 0 by 4
	RunTime time.Duration // of each job; 0: short and random
	Faults  fakes.Faults
	Seed    uint64
}

// AtMostOnce reports whether a class, or a Faktory job type, must never run twice.
func AtMostOnce(class string) bool { return class == "group-ticket" || class == "IssueTicket" }

// RunTimes returns a function that returns the run time of a job of a class: RunTime, or if that is 0 a
// random one, 10 to 30 ms for holds and three times as long for tickets. n is added to the random seed. The
// function may be called concurrently.
func (l Load) RunTimes(n uint64) func(class string) time.Duration {
	if l.RunTime > 0 {
		return func(string) time.Duration { return l.RunTime }
	}
	const shortest, spread, ticketFactor = 10 * time.Millisecond, 20 * time.Millisecond, 3
	random := rand.New(rand.NewPCG(l.Seed+n, 3))
	var mu sync.Mutex
	return func(class string) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		d := shortest + time.Duration(random.Int64N(int64(spread)))
		if AtMostOnce(class) {
			d *= ticketFactor
		}
		return d
	}
}

// membersPerCell is how many members share a deduplication cell.
const membersPerCell = 4

// NewMembers starts the members of a load, each like the template but with an id, a cell
// and a seed of its own.
func (l Load) NewMembers(template fakes.MemberSettings) (all []*fakes.Member, err error) {
	template.Slots, template.Faults, template.AtMostOnce = l.Slots, l.Faults, AtMostOnce
	for i := range l.Members {
		s := template
		s.ID, s.Cell = fmt.Sprintf("s-%d", i+1), i/membersPerCell
		s.Run, s.Seed = l.RunTimes(uint64(i)), l.Seed+uint64(i)
		m, err := fakes.NewMember(s)
		if err != nil {
			for _, m := range all {
				m.Close()
			}
			return nil, err
		}
		all = append(all, m)
	}
	return all, nil
}

// instances returns the members' entries in the list of the discovery service.
func instances(members []*fakes.Member) (list []fakes.Instance) {
	for _, m := range members {
		list = append(list, m.Instance())
	}
	return list
}
